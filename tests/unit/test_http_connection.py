"""Connections to back ends that break, send surplus bytes, or send the answer to another request.

A scripted server writes raw bytes, so that the tables can list bytes that aiohttp's own server would never send.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import socket
import struct
import threading
import time
from types import SimpleNamespace

import pytest
import uvloop

from tests.repeating_server import RepeatingServer
from wallwell.address import parse_address
from wallwell.backend_connection import MAX_IDS, ConnectionBrokenError
from wallwell.http_connection import ConnectFailedError, ConnectionPool, PortCheck

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
PAUSE = object()
RESET = object()
CLOSE = object()


def answer(request_id=b"r1", body=b"hello", extra=b"", length=True):
    head = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s" % (request_id, extra)
    if length:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


class ScriptedServer:
    """Performs the next script for each request on a connection, and counts connections."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = parse_address(f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}")
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if not self.scripts or not await self._perform(self.scripts.pop(0), writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _perform(self, steps, writer):
        for step in steps:
            if step is PAUSE:
                await writer.drain()
                for _ in range(20):
                    await asyncio.sleep(0)
            elif step is RESET:
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                return False
            elif step is CLOSE:
                return False
            else:
                writer.write(step)
        return True


async def fetch(pool, address, request_id="r1", has_body=True):
    connection = await pool.acquire(address, request_id, has_body)
    try:
        message = await connection.round_trip(request_id, REQUEST, has_body)
        return message.code, b"".join([chunk async for chunk in connection.body()])
    finally:
        pool.release(address, connection)


def run_scripts(run_async, scripts, request_ids=("r1",)):
    """Return each request's body or type of error, and the number of connections made."""

    async def work():
        pool = ConnectionPool("X-Id", connect_timeout_s=5.0, user_timeout_s=5.0)
        results = []
        async with ScriptedServer(*scripts) as server:
            for request_id in request_ids:
                try:
                    results.append((await fetch(pool, server.address, request_id))[1])
                except ConnectionBrokenError as error:
                    results.append(type(error))
                for _ in range(30):
                    await asyncio.sleep(0)
            pool.close()
            return results, server.connections

    return run_async(work())


BROKEN = ConnectionBrokenError


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([answer()], b"hello"),
        ([b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"], b"hello"),
        ([answer(length=False), CLOSE], b"hello"),
        ([answer(length=False), PAUSE, RESET], BROKEN),
        ([answer()[:-2], CLOSE], BROKEN),
        ([answer()[:-2], PAUSE, RESET], BROKEN),
        ([b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", CLOSE], BROKEN),
        ([b"HTTP/1.1 200 OK\r\nX-I", CLOSE], BROKEN),
        ([CLOSE], BROKEN),
        ([RESET], BROKEN),
        ([b"no answer at all\r\n\r\n"], BROKEN),
        ([b"HTTP/1.1 100 Continue\r\n\r\n", answer()], b"hello"),
        ([answer(b"other", b"not yours"), answer()], b"hello"),
        ([answer(b"other", b"not yours"), PAUSE, answer()], b"hello"),
        ([answer(b"other", b"not yours"), CLOSE], BROKEN),
    ],
)
def test_result_of_one_round_trip(run_async, steps, expected):
    assert run_scripts(run_async, [steps])[0] == [expected]


@pytest.mark.parametrize(
    ("first", "connections"),
    [
        ([answer()], 1),
        ([answer(extra=b"Keep-Alive: timeout=5\r\n")], 1),
        ([answer(extra=b"Connection: close\r\n")], 2),
        ([answer(extra=b"Keep-Alive: timeout=0\r\n")], 2),
        ([answer() + answer(b"r1", b"twice")], 2),
        ([answer() + answer(b"r9", b"surplus")], 2),
        ([answer(), PAUSE, b"HTTP/1.1 "], 2),
        ([answer(b"other"), answer()], 2),
        ([answer(length=False), CLOSE], 2),
        ([answer(), PAUSE, RESET], 2),
    ],
)
def test_connection_is_reused_only_without_surplus_bytes(run_async, first, connections):
    second = [answer(b"r2", b"second")]
    results, made = run_scripts(run_async, [first, second], ("r1", "r2"))
    assert results == [b"hello", b"second"]
    assert made == connections


def test_late_surplus_answer_is_not_taken_for_the_next_answer(run_async):
    """A second answer to the first request arrives while the second request waits for its answer."""
    scripts = [[answer()], [answer(b"r1", b"late surplus"), answer(b"r2", b"second")]]
    assert run_scripts(run_async, scripts, ("r1", "r2"))[0] == [b"hello", b"second"]


@pytest.mark.parametrize("surplus_bytes", [0, 1000, 1_000_000])
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
def test_answer_behind_a_large_discarded_one_is_read(run_async, surplus_bytes, chunked):
    """Guards against a connection that stops reading, since nobody reads the body of a discarded answer."""
    surplus = answer(b"r1", b"x" * surplus_bytes)
    if chunked:
        body = b"%x\r\n%s\r\n" % (surplus_bytes, b"x" * surplus_bytes) if surplus_bytes else b""
        surplus = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n" + body + b"0\r\n\r\n"
    scripts = [[answer()], [surplus, PAUSE, answer(b"r2", b"second")]]

    async def work():
        async with asyncio.timeout(5), ScriptedServer(*scripts) as server:
            pool = ConnectionPool("X-Id", connect_timeout_s=5.0, user_timeout_s=5.0)
            answers = [(await fetch(pool, server.address, each))[1] for each in ("r1", "r2")]
            return answers, server.connections

    assert run_async(work()) == ([b"hello", b"second"], 1)


HEAD_ANSWER = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\n"


@pytest.mark.parametrize("heads", [(False, True), (True, False), (True, True)])
def test_copy_of_an_answer_does_not_spoil_one_with_a_body_or_without(run_async, heads):
    """Guards against a body that is read as an answer, or an answer that is read as a body: HEAD has none."""

    def answer_of(number):
        request_id = b"r%d" % number
        return HEAD_ANSWER % request_id if heads[number] else answer(request_id)

    async def work():
        pool = ConnectionPool("X-Id", connect_timeout_s=5.0, user_timeout_s=5.0)
        async with asyncio.timeout(5), RepeatingServer(answer_of(0), answer_of(1)) as server:
            answers = [
                await fetch(pool, server.address, f"r{each}", not is_head) for each, is_head in enumerate(heads)
            ]
        pool.close()
        return answers

    assert run_async(work()) == [(200, b"" if is_head else b"hello") for is_head in heads]


def test_a_connection_carries_each_request_id_once(run_async):
    """Guards against the second copy of an answer being taken for the answer to a later attempt of its request."""
    scripts = [[answer(b"r1")], [answer(b"r1", b"again")], [answer(b"r2")], [answer(b"r3")]]
    results, made = run_scripts(run_async, scripts, ("r1", "r1", "r2", "r3"))
    assert results == [b"hello", b"again", b"hello", b"hello"]
    assert made == 2


@pytest.mark.parametrize(("requests", "connections"), [(MAX_IDS, 1), (MAX_IDS + 1, 2), (2 * MAX_IDS + 1, 3)])
def test_a_connection_is_replaced_once_it_has_carried_many_ids(run_async, requests, connections):
    """Guards against ids that are forgotten, or remembered without bound, on a connection that is never idle."""
    ids = [f"r{number}" for number in range(requests)]
    scripts = [[answer(each.encode())] for each in ids]
    results, made = run_scripts(run_async, scripts, ids)
    assert results == [b"hello"] * requests
    assert made == connections


def test_refused_connection_raises_connect_failed(run_async):
    async def work():
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = parse_address(f"127.0.0.1:{unused.getsockname()[1]}")
            pool = ConnectionPool("X-Id", connect_timeout_s=5.0, user_timeout_s=5.0)
            with pytest.raises(ConnectFailedError) as caught:
                await pool.acquire(address, "r1")
            return caught.value.timed_out

    assert run_async(work()) is False


def test_cancelled_round_trip_closes_its_connection(run_async):
    async def work():
        closed = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            try:
                await reader.read()
            except ConnectionError:
                pass
            closed.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = parse_address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        pool = ConnectionPool("X-Id", connect_timeout_s=5.0, user_timeout_s=5.0)
        task = asyncio.create_task(fetch(pool, address))
        while not server._active_count:
            await asyncio.sleep(0)
        for _ in range(50):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        async with asyncio.timeout(5):
            await closed.wait()
        server.close()

    run_async(work())


@pytest.mark.parametrize("end", [CLOSE, RESET], ids=["close", "reset"])
def test_bytes_received_before_a_break_are_yielded_before_the_error(run_async, end):
    """Regression: an error set on aiohttp's reader hid buffered bytes, and callers lost events that had arrived."""

    async def work():
        pool = ConnectionPool("X-Id", connect_timeout_s=5.0, user_timeout_s=5.0)
        steps = [b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", PAUSE, end]
        async with ScriptedServer(steps) as server:
            connection = await pool.acquire(server.address, "r1")
            await connection.round_trip("r1", REQUEST)
            while not connection.closed:
                await asyncio.sleep(0)
            received = b""
            with pytest.raises(ConnectionBrokenError):
                async for chunk in connection.body():
                    received += chunk
            assert not connection.finish_round_trip()
            return received

    assert run_async(work()) == b"hello"


class SilencedServer:
    """A server that, after ``fall_silent``, answers only on connections that are made later."""

    def __init__(self):
        self._silent = set()
        self._open = set()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = parse_address(f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}")
        return self

    async def __aexit__(self, *_):
        self.server.close()

    def fall_silent(self):
        self._silent |= self._open

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if writer in self._silent:
                    await asyncio.sleep(3600)
                writer.write(answer())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def test_silent_connections_fail_only_one_call(run_async):
    """Regression: each silent idle connection cost a call its whole time-out; six blocked store calls for 9 s."""

    async def scenario():
        async with SilencedServer() as server:
            pool = ConnectionPool("", 1.0, 1.0)
            await asyncio.gather(*(pool.fetch(server.address, REQUEST, 1.0) for _ in range(4)))
            server.fall_silent()
            outcomes = []
            for _ in range(3):
                try:
                    status, _ = await pool.fetch(server.address, REQUEST, 0.1)
                    outcomes.append(status)
                except TimeoutError:
                    outcomes.append("silent")
            pool.close()
            return outcomes

    assert run_async(scenario()) == ["silent", 200, 200]


def test_unacknowledged_connection_closes_the_idle_ones(run_async):
    async def scenario():
        async with SilencedServer() as server:
            pool = ConnectionPool("", 1.0, 1.0)
            await asyncio.gather(*(pool.fetch(server.address, REQUEST, 1.0) for _ in range(3)))
            connection = await pool.acquire(server.address, "r1")
            connection.transport.abort()
            connection.connection_lost(TimeoutError("no acknowledgement"))
            pool.release(server.address, connection)
            fresh = await pool.acquire(server.address, "r1")
            made = len(server._open)
            fresh.close()
            pool.close()
            return made

    assert run_async(scenario()) == 4


@pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def test_connects_without_answer_time_out_and_leave_nothing_open(run_async, loop):
    """A listener whose queue is full drops connection attempts, as an unreachable zone does."""

    def open_files():
        return len(os.listdir("/proc/self/fd"))

    async def work():
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
            address = parse_address(f"127.0.0.1:{listener.getsockname()[1]}")
            for _ in range(3):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(listener.getsockname())
            pool = ConnectionPool("X", 0.05, 1.0)
            with pytest.raises(ConnectFailedError):
                await pool.acquire(address, "r1")  # The loop opens files of its own with its first connection.
            before = open_files()
            for _ in range(3):
                with pytest.raises(ConnectFailedError) as failure:
                    await pool.acquire(address, "r1")
                assert failure.value.timed_out
            cancelled_attempt = asyncio.ensure_future(pool.acquire(address, "r1"))
            await asyncio.sleep(0.01)
            cancelled_attempt.cancel()
            await asyncio.gather(cancelled_attempt, return_exceptions=True)
            await asyncio.sleep(0.05)
            assert cancelled_attempt.cancelled()
            return open_files() - before, len(asyncio.all_tasks())

    open_files_left, tasks = run_async(work(), loop)
    assert open_files_left == 0
    assert tasks == 1


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def test_an_ending_process_is_found_by_an_event_loop_that_is_late(run_async, loop_factory):
    """Guards against a connection that counts as open since its reset was not read before the wait for it ended."""
    listener = socket.create_server(("127.0.0.1", 0))

    def end_process():
        connection, _ = listener.accept()
        time.sleep(0.01)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        listener.close()

    async def work():
        pool = ConnectionPool("X-Id", 1.0, 1.0)
        ending = threading.Thread(target=end_process)
        ending.start()
        address = parse_address(f"127.0.0.1:{listener.getsockname()[1]}")
        asyncio.get_running_loop().call_later(0.005, time.sleep, 0.2)
        is_refused = (await pool.check_port(address, 0.05)).refuses
        ending.join()
        pool.close()
        return is_refused

    assert run_async(work(), loop_factory)


@pytest.mark.parametrize(
    ("second", "expected"),
    [
        (ConnectFailedError(False, "ConnectionRefusedError", refused=True), PortCheck(False, True)),
        (ConnectFailedError(False, "ConnectionResetError"), PortCheck(False, False)),
    ],
    ids=["then refuses", "resets again"],
)
def test_a_port_that_resets_a_connection_as_it_opens_is_asked_again(run_async, monkeypatch, second, expected):
    """Guards against taking the port of a process that is ending for one that lives."""
    failures = [ConnectFailedError(False, "ConnectionResetError"), second]

    async def connect(_address, _timeout_s):
        raise failures.pop(0)

    async def work():
        pool = ConnectionPool("X-Id", 1.0, 1.0)
        monkeypatch.setattr(pool, "_connect", connect)
        return await pool.check_port(parse_address("127.0.0.1:1"), 0.01)

    assert run_async(work()) == expected


@pytest.mark.parametrize("is_refused", [True, False], ids=["refused", "established"])
def test_a_connection_that_comes_as_its_request_is_cancelled_leaves_nothing_behind(is_refused, run_async):
    """The error of such a connection was logged as one that nobody expects, and an established one stayed open."""
    failed, aborted, tasks = [], [], []

    async def connect(*_):
        tasks.append(asyncio.current_task())
        await asyncio.sleep(0)
        if is_refused:
            raise ConnectionRefusedError
        return SimpleNamespace(abort=lambda: aborted.append(1)), None

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: failed.append(context["message"]))
        loop.create_connection = connect
        acquiring = asyncio.create_task(ConnectionPool("", 1.0, 1.0).acquire(parse_address("127.0.0.1:1"), "r1"))
        while not tasks or not tasks[0].done():
            await asyncio.sleep(0)
        acquiring.cancel()
        await asyncio.gather(acquiring, return_exceptions=True)
        tasks.clear()
        del acquiring
        gc.collect()

    run_async(scenario())
    assert failed == []
    assert len(aborted) == (0 if is_refused else 1)
