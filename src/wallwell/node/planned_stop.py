"""The planned stop of a node: it reports not ready, then accepts no new requests, then finishes the open ones.

Owns the order of these steps; :mod:`wallwell.routing.admission.stop_times` says when each begins. Requests that
outlast their time are cut as the listeners are closed, or when the process ends
(:mod:`wallwell.platform.stop_deadline`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from wallwell.clock import boot_time_s, ends_within
from wallwell.cluster.peer_link import PeerServer
from wallwell.events import Event, emit
from wallwell.node.readiness import Readiness
from wallwell.node.state import NodeState
from wallwell.routing.admission.stop_times import StopTimes

DRAIN_CHECK_INTERVAL_S = 0.05
"""Seconds between two checks for requests in flight: short compared with the grace period of some seconds."""


class Drainable(Protocol):
    """A driver that works under a lease; when draining it finishes its work and acquires no further lease."""

    def drain(self) -> None:
        """Acquire no new lease from now on."""
        ...


class PlannedStop:
    """Performs the planned stop of one node."""

    def __init__(
        self,
        state: NodeState,
        readiness: Readiness,
        drivers: Sequence[Drainable],
        peers: PeerServer,
        in_flight: Callable[[], int],
    ) -> None:
        """``in_flight`` returns the number of callers' requests that are not answered yet."""
        self._state = state
        self._readiness = readiness
        self._drivers = drivers
        self._peers = peers
        self._in_flight = in_flight

    async def drain(self, stop: StopTimes, close_listener: Callable[[], Awaitable[None]]) -> None:
        """Report not ready, stop accepting requests after a while, and wait for those in flight.

        ``close_listener`` stops accepting connections and closes each connection that is or becomes idle. It
        returns once none is left. Connections still open at the end of the time for requests are cut.
        """
        self._state.stop = stop
        late_s = boot_time_s() - stop.requested_s
        emit(Event.NODE_DRAINING, in_flight=self._in_flight(), late_ms=round(late_s * 1000))
        self._readiness.draining = True
        for driver in self._drivers:
            driver.drain()
        self._peers.close()
        await asyncio.sleep(stop.closing_s - boot_time_s())
        await ends_within(close_listener(), stop.cut_s - boot_time_s())
        while self._in_flight() and boot_time_s() < stop.cut_s:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
