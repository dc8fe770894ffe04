"""``wallwell emulate``: runs emulated engines, services or the emulated platform in one process."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

import aiomisc
import uvloop
from aiohttp import web

from wallwell.emulator.settings import emulated_apps
from wallwell.events import configure_logging
from wallwell.standalone.settings import Listener

SHUTDOWN_TIMEOUT_S = 0.1
"""Seconds to wait for handlers at shutdown, short because an emulator has no work that must finish."""


class EmulatorService(aiomisc.Service):
    """Serves the applications of one settings file."""

    apps: list[tuple[web.Application, Listener]]

    async def start(self) -> None:
        """Start the listeners."""
        self.runners = [await listen(app, listener) for app, listener in self.apps]

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the listeners."""
        for runner in self.runners:
            await runner.cleanup()


async def listen(app: web.Application, listener: Listener) -> web.AppRunner:
    """Serve ``app`` and return its runner, whose ``addresses`` include the bound port."""
    runner = web.AppRunner(app, handler_cancellation=True, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    await web.TCPSite(runner, listener.host, listener.port).start()
    return runner


def register(commands: Any) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser("emulate", help="run an emulator of an external system")
    parser.add_argument("kind", choices=("engine", "service", "platform"))
    parser.add_argument("--settings", type=Path, required=True)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run until stopped and return the exit status."""
    configure_logging("INFO", json_lines=False)
    service = EmulatorService(apps=emulated_apps(options.kind, options.settings))
    with aiomisc.entrypoint(service, loop_factory=uvloop.new_event_loop, log_config=False) as loop:
        loop.run_forever()
    return 0
