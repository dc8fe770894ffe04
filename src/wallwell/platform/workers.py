"""Client of the platform's workers: dispatches, orders and reports in their wire format."""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec
from aiohttp.http_parser import RawResponseMessage

from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.topology import ONE_REGION, Distance, Topology
from wallwell.http_connection import (
    BackendConnection,
    ConnectFailedError,
    ConnectionBrokenError,
    ConnectionPool,
)
from wallwell.placement.weights_roll import EngineReport, OrderReply, WeightsOrder
from wallwell.platform import names
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.messages import AnswerHead, AttemptError, Dispatch

CONNECT_TIMEOUT_S = 0.25
REACHABLE_TIMEOUT_S = 0.12
"""How long a machine is given to answer a connection's first packet; more than the longest way within a region."""
FAR_REACHABLE_TIMEOUT_S = 0.25
"""The same in another region: 40 ms there and back, and what may stand in the queue of the link between them."""
USER_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 1.0
MAX_PRIORITY = 9
MISDIRECTED = 421
ORDER_MODE = "retain"
"""Mode of orders under which the streams under way go on."""
STATUSES_THAT_PROMISE = frozenset((408, 421, 429, 503))
"""Statuses that tell a caller that nothing ran; a worker's own use of them proves that only with its header."""


class WorkerAnswer:
    """An answer on one connection; the connection goes back to the pool when it has ended."""

    def __init__(
        self,
        head: AnswerHead,
        connection: BackendConnection,
        address: str,
        pool: ConnectionPool,
    ) -> None:
        self.head = head
        self._connection: BackendConnection | None = connection
        self._address = address
        self._pool = pool

    async def chunks(self) -> AsyncIterator[bytes]:
        """See :class:`wallwell.serving.messages.BackendAnswer`."""
        try:
            if self._connection is not None:
                async for data in self._connection.body():
                    yield data
        except ConnectionBrokenError as error:
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, str(error)) from error

    def close(self) -> None:
        """See :class:`wallwell.serving.messages.BackendAnswer`."""
        if self._connection is not None:
            self._pool.release(self._address, self._connection)
            self._connection = None


class WorkerClient:
    """Sends requests, orders and report calls to workers."""

    def __init__(self, places: Topology = ONE_REGION) -> None:
        self._places = places
        self.pool = ConnectionPool(names.REQUEST_ID, CONNECT_TIMEOUT_S, USER_TIMEOUT_S)

    async def send(self, dispatch: Dispatch) -> WorkerAnswer:
        """See :class:`wallwell.serving.messages.BackendClient`."""
        address = dispatch.backend.address
        dispatch.progress.connecting = True
        try:
            connection = await self.pool.acquire(address)
            dispatch.progress.connecting = False
        except ConnectFailedError as error:
            event = TransportEvent.CONNECT_TIMEOUT if error.timed_out else TransportEvent.CONNECT_REFUSED
            raise AttemptError(event, str(error)) from error
        try:
            request = dispatch.request
            message = await connection.exchange(
                request.request_id, _encode(dispatch), has_body=request.method != "HEAD"
            )
            head = _answer_head(message)
        except ConnectionBrokenError as error:
            self.pool.release(address, connection)
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, str(error)) from error
        except BaseException:
            self.pool.release(address, connection)
            raise
        answer = WorkerAnswer(head, connection, address, self.pool)
        failure = _failure(message, head)
        if failure is not None:
            # A refusal's body may never come. The connection is kept if it came together with the head.
            answer.close()
            raise failure
        return answer

    async def is_reachable(self, backend: BackendRecord) -> bool:
        """See :class:`wallwell.serving.liveness.ReachabilityCheck`; the connection serves the next request."""
        failure = await self._knock(backend)
        return failure is None or not failure.timed_out

    async def is_refused(self, backend: BackendRecord) -> bool:
        """See :class:`wallwell.node.crash_probe.CrashCheck`; a connection that is made is kept."""
        if self.pool.has_resting(backend.address):
            return False  # The end of its process would have reset it.
        failure = await self._knock(backend)
        return failure is not None and failure.refused

    async def _knock(self, backend: BackendRecord) -> ConnectFailedError | None:
        """Make a connection that the next exchange uses; returns why there is none."""
        is_far = self._places.distance(backend.zone) is Distance.OTHER_REGION
        try:
            timeout_s = FAR_REACHABLE_TIMEOUT_S if is_far else REACHABLE_TIMEOUT_S
            await self.pool.open_resting(backend.address, timeout_s)
        except ConnectFailedError as error:
            return error
        return None

    # --- orders ----------------------------------------------------------------------------------------

    async def report(self, backend: BackendRecord) -> EngineReport | None:
        """Return what a worker says of itself, None without an answer."""
        status, data = await self._control("GET", names.REPORT_PATH, backend, b"")
        if status != 200:
            return None
        try:
            row = msgspec.json.decode(data, type=ReportRow)
        except msgspec.MsgspecError:
            return None
        versions = {model.name: model.version for model in row.models}
        return EngineReport(versions, row.busy, row.seq)

    async def order(self, backend: BackendRecord, order: WeightsOrder) -> OrderReply:
        """Order new weights; the reply says what is known of the order."""
        body = msgspec.json.encode(
            OrderBody(
                "version", order.model, order.version, ORDER_MODE, order.holder, order.fence, order.expected_orders
            )
        )
        status, _ = await self._control("POST", names.ORDER_PATH, backend, body)
        return _ORDER_REPLIES.get(status, OrderReply.UNKNOWN)

    async def _control(self, method: str, path: str, backend: BackendRecord, body: bytes) -> tuple[int, bytes]:
        """Make one control call; status 0 means that there was no answer."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {backend.address}\r\nContent-Length: {len(body)}\r\n"
        head += f"{names.EXPECT_INSTANCE}: {backend.incarnation}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
        try:
            return await self.pool.fetch(backend.address, head.encode() + b"\r\n" + body, CONTROL_TIMEOUT_S)
        except (ConnectFailedError, ConnectionBrokenError, TimeoutError):
            return 0, b""


class ModelRow(msgspec.Struct, frozen=True):
    """A model in a report."""

    name: str
    version: int = 0


class ReportRow(msgspec.Struct, frozen=True):
    """A worker's report."""

    models: tuple[ModelRow, ...] = ()
    busy: bool = False
    seq: int = 0


