"""Asks peers to make the attempts that this node cannot make, and reads the answers that they pass on.

The asking node decides everything: which back end, how long, what follows a failure. The peer makes one attempt and
reports how it ended, so that the attempt counts here like one of this node's own. Owns no connection longer than
one attempt. Relies on :mod:`wallwell.routing.selection.peer_choice` for which peers are asked.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

import msgspec

from wallwell.answer_head import is_final_head
from wallwell.clock import boot_time_s, time_limit
from wallwell.cluster.peer_link import CONNECT_TIMEOUT_S, UNACKNOWLEDGED_TIMEOUT_S
from wallwell.errors import PeerUnavailableError
from wallwell.peer_attempts.messages import (
    MAX_REPLY_LINE_BYTES,
    AnswerData,
    AnswerEnded,
    AnswerStarted,
    AttemptDeclined,
    AttemptFailed,
    AttemptRequest,
    PeerNotice,
    Reply,
    decode_headers,
    decode_reply,
    encode_headers,
    encode_text,
)
from wallwell.routing.health.backend_notice import NO_NOTICE, BackendNotices
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.selection.peer_choice import PeerChoice, PeerNode
from wallwell.serving.messages import AnswerHead, AttemptError, Dispatch
from wallwell.socket_options import enable_keepalive


class NoPeerError(Exception):
    """No peer makes the attempt, so nothing was sent."""


class _PeerConnection:
    """One connection to a peer, for one attempt."""

    def __init__(self, peer: PeerNode, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._name = peer.name
        self._reader = reader
        self._writer = writer

    def write(self, line: bytes) -> None:
        self._writer.write(line)

    async def read(self) -> Reply:
        """Return the next message. Raises :class:`AttemptError` if there is none: the attempt may have run."""
        try:
            line = await self._reader.readuntil(b"\n")
            return decode_reply(line, self._name)
        except (OSError, EOFError, asyncio.LimitOverrunError, PeerUnavailableError) as error:
            self.close()
            detail = f"peer {self._name}: {type(error).__name__}"
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, detail) from error

    def close(self) -> None:
        self._writer.transport.abort()


class PeerAnswer:
    """An answer that a peer passes on. Implements :class:`wallwell.serving.messages.BackendAnswer`."""

    def __init__(self, head: AnswerHead, connection: _PeerConnection) -> None:
        self.head = head
        self._connection = connection

    async def chunks(self) -> AsyncIterator[bytes]:
        """See :class:`wallwell.serving.messages.BackendAnswer`."""
        while True:
            message = await self._connection.read()
            match message:
                case AnswerData():
                    yield message.data
                case AnswerEnded():
                    return
                case AttemptFailed():
                    raise _attempt_error(message)
                case _:
                    raise AttemptError(
                        TransportEvent.RESET_AFTER_SEND, f"{type(message).__name__} inside an answer"
                    )

    def close(self) -> None:
        """See :class:`wallwell.serving.messages.BackendAnswer`."""
        self._connection.close()


class PeerAttemptClient:
    """Has single attempts made by peers. Implements :class:`wallwell.serving.messages.BackendClient`."""

    def __init__(
        self, choice: PeerChoice, peers: Callable[[], Iterable[PeerNode]], notices: BackendNotices
    ) -> None:
        """``peers`` returns the other nodes that make attempts; ``notices`` receives what answers state about their
        back ends."""
        self._choice = choice
        self._peers = peers
        self._notices = notices

    async def send(self, dispatch: Dispatch) -> PeerAnswer:
        """Have one peer send the request once. Raises :class:`AttemptError`; :class:`NoPeerError` if none does."""
        backend = dispatch.backend
        for peer in self._choice.choose(self._peers(), backend.service, backend.zone, boot_time_s()):
            answer = await self._ask(peer, dispatch)
            if answer is not None:
                return answer
        raise NoPeerError

    async def _ask(self, peer: PeerNode, dispatch: Dispatch) -> PeerAnswer | None:
        """Return the answer that a peer passes on; None if it declined or cannot be connected to."""
        try:
            line = msgspec.json.encode(_message_of(dispatch)) + b"\n"
        except UnicodeEncodeError as error:
            raise NoPeerError from error  # A name in it is not valid UTF-8.
        connection = await self._connect(peer, dispatch)
        if connection is None:
            return None
        if not dispatch.may_send():
            connection.close()
            raise AttemptError(TransportEvent.WITHDRAWN, "the back end may no longer get the request")
        dispatch.progress.via_peer = peer.name
        sent_s = boot_time_s()
        connection.write(line)
        try:
            reply = await connection.read()
        except BaseException:
            connection.close()
            raise
        if isinstance(reply, AnswerStarted):
            try:
                head = _head_of(reply)
            except AttemptError:
                connection.close()
                raise
            self._deliver(dispatch, reply.notice, sent_s)
            return PeerAnswer(head, connection)
        connection.close()
        if isinstance(reply, AttemptFailed):
            self._deliver(dispatch, reply.notice, sent_s)
            raise _attempt_error(reply)
        if not isinstance(reply, AttemptDeclined):
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, f"{type(reply).__name__} before an answer")
        if reply.is_unreachable:
            self._choice.on_unreachable(peer.name, dispatch.backend.service, boot_time_s())
        dispatch.progress.via_peer = ""
        return None

    async def _connect(self, peer: PeerNode, dispatch: Dispatch) -> _PeerConnection | None:
        dispatch.progress.connecting = True
        try:
            async with time_limit(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    peer.address.host, peer.address.port, limit=MAX_REPLY_LINE_BYTES
                )
        except (OSError, TimeoutError):
            # Not logged here: the exchange of loads logs peers that do not answer.
            self._choice.on_silent(peer.name, boot_time_s())
            return None
        dispatch.progress.connecting = False
        enable_keepalive(writer.transport, UNACKNOWLEDGED_TIMEOUT_S)
        return _PeerConnection(peer, reader, writer)

    def _deliver(self, dispatch: Dispatch, received: PeerNotice, sent_s: float) -> None:
        """Apply a notice here as well: this node passes the answer on too, and may reach the back end again."""
        notice = received.notice(sent_s)
        if notice != NO_NOTICE:
            self._notices.on_notice(dispatch.backend.incarnation, notice)


def _message_of(dispatch: Dispatch) -> AttemptRequest:
    request = dispatch.request
    return AttemptRequest(
        incarnation=dispatch.backend.incarnation,
        started_unix_ms=dispatch.backend.started_unix_ms,
        request_id=request.request_id,
        host=request.host,
        method=request.method,
        target=encode_text(request.target),
        headers=encode_headers(request.headers),
        credential=encode_text(request.credential),
        body=request.body,
        age_s=boot_time_s() - request.arrived_s,
        remaining_s=dispatch.remaining_s,
        resume_after=dispatch.resume_after,
        required_software=dispatch.required_software,
        generation=request.generation,
        configuration=dispatch.cache.configuration if dispatch.cache is not None else 0,
        cache_group=dispatch.cache.group if dispatch.cache is not None else "",
    )


def _head_of(reply: AnswerStarted) -> AnswerHead:
    """Return the head that a peer passes on. Raises :class:`AttemptError` if no final answer may have it."""
    if not is_final_head(reply.status, reply.headers):
        detail = f"the peer's word of an answer with status {reply.status} that HTTP does not allow"
        raise AttemptError(TransportEvent.RESET_AFTER_SEND, detail)
    return AnswerHead(reply.status, decode_headers(reply.headers), reply.weights_version, reply.is_event_stream)


def _attempt_error(failed: AttemptFailed) -> AttemptError:
    try:
        event = TransportEvent(failed.event)
    except ValueError:
        event = TransportEvent.RESET_AFTER_SEND  # Unknown to this version: the attempt may have run.
    return AttemptError(event, failed.detail, failed.weights_version)
