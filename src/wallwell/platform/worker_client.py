"""Sends requests to workers and returns their answers.

Uses connections of a pool that probes, reports and orders share. :mod:`.worker_requests` encodes requests and
interprets answers. A transport failure is raised as an :class:`AttemptError`, which states whether the request can
have reached the worker.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec
from aiohttp.http_parser import RawResponseMessage

from wallwell.backend_connection import BackendConnection, ConnectionBrokenError
from wallwell.clock import boot_time_s
from wallwell.http_connection import ConnectFailedError, ConnectionPool
from wallwell.platform import names
from wallwell.platform.sentinels import Sentinels
from wallwell.platform.unframed_end import UnframedEnd
from wallwell.platform.worker_notices import deliver_notice
from wallwell.platform.worker_requests import attempt_failure, encode_request, has_answer_body, parse_answer_head
from wallwell.routing.health.backend_notice import NO_NOTICE, BackendNotices
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.messages import AnswerHead, AttemptError, Dispatch

CONNECT_TIMEOUT_S = 0.25
"""Timeout of connecting in seconds. Covers 40 ms of round trip to another region and queueing on the link between
regions. Each request sent to an unresponsive worker loses this much of its time."""
TCP_USER_TIMEOUT_S = 2.5
"""Seconds for which sent bytes may stay unacknowledged before the connection is closed. A sound worker may fall
silent for a second or so, and what runs there must not be given up for that."""


def make_worker_pool() -> ConnectionPool:
    """Return a new pool of connections to workers, which matches answers to requests by the request id."""
    return ConnectionPool(names.REQUEST_ID, CONNECT_TIMEOUT_S, TCP_USER_TIMEOUT_S)


def make_cache_store_pool() -> ConnectionPool:
    """Return a new pool of connections to KV stores. Answers carry no request id; each numbers what it contains, so
    that applying one twice, or the one before, changes nothing."""
    return ConnectionPool("", CONNECT_TIMEOUT_S, TCP_USER_TIMEOUT_S)


class WorkerAnswer:
    """An answer whose head has arrived. Closing it returns its connection to the pool."""

    def __init__(
        self,
        head: AnswerHead,
        connection: BackendConnection,
        dispatch: Dispatch,
        pool: ConnectionPool,
    ) -> None:
        self.head = head
        self._connection: BackendConnection | None = connection
        self._address = dispatch.backend.address
        self._pool = pool
        self.end: UnframedEnd | None = None
        """Judges the end of an answer without a length; None if the answer has one."""

    async def chunks(self) -> AsyncIterator[bytes]:
        """See :class:`wallwell.serving.messages.BackendAnswer`."""
        try:
            if self._connection is not None:
                async for data in self._connection.body():
                    yield data
        except ConnectionBrokenError as error:
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, str(error)) from error
        if self.end is not None:
            verdict = await self.end.verdict()
            if not verdict.is_whole:
                raise AttemptError(TransportEvent.RESET_AFTER_SEND, verdict.reason)

    def close(self) -> None:
        """See :class:`wallwell.serving.messages.BackendAnswer`."""
        if self.end is not None:
            self.end.cancel()
        if self._connection is not None:
            self._pool.release(self._address, self._connection)
            self._connection = None


class WorkerClient:
    """Sends attempts to workers. Implements :class:`wallwell.serving.messages.BackendClient`."""

    def __init__(self, pool: ConnectionPool, notices: BackendNotices) -> None:
        """``notices`` receives the notices that workers' answers contain."""
        self._pool = pool
        self._sentinels = Sentinels(pool)
        self._notices = notices

    async def send(self, dispatch: Dispatch) -> WorkerAnswer:
        """See :class:`wallwell.serving.messages.BackendClient`."""
        connection = await self._connect(dispatch)
        if not dispatch.may_send():
            self._pool.put_back(dispatch.backend.address, connection)
            raise AttemptError(TransportEvent.WITHDRAWN, "the back end may no longer get the request")
        sent_s = boot_time_s()
        message, head = await self._round_trip(connection, dispatch)
        failure = attempt_failure(message, head)
        notice = NO_NOTICE
        if failure is None or failure.event is not TransportEvent.FOREIGN_ANSWER:
            # Headers of a foreign answer, which the worker did not send, state nothing about the worker.
            from_worker = failure is None or failure.event is TransportEvent.BACKEND_OVERLOADED
            incarnation = dispatch.backend.incarnation
            notice = deliver_notice(self._notices, message, incarnation, sent_s if from_worker else None)
        head = msgspec.structs.replace(head, notice=notice)
        answer = WorkerAnswer(head, connection, dispatch, self._pool)
        if failure is not None:
            failure.notice = notice
            # Does not wait for the body, which may never arrive. The connection is reused if the body is complete.
            answer.close()
            raise failure
        if connection.body_ends_at_close:
            answer.end = UnframedEnd(self._pool, self._sentinels, dispatch, connection, head.is_event_stream)
        return answer

    async def _connect(self, dispatch: Dispatch) -> BackendConnection:
        dispatch.progress.connecting = True
        try:
            connection = await self._pool.acquire(
                dispatch.backend.address, dispatch.request.request_id, has_answer_body(dispatch.request)
            )
        except ConnectFailedError as error:
            event = TransportEvent.CONNECT_TIMEOUT if error.timed_out else TransportEvent.CONNECT_REFUSED
            raise AttemptError(event, str(error)) from error
        dispatch.progress.connecting = False
        return connection

    async def _round_trip(
        self, connection: BackendConnection, dispatch: Dispatch
    ) -> tuple[RawResponseMessage, AnswerHead]:
        request = dispatch.request
        dispatch.progress.connection = connection.number
        dispatch.progress.round_trip = connection.round_trips + 1
        try:
            message = await connection.round_trip(
                request.request_id, encode_request(dispatch), has_body=has_answer_body(request)
            )
            return message, parse_answer_head(message)
        except ConnectionBrokenError as error:
            self._pool.release(dispatch.backend.address, connection)
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, str(error)) from error
        except BaseException:
            # Also after a cancellation: closing the connection makes the worker stop processing the request.
            self._pool.release(dispatch.backend.address, connection)
            raise
