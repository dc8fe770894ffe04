"""The planned stop of a node: it reports not ready, then accepts no new requests, then finishes the open ones.

Owns the order and timing of these steps. Requests that outlast the grace period are cut when the process ends
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

LAME_DUCK_S = 2.6
"""Seconds for which a stopping node still accepts requests although it reports not ready. Load balancers check each
second and remove a node after two failed checks, so after 2 s at most."""
MAX_LAME_DUCK_FRACTION = 0.5
"""Greatest fraction of the grace period that the lame-duck phase may take; open requests get the rest."""
DRAIN_CHECK_INTERVAL_S = 0.05
"""Seconds between two checks for requests in flight: short compared with the grace period of some seconds."""
STOP_RESERVE_FRACTION = 0.125
"""Fraction of the grace period reserved for closing connections. Requests that still run in the last sixth of the
period may be cut, and an eighth is less than that."""


class Drainable(Protocol):
    """A driver that works under a lease; when draining it finishes its work and acquires no further lease."""

    def drain(self) -> None:
        """Acquire no new lease from now on."""
        ...


class PlannedStop:
    """Performs the planned stop of one node."""

    def __init__(
        self, readiness: Readiness, drivers: Sequence[Drainable], peers: PeerServer, in_flight: Callable[[], int]
    ) -> None:
        """``in_flight`` returns the number of callers' requests that are not answered yet."""
        self._readiness = readiness
        self._drivers = drivers
        self._peers = peers
        self._in_flight = in_flight

    async def drain(self, grace_s: float, close_listener: Callable[[], Awaitable[None]]) -> None:
        """Report not ready, stop accepting requests after :data:`LAME_DUCK_S`, and wait for those in flight.

        ``close_listener`` stops accepting connections and closes each connection that is or becomes idle. It
        returns once none is left. Connections still open at the end of the time for requests are cut.
        """
        emit(Event.NODE_DRAINING, in_flight=self._in_flight())
        self._readiness.draining = True
        for driver in self._drivers:
            driver.drain()
        self._peers.close()
        end_s = boot_time_s() + grace_s * (1.0 - STOP_RESERVE_FRACTION)
        await asyncio.sleep(min(LAME_DUCK_S, grace_s * MAX_LAME_DUCK_FRACTION))
        await ends_within(close_listener(), end_s - boot_time_s())
        while self._in_flight() and boot_time_s() < end_s:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