class OrderBody(msgspec.Struct, frozen=True):
    """An order's body."""

    op: str
    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expect_rev: int


_ORDER_REPLIES = {
    200: OrderReply.IN_PLACE,
    202: OrderReply.ACCEPTED,
    409: OrderReply.BUSY,
    412: OrderReply.FENCED,
    400: OrderReply.REFUSED,
    421: OrderReply.REFUSED,
}


def _encode(dispatch: Dispatch) -> bytes:
    """Return the whole request as sent to the worker."""
    request = dispatch.request
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    lines.append(f"{names.REQUEST_ID}: {request.request_id}")
    lines.append(f"{names.DEADLINE_MS}: {max(1, int(dispatch.remaining_s * 1000))}")
    lines.append(f"{names.EXPECT_INSTANCE}: {dispatch.backend.incarnation}")
    if dispatch.tenant:
        lines.append(f"{names.TENANT}: {dispatch.tenant}")
    if request.generation is not None:
        lines.append(f"{names.PRIORITY}: {min(MAX_PRIORITY, max(0, dispatch.rank))}")
    if dispatch.expected_version:
        lines.append(f"{names.EXPECT_VERSION}: {dispatch.expected_version}")
    if dispatch.resume_after is not None:
        lines.append(f"{names.RESUME_AFTER}: {dispatch.resume_after}")
    cache = dispatch.cache
    if cache is not None:
        lines.append(f"{names.CACHE_SALT}: {cache.scope}")
        if cache.fetch_from:
            lines.append(f"{names.KV_FETCH}: {cache.fetch_from}")
        if cache.save_to:
            lines.append(f"{names.KV_SAVE}: {cache.save_to}")
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + b"\r\n\r\n" + request.body


def _answer_head(message: RawResponseMessage) -> AnswerHead:
    headers = tuple(
        (name, value)
        for name, value in message.headers.items()
        if name.lower() not in names.HOP_BY_HOP and name.lower() != names.INSTANCE_ID.lower()
    )
    version = message.headers.get(names.WEIGHT_VERSION, "")
    content_type = message.headers.get("Content-Type", "")
    return AnswerHead(
        status=message.code,
        headers=headers,
        weights_version=int(version) if version.isdigit() else 0,
        is_event_stream=content_type.startswith(names.EVENT_STREAM),
    )


def _failure(message: RawResponseMessage, head: AnswerHead) -> AttemptError | None:
    """Return how the attempt failed, None if this is the worker's answer to the request."""
    if message.code == MISDIRECTED:
        return AttemptError(TransportEvent.PRECONDITION_REFUSED, "421", head.weights_version)
    if names.NOT_RUN in message.headers:
        return AttemptError(TransportEvent.BACKEND_OVERLOADED, str(message.code))
    if message.code in STATUSES_THAT_PROMISE:
        return AttemptError(TransportEvent.CANCEL_UNACKNOWLEDGED, f"{message.code} without proof")
    if "Content-Encoding" in message.headers:
        return AttemptError(TransportEvent.FOREIGN_ANSWER, "encoded body")
    if head.ok and names.SEAL not in message.headers:
        return AttemptError(TransportEvent.FOREIGN_ANSWER, "no seal")
    return None
