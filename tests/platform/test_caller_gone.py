"""A caller that disconnects: no further attempt is sent to a worker, and workers stop within half a second."""

from __future__ import annotations

import asyncio
import socket

import aiohttp
import pytest
import uvloop

from tests.platform.conftest import PlatformHarness, config, route
from tests.unit.serving.fakes import event
from wallwell.backend_connection import BackendConnection
from wallwell.clock import boot_time_s
from wallwell.events import Event
from wallwell.platform import caller_listener
from wallwell.routing.admission.stop_times import plan_stop
from wallwell.serving import request_reports
from wallwell.serving.messages import CallerGoneError

GRACE_S = 8.0
STOPS_WITHIN_S = 0.5
STREAM_HEADERS = {"X_Model": "m", "X_Prefix_Hash": "aa:100,bb:50", "X_Token_Usage": "150,10"}
SAFE = config(routes=[route(attempts=2, slo_ms=200)])
STREAM = config(routes=[route(kind="stream", attempts=1)])
RESUMABLE = config(routes=[route(kind="stream", attempts=2, can_resume=True, slo_ms=200)])


@pytest.fixture
def sent(monkeypatch):
    """Request ids that the node has sent to workers. A worker may not see bytes written just before a reset."""
    round_trip, written = BackendConnection.round_trip, []

    def recorded(self, request_id, *args, **more):
        if request_id:  # Reports and orders have no request id.
            written.append(request_id)
        return round_trip(self, request_id, *args, **more)

    monkeypatch.setattr(BackendConnection, "round_trip", recorded)
    return written


def requests_at(harness):
    return sum(len(worker.requests) for worker in harness.workers)


def working(harness):
    return sum(len(worker.requests) - worker.stopped for worker in harness.workers)


def count_stops(worker, respond):
    """Count the requests that a worker has stopped processing."""
    worker.stopped = 0

    async def counted(request):
        try:
            return await respond(request)
        finally:
            worker.stopped += 1

    worker.respond = counted


async def leave(harness, asking):
    """Close the caller's connection; return the seconds until no worker processes its request."""
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
def test_workers_stop_when_the_caller_disconnects(on_platform, configuration, headers, stage):
    """With a retry or a continued stream, the first attempt hangs too or breaks off; both attempts must end."""

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


def test_connection_established_after_the_caller_left_is_not_used(on_platform):
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
def test_requests_read_after_their_callers_left_are_not_sent(on_platform, count, loop, sent):
    """The event loop is blocked from the connection to its close, as on a node that gets no CPU time."""

    async def scenario(harness):
        # Opens idle connections to workers, so that a request could be sent in the same loop iteration.
        await asyncio.gather(*(harness.call(X_Request_Id=f"earlier-{each}") for each in range(count)))
        sent.clear()
        for _ in range(count):
            with socket.create_connection(("127.0.0.1", harness.port)) as caller:
                caller.sendall(request_bytes(harness))
        await asyncio.sleep(0.3)
        sent_on = list(sent)
        return sent_on, (await harness.call())[0]

    assert on_platform(scenario, loop=loop, workers=1) == ([], 200)


@pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def test_caller_that_leaves_while_its_request_is_handled_is_not_served(on_platform, loop, sent):
    """The kernel has seen the close, the event loop has not; its iterations are long on a busy node."""

    async def scenario(harness):
        await harness.call(X_Request_Id="earlier")
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


def test_request_with_incomplete_body_is_not_sent(on_platform):
    async def scenario(harness):
        _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(request_bytes(harness, b"part", length=9))
        await harness.until(harness.has_open_requests)
        writer.close()
        await harness.until(lambda: not harness.has_open_requests())
        return requests_at(harness)

    assert on_platform(scenario) == 0


def test_no_retry_if_a_failure_is_seen_after_the_caller_left(on_platform, sent):
    """A worker resets its connection, and the caller leaves, while the node's event loop is blocked."""

    async def scenario(harness):
        await asyncio.gather(*(harness.call(X_Request_Id=f"earlier-{each}") for each in range(6)))
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


