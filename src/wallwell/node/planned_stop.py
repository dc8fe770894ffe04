"""The planned stop of a node: it reports that it is not ready, then takes nothing new, then finishes what is open.

Owns the order of these steps and their times. What cannot finish within the grace period is cut when the process
ends (:mod:`wallwell.platform.stop_deadline`).
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
"""Seconds for which a stopping node still takes requests. Load balancers check readiness each second and leave a
node out after two failed checks, so after 2 s at most."""
MAX_LAME_DUCK_FRACTION = 0.5
"""Largest fraction of the grace period that the notice may take, so that open requests get the rest."""
DRAIN_CHECK_INTERVAL_S = 0.05
"""Seconds between two checks whether requests are still in flight: small beside the grace period of some
seconds."""
STOP_RESERVE_FRACTION = 0.125
"""Fraction of the grace period kept for closing connections. Requests that still run in the last sixth of the
period may be cut, and an eighth lies within it."""


class Drainable(Protocol):
    """A driver that holds a lease: it finishes what it has begun and takes no new lease."""

    def drain(self) -> None:
        """Take no new lease from now on."""
        ...


class PlannedStop:
    """Carries out one node's planned stop."""

    def __init__(
        self, readiness: Readiness, drivers: Sequence[Drainable], peers: PeerServer, in_flight: Callable[[], int]
    ) -> None:
        """``in_flight`` returns the number of callers' requests that are not answered yet."""
        self._readiness = readiness
        self._drivers = drivers
        self._peers = peers
        self._in_flight = in_flight

    async def drain(self, grace_s: float, close_listener: Callable[[], Awaitable[None]]) -> None:
        """Stop being ready, stop taking requests after :data:`LAME_DUCK_S`, and wait for those in flight.

        ``close_listener`` ends the acceptance of connections and closes each one that is or becomes idle. It may
        return once none is left; those that are open at the end of the time for requests are cut.
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
