"""``wallwell router``: runs one router without the platform's store (see :mod:`wallwell.standalone`)."""

from __future__ import annotations

import argparse
import asyncio
import signal
from pathlib import Path
from typing import Any

import aiomisc
import uvloop

from wallwell.events import configure_logging
from wallwell.loop_errors import log_loop_errors
from wallwell.standalone.router_node import RouterNode
from wallwell.standalone.settings import NodeSettings, load_settings

_SHUTDOWN_MARGIN_S = 10.0
"""Seconds after the node's grace period before aiomisc aborts the stop; the node normally ends it earlier."""
_SETTING_BY_OPTION = {
    "node": "node",
    "zone": "zone",
    "region": "region",
    "callers_port": "callers_listener.port",
    "operators_port": "operators_listener.port",
    "cluster_port": "cluster_listener.port",
    "log_level": "log.level",
}


class RouterService(aiomisc.Service):
    """Runs a :class:`RouterNode` under aiomisc. SIGTERM or SIGINT starts a planned stop."""

    settings: NodeSettings

    async def start(self) -> None:
        """Start the node. What no task of it awaits is logged as an event."""
        log_loop_errors(asyncio.get_running_loop())
        self.router_node = RouterNode(self.settings)
        await self.router_node.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish the requests in flight and stop the node."""
        await self.router_node.stop()


def register(commands: Any) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser("router", help="run one router")
    parser.add_argument("--settings", type=Path, required=True, help="the node's settings file")
    parser.add_argument("--node", help="override the node's name")
    parser.add_argument("--zone", help="override the zone")
    parser.add_argument("--region", help="override the region")
    parser.add_argument("--callers-port", type=int, help="override callers_listener.port")
    parser.add_argument("--operators-port", type=int, help="override operators_listener.port")
    parser.add_argument("--cluster-port", type=int, help="override cluster_listener.port")
    parser.add_argument("--log-level", help="override log.level")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run until stopped and return 0. Invalid settings raise SettingsError, for which the exit status is 2."""
    overrides = {
        path: getattr(options, name)
        for name, path in _SETTING_BY_OPTION.items()
        if getattr(options, name) is not None
    }
    settings = load_settings(options.settings, overrides)
    configure_logging(settings.log.level, settings.log.json)
    timeout_s = settings.limits.stop_grace_s + _SHUTDOWN_MARGIN_S
    service = RouterService(settings=settings)
    # aiomisc restores this handler after the first signal, so that a second SIGTERM ends the process at once.
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    entrypoint = aiomisc.entrypoint(
        service, loop_factory=uvloop.new_event_loop, log_config=False, shutdown_timeout=timeout_s
    )
    with entrypoint as loop:
        loop.run_forever()
    return 0