def test_caller_that_leaves_during_an_attempt_is_logged(on_platform, monkeypatch):
    """Guards against a request without any log line, which looks like a request that never arrived."""
    logged = []
    monkeypatch.setattr(
        caller_listener, "emit", lambda event, **fields: logged.append((event, fields["request_id"]))
    )

    async def scenario(harness):
        for worker in harness.workers:
            count_stops(worker, worker.hang)
        asking = asyncio.create_task(harness.call())
        await harness.until(lambda: requests_at(harness) == 1)
        await leave(harness, asking)

    on_platform(scenario, SAFE)
    assert logged == [(Event.CALLER_GONE, "req-1")]


def test_retried_error_answer_is_logged_and_counted(on_platform, monkeypatch):
    """Guards against an attempt that is neither logged nor counted, only implied by a total of two attempts."""
    logged = []

    def note(event, **fields):
        if event is Event.REQUEST_RETRIED:
            logged.append(fields["reason"])

    monkeypatch.setattr(request_reports, "emit", note)

    async def scenario(harness):
        async def fail_first(request):
            worker = harness.workers[0]
            first = requests_at(harness) == 1
            return await worker.answer(status=500 if first else 200)(request)

        for worker in harness.workers:
            worker.respond = fail_first
        status, _, _ = await harness.call()
        return status, harness.node.metrics_text().decode()

    status, metrics = on_platform(scenario, SAFE)
    assert (status, logged) == (200, ["error_answer"])
    assert 'result="error_answer"} 1.0' in metrics


def test_caller_that_leaves_as_a_stop_cuts_is_logged_as_gone(on_platform, monkeypatch):
    """Guards against counting a caller who left by itself among the requests that a stop has cut."""
    logged = []
    for module in (caller_listener, request_reports):
        monkeypatch.setattr(module, "emit", lambda event, **_fields: logged.append(event))

    async def scenario(harness):
        for worker in harness.workers:
            count_stops(worker, worker.hang)
        asking = asyncio.create_task(harness.call())
        await harness.until(lambda: requests_at(harness) == 1)
        harness.node.state.stop = plan_stop(boot_time_s() - GRACE_S, GRACE_S)  # Nothing has been cut yet.
        await leave(harness, asking)
        return harness.node.ended_by_stop()

    counts = on_platform(scenario, SAFE)
    assert logged == [Event.CALLER_GONE]
    assert (counts["cut_generations"], counts["cut_calls"]) == (0, 0)


def test_request_that_a_stop_cuts_is_logged_as_cut_and_counted(on_platform, monkeypatch):
    """Guards against a stop that logs what it cuts as callers who have left, or not at all."""
    logged = []
    for module in (caller_listener, request_reports):
        monkeypatch.setattr(module, "emit", lambda event, **fields: logged.append((event, fields)))

    async def scenario(harness):
        for worker in harness.workers:
            count_stops(worker, worker.hang)
        asking = asyncio.create_task(harness.call())
        await harness.until(lambda: requests_at(harness) == 1)

        async def close_listener():
            await harness.listener.close_idle(harness.server)
            await harness.server.wait_closed()

        await harness.node.drain(0.4, close_listener, boot_time_s() - 0.1)
        await harness.runner.cleanup()
        await harness.until(lambda: logged)
        await asyncio.gather(asking, return_exceptions=True)
        return harness.node.ended_by_stop()

    counts = on_platform(scenario, SAFE)
    ((event, fields),) = logged
    assert event is Event.REQUEST_CUT_BY_STOP
    assert (fields["kind"], fields["cut"], fields["arrived_after_stop_ms"] <= 100) == ("call", False, True)
    assert counts == {"refused": 0, "cut_generations": 0, "cut_calls": 1}


@pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def test_caller_found_gone_before_an_answer_leaves_no_text_in_the_log(loop, run_async, caplog, monkeypatch):
    """A traceback of aiohttp's server stood between the events for each caller that had left before an answer."""

    async def find_gone(request, reply):
        raise CallerGoneError("scripted")

    async def work():
        harness = PlatformHarness()
        await harness.start(SAFE)
        monkeypatch.setattr(harness.node, "serve", find_gone)
        with pytest.raises(aiohttp.ClientError):
            await harness.call()
        await harness.stop()

    run_async(work(), loop)
    assert caplog.records == []
