"""Reports and orders at a worker that sends an answer a second time, just before the next one on the connection."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.repeating_server import RepeatingServer, answer
from wallwell.deployment.backends import BackendRecord
from wallwell.placement.weights_roll import EngineReport, OrderReply, WeightsOrder
from wallwell.platform.worker_client import make_worker_pool
from wallwell.platform.worker_orders import WorkerControl
from wallwell.routing.health.backend_notice import BackendNotices

ORDER = WeightsOrder("m", 4, "n1", 8, 2)
REPORT = json.dumps({"models": [{"name": "m", "version": 3}], "busy": False, "seq": 2}).encode()
OTHER_REPORT = json.dumps({"models": [{"name": "m", "version": 4}], "busy": False, "seq": 3}).encode()
CALL = "call"
ORDERED = "order"
REPORTED = "report"
KINDS = [CALL, ORDERED, REPORTED]


async def make(kind, pool, address):
    record = BackendRecord("i-1", "svc", address, "z", 8)
    control = WorkerControl(pool, BackendNotices())
    if kind == ORDERED:
        return await control.send_order(record, ORDER)
    if kind == REPORTED:
        return await control.fetch_report(record)
    connection = await pool.acquire(address, "r1")
    message = await connection.round_trip("r1", b"POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
    pool.release(address, connection)
    return message.code


@pytest.mark.parametrize(
    ("kinds", "answers", "expected"),
    [
        ((CALL, ORDERED), (answer(200, X_Request_Id="r1"), answer(409)), (200, OrderReply.BUSY)),
        (
            (CALL, REPORTED),
            (answer(503, X_Request_Id="r1"), answer(200, REPORT)),
            (503, EngineReport({"m": 3}, False, 2)),
        ),
        (
            (REPORTED, ORDERED),
            (answer(200, REPORT), answer(409)),
            (EngineReport({"m": 3}, False, 2), OrderReply.BUSY),
        ),
        ((ORDERED, ORDERED), (answer(202), answer(412)), (OrderReply.ACCEPTED, OrderReply.FENCED)),
        (
            (REPORTED, REPORTED),
            (answer(200, REPORT), answer(200, OTHER_REPORT)),
            (EngineReport({"m": 3}, False, 2), EngineReport({"m": 4}, False, 3)),
        ),
        (
            (CALL, ORDERED),
            (answer(200, X_Request_Id="r1"), answer(409, X_Request_Id="made-by-a-proxy")),
            (200, OrderReply.BUSY),
        ),
        ((ORDERED, CALL), (answer(202), answer(200, X_Request_Id="r1")), (OrderReply.ACCEPTED, 200)),
    ],
    ids=lambda value: "-".join(value) if all(each in KINDS for each in value) else "",
)
def test_copy_of_an_answer_is_not_taken_for_that_to_an_order_or_a_report(run_async, kinds, answers, expected):
    """Guards against weights that count as loaded, or orders as accepted, by the answer to another call."""

    async def work():
        pool = make_worker_pool()
        async with asyncio.timeout(5), RepeatingServer(*answers) as server:
            results = tuple([await make(kind, pool, server.address) for kind in kinds])
            pool.close()
            return results

    assert run_async(work()) == expected
