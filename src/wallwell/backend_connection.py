"""An HTTP/1.1 connection to a back end that uses aiohttp's parser but not its client session.

aiohttp's session hides what the request pipeline must know: whether a request can have reached the back end,
whether a body without a length ended cleanly or by a reset, and whether bytes arrived that belong to no request.
Here each round trip matches its answer by request id, answers to other requests are discarded, and a connection
that received unexpected bytes is not reused. :mod:`wallwell.answer_head` checks heads, since the parser takes more
for an answer than the protocol allows. A back end may send an answer a second time, at any later moment, and
all attempts of a request have the same id. So a connection carries each id only once, and an answer with that id
belongs to that one sending. :mod:`wallwell.http_connection` opens, pools and closes connections.
"""

from __future__ import annotations

import asyncio
import itertools
from array import array
from collections.abc import AsyncIterator, Callable

from aiohttp.base_protocol import BaseProtocol
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from wallwell.answer_boundaries import AnswerBoundaries
from wallwell.answer_bounds import MAX_PIECES_PER_READ, RoundTripBounds
from wallwell.answer_head import MIN_FINAL_STATUS, MalformedAnswerError, parse_header_number
from wallwell.clock import boot_time_s
from wallwell.discarded_answers import Discarded, DiscardReason
from wallwell.read_gaps import ReadGaps

READ_BUFFER_BYTES = 32 * 1024
"""Bytes of a body that are buffered before reading from the socket pauses: enough for several events of a stream,
and little memory for each of some hundred connections."""
MAX_HEADER_BYTES = 32 * 1024
"""Maximum bytes of a status line or a header, the same as for callers' requests."""
DEFAULT_MAX_IDLE_S = 4.0
"""Seconds for which an idle connection may be reused if the back end states no keep-alive time-out: less than the
five seconds after which many servers close idle connections."""
IDLE_MARGIN_S = 0.8
"""Seconds before the back end's own idle time-out at which a connection is no longer reused, so that no request is
sent while the back end closes the connection. Back ends state the time-out in whole seconds."""

MAX_IDS = 256
"""Request ids after which a connection is not reused, as it remembers them all: 2 KB at most."""

_connection_numbers = itertools.count(1)


class ConnectionBrokenError(Exception):
    """The connection ended before the complete answer had arrived, so the request may have run."""


