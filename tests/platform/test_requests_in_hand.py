"""Requests that a stopping router has in hand, whole or in part: each gets an answer."""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus

import msgspec
import pytest

from tests.platform.raw_requests import CALLS, answer, close_and_wait, ran, request
from wallwell.callers_server import FINAL_REQUEST_WAIT_S
from wallwell.clock import boot_time_s
from wallwell.routing.admission.stop_times import plan_stop

GRACE_S = 1.2


def test_pipelined_requests_are_all_answered_as_the_router_stops(on_platform):
    """Guards against closing a connection behind an answer although requests behind it have been read."""

    async def scenario(harness):
        release = harness.hold_answers()
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(b"".join(request(f"pipelined-{number}") for number in range(4)))
        await harness.until(lambda: "pipelined-0" in ran(harness))
        harness.node.state.stop = plan_stop(boot_time_s() - GRACE_S, GRACE_S)
        harness.node.readiness.draining = True
        closing = asyncio.create_task(close_and_wait(harness))
        release.set()
        statuses = [(await answer(reader))[0] for _ in range(4)]
        ended = await reader.read()
        writer.close()
        await asyncio.wait_for(closing, 5.0)
        return statuses, ended, ran(harness)

    statuses, ended, has_run = on_platform(scenario, CALLS)
    assert statuses == [HTTPStatus.OK] + [HTTPStatus.REQUEST_TIMEOUT] * 3
    assert (ended, has_run) == (b"", {"pipelined-0"})


@pytest.mark.parametrize("framing", ["Content-Length: 8", "Transfer-Encoding: chunked"])
def test_request_whose_body_never_ends_is_refused_as_the_router_stops(on_platform, framing):
    """Guards against a stop that waits for the rest of a body, and then says that the request may have run."""

    async def scenario(harness):
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        head = request("endless").split(b"\r\nContent-Length")[0]
        writer.write(head + f"\r\n{framing}\r\n\r\n".encode())
        writer.write(b"4\r\nbody\r\n" if "chunked" in framing else b"body")
        await harness.until(harness.has_open_requests)
        begun_s = time.monotonic()
        harness.node.readiness.draining = True
        closing = asyncio.create_task(close_and_wait(harness))
        status, body = await answer(reader)
        took_s = time.monotonic() - begun_s
        for _ in range(20):  # The caller sends on for a while, and still gets no reset.
            writer.write(b"1\r\nx\r\n" if "chunked" in framing else b"")
            await asyncio.sleep(0.005)
        was_reset = reader.at_eof() or reader.exception() is not None
        writer.close()
        await asyncio.wait_for(closing, 5.0)
        return status, msgspec.json.decode(body)["outcome"], was_reset, took_s, "endless" in ran(harness)

    status, outcome, was_reset, took_s, has_run = on_platform(scenario, CALLS)
    assert (status, outcome, was_reset, has_run) == (HTTPStatus.REQUEST_TIMEOUT, "not_run", False, False)
    # One second more than the server's own limit, for a busy machine.
    assert took_s < FINAL_REQUEST_WAIT_S + 1.0


def test_request_refused_for_its_incomplete_body_is_counted(on_platform):
    """Guards against a stop whose log counts fewer refused requests than callers have seen."""

    async def scenario(harness):
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(request("endless").replace(b"Content-Length: 0", b"Content-Length: 8"))
        await harness.until(harness.has_open_requests)
        harness.node.readiness.draining = True
        closing = asyncio.create_task(close_and_wait(harness))
        status, _ = await answer(reader)
        writer.close()
        await asyncio.wait_for(closing, 5.0)
        return status, harness.node.ended_by_stop()["refused"]

    assert on_platform(scenario, CALLS) == (HTTPStatus.REQUEST_TIMEOUT, 1)
