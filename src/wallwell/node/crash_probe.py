"""Finds out whether a back end's process has crashed, by a few probes of its address.

A broken attempt alone is no proof of a crash: connections are reset on the way, by a back end with too many of
them, and at the end of a planned stop. A back end counts as crashed when its address refuses connections, still
does so a moment later, and nothing has come from it in between, or when another incarnation has taken its address.

Owns no state. Relies on the listing to mark replaced incarnations (``Backend.superseded``) and on attempts to note
what back ends send (``Backend.silence``).
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from wallwell.clock import boot_time_s
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import Backend

FIRST_PROBE_DELAY_S = 0.02
"""Seconds from a broken attempt to the first probe: those that break with it are then known, and cost one write."""
PROBE_INTERVAL_S = 0.3
"""Seconds between two probes. A back end that only has too many connections has sent something by then: its other
streams pause for less than half a second, and with many streams some are always about to send."""
MAX_PROBES = 5
"""Probes of one back end. On a busy node, what it had sent before its end can be read after the first refusal; then
one more probe is needed. The rest is a margin."""
ALIVE_AFTER_PROBES = 2
"""Probes in a row that find it listening, after which it counts as alive. A process that ends, or a proxy before
it, may still take a connection after those of its attempts are reset."""
SUCCESSOR_WAIT_S = 3.0
"""Seconds for which a back end that listens may yet turn out to have been a successor: one that is back within 0.3
s is listed at its address within about a second."""


class CrashCheck(Protocol):
    """Finds out whether a back end's process is gone."""

    async def refuses_connections(self, backend: BackendRecord) -> bool:
        """Connect unless a connection is idle; returns True only if the machine answers that nothing listens
        there."""
        ...


class CrashProbe:
    """Probes back ends by :class:`CrashCheck`."""

    def __init__(self, check: CrashCheck) -> None:
        self._check = check

    async def has_crashed(self, backend: Backend) -> bool:
        """Probe a back end after a broken attempt, from :data:`FIRST_PROBE_DELAY_S` on, until it is known."""
        refused_at_s = None
        listening_probes = 0
        for probe in range(MAX_PROBES):
            await asyncio.sleep(PROBE_INTERVAL_S if probe else FIRST_PROBE_DELAY_S)
            if backend.superseded:
                return True
            if await self._check.refuses_connections(backend.record):
                if refused_at_s is not None and backend.silence.last_received_s <= refused_at_s:
                    return True
                refused_at_s, listening_probes = boot_time_s(), 0
            else:
                refused_at_s, listening_probes = None, listening_probes + 1
            if listening_probes >= ALIVE_AFTER_PROBES:
                return False
        return False

    async def wait_for_successor(self, backend: Backend) -> bool:
        """Wait for :data:`SUCCESSOR_WAIT_S`; return whether another incarnation took the address unannounced."""
        await asyncio.sleep(SUCCESSOR_WAIT_S)
        return backend.superseded and not backend.has_announced_leave
