"""Reports and orders to workers that fail or give invalid answers: the results, and what is logged."""

from __future__ import annotations

import json

import msgspec
import pytest
from aiohttp import HttpVersion11
from aiohttp.http_parser import RawResponseMessage
from loguru import logger
from multidict import CIMultiDict, CIMultiDictProxy

from tests.hostile_messages import drawn_bytes, hostile_messages
from wallwell.backend_connection import ConnectionBrokenError
from wallwell.deployment.backends import BackendRecord
from wallwell.events import Event
from wallwell.http_connection import ConnectFailedError
from wallwell.placement.weights_roll import OrderReply, WeightsOrder
from wallwell.platform import worker_orders
from wallwell.platform.worker_orders import ReportBody, WorkerControl
from wallwell.routing.health.backend_notice import BackendNotice, BackendNotices

REPORT = (200, json.dumps({"models": [{"name": "m", "version": 3}], "busy": True, "seq": 2}).encode())
ORDER = WeightsOrder("m", 4, "n1", 8, 2)
FAILURES = [
    ConnectFailedError(True, "no connection in 0.25 s"),
    ConnectionBrokenError("connection lost: closed"),
    TimeoutError(),
    (503, b""),
    (200, b"no report"),
]


class ScriptedPool:
    """Answers each call with the next item of a list; raises the item if it is an exception."""

    def __init__(self, *script):
        self.script = list(script)

    async def fetch(self, address, request, timeout_s, on_head=None):
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.fixture
def failures():
    """Log fields (back end, call, error) of each failed call."""
    lines = []

    def collect(message):
        fields = message.record["extra"]
        if fields.get("event") == Event.ENGINE_CONTROL_FAILED.number:
            lines.append((fields["backend"], fields["call"], fields["error"]))

    sink = logger.add(collect, level="INFO", format="{message}")
    yield lines
    logger.remove(sink)


def record(incarnation="i-1"):
    return BackendRecord(incarnation, "svc", "10.0.0.1:80", "z", 8)


@pytest.mark.parametrize("failure", FAILURES, ids=str)
def test_failed_report_returns_none_and_logs_the_reason(run_async, failures, failure):
    assert run_async(WorkerControl(ScriptedPool(failure), BackendNotices()).fetch_report(record())) is None
    ((backend, call, error),) = failures
    assert (backend, call) == ("i-1", "/api/report")
    assert error


@pytest.mark.parametrize("failure", [*FAILURES[:4], (299, b"")], ids=str)
def test_order_without_a_valid_answer_is_unknown(run_async, failures, failure):
    assert (
        run_async(WorkerControl(ScriptedPool(failure), BackendNotices()).send_order(record(), ORDER))
        is OrderReply.UNKNOWN
    )
    assert [line[:2] for line in failures] == [("i-1", "/api/order")]


@pytest.mark.parametrize(
    ("status", "reply"),
    [
        (200, OrderReply.ALREADY_LOADED),
        (202, OrderReply.ACCEPTED),
        (400, OrderReply.REFUSED),
        (409, OrderReply.BUSY),
        (412, OrderReply.FENCED),
        (421, OrderReply.REFUSED),
    ],
)
def test_order_replies_are_not_logged_as_failures(run_async, failures, status, reply):
    assert (
        run_async(WorkerControl(ScriptedPool((status, b"")), BackendNotices()).send_order(record(), ORDER)) is reply
    )
    assert failures == []


def test_outage_is_logged_once_until_a_report_succeeds(run_async, failures):
    control = WorkerControl(ScriptedPool(TimeoutError(), TimeoutError(), REPORT, TimeoutError()), BackendNotices())

    async def work():
        return [await control.fetch_report(record()) for _ in range(4)]

    found = run_async(work())
    assert [report is not None for report in found] == [False, False, True, False]
    assert (found[2].versions, found[2].busy, found[2].accepted_orders) == ({"m": 3}, True, 2)
    assert len(failures) == 2


def test_number_of_remembered_failing_workers_is_bounded(run_async, failures, monkeypatch):
    monkeypatch.setattr(worker_orders, "MAX_FAILING_WORKERS", 2)
    control = WorkerControl(ScriptedPool(*[TimeoutError()] * 4), BackendNotices())

    async def work():
        for name in ("a", "b", "c", "c"):
            await control.fetch_report(record(name))

    run_async(work())
    assert [line[0] for line in failures] == ["a", "b", "c"]
    assert list(control._failing) == ["b", "c"]


@pytest.mark.parametrize("call", ["report", "order"])
def test_answers_to_reports_and_orders_deliver_notices(run_async, failures, call):
    """Also if the answer is not a valid report."""

    class NoticePool:
        async def fetch(self, address, request, timeout_s, on_head):
            headers = CIMultiDictProxy(CIMultiDict({"Server-Leaving": "1", "Retry-After": "2"}))
            on_head(RawResponseMessage(HttpVersion11, 503, "", headers, (), False, None, False, False))
            return 503, b""

    notices, delivered = BackendNotices(), []
    notices.on_notice = lambda incarnation, notice: delivered.append((incarnation, notice))
    control = WorkerControl(NoticePool(), notices)
    run_async(control.fetch_report(record()) if call == "report" else control.send_order(record(), ORDER))
    assert delivered == [("i-1", BackendNotice(leaving=True, backoff_s=2.0))]


def test_a_hostile_report_is_none_and_logged_or_can_be_used(run_async, failures):
    """A report nested deeply raised RecursionError, which ended the load of weights that waited for it."""

    async def work():
        for name, data in (*hostile_messages(ReportBody), *drawn_bytes(ReportBody, 200, seed=4)):
            failures.clear()
            control = WorkerControl(ScriptedPool((200, data), (202, b"")), BackendNotices())
            report = await control.fetch_report(record())
            assert (report is None) == bool(failures), name
            if report is not None:
                order = msgspec.structs.replace(ORDER, expected_orders=report.accepted_orders)
                assert await control.send_order(record(), order) is OrderReply.ACCEPTED, name

    run_async(work())
