"""Sends each attempt directly, or through a peer if the request prefers that and a peer makes it."""

from __future__ import annotations

from wallwell.peer_attempts.client import NoPeerError, PeerAttemptClient
from wallwell.serving.messages import BackendAnswer, BackendClient, Dispatch


class AttemptPaths:
    """Implements :class:`wallwell.serving.messages.BackendClient` by the two ways to a back end."""

    def __init__(self, direct: BackendClient, peers: PeerAttemptClient) -> None:
        self._direct = direct
        self._peers = peers

    async def send(self, dispatch: Dispatch) -> BackendAnswer:
        """See :class:`wallwell.serving.messages.BackendClient`."""
        if dispatch.prefers_peers:
            try:
                return await self._peers.send(dispatch)
            except NoPeerError:
                dispatch.progress.found_no_peer = True
        return await self._direct.send(dispatch)
