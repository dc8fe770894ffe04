"""A caller that leaves: nothing of it reaches a worker any more, and workers stop, within half a second."""

from __future__ import annotations

import asyncio
import socket

import pytest
import uvloop

from tests.platform.conftest import config, route
from tests.unit.serving.fakes import event
from wallwell.backend_connection import BackendConnection
from wallwell.clock import boot_time_s

STOPS_WITHIN_S = 0.5
STREAM_HEADERS = {"X_Model": "m", "X_Prefix_Hash": "aa:100,bb:50", "X_Token_Usage": "150,10"}
SAFE = config(routes=[route(attempts=2, slo_ms=200)])
STREAM = config(routes=[route(kind="stream", attempts=1)])
RESUMABLE = config(routes=[route(kind="stream", attempts=2, can_resume=True, slo_ms=200)])


@pytest.fixture
def sent(monkeypatch):
    """What the node writes to its workers; a worker may not see what is written just before a reset."""
    round_trip, written = BackendConnection.round_trip, []

    def recorded(self, request_id, *args, **more):
        if request_id:  # Calls of control carry none.
            written.append(request_id)
        return round_trip(self, request_id, *args, **more)

    monkeypatch.setattr(BackendConnection, "round_trip", recorded)
    return written


def requests_at(harness):
    return sum(len(worker.requests) for worker in harness.workers)


def working(harness):
    return sum(len(worker.requests) - worker.stopped for worker in harness.workers)


def count_stops(worker, respond):
    """Count the requests that a worker no longer works on."""
    worker.stopped = 0

    async def counted(request):
        try:
            return await respond(request)
        finally:
            worker.stopped += 1

    worker.respond = counted


async def leave(harness, asking):
    """Close the caller's connection; return the seconds until no worker works for it."""
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)
    left_s = boot_time_s()
    await harness.until(lambda: not working(harness))
    return boot_time_s() - left_s


@pytest.mark.parametrize(
    ("configuration", "headers", "stage"),
    [
        (SAFE, {}, "call"),
        (STREAM, STREAM_HEADERS, "prompt"),
        (STREAM, STREAM_HEADERS, "pieces"),
        (SAFE, {}, "repeat"),
        (RESUMABLE, STREAM_HEADERS, "continued"),
    ],
    ids=["a call", "its prompt is read", "between pieces", "its repeat", "its continued stream"],
)
def test_workers_stop_when_the_caller_leaves(on_platform, configuration, headers, stage):
    """The first attempt of a repeat is hung as well, or broke off; both have ended."""

    async def scenario(harness):
        async def pieces(request):
            response = harness.workers[0].stream(event(1))
            answer = await response(request)
            await asyncio.sleep(3600)
            return answer

        for worker in harness.workers:

            async def respond(request, worker=worker):
                if stage == "continued" and requests_at(harness) == 1:
                    return await worker.stream(event(1), break_off=True)(request)
                if stage == "pieces":
                    return await pieces(request)
                return await worker.hang(request)

            count_stops(worker, respond)
        asking = asyncio.create_task(harness.call(**headers))
        attempts = 2 if stage in ("repeat", "continued") else 1
        await harness.until(lambda: requests_at(harness) == attempts)
        took_s = await leave(harness, asking)
        await asyncio.sleep(0.3)
        return took_s, requests_at(harness) - attempts

    took_s, later = on_platform(scenario, configuration)
    assert took_s < STOPS_WITHIN_S
    assert later == 0


def test_a_connection_that_comes_up_after_the_caller_left_carries_nothing(on_platform):
    async def scenario(harness):
        pool = harness.node._pool
        connect, asked, may_connect = pool._connect, asyncio.Event(), asyncio.Event()

        async def slow(*args):
            asked.set()
            await may_connect.wait()
            return await connect(*args)

        pool._connect = slow
        asking = asyncio.create_task(harness.call())
        await asked.wait()
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await harness.until(lambda: not harness.node.in_flight)
        may_connect.set()
        await asyncio.sleep(0.2)
        return requests_at(harness)

    assert on_platform(scenario) == 0


def request_bytes(harness, body=b"body", length=None):
    head = "\r\n".join(f"{name}: {value}" for name, value in harness.headers().items())
    length = len(body) if length is None else length
    return f"POST /a HTTP/1.1\r\n{head}\r\nContent-Length: {length}\r\n\r\n".encode() + body


@pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
@pytest.mark.parametrize("count", [1, 7])
def test_requests_read_after_their_callers_left_reach_no_worker(on_platform, count, loop, sent):
    """The event loop stands still from the connection to the close, as on a node without processor time."""

    async def scenario(harness):
        # Connections to workers rest from here on, so that a request could be sent on in the turn it is read.
        await asyncio.gather(*(harness.call() for _ in range(count)))
        sent.clear()
        for _ in range(count):
            with socket.create_connection(("127.0.0.1", harness.port)) as caller:
                caller.sendall(request_bytes(harness))
        await asyncio.sleep(0.3)
        sent_on = list(sent)
        return sent_on, (await harness.call())[0]

    assert on_platform(scenario, loop=loop, workers=1) == ([], 200)


@pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def test_a_caller_who_leaves_in_the_turn_that_handles_its_request_is_not_served(on_platform, loop, sent):
    """The event loop has not told of the close yet, only the system knows; such turns are long on a busy node."""

    async def scenario(harness):
        await harness.call()
        sent.clear()
        admission = harness.node._pipeline._admission
        admit = admission.admit
        caller = socket.create_connection(("127.0.0.1", harness.port))

        def leave_meanwhile(request, reply):
            caller.close()
            return admit(request, reply)

        admission.admit = leave_meanwhile
        caller.sendall(request_bytes(harness))
        await harness.until(lambda: caller.fileno() < 0 and not harness.node.in_flight)
        await asyncio.sleep(0.1)
        return list(sent)

    assert on_platform(scenario, loop=loop, workers=1) == []


def test_a_request_whose_body_never_came_reaches_no_worker(on_platform):
    async def scenario(harness):
        _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(request_bytes(harness, b"part", length=9))
        await harness.until(lambda: harness.listener._busy)
        writer.close()
        await harness.until(lambda: not harness.listener._busy)
        return requests_at(harness)

    assert on_platform(scenario) == 0


def test_no_repeat_follows_a_failure_that_is_seen_after_the_caller_left(on_platform, sent):
    """A worker breaks off while the node's event loop stands still and the caller leaves."""

    async def scenario(harness):
        await asyncio.gather(*(harness.call() for _ in range(6)))
        sent.clear()
        breaking = []

        async def respond(request):
            breaking.append(request)
            await asyncio.sleep(3600)

        for worker in harness.workers:
            worker.respond = respond
        caller = socket.create_connection(("127.0.0.1", harness.port))
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(caller, request_bytes(harness))
        await harness.until(lambda: breaking)
        breaking[0].transport.abort()
        caller.close()
        await harness.until(lambda: not harness.node.in_flight)
        await asyncio.sleep(0.2)
        return len(sent)

    assert on_platform(scenario, config(routes=[route(attempts=3)])) == 1