class BackendConnection(BaseProtocol):
    """A connection that carries one round trip at a time."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, id_header: str, on_discarded: Callable[[Discarded], None]
    ) -> None:
        """``id_header`` is the name of the answer's header that carries the request id; if it is empty, answers are
        not matched and ids not remembered. ``on_discarded`` is called for what answers no request."""
        super().__init__(loop)
        self.number = next(_connection_numbers)
        """Tells the connections of this process apart in logs."""
        self.round_trips = 0
        """Requests that were sent on the connection."""
        self._id_header = id_header
        self._on_discarded = on_discarded
        self._carried_ids = array("q")
        """Hashes of the request ids that were sent on the connection."""
        self._expected_id: str | None = None
        self._head: asyncio.Future[RawResponseMessage] | None = None
        """Resolves to the answer's head; None outside a round trip."""
        self._boundaries = AnswerBoundaries(has_body=True)
        self._payload: StreamReader | None = None
        self._is_dropping = False
        self._discarded_body: StreamReader | None = None
        """Body of the last discarded answer, which may still be arriving."""
        self._body_ends_at_close = False
        """Whether the body has no stated length, so that it ends where the connection is closed."""
        self._must_close = False
        """Whether the connection must not be reused for another round trip."""
        self._body_error = ""
        """Why the body is incomplete; empty while no error has occurred."""
        self._bounds = RoundTripBounds()
        self._read_gaps = ReadGaps()
        self.opened_s = 0.0
        """Boot time at which the connection was opened."""
        self.closed_s: float | None = None
        """Boot time at which its close was read, or at which this node closed it; None while it is open."""
        self.ended_by_peer = False
        """Whether the back end's side ended the connection; False if this node closed it, or it is open."""
        self._is_closed = asyncio.Event()
        self.timed_out = False
        """Whether the connection ended because the back end no longer acknowledged packets."""
        self.idle_since_s = 0.0
        """Boot time of the end of the last round trip, or of the opening if there was none."""
        self.max_idle_s = DEFAULT_MAX_IDLE_S

    @property
    def body_ends_at_close(self) -> bool:
        """Whether the answer has neither a length nor chunks, so that it ends with its connection."""
        return self._body_ends_at_close

    @property
    def closed(self) -> bool:
        """Whether the connection has been closed, by either side."""
        return self.closed_s is not None

    async def wait_closed(self) -> None:
        """Return once the connection has been closed, by either side."""
        await self._is_closed.wait()

    def _on_closed(self) -> None:
        if self.closed_s is None:
            self.closed_s = boot_time_s()
            self._is_closed.set()

    @property
    def unread_since_s(self) -> float | None:
        """Since when the connection's close may have waited to be read; None if it was read as it came."""
        return self._read_gaps.unread_since_s()

    @property
    def was_paused(self) -> bool:
        """Whether reading has been paused in this round trip, so that the system may hold more than was read."""
        return self._read_gaps.was_paused

    def is_reusable(self, now_s: float) -> bool:
        """Whether an idle connection may carry another round trip at boot time ``now_s``."""
        if self.closed or self._must_close or len(self._carried_ids) >= MAX_IDS:
            return False
        return now_s - self.idle_since_s < self.max_idle_s

    def may_carry(self, request_id: str, has_body: bool) -> bool:
        """Whether the connection may carry a request with this id; ``has_body``: whether its answer has a body.

        An id must not have been sent on it before, nor may a second request without an id: a late copy of the
        first answer could be taken for the second. Two ids of the same hash only cost a connection. A request whose
        answer has no body must be the first: the parser would read the copy of an earlier answer without its body.
        """
        if not has_body and self.round_trips:
            return False
        return hash(request_id) not in self._carried_ids

    # --- round trip ------------------------------------------------------------------------------------

    async def round_trip(self, request_id: str, data: bytes, has_body: bool = True) -> RawResponseMessage:
        """Send a request and return the head of its answer; :meth:`body` then yields the body.

        The answer must carry ``request_id``; if that is empty, no id of an earlier request. :meth:`may_carry` must
        allow the request. Raises :class:`ConnectionBrokenError`.
        """
        if self.transport is None or self.closed:
            raise ConnectionBrokenError("closed before sending")
        self.round_trips += 1
        if self._id_header:
            self._carried_ids.append(hash(request_id))
        self._expected_id = request_id
        self._head = self._loop.create_future()
        self._payload = None
        self._body_ends_at_close = False
        self._body_error = ""
        self._bounds = RoundTripBounds()
        self._boundaries = AnswerBoundaries(has_body)
        if not has_body:
            self._must_close = True
        self._parser = self._new_parser(has_body)
        self._read_gaps.on_sent(boot_time_s())
        self.transport.write(data)
        return await self._head

    def _new_parser(self, has_body: bool) -> HttpResponseParser:
        return HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            payload_exception=ClientPayloadError,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the answer's body as they arrive.

        If the body ends early, yields all that had arrived and then raises :class:`ConnectionBrokenError`.
        """
        payload = self._payload
        assert payload is not None
        try:
            while data := await payload.readany():
                yield data
        except ClientPayloadError as error:
            raise ConnectionBrokenError(str(error)) from error
        if self._body_error:
            raise ConnectionBrokenError(self._body_error)

    def finish_round_trip(self) -> bool:
        """End the round trip, complete or not; return whether the connection may be reused."""
        payload = self._payload
        ended = payload is not None and payload.is_eof() and payload.exception() is None and not self._body_error
        self._head = None
        self._payload = None
        self._expected_id = None
        self._parser = None
        if not ended or self._must_close or self._body_ends_at_close:
            self.close()
            return False
        self.idle_since_s = boot_time_s()
        return not self.closed

    def close(self) -> None:
        """Close the connection at once, which makes the back end cancel the connection's request."""
        self._on_closed()
        if self.transport is not None:
            self.transport.abort()

    # --- asyncio.Protocol --------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record when the connection was opened; it is idle from then on."""
        self.opened_s = self.idle_since_s = boot_time_s()
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes that arrive outside a round trip close the connection."""
        if self._parser is None:
            if self._head is None and data:
                self._report_discarded(DiscardReason.OUTSIDE_A_ROUND_TRIP)
                self.close()
            return
        if data:  # Empty when reading goes on after a pause.
            self._read_gaps.on_read(boot_time_s())
        try:
            self._parse_pieces(data)
        except MalformedAnswerError as error:
            self._reject(str(error))

    def _parse_pieces(self, data: bytes) -> None:
        """Parse bytes of a round trip, up to one boundary between heads and bodies at a time.

        The parser forgets the answers in its input if something after them is none, so that a whole answer would be
        lost with the bytes that follow it. Raises :class:`MalformedAnswerError`.
        """
        start = 0
        for _ in range(MAX_PIECES_PER_READ):
            end, may_hold_head = len(data), True
            if self._awaits_head():
                may_hold_head = not self._boundaries.is_in_body
                end = self._boundaries.next_end(data, start)
            self._parse(data[start:end], may_hold_head)
            if end == len(data) or self._parser is None or self.closed:
                return
            start = end
        raise MalformedAnswerError("more heads and bodies than precede an answer")

    def _awaits_head(self) -> bool:
        return self._head is not None and not self._head.done()

    def _parse(self, data: bytes, may_hold_head: bool) -> None:
        """Parse bytes of a round trip; ``may_hold_head``: whether a checked head may end in them.

        Raises :class:`MalformedAnswerError`.
        """
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except Exception as error:
            # Bytes of a body are not quoted.
            received = data if may_hold_head and self._awaits_head() else b""
            raise MalformedAnswerError(type(error).__name__, received) from error
        if messages and not may_hold_head:
            raise MalformedAnswerError("no boundary before a head")
        if upgraded:
            self._must_close = True
        for message, payload in messages:
            self._on_message(message, payload)
        self._drop_discarded_body()
        self._bounds.on_received(len(data))
        if self._bounds.is_exceeded(self._payload, self._discarded_body):
            raise MalformedAnswerError("more bytes than an answer has, and none that end it")

    def _reject(self, detail: str) -> None:
        """Close the connection, since received bytes are no answer; what was whole before them stays whole."""
        self._report_discarded(DiscardReason.NOT_AN_ANSWER, detail=detail)
        self._fail(ConnectionBrokenError(f"not an HTTP answer: {detail}"))
        self.close()

    def _on_message(self, message: RawResponseMessage, payload: StreamReader) -> None:
        if message.code < MIN_FINAL_STATUS:
            self._bounds.on_unused_message()
            return  # An interim (1xx) answer; the final answer follows.
        head = self._head
        if head is None or head.done():
            self._discard(DiscardReason.SECOND_ANSWER, message, payload)
            return
        if self._is_answer_to_another(message.headers.get(self._id_header, "")):
            self._discard(DiscardReason.ANOTHER_REQUEST, message, payload)
            return
        if message.should_close:
            self._must_close = True
        length_known = message.chunked or "Content-Length" in message.headers
        self._body_ends_at_close = not length_known and payload is not EMPTY_PAYLOAD
        self._read_keep_alive(message.headers.get("Keep-Alive", ""))
        self._payload = payload
        self._read_gaps.on_head(boot_time_s())
        head.set_result(message)

    def _is_answer_to_another(self, answer_id: str) -> bool:
        """Whether an answer with this id, empty if it has none, belongs to another request than the awaited one.

        Where that has no id, an answer may have any but those of the connection's earlier requests: a back end, or
        what stands before it, may give an id to requests that come without.
        """
        if not self._id_header:
            return False
        if self._expected_id:
            return answer_id != self._expected_id
        return bool(answer_id) and hash(answer_id) in self._carried_ids

    def _drop_discarded_body(self) -> None:
        """Drop what has arrived of a discarded body: a full buffer would stop the reading of the awaited answer."""
        if self._is_dropping:
            return  # Reading from the body lets the parser go on, which ends here again.
        self._is_dropping = True
        try:
            while (body := self._discarded_body) is not None and self._drop_some(body):
                pass
        finally:
            self._is_dropping = False

    def _drop_some(self, body: StreamReader) -> bool:
        """Drop what has arrived of a body; return whether there was something."""
        dropped = body.read_nowait() if body.exception() is None else b""
        if body is self._discarded_body and (body.is_eof() or body.exception() is not None):
            self._forget_discarded_body()
            self._boundaries.on_body_ended()
        return bool(dropped)

    def _forget_discarded_body(self) -> None:
        if self._discarded_body is not None:
            self._bounds.on_discarded_body(self._discarded_body)
        self._discarded_body = None

    def _discard(self, reason: DiscardReason, message: RawResponseMessage, payload: StreamReader) -> None:
        """Discard an answer; the awaited one may follow, but nothing else on this connection."""
        self._must_close = True
        self._bounds.on_unused_message()
        self._forget_discarded_body()
        self._discarded_body = payload
        self._report_discarded(reason, message.headers.get(self._id_header, ""), message.code)

    def _report_discarded(
        self, reason: DiscardReason, answer_id: str = "", status: int = 0, detail: str = ""
    ) -> None:
        expected_id = self._expected_id or ""
        self._on_discarded(Discarded(reason, self.number, self.round_trips, expected_id, answer_id, status, detail))

    def _read_keep_alive(self, keep_alive: str) -> None:
        for parameter in keep_alive.split(","):
            name, _, value = parameter.strip().partition("=")
            timeout_s = parse_header_number(value) if name.lower() == "timeout" else None
            if timeout_s is not None:
                self.max_idle_s = max(0.0, timeout_s - IDLE_MARGIN_S)

    def pause_reading(self) -> None:
        """Pause reading while the caller reads slowly."""
        self._read_gaps.on_paused(boot_time_s())
        super().pause_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """A clean close completes a body without a stated length; any other loss breaks the round trip."""
        self.ended_by_peer = not self.closed
        self._on_closed()
        self._read_gaps.on_read(boot_time_s())
        self.timed_out = isinstance(exc, TimeoutError)
        detail = f"connection lost: {type(exc).__name__ if exc else 'closed'}"
        if self._body_ends_at_close and exc is None and self._payload is not None:
            self._payload.feed_eof()
        self._fail(ConnectionBrokenError(detail))
        super().connection_lost(exc)

    def _fail(self, error: ConnectionBrokenError) -> None:
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
        payload = self._payload
        if payload is not None and not payload.is_eof() and payload.exception() is None:
            # An exception set on the reader would hide the bytes that have arrived but were not read yet.
            self._body_error = str(error)
            payload.feed_eof()
