"""Client of one model engine: generation streams, cancellation, status and cache events, orders to load weights.

Maps each way an attempt can end to a transport event, and yields the events of a stream once and in order. Never
resends a request: the request handlers decide on retries. ``engine_protocol`` defines the wire format.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import aiohttp
import msgspec

from wallwell.answer_bounds import MAX_ANSWER_BYTES, AnswerTooLargeError, read_bounded
from wallwell.checked_connector import CheckedConnector
from wallwell.clock import time_limit
from wallwell.events import Event, emit
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.standalone.backends import engine_protocol as wire
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.task_wait import is_done_within

CONNECT_TIMEOUT_S = 1.0
"""Seconds to wait for a connection to be established."""
CANCEL_TIMEOUT_S = 1.0
"""Seconds to wait for an engine to confirm a cancellation. An unconfirmed attempt may have run."""
CANCEL_ID_SUFFIX = ".cancel"
"""Added to a generation's request id for the id of its cancellation."""
SNAPSHOT_TIMEOUT_S = 10.0
"""Seconds to wait for the complete list of an engine's cached blocks."""
MAX_EVENT_BYTES = 256 * 1024
"""Maximum size of an incomplete stream event; bounds the memory that one broken stream can use."""
MAX_LINE_BYTES = 4 * 1024 * 1024
"""Maximum size of an incomplete line of status, load or cache: some 390,000 blocks."""
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024
"""Maximum size of the list of an engine's cached blocks: some 25 million."""
_READ_BUFFER_BYTES = 64 * 1024
"""Read buffer of a connection to an engine; bounds what is buffered of a stream whose caller reads slowly."""

_REFUSAL_EVENTS = {
    wire.RefusalReason.INCARNATION: TransportEvent.PRECONDITION_REFUSED,
    wire.RefusalReason.WEIGHTS: TransportEvent.PRECONDITION_REFUSED,
    wire.RefusalReason.LEAVING: TransportEvent.BACKEND_LEAVING,
    wire.RefusalReason.LOADING: TransportEvent.BACKEND_OVERLOADED,
    wire.RefusalReason.OVERLOADED: TransportEvent.BACKEND_OVERLOADED,
}


@dataclass(frozen=True)
class GenerationCall:
    """One attempt at a generation. ``first_index`` is the index of the first token not received yet."""

    path: str
    attempt_id: str
    body: bytes
    cache_salt: int
    incarnation: str
    weights_version: str
    rank: int
    first_index: int
    first_token_timeout_s: float
    """Seconds without a first token after which the attempt counts as late."""
    stall_timeout_s: float
    max_first_token_wait_s: float = 0.0
    """Seconds after which a late attempt is always abandoned; values below the timeout are raised to it."""
    may_abandon: Callable[[], bool] = lambda: True
    """Called each time either timeout has passed again; returns whether to abandon the silent attempt."""
    max_stall_s: float = 0.0
    """Seconds after which a stalled stream is always abandoned; values below its timeout are raised to it."""


@dataclass
class GenerationHead:
    """Token counts of the prompt and the engine's incarnation, as stated in the response headers."""

    cached_tokens: int = 0
    prompt_tokens: int = 0
    incarnation: str = ""
    unreadable: list[str] = field(default_factory=list)
    """Headers whose number cannot be read; it counts as 0, as that of a header that is missing."""


