"""Asks other nodes whether a back end refuses their connections too, and answers them.

A node whose connections are refused cannot distinguish a back end that has ended from a failure of its own links to
it; nodes elsewhere can. They are asked only about back ends that refused this node twice after an attempt broke.

Owns no state. Relies on the members' rows for which nodes answer, and on
:mod:`wallwell.routing.selection.peer_choice` for which of them are asked.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from wallwell.cluster.peer_link import PeerFailureLog, PeerLink, PeerMessage
from wallwell.errors import PeerUnavailableError
from wallwell.node.crash_probe import ConnectionResult, CrashCheck
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.peer_choice import PeerNode, choose_witnesses

ANSWER_TIMEOUT_S = 0.5
"""Seconds within which a peer must answer: it makes one connection, which takes up to 0.25 s."""


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

    async def refuses_peers(self, backend: Backend) -> bool | None:
        """Whether a back end refuses the connections of all peers that know; None if none does."""
        record = backend.record
        request = ConnectionCheckRequest(record.incarnation, record.started_unix_ms)
        peers = choose_witnesses(self._peers(), self._state.topology.zone, self._state.rng)
        results = await asyncio.gather(*(self._ask(peer, request) for peer in peers))
        if ConnectionResult.ACCEPTED in results:
            return False
        return True if ConnectionResult.REFUSED in results else None

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
        backend = self._state.backends.get(request.incarnation)
        if backend is None or backend.record.started_unix_ms != request.started_unix_ms:
            return ConnectionCheckReply(ConnectionResult.UNKNOWN)
        return ConnectionCheckReply(await self._check.connect(backend.record))
