"""A router as a process whose settings cannot be used: how a start ends, and that a reload does not end it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket

import pytest

from tests.platform.router_process import SETTINGS, START, free_ports, start_router
from wallwell.events import Event

TIMEOUT_S = 40.0
"""Several times what a start takes on a busy machine."""
SETTINGS_STATUS = 2
UNEXPECTED_STATUS = 1
BROKEN_START = "import sys, wallwell.platform.main as main; main.build_node = None; sys.exit(main.main())"
"""Starts a router with a fault of its own."""


def sound_settings(**more):
    front, ready, peer, store = free_ports(4)
    values = {"front": front, "ready": ready, "peer": peer, "store": f"127.0.0.1:{store}", "grace_s": 4, **more}
    return SETTINGS.format(**values)


ODD_FILES = {
    "a number of thousands of digits": lambda: f"more = {'9' * 5000}\n{sound_settings()}",
    "nested 5,000 deep": lambda: f"more = {'[' * 5000 + ']' * 5000}\n{sound_settings()}",
    "a store's address that is none": lambda: sound_settings(store="store"),
    "a store's address with a port of thousands of digits": lambda: sound_settings(store="127.0.0.1:" + "1" * 4400),
    "a listening address with an odd port": lambda: sound_settings(ready="http"),
    "a range of ports without end": lambda: sound_settings().replace(
        "port_range = [", "port_range = [1, 9" + "9" * 17
    ),
    "an endless grace period": lambda: sound_settings(grace_s="inf"),
    "a window of no length": lambda: sound_settings() + "budget_window_s = 0\n",
    "UTF-16": lambda: sound_settings().encode("utf-16"),
    "nothing": lambda: "",
}


def write(path, data):
    path.write_bytes(data.encode() if isinstance(data, str) else data)


async def end_of(settings, code=START):
    """Return status and lines of standard error of a router that cannot start."""
    process = await start_router(settings, code, stderr=asyncio.subprocess.PIPE)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            _, errors = await process.communicate()
        return process.returncode, errors.decode().splitlines()
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()


@pytest.mark.parametrize("name", ODD_FILES)
def test_a_start_with_a_file_that_cannot_be_used_ends_with_one_line(run_async, tmp_path, name):
    """A traceback and status 1 were seen, or a router that was never ready."""
    path = tmp_path / "settings.toml"
    write(path, ODD_FILES[name]())
    status, lines = run_async(end_of(path))
    assert (status, len(lines), lines[0].startswith(f"WW1001 SettingsError: {path}: ")) == (
        SETTINGS_STATUS,
        1,
        True,
    )


@pytest.mark.parametrize("path", ["", "none.toml"])
def test_a_start_without_a_file_ends_with_one_line(run_async, tmp_path, path):
    status, lines = run_async(end_of(tmp_path / path))
    assert (status, len(lines), lines[0].startswith("WW1001 SettingsError: ")) == (SETTINGS_STATUS, 1, True)


@pytest.mark.parametrize("listener", ["front", "ready"])
def test_a_start_at_a_port_that_is_taken_ends_with_a_line_that_names_it(run_async, tmp_path, listener):
    """A traceback and status 1 were seen."""
    path = tmp_path / "settings.toml"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        write(path, sound_settings(**{listener: port}))
        status, lines = run_async(end_of(path))
    assert (status, [line for line in lines if "Traceback" in line]) == (SETTINGS_STATUS, [])
    assert lines[-1].startswith(f"WW1002 AddressInUseError: 127.0.0.1:{port}: ")


def test_an_unexpected_error_at_a_start_is_one_event(run_async, tmp_path):
    path = tmp_path / "settings.toml"
    write(path, sound_settings())
    status, lines = run_async(end_of(path, BROKEN_START))
    events = [json.loads(line) for line in lines]
    assert (status, [each["event"] for each in events]) == (UNEXPECTED_STATUS, [Event.PROCESS_FAILED.number])
    assert (events[0]["error"], events[0]["raised_at"].split(":")[0]) == (
        "TypeError: 'NoneType' object is not callable",
        "run",
    )


class RunningRouter:
    """A router that has started, and the events that it logs."""

    def __init__(self, process):
        self.process = process

    async def event(self, *events):
        """Return the next line about one of some events. Raises ValueError at a line that is none of the log."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                line = json.loads(await self.process.stderr.readline())
                if line["event"] in [each.number for each in events]:
                    return line

    async def reload(self):
        """Have the settings read again; return the next line about settings or an error."""
        self.process.send_signal(signal.SIGHUP)
        return await self.event(Event.SETTINGS_RELOADED, Event.INTERNAL_ERROR, Event.TASK_FAILED)


def test_no_settings_file_ends_a_running_router_on_a_reload(run_async, tmp_path):
    """A number of thousands of digits and deep nesting printed a traceback; others were taken for sound."""
    path = tmp_path / "settings.toml"
    write(path, sound_settings())

    async def scenario():
        process = await start_router(path, stderr=asyncio.subprocess.PIPE)
        router = RunningRouter(process)
        try:
            await router.event(Event.NODE_STARTED)
            lines = {}
            for name, data in ODD_FILES.items():
                write(path, data())
                lines[name] = await router.reload()
            path.unlink()
            lines["missing"] = await router.reload()
            path.mkdir()
            lines["directory"] = await router.reload()
            path.rmdir()
            os.mkfifo(path)
            lines["pipe"] = await router.reload()
            path.unlink()
            write(path, sound_settings())
            sound = await router.reload()
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT_S):
                await process.communicate()
            return lines, sound["event"], process.returncode
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()

    lines, sound, status = run_async(scenario())
    odd = {name: line for name, line in lines.items() if line.get("where") != "settings"}
    assert (odd, sound, status) == ({}, Event.SETTINGS_RELOADED.number, 0)
