"""The answer to a node for which this one makes an attempt, as the serving of requests replies to a caller."""

from __future__ import annotations

from wallwell.cluster.peer_link import ReplyStream
from wallwell.errors import RequestError
from wallwell.peer_attempts.messages import (
    MAX_DATA_BYTES,
    AnswerData,
    AnswerEnded,
    AnswerStarted,
    AttemptFailed,
    PeerNotice,
    encode_headers,
)
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.messages import AnswerHead


class PeerReply:
    """The answer to the asking node. Implements :class:`wallwell.serving.messages.CallerReply`."""

    def __init__(self, replies: ReplyStream) -> None:
        self._replies = replies
        self.started = False

    def is_caller_gone(self) -> bool:
        """Whether the asking node has closed the connection."""
        return self._replies.is_disconnected()

    def is_cut_by_stop(self) -> bool:
        """Never: the asking node reports what becomes of its request."""
        return False

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        """Send a complete answer."""
        await self.start(head)
        await self.write(body)
        await self.finish()

    async def refuse(self, error: RequestError) -> None:
        """Send an error of this node: nothing was sent to a back end."""
        await self._replies.send(AttemptFailed(TransportEvent.WITHDRAWN.value, error.detail))

    async def start(self, head: AnswerHead) -> None:
        """Send the head of an answer."""
        self.started = True
        headers = encode_headers(head.headers)
        notice = PeerNotice.of(head.notice)
        await self._replies.send(
            AnswerStarted(head.status, headers, head.weights_version, head.is_event_stream, notice)
        )

    async def write(self, data: bytes) -> None:
        """Send part of the body; waits while the asking node reads slowly."""
        for start in range(0, len(data), MAX_DATA_BYTES):
            await self._replies.send(AnswerData(data[start : start + MAX_DATA_BYTES]))

    async def finish(self) -> None:
        """Send the end of the body."""
        await self._replies.send(AnswerEnded())

    def abort(self) -> None:
        """Close the connection, so that the answer cannot look complete."""
        self._replies.abort()
