"""Client for workers' reports, which list their weights versions, and for orders to load other weights.

Owns the wire format of reports and orders and their timeout. Sends each order once; the weights roll decides about
further orders. See :class:`wallwell.placement.weights_roll_driver.EngineControl`.
"""

from __future__ import annotations

from http import HTTPStatus

import msgspec
from aiohttp.http_parser import RawResponseMessage

from wallwell.backend_connection import ConnectionBrokenError
from wallwell.deployment.backends import BackendRecord
from wallwell.events import Event, emit
from wallwell.http_connection import ConnectFailedError, ConnectionPool
from wallwell.number_ranges import Amount
from wallwell.placement.weights_roll import EngineReport, OrderReply, WeightsOrder
from wallwell.platform import names
from wallwell.platform.worker_notices import deliver_notice
from wallwell.routing.health.backend_notice import BackendNotices

CONTROL_TIMEOUT_S = 1.0
"""Timeout of one call in seconds, including connecting: a third of the lease under which orders are sent. Workers
answer reports and orders without waiting for a slot."""
LOAD_WEIGHTS_OP = "version"
"""Operation (``op``) of an order to load a version of a model's weights."""
KEEP_STREAMS_MODE = "retain"
"""Mode of an order with which streams in progress continue, using the new weights."""
MAX_FAILING_WORKERS = 1000
"""Maximum number of failing workers remembered to log each outage once; removes entries of ended workers."""


class ReportedModel(msgspec.Struct, frozen=True):
    """A model in a worker's report."""

    name: str
    version: Amount = 0
    """Version of the model's weights."""


class ReportBody(msgspec.Struct, frozen=True):
    """A worker's report. Its content may be some hundred milliseconds old."""

    models: tuple[ReportedModel, ...] = ()
    busy: bool = False
    """Whether the worker is executing an order; unrelated to its load."""
    seq: Amount = 0
    """Number of orders accepted since the worker's start, not a sequence number of the report."""


class OrderBody(msgspec.Struct, frozen=True):
    """JSON body of an order."""

    op: str
    model: str
    version: int
    mode: str
    """What the worker does with streams in progress."""
    holder: str
    """Node that holds the lease under which the order is sent."""
    fence: int
    """Fencing token of that lease; a worker refuses a token lower than the highest it has seen."""
    expect_rev: int
    """Number of orders that the worker must have accepted so far: ``seq`` of its report, not a revision."""


_ORDER_REPLIES: dict[int, OrderReply] = {
    HTTPStatus.OK: OrderReply.ALREADY_LOADED,
    HTTPStatus.ACCEPTED: OrderReply.ACCEPTED,
    HTTPStatus.CONFLICT: OrderReply.BUSY,
    HTTPStatus.PRECONDITION_FAILED: OrderReply.FENCED,
    HTTPStatus.BAD_REQUEST: OrderReply.REFUSED,
    HTTPStatus.MISDIRECTED_REQUEST: OrderReply.REFUSED,
}


class WorkerControl:
    """Requests reports from workers and sends orders to them."""

    def __init__(self, pool: ConnectionPool, notices: BackendNotices) -> None:
        """``notices`` receives the notices that workers' answers contain."""
        self._pool = pool
        self._notices = notices
        self._failing: dict[str, None] = {}
        """Incarnations whose calls fail, ordered by their first failure."""

    async def fetch_report(self, backend: BackendRecord) -> EngineReport | None:
        """Return a worker's report. Without a valid answer, log the failure and return None."""
        answer = await self._call("GET", names.REPORT_PATH, backend, b"")
        if answer is None:
            return None
        status, data = answer
        if status != HTTPStatus.OK:
            self._log_failure(backend, names.REPORT_PATH, f"status {status}")
            return None
        try:
            row = msgspec.json.decode(data, type=ReportBody)
        except (msgspec.MsgspecError, RecursionError) as error:
            self._log_failure(backend, names.REPORT_PATH, f"report cannot be decoded: {error}")
            return None
        self._failing.pop(backend.incarnation, None)
        versions = {model.name: model.version for model in row.models}
        return EngineReport(versions, row.busy, row.seq)

    async def send_order(self, backend: BackendRecord, order: WeightsOrder) -> OrderReply:
        """Order new weights; ``UNKNOWN`` if the worker may have accepted the order or may still do so."""
        body = OrderBody(
            op=LOAD_WEIGHTS_OP,
            model=order.model,
            version=order.version,
            mode=KEEP_STREAMS_MODE,
            holder=order.holder,
            fence=order.fence,
            expect_rev=order.expected_orders,
        )
        answer = await self._call("POST", names.ORDER_PATH, backend, msgspec.json.encode(body))
        if answer is None:
            return OrderReply.UNKNOWN
        status, _ = answer
        if status not in _ORDER_REPLIES:
            self._log_failure(backend, names.ORDER_PATH, f"status {status}")
            return OrderReply.UNKNOWN
        return _ORDER_REPLIES[status]

    async def _call(self, method: str, path: str, backend: BackendRecord, body: bytes) -> tuple[int, bytes] | None:
        """Send one request and return status and body; None if there was no answer."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {backend.address}\r\nContent-Length: {len(body)}\r\n"
        head += f"{names.EXPECT_INSTANCE}: {backend.incarnation}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"

        def on_head(message: RawResponseMessage) -> None:
            deliver_notice(self._notices, message, backend.incarnation)

        request = head.encode() + b"\r\n" + body
        try:
            return await self._pool.fetch(backend.address, request, CONTROL_TIMEOUT_S, on_head)
        except (ConnectFailedError, ConnectionBrokenError, TimeoutError) as error:
            self._log_failure(backend, path, f"{type(error).__name__}: {error}")
            return None

    def _log_failure(self, backend: BackendRecord, path: str, reason: str) -> None:
        """Log only the first failure since a report, as a weights roll polls a silent worker each second."""
        if backend.incarnation in self._failing:
            return
        self._failing[backend.incarnation] = None
        if len(self._failing) > MAX_FAILING_WORKERS:
            del self._failing[next(iter(self._failing))]
        emit(Event.ENGINE_CONTROL_FAILED, backend=backend.incarnation, call=path, error=reason)
