"""Reports of an emulated engine over HTTP: a stream of cache events and load, and a snapshot of the cache.

Owns the connections of the event readers. Relies on :class:`.engine_process.EngineProcess` for the reported state.
"""

from __future__ import annotations

import asyncio
from typing import NoReturn

import msgspec
from aiohttp import web

from wallwell.emulator.engine_model import CacheEvent
from wallwell.emulator.engine_output import cache_event_line, snapshot_entry
from wallwell.emulator.engine_process import EngineProcess
from wallwell.emulator.faults import reset_connection
from wallwell.standalone.backends import engine_protocol as wire

EVENT_DELAY_S = 0.1
"""Seconds between two batches of cache events."""
LOAD_LAG_S = 0.2
"""Age stated in load reports, in seconds."""
_LOAD_INTERVAL_S = 0.5
"""Seconds between two load reports."""
_GOLDEN_RATIO_FRACTION = 0.618034
"""Fractional part of the golden ratio: its multiples spread dropped events evenly and reproducibly."""


class EngineFeed:
    """Sends the reports of one engine."""

    def __init__(self, process: EngineProcess, event_delay_s: float, load_lag_s: float) -> None:
        self._process = process
        self._event_delay_s = event_delay_s
        self._load_lag_s = load_lag_s
        self._connections: dict[int, web.Request] = {}

    def install(self, app: web.Application) -> None:
        """Add the endpoints to ``app``."""
        app.router.add_get("/events", self._handle_events)
        app.router.add_get("/snapshot", self._handle_snapshot)

    def reset_connections(self) -> None:
        """Reset the connections of all event readers, as a crash does."""
        for request in list(self._connections.values()):
            reset_connection(request)

    async def _handle_events(self, request: web.Request) -> web.StreamResponse:
        """Send reports until the reader disconnects; skip events up to ``after`` of this incarnation."""
        same_incarnation = request.query.get("incarnation") == self._process.incarnation
        after = int(request.query.get("after", "0")) if same_incarnation else 0
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        self._connections[id(request)] = request
        try:
            await self._send_reports(response, after)
        except (ConnectionError, asyncio.CancelledError):
            return response  # The reader disconnected or the emulator is stopping.
        finally:
            self._connections.pop(id(request), None)

    async def _send_reports(self, response: web.StreamResponse, after: int) -> NoReturn:
        sent_status: wire.StatusLine | None = None
        batches_per_load = max(1, round(_LOAD_INTERVAL_S / self._event_delay_s))
        while True:
            if self._process.status_line() != sent_status:
                sent_status = self._process.status_line()
                await response.write(msgspec.json.encode(sent_status) + b"\n")
            # The load is sampled before the events are sent and sent after them, which emulates a reporting lag.
            load = self._process.load_line(self._load_lag_s)
            for _ in range(batches_per_load):
                after = await self._send_events(response, after)
                await asyncio.sleep(self._event_delay_s)
            await response.write(msgspec.json.encode(load) + b"\n")

    async def _send_events(self, response: web.StreamResponse, after: int) -> int:
        """Send the cache events above sequence number ``after``; return the highest number."""
        lines = []
        for event in self._process.model.events:
            if event.sequence > after:
                after = event.sequence
                if not self._is_dropped(event):
                    lines.append(msgspec.json.encode(cache_event_line(event)))
        if lines:
            await response.write(b"\n".join(lines) + b"\n")
        return after

    def _is_dropped(self, event: CacheEvent) -> bool:
        ratio = self._process.faults.switches.drop_event_ratio
        return ratio > 0 and (event.sequence * _GOLDEN_RATIO_FRACTION) % 1.0 < ratio

    async def _handle_snapshot(self, _request: web.Request) -> web.Response:
        model = self._process.model
        entries = tuple(snapshot_entry(block, position) for block, position in model.cache.items())
        snapshot = wire.CacheSnapshot(self._process.incarnation, model.last_sequence, entries)
        return web.Response(body=msgspec.json.encode(snapshot))
