"""Workers that send an answer a second time, later, on the connection on which the next answer is due."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from tests.platform.conftest import config, route
from tests.platform.test_peer_attempts import on_cut_node
from tests.repeating_server import answer
from wallwell import discarded_answers
from wallwell.events import Event
from wallwell.serving import request_reports

SECOND_COPY_AFTER_S = 0.05
"""Seconds between an answer and its second copy."""
RUN_S = 0.15
"""Seconds for which a request runs, so that the second copy of a rejection arrives meanwhile."""


def raw_answer(worker, request, status, *, body=b"", **headers):
    """Return the bytes of an answer."""
    named = worker.headers(request, **{name.replace("_", "-"): value for name, value in headers.items()})
    return answer(status, body, **named)


@pytest.fixture
def logged(monkeypatch):
    """Events that were logged of attempts and of discarded bytes, with their fields."""
    lines = []

    def note(event, **fields):
        lines.append((event, fields))

    monkeypatch.setattr(request_reports, "emit", note)
    monkeypatch.setattr(discarded_answers, "emit", note)
    return lines


def test_log_tells_the_connection_of_a_failed_attempt(on_platform, logged):
    """Guards against logs that cannot tell whether two attempts of a request shared a connection."""

    async def scenario(harness):
        (worker,) = harness.workers
        worker.respond = worker.answer(status=503, X_Not_Run="1")
        for number in range(3):
            await harness.call(X_Request_Id=f"refused-{number}")

    on_platform(scenario, config(routes=[route(kind="unsafe", attempts=1)]), workers=1)
    failed = [fields for event, fields in logged if event is Event.REQUEST_RETRIED]
    used = [(fields["connection"], fields["round_trip"]) for fields in failed]
    assert len(used) >= 3
    assert len(set(used)) == len(used)
    assert all(connection and round_trip for connection, round_trip in used)


def test_log_tells_the_request_of_a_discarded_answer(on_platform, logged):
    """Guards against logs that cannot tell whose answer was discarded, and on which connection."""

    async def scenario(harness):
        (worker,) = harness.workers

        async def respond(request):
            if request.headers["X-Request-Id"] == "first":
                copy = raw_answer(worker, request, 200, body=b"first")
                asyncio.get_running_loop().call_later(SECOND_COPY_AFTER_S, request.transport.write, copy)
                return web.Response(body=b"first", headers=worker.headers(request))
            await asyncio.sleep(RUN_S)
            return web.Response(body=b"second", headers=worker.headers(request))

        worker.respond = respond
        bodies = [(await harness.call(X_Request_Id=each))[2] for each in ("first", "second")]
        return bodies, harness.node.metrics_text().decode()

    bodies, metrics = on_platform(scenario, workers=1)
    assert bodies == [b"first", b"second"]
    assert 'wallwell_answers_discarded_total{reason="answer to another request"} 1.0' in metrics
    (discarded,) = [fields for event, fields in logged if event is Event.ANSWER_DISCARDED]
    assert (discarded["expected_id"], discarded["answer_id"], discarded["status"]) == ("second", "first", 200)
    assert discarded["connection"] > 0
    assert discarded["round_trip"] == 2
    assert discarded["address"].startswith("127.0.0.1:")


class RepeatingWorker:
    """Rejects the first requests, each with a second copy of the rejection later, and runs all others."""

    def __init__(self, worker, rejections, status=503, copy_after_s=SECOND_COPY_AFTER_S):
        self.worker = worker
        self.rejections = rejections
        self.status = status
        self.copy_after_s = copy_after_s
        self.runs = []
        self.copies = 0
        worker.respond = self.respond

    async def respond(self, request):
        if self.rejections:
            self.rejections -= 1
            copy = raw_answer(self.worker, request, self.status, X_Not_Run="1")
            asyncio.get_running_loop().call_later(self.copy_after_s, self.send, request.transport, copy)
            return web.Response(status=self.status, headers=self.worker.headers(request, **{"X-Not-Run": "1"}))
        self.runs.append(request.headers["X-Request-Id"])
        await asyncio.sleep(RUN_S)
        return web.Response(body=b"ran", headers=self.worker.headers(request))

    def send(self, transport, data):
        if transport is not None and not transport.is_closing():
            self.copies += 1
            transport.write(data)


@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("copy_after_s", [0.0, 0.002, SECOND_COPY_AFTER_S, 2 * RUN_S])
def test_second_copy_of_a_rejection_does_not_end_the_next_attempt(on_platform, status, copy_after_s):
    """Guards against a call that runs twice, or that is refused though it ran."""

    async def scenario(harness):
        (worker,) = harness.workers
        repeating = RepeatingWorker(worker, rejections=1, status=status, copy_after_s=copy_after_s)
        first = await harness.call(X_Request_Id="one")
        await harness.until(lambda: repeating.copies or copy_after_s == 0.0)
        second = await harness.call(X_Request_Id="two")
        return [first[0], first[2], second[2]], repeating.runs

    routes = [route(kind="unsafe", attempts=1)]
    assert on_platform(scenario, config(routes=routes), workers=1) == ([200, b"ran", b"ran"], ["one", "two"])


def test_second_copy_to_a_caller_that_uses_an_id_again_answers_nothing(on_platform):
    """Guards against the answer to one request as the answer to another of the same id."""

    async def scenario(harness):
        (worker,) = harness.workers
        bodies = []

        async def respond(request):
            body = b"answer %d" % len(bodies)
            bodies.append(body)
            copy = raw_answer(worker, request, 200, body=body)
            asyncio.get_running_loop().call_later(SECOND_COPY_AFTER_S, request.transport.write, copy)
            await asyncio.sleep(0 if len(bodies) == 1 else RUN_S)
            return web.Response(body=body, headers=worker.headers(request))

        worker.respond = respond
        return [(await harness.call(X_Request_Id="same"))[2] for _ in range(2)]

    assert on_platform(scenario, workers=1) == [b"answer 0", b"answer 1"]


def test_second_copies_of_rejections_at_a_peer_do_not_end_the_next_attempt(on_platform):
    """Guards against the same fault on the connections of a node that makes attempts for another."""

    async def scenario(harness, fleet):
        (worker,) = harness.workers
        repeating = RepeatingWorker(worker, rejections=1)
        status, _, body = await harness.call("/unsafe/a", X_Request_Id="one")
        return status, body, repeating.runs, repeating.copies

    assert on_cut_node(on_platform, scenario, workers=1) == (200, b"ran", ["one"], 1)
