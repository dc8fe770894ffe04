"""Workers that send an answer a second time, later, on the connection on which the next answer is due."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from tests.platform.conftest import config, route
from wallwell import backend_connection
from wallwell.events import Event
from wallwell.serving import request_reports

SECOND_COPY_AFTER_S = 0.05
"""Seconds between an answer and its second copy."""
RUN_S = 0.15
"""Seconds for which a request runs, so that the second copy of a rejection arrives meanwhile."""


def raw_answer(worker, request, status, *, body=b"", **headers):
    """Return the bytes of an answer."""
    named = worker.headers(request, **{name.replace("_", "-"): value for name, value in headers.items()})
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in named.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


@pytest.fixture
def logged(monkeypatch):
    """Events that were logged of attempts and of discarded bytes, with their fields."""
    lines = []

    def note(event, **fields):
        lines.append((event, fields))

    monkeypatch.setattr(request_reports, "emit", note)
    monkeypatch.setattr(backend_connection, "emit", note)
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
        return [(await harness.call(X_Request_Id=each))[2] for each in ("first", "second")]

    assert on_platform(scenario, workers=1) == [b"first", b"second"]
    (discarded,) = [fields for event, fields in logged if event is Event.ANSWER_DISCARDED]
    assert (discarded["expected_id"], discarded["answer_id"], discarded["status"]) == ("second", "first", 200)
    assert discarded["connection"] > 0
    assert discarded["round_trip"] == 2
