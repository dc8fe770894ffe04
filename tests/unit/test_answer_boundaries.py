"""Heads behind answers to other requests on one connection, for every way in which the bytes may arrive.

Guards against a head that is read without being checked, since it arrived together with what came before it, and
against a sound answer that is lost behind one.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.unit.test_answer_head import MALFORMED
from tests.unit.test_http_connection import ScriptedServer
from wallwell.answer_bounds import MAX_PIECES_PER_READ
from wallwell.backend_connection import BackendConnection, ConnectionBrokenError
from wallwell.http_connection import ConnectionPool

FOREIGN = b"HTTP/1.1 200 OK\r\nX-Id: other\r\n"
BEFORE = {
    "nothing": b"",
    "interim answer": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "answer without a body": FOREIGN + b"Content-Length: 0\r\n\r\n",
    "answer without content": b"HTTP/1.1 204 No Content\r\nX-Id: other\r\n\r\n",
    "answer with a length": FOREIGN + b"Content-Length: 11\r\n\r\nab\r\n\r\nHTTP/",
    "answer in chunks": FOREIGN + b"Transfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    "answer in chunks with a trailer": FOREIGN + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-T: t\r\n\r\n",
    "two answers": (FOREIGN + b"Content-Length: 2\r\n\r\nab") * 2,
}
SOUND = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nhello"
BROKEN = {
    "status": SOUND.replace(b"200", b"000"),
    "name": SOUND.replace(b"Content-Length", b"Content-Length "),
    "first name": SOUND.replace(b"X-Id", b" X-Id"),
}


class FakeTransport(asyncio.Transport):
    """Takes what is written and notes the end of the connection."""

    is_aborted = False

    def write(self, data):
        pass

    def abort(self):
        self.is_aborted = True

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


async def receive(pieces, has_body=True):
    """Return the status and body of the answer, or the error, and the connection's transport."""
    connection = BackendConnection(asyncio.get_running_loop(), "X-Id", lambda discarded: None)
    transport = FakeTransport()
    connection.connection_made(transport)
    round_trip = asyncio.ensure_future(connection.round_trip("r1", b"", has_body))
    await asyncio.sleep(0)
    for piece in pieces:
        connection.data_received(piece)
    connection.connection_lost(None)
    try:
        message = await round_trip
        return (message.code, b"".join([chunk async for chunk in connection.body()])), transport
    except ConnectionBrokenError as error:
        return error, transport


def splits(data):
    """Yield the data whole, byte by byte, and in two parts at each place."""
    yield [data]
    yield [bytes([byte]) for byte in data]
    yield from ([data[:place], data[place:]] for place in range(1, len(data)))


@pytest.mark.parametrize("before", BEFORE)
def test_answer_is_found_behind_others(run_async, before):
    async def work():
        return [await receive(pieces) for pieces in splits(BEFORE[before] + SOUND)]

    assert {answer for answer, _ in run_async(work())} == {(200, b"hello")}


@pytest.mark.parametrize("before", BEFORE)
@pytest.mark.parametrize("form", BROKEN)
def test_broken_head_is_noticed_behind_other_answers(run_async, before, form):
    async def work():
        return [await receive(pieces) for pieces in splits(BEFORE[before] + BROKEN[form])]

    for error, transport in run_async(work()):
        assert isinstance(error, ConnectionBrokenError) and "not an HTTP answer" in str(error)
        assert transport.is_aborted


def test_answers_to_head_have_no_body(run_async):
    answer = SOUND.removesuffix(b"hello")

    async def work():
        return [await receive(pieces, has_body=False) for pieces in splits(BEFORE["interim answer"] + answer)]

    assert {answer for answer, _ in run_async(work())} == {(200, b"")}


def test_end_of_a_discarded_body_that_only_the_parser_sees_is_no_boundary(run_async):
    """Guards against a head that the parser reads inside of what counts as a body: it was not checked."""
    lenient = FOREIGN + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\n\n"
    error, transport = run_async(receive([lenient + SOUND]))
    assert isinstance(error, ConnectionBrokenError)
    assert transport.is_aborted


def test_bodies_with_many_possible_ends_are_given_up(run_async):
    """Guards against an answer to another request that takes a parser's call for every few of its bytes."""
    possible_ends = b"\r\n\r\n" * (MAX_PIECES_PER_READ + 1)
    chunk = b"%x\r\n%s\r\n" % (len(possible_ends), possible_ends)
    error, _ = run_async(receive([FOREIGN + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n" + SOUND]))
    assert isinstance(error, ConnectionBrokenError)


def test_garbage_behind_a_whole_answer_takes_nothing_from_it(run_async):
    answer, _ = run_async(receive([SOUND + b"HTTP/1.1 000 OK\r\n\r\n"]))
    assert answer == (200, b"hello")


def test_bytes_of_a_body_are_not_quoted(run_async):
    """Guards against what an engine has written for a caller in a log of the router."""
    head = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def work():
        discarded = []
        connection = BackendConnection(asyncio.get_running_loop(), "X-Id", discarded.append)
        connection.connection_made(FakeTransport())
        round_trip = asyncio.ensure_future(connection.round_trip("r1", b""))
        await asyncio.sleep(0)
        for piece in (head, b"6\r\nsecret\r\nsecret\r\n"):
            connection.data_received(piece)
        await round_trip
        return discarded

    (line,) = run_async(work())
    assert line.detail and "secret" not in line.detail


def test_fetched_answer_that_is_none_is_not_believed(run_async):
    """Guards against what the store, a KV store, a report or the answer to an order seems to say."""

    async def fetch(form):
        heads = []
        async with ScriptedServer([MALFORMED[form] + b"[]"]) as server:
            pool = ConnectionPool("", connect_timeout_s=5.0, user_timeout_s=5.0)
            try:
                return await pool.fetch(server.address, b"GET / HTTP/1.1\r\n\r\n", 5.0, heads.append), heads
            except ConnectionBrokenError:
                return None, heads
            finally:
                pool.close()

    async def work():
        return {form: await fetch(form) for form in MALFORMED}

    believed = {form: result for form, result in run_async(work()).items() if result != (None, [])}
    assert believed == {}
