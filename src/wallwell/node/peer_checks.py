"""Asks other nodes whether a back end refuses their connections too, and answers them.

A node whose connections are all refused cannot tell whether the back ends have ended or its own links have failed;
nodes elsewhere can. Nothing is sent while this node reaches any back end.

Owns no state. Relies on the members' rows for which nodes answer, and on
:mod:`wallwell.routing.selection.peer_choice` for which of them are asked.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from enum import StrEnum

import msgspec

from wallwell.cluster.peer_link import PeerFailureLog, PeerLink, PeerMessage
from wallwell.errors import PeerUnavailableError
from wallwell.node.crash_probe import CrashCheck
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.peer_choice import PeerNode, choose_witnesses

ANSWER_TIMEOUT_S = 0.8
"""Seconds within which a peer must answer: it makes two connections, which take up to 0.25 s each."""


class ConnectionResult(StrEnum):
    """What became of a node's connection to a back end."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """Not made, timed out, or unclear."""


class ConnectionCheckRequest(PeerMessage, frozen=True, omit_defaults=True):
    """Asks a peer to connect to one start of a back end."""

    incarnation: str
    started_unix_ms: int | None = None
    """Start of the back end that is meant, if its entry states one."""


class ConnectionCheckReply(msgspec.Struct, frozen=True):
    """Answer to :class:`ConnectionCheckRequest`."""

    result: ConnectionResult


class PeerChecks:
    """Compares this node's connections to back ends with those of its peers."""

    def __init__(self, state: NodeState, check: CrashCheck, peers: Callable[[], Iterable[PeerNode]]) -> None:
        """``peers`` returns the other nodes that answer."""
        self._state = state
        self._check = check
        self._peers = peers
        self._failure_log = PeerFailureLog()

    async def refuses_peers(self, backend: Backend) -> bool:
        """Whether a back end refuses the connections of all peers that can tell; False if none can."""
        record = backend.record
        request = ConnectionCheckRequest(record.incarnation, record.started_unix_ms)
        peers = choose_witnesses(self._peers(), self._state.topology.zone, self._state.rng)
        results = await asyncio.gather(*(self._ask(peer, request) for peer in peers))
        return ConnectionResult.REFUSED in results and ConnectionResult.ACCEPTED not in results

    async def _ask(self, peer: PeerNode, request: ConnectionCheckRequest) -> ConnectionResult:
        link = PeerLink(peer.address, self._failure_log)
        try:
            return (await link.ask(request, ConnectionCheckReply, ANSWER_TIMEOUT_S)).result
        except PeerUnavailableError:
            return ConnectionResult.UNKNOWN  # Logged by the link.
        finally:
            link.close()

    async def answer_peer(self, request: ConnectionCheckRequest) -> ConnectionCheckReply:
        """Connect to a back end for a peer."""
        return ConnectionCheckReply(await self._connect(request))

    async def _connect(self, request: ConnectionCheckRequest) -> ConnectionResult:
        backend = self._state.backends.get(request.incarnation)
        if backend is None or backend.record.started_unix_ms != request.started_unix_ms:
            return ConnectionResult.UNKNOWN
        if await self._check.accepts_connections(backend.record):
            return ConnectionResult.ACCEPTED
        if await self._check.refuses_connections(backend.record):
            return ConnectionResult.REFUSED
        return ConnectionResult.UNKNOWN