class EngineClient:
    """HTTP client for the engine at ``address``."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._base = f"http://{address}"
        self._session = session

    async def generate(self, call: GenerationCall, head: GenerationHead) -> AsyncGenerator[bytes, None]:
        """Yield the stream's events in order, each once, without the terminal marker.

        Sets the fields of ``head`` before the first event. Returns after the engine's terminal marker; raises
        :class:`AttemptFailed` if the stream ends in any other way. Drops events below ``call.first_index``.
        """
        response = await self._open(call)
        try:
            head.cached_tokens = _read_count(response, wire.CACHED_TOKENS, head)
            head.prompt_tokens = _read_count(response, wire.PROMPT_TOKENS, head)
            head.incarnation = response.headers.get(wire.INCARNATION, "")
            async for event in self._ordered_events(response, call):
                yield event
        finally:
            # If unread data remains, this closes the connection, so that no other request reuses it.
            response.close()

    async def _open(self, call: GenerationCall) -> aiohttp.ClientResponse:
        headers = {
            "Content-Type": "application/json",
            wire.REQUEST_ID: call.attempt_id,
            wire.CACHE_SALT: wire.format_hash(call.cache_salt),
            wire.EXPECT_INCARNATION: call.incarnation,
            wire.EXPECT_WEIGHTS: call.weights_version,
            wire.PRIORITY_RANK: str(call.rank),
        }
        response = await self._receive_head(call, headers)
        _check_request_id(response, call.attempt_id)
        if response.status != HTTPStatus.OK:
            await self._raise_refusal(response, call)
        return response

    async def _receive_head(self, call: GenerationCall, headers: dict[str, str]) -> aiohttp.ClientResponse:
        """Send the request and wait for the response head, which the engine sends with the first token."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        pending_response = asyncio.ensure_future(
            self._session.post(self._base + call.path, data=call.body, headers=headers, timeout=timeout)
        )
        try:
            if not await wait_for_response_head(pending_response, call):
                # Cancel before closing: closing would also stop the work, but not tell whether it had started.
                state = await self.cancel(call.attempt_id)
                if state is wire.CancelState.NEVER_STARTED:
                    raise AttemptFailed(TransportEvent.CANCELLED_NEVER_STARTED, "no first token in time")
                raise AttemptFailed(TransportEvent.ANSWER_TIMEOUT, "no first token in time")
            return pending_response.result()
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL, UnicodeError) as error:
            # UnicodeError: a host name that cannot be looked up, or a header that cannot be encoded.
            raise AttemptFailed(TransportEvent.CONNECT_REFUSED, str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise AttemptFailed(TransportEvent.CONNECT_TIMEOUT) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # ValueError: a header cannot be written. A generation may run more than once, so it counts as sent.
            raise AttemptFailed(TransportEvent.RESET_AFTER_SEND, type(error).__name__) from error
        finally:
            if not pending_response.done():
                pending_response.cancel()

    async def _raise_refusal(self, response: aiohttp.ClientResponse, call: GenerationCall) -> None:
        try:
            async with response, time_limit(call.stall_timeout_s):
                payload = await read_bounded(response.content.iter_any(), MAX_ANSWER_BYTES)
        except (AnswerTooLargeError, aiohttp.ClientError, OSError) as error:
            raise AttemptFailed(TransportEvent.RESET_AFTER_SEND, type(error).__name__) from error
        try:
            reason = wire.decode(payload, wire.Refusal).reason
        except wire.EngineDataError:
            raise AttemptFailed(
                TransportEvent.ERROR_ANSWER, f"status {response.status}", response.status, payload
            ) from None
        raise AttemptFailed(_REFUSAL_EVENTS[reason], reason.value)

    async def _ordered_events(self, response: aiohttp.ClientResponse, call: GenerationCall) -> AsyncIterator[bytes]:
        expected = call.first_index
        async for event in self._split_events(response, call):
            if event.startswith(wire.DONE_EVENT):
                return
            try:
                event_id = wire.parse_event_id(event)
            except wire.EngineDataError as error:
                raise AttemptFailed(TransportEvent.FOREIGN_ANSWER, "invalid event id") from error
            if event_id is None or event_id.request_id != call.attempt_id:
                raise AttemptFailed(TransportEvent.FOREIGN_ANSWER, "event without an id or of another request")
            if event_id.token_index < expected:
                continue
            if event_id.token_index > expected:
                raise AttemptFailed(TransportEvent.RESET_AFTER_SEND, f"gap before token {event_id.token_index}")
            expected += 1
            yield event
        raise AttemptFailed(TransportEvent.RESET_AFTER_SEND, "stream ended without its terminal marker")

    async def _split_events(self, response: aiohttp.ClientResponse, call: GenerationCall) -> AsyncIterator[bytes]:
        """Yield the body's events, which end with a blank line."""
        buffer = b""
        while True:
            try:
                data = await _read_within_silence(response, call)
            except (aiohttp.ClientError, OSError) as error:
                raise AttemptFailed(TransportEvent.RESET_AFTER_SEND, type(error).__name__) from error
            if not data:
                return
            *events, buffer = (buffer + data).split(b"\n\n")
            if len(buffer) > MAX_EVENT_BYTES:
                raise AttemptFailed(TransportEvent.FOREIGN_ANSWER, "event too large")
            for event in events:
                yield event + b"\n\n"

    async def cancel(self, request_id: str) -> wire.CancelState | None:
        """Cancel a generation; returns how far it had come, None if the engine did not confirm."""
        body = msgspec.json.encode(wire.CancelRequest(request_id))
        # Not the generation's own id, so that no answer to the generation can be taken for this one.
        call_id = f"{request_id}{CANCEL_ID_SUFFIX}"
        try:
            async with self._session.post(
                self._base + "/cancel",
                data=body,
                headers={wire.REQUEST_ID: call_id},
                timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S),
            ) as response:
                _check_request_id(response, call_id)
                payload = await response.read()
            return wire.decode(payload, wire.CancelAnswer).state
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError, AttemptFailed) as error:
            emit(Event.ENGINE_CALL_FAILED, address=self._base, call="cancel", error=type(error).__name__)
            return None

    async def events(self, after: int, incarnation: str, idle_timeout_s: float) -> AsyncIterator[bytes]:
        """Yield the lines of status, load and cache events until the connection ends; the first is a status.

        ``after`` is the sequence number of the last event received from ``incarnation``; an engine of another
        incarnation ignores it. Raises aiohttp and timeout errors, and :class:`wire.EngineDataError` for a line
        that is too long.
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=idle_timeout_s)
        url = f"{self._base}/events?after={after}&incarnation={incarnation}"
        async with self._session.get(url, timeout=timeout) as response:
            buffer = b""
            async for data in response.content.iter_any():
                *lines, buffer = (buffer + data).split(b"\n")
                if len(buffer) > MAX_LINE_BYTES:
                    raise wire.EngineDataError(f"a line of more than {MAX_LINE_BYTES} bytes")
                for line in lines:
                    yield line

    async def snapshot(self) -> wire.CacheSnapshot:
        """Return all blocks the engine has cached.

        Raises aiohttp and timeout errors, and :class:`wire.EngineDataError`.
        """
        timeout = aiohttp.ClientTimeout(total=SNAPSHOT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        async with self._session.get(self._base + "/snapshot", timeout=timeout) as response:
            try:
                payload = await read_bounded(response.content.iter_any(), MAX_SNAPSHOT_BYTES)
            except AnswerTooLargeError as error:
                raise wire.EngineDataError(str(error)) from error
        return wire.decode(payload, wire.CacheSnapshot)

    async def send_load_order(self, order: wire.EngineLoadOrder, timeout_s: float) -> int:
        """Send an order to load weights; returns the HTTP status, 0 if there was no answer."""
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.post(
                self._base + "/orders", data=msgspec.json.encode(order), timeout=timeout
            ) as response:
                await response.read()
                return response.status
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            emit(Event.ENGINE_CALL_FAILED, address=self._base, call="order", error=type(error).__name__)
            return 0


def _read_count(response: aiohttp.ClientResponse, header: str, head: GenerationHead) -> int:
    """Return the number that a header states; notes in ``head`` if it is none."""
    try:
        return wire.parse_count(response.headers.get(header, "0"))
    except wire.EngineDataError:
        head.unreadable.append(header)
        return 0


def _check_request_id(response: aiohttp.ClientResponse, request_id: str) -> None:
    """Raise :class:`AttemptFailed` and close the connection if an answer belongs to another request."""
    if response.headers.get(wire.REQUEST_ID) == request_id:
        return
    response.close()
    raise AttemptFailed(TransportEvent.FOREIGN_ANSWER, "answer has another request id")


def client_session(limit_per_host: int = 0) -> aiohttp.ClientSession:
    """Return an HTTP session that never resends a request on its own and takes only HTTP answers.

    aiohttp resends idempotent methods when a kept-alive connection turns out to be closed. This would break the
    at-most-once guarantee for services that use PUT or DELETE, so it is disabled; the contract test of service
    calls checks this.
    """
    session = aiohttp.ClientSession(
        connector=CheckedConnector(limit=0, limit_per_host=limit_per_host),
        auto_decompress=False,
        read_bufsize=_READ_BUFFER_BYTES,
    )
    session._retry_connection = False
    return session


async def wait_for_response_head(pending_response: asyncio.Future[Any], call: GenerationCall) -> bool:
    """Wait for the response head; returns False if the attempt is to be abandoned before the head arrives."""
    remaining_s = max(call.max_first_token_wait_s, call.first_token_timeout_s)
    while remaining_s > 0:
        wait_s = min(call.first_token_timeout_s, remaining_s)
        if await is_done_within(pending_response, wait_s):
            return True
        remaining_s -= wait_s
        if call.may_abandon():
            return False
    return False


async def _read_within_silence(response: aiohttp.ClientResponse, call: GenerationCall) -> bytes:
    """Return the stream's next bytes. Raises :class:`AttemptFailed` if the stalled stream is to be abandoned."""
    remaining_s = max(call.max_stall_s, call.stall_timeout_s)
    while remaining_s > 0:
        try:
            # A read that is cancelled loses no bytes: they stay in the connection's buffer.
            async with time_limit(min(call.stall_timeout_s, remaining_s)):
                return await response.content.readany()
        except TimeoutError:
            remaining_s -= call.stall_timeout_s
        if call.may_abandon():
            break
    raise AttemptFailed(TransportEvent.ANSWER_TIMEOUT, "stream stalled")
