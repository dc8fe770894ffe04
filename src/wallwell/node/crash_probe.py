"""Determines whether a back end's process has crashed, by probing its address a few times.

A broken attempt alone does not prove a crash: connections are also reset by the network, by a back end with too
many connections, and at the end of a planned stop. A back end counts as crashed when two probes in a row are
refused, nothing was received from it in between, and other nodes are refused too, or when another incarnation has
taken its address. This node's own links may have failed, to all back ends or to some. If no other node knows,
refusals count if this node reaches any other back end.

Owns no state. Relies on the registry to mark replaced incarnations (``Backend.superseded``) and on attempts to
record when data is received (``Backend.silence``).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum
from typing import Protocol

from wallwell.clock import boot_time_s
from wallwell.deployment.backends import BackendRecord
from wallwell.events import Event, emit
from wallwell.routing.health.backend import Backend

FIRST_PROBE_DELAY_S = 0.02
"""Seconds from a broken attempt to the first probe. Attempts that break together then share one probe and write."""
PROBE_INTERVAL_S = 0.3
"""Seconds between two probes. A back end that merely has too many connections has sent data by then: its other
streams pause for less than half a second, and among many streams some are always about to send."""
MAX_PROBES = 5
"""Most probes of one back end. A busy node may read data that was sent before the crash only after the first
refused probe, and then needs one more. The rest is a margin."""
ALIVE_AFTER_PROBES = 2
"""Successful probes in a row after which a back end counts as alive. One is not enough: an ending process, or a
proxy in front of it, may still accept a connection after it has reset those of its attempts."""
MAX_COMPARED = 3
"""Other back ends that are connected to before a back end counts as crashed; those of other services first, since a
request may crash all of one."""
SUCCESSOR_WAIT_S = 3.0
"""Seconds to wait for the entry of a successor at the address of a back end that accepts connections. A process
that restarts within 0.3 s is listed within about a second."""


class CrashEvidence(StrEnum):
    """What shows that a back end has crashed."""

    PEERS = "peers"
    """Its address refuses this node's connections and those of others."""
    REFUSALS = "refusals"
    """Its address refuses this node's connections, another back end's does not, and no other node knows."""
    SUCCESSOR = "successor"
    """Another incarnation, or a later start of the same one, is listed."""


class ConnectionResult(StrEnum):
    """What became of a new connection to a back end."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """Not made, or timed out."""


class CrashCheck(Protocol):
    """Checks whether a back end's process has ended."""

    async def connect(self, backend: BackendRecord) -> ConnectionResult:
        """Open a new connection."""
        ...

    async def refuses_connections(self, backend: BackendRecord) -> bool:
        """Connect, unless a connection is idle; returns True only if the machine refuses the connection."""
        ...

    async def accepts_connections(self, backend: BackendRecord) -> bool:
        """Open a new connection; return False if it times out or is refused."""
        ...


async def _no_peer_knows(_backend: Backend) -> None:
    return None


class CrashProbe:
    """Probes back ends through a :class:`CrashCheck`."""

    def __init__(
        self,
        check: CrashCheck,
        all_backends: Callable[[], Iterable[Backend]],
        refuses_peers: Callable[[Backend], Awaitable[bool | None]] = _no_peer_knows,
    ) -> None:
        """``all_backends`` returns the listed back ends of all services, ``refuses_peers`` whether a back end
        refuses the connections of other nodes; None if none knows."""
        self._check = check
        self._all_backends = all_backends
        self._refuses_peers = refuses_peers

    async def find_crash(self, backend: Backend) -> CrashEvidence | None:
        """Probe a back end after a broken attempt, at most :data:`MAX_PROBES` times; return what shows that it has
        crashed, None if nothing does."""
        refused_at_s = first_refused_at_s = None
        listening_probes = 0
        for probe in range(MAX_PROBES):
            await asyncio.sleep(PROBE_INTERVAL_S if probe else FIRST_PROBE_DELAY_S)
            if backend.superseded:
                return CrashEvidence.SUCCESSOR
            if await self._check.refuses_connections(backend.record):
                if refused_at_s is not None and backend.silence.last_received_s <= refused_at_s:
                    return await self._judge_refusals(backend, first_refused_at_s or refused_at_s)
                refused_at_s, listening_probes = boot_time_s(), 0
                first_refused_at_s = first_refused_at_s or refused_at_s
            else:
                refused_at_s, listening_probes = None, listening_probes + 1
            if listening_probes >= ALIVE_AFTER_PROBES:
                return None
        return None

    async def _judge_refusals(self, backend: Backend, since_s: float) -> CrashEvidence | None:
        """Return what the refusals of a back end since ``since_s`` show."""
        refuses_peers = await self._refuses_peers(backend)
        if refuses_peers:
            return CrashEvidence.PEERS
        if refuses_peers is None and await self._reaches_another(backend, since_s):
            return CrashEvidence.REFUSALS
        emit(Event.REFUSALS_INCONCLUSIVE, backend=backend.incarnation)
        return None

    async def _reaches_another(self, suspect: Backend, since_s: float) -> bool:
        """Whether this node has received something from another back end since ``since_s``, or can connect to one
        now. True if no other is listed: then nothing can be compared."""
        now_s = boot_time_s()
        others = [each for each in self._all_backends() if each is not suspect and not each.is_leaving(now_s)]
        if not others or any(each.silence.last_received_s > since_s for each in others):
            return True
        others.sort(key=lambda each: (each.record.service == suspect.record.service, -each.last_success_s))
        for each in others[:MAX_COMPARED]:
            if await self._check.accepts_connections(each.record):
                return True
        return False

    async def wait_for_successor(self, backend: Backend) -> bool:
        """Wait for :data:`SUCCESSOR_WAIT_S`; return whether another incarnation took the address unannounced."""
        await asyncio.sleep(SUCCESSOR_WAIT_S)
        return backend.superseded and not backend.has_announced_leave
