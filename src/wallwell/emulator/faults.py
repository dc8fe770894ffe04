"""Fault switches shared by all emulators, as an aiohttp middleware and one control endpoint.

Owns the switches; each emulator reads those that affect its own responses. All are off at start.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from wallwell.events import Event, emit

FAULTS_PATH = "/_faults"
"""Endpoint that accepts a JSON object of switches to change; the others keep their values."""
PAUSE_CHECK_INTERVAL_S = 0.02
"""Seconds between two checks whether a pause is over."""
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class FaultSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of an emulator. All are off at start."""

    down: bool = False
    """Reset the connection of every request before handling it."""
    slow_s: float = 0.0
    """Seconds to wait before handling a request."""
    lose_answers: int = 0
    """Number of requests to carry out and then answer with a connection reset."""
    foreign_answers: int = 0
    """Number of responses to send with another request's id."""
    drop_event_ratio: float = 0.0
    """Fraction of cache events that are never published."""
    cut_streams_after: int = 0
    """Close each stream's connection after this many chunks; 0 disables the fault."""
    stall_streams_after: int = 0
    """Stop sending after this many chunks without closing; 0 disables the fault."""
    duplicate_chunks: bool = False
    """Send every chunk twice."""
    paused: bool = False
    """Hold all requests, and an engine's generation, until switched off."""
    crash_on: str = ""
    """Crash like a killed process when a request's body contains this text, if ``on_crash`` is set."""


class FaultControl:
    """Holds the switches of one emulator and applies those that affect every request."""

    def __init__(self) -> None:
        self.switches = FaultSwitches()
        self.on_crash: Callable[[], None] | None = None
        """Emulates a crash; set by the owner of the listener."""

    def set(self, **changes: object) -> None:
        """Change the given switches and log them."""
        self.switches = msgspec.structs.replace(self.switches, **changes)
        emit(Event.EMULATOR_FAULT, **{key: str(value) for key, value in changes.items()})

    def consume(self, counter: str) -> bool:
        """Decrement the counter of a fault; return False if it was already 0."""
        remaining = getattr(self.switches, counter)
        if remaining <= 0:
            return False
        setattr(self.switches, counter, remaining - 1)
        return True

    async def _handle_faults(self, request: web.Request) -> web.Response:
        changes = msgspec.json.decode(await request.read(), type=dict[str, object])
        merged = {**msgspec.to_builtins(self.switches), **changes}
        self.switches = msgspec.convert(merged, FaultSwitches)
        return web.json_response(merged)

    def install(self, app: web.Application) -> None:
        """Add the middleware and the control endpoint to ``app``."""
        app.middlewares.append(self.middleware)
        app.router.add_post(FAULTS_PATH, self._handle_faults)

    @web.middleware
    async def middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Apply ``down``, ``paused``, ``slow_s``, ``crash_on`` and ``lose_answers``."""
        if request.path == FAULTS_PATH:
            return await handler(request)
        if self.switches.down:
            return reset_connection(request)
        while self.switches.paused:
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_S)
        if self.switches.slow_s > 0:
            await asyncio.sleep(self.switches.slow_s)
        if self.switches.crash_on and self.on_crash and self.switches.crash_on.encode() in await request.read():
            self.on_crash()
            return reset_connection(request)
        response = await handler(request)
        if not response.prepared and self.consume("lose_answers"):
            return reset_connection(request)
        return response


def abort_listener(runner: web.BaseRunner) -> None:
    """Close a listener and reset its connections, as when its process is killed."""
    for site in runner.sites:
        assert isinstance(site, web.TCPSite)
        site._server.close()  # type: ignore[union-attr]
    assert runner.server is not None
    for connection in list(runner.server.connections):
        if connection.transport is not None:
            connection.transport.abort()


def close_connection(request: web.Request) -> web.Response:
    """Close once written data is sent; a reset could destroy unread chunks. The returned response is never sent."""
    if request.transport is not None:
        request.transport.close()
    return web.Response()


def reset_connection(request: web.Request) -> web.Response:
    """Abort the connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
