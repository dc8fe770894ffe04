"""Callers that keep their connections use them as they say, and record what they sent and got."""

from __future__ import annotations

import asyncio
import time

import pytest

from wallwell.platform import names
from wallwell.soak import kept_caller_process
from wallwell.soak.answers import call_body, pace_of, paced_path
from wallwell.soak.history import HISTORY_SUFFIX, Answered, RequestKind, Sent, SentWhole, read_history
from wallwell.soak.kept_caller_process import KeptCallerProcess, KeptCallerSettings
from wallwell.soak.raw_http import encode_chunk, encode_head, read_body, read_head
from wallwell.soak.schedule import GoesOn, KeptCaller, PlannedRequest

CALLS_S = 0.5
"""Seconds in which the caller of a test begins requests."""
CLOSES = "Connection: close\r\n"


class Node:
    """Serves raw sockets: each request is answered whole after ``answer_s``, by default on an open connection."""

    def __init__(self, answer_s=0.02, status=200, more="", cut=False):
        self._answer_s, self._status, self._more, self._cut = answer_s, status, more, cut
        self.connections = 0
        self.read_s = []
        """When each request had been read whole."""

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                await self._read_body(head, reader)
                self.read_s.append(time.monotonic())
                request = next(line for line in head.split("\r\n") if line.startswith("x-request-id")).split()[1]
                if not await self._answer(request, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The caller has closed the connection.
        finally:
            writer.close()

    async def _answer(self, request, writer):
        body = call_body(request)
        head = (
            f"HTTP/1.1 {self._status} OK\r\n{names.REQUEST_ID}: {request}\r\n{names.SEAL}: seal-w.1\r\n{self._more}"
        )
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body[:10])
        await asyncio.sleep(self._answer_s)
        if not self._cut:
            writer.write(body[10:])
        return not (self._more or self._cut)

    async def _read_body(self, head, reader):
        if "transfer-encoding: chunked" not in head:
            await reader.readexactly(int(head.partition("content-length:")[2].split()[0]))
            return
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)


@pytest.fixture(autouse=True)
def only_calls(monkeypatch):
    def draw(caller, number):
        return PlannedRequest(0.0, f"r-{number}", RequestKind.UNSAFE, 0, "key-a", 2.0, pace_s=0.02)

    monkeypatch.setattr(kept_caller_process, "draw_kept_request", draw)


def play(run_async, tmp_path, goes_on, node):
    """Return the records of one caller at a node by type."""

    async def work():
        server = await asyncio.start_server(node.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        caller = KeptCaller("c", 0, 0.0, CALLS_S, goes_on)
        path = str(tmp_path / f"c{HISTORY_SUFFIX}")
        settings = KeptCallerSettings(path, (f"{host}:{port}",), time.monotonic(), (caller,))
        await KeptCallerProcess(settings).run()
        server.close()

    run_async(work())
    records = read_history(tmp_path)
    return {kind: [each for each in records if isinstance(each, kind)] for kind in (Sent, SentWhole, Answered)}


def pauses_s(records):
    """Return the seconds between each answer and the next request."""
    return [sent.at_s - answer.at_s for answer, sent in zip(records[Answered], records[Sent][1:], strict=False)]


@pytest.mark.parametrize("goes_on", [each for each in GoesOn if each is not GoesOn.NEW_CONNECTION])
def test_a_caller_uses_one_connection_for_many_requests(run_async, tmp_path, goes_on):
    node = Node()
    records = play(run_async, tmp_path, goes_on, node)
    assert node.connections == 1
    assert len(records[Answered]) == len(records[Sent]) > 1
    assert all(
        (each.status, each.whole, each.own, each.kept) == (200, True, True, True) for each in records[Answered]
    )


def test_a_caller_sends_the_next_request_at_once_or_after_its_pause(run_async, tmp_path):
    for goes_on, least_s in ((GoesOn.AT_ONCE, 0.0), (GoesOn.AFTER_30_MS, 0.03)):
        folder = tmp_path / goes_on.value
        folder.mkdir()
        found_s = sorted(pauses_s(play(run_async, folder, goes_on, Node())))
        assert least_s <= found_s[len(found_s) // 2] < least_s + 0.01


def test_a_caller_that_pipelines_sends_the_next_request_while_the_answer_comes(run_async, tmp_path):
    records = play(run_async, tmp_path, GoesOn.PIPELINED, Node())
    assert [each.behind for each in records[Sent][1:]] == [each.request for each in records[Sent][:-1]]
    assert all(pause_s < 0 for pause_s in pauses_s(records))


def test_a_body_in_slow_chunks_is_recorded_as_its_last_byte_is_sent(run_async, tmp_path):
    node = Node()
    records = play(run_async, tmp_path, GoesOn.SLOW_CHUNKS, node)
    assert [each.request for each in records[SentWhole]] == [each.request for each in records[Sent]]
    for sent, whole, read_s in zip(records[Sent], records[SentWhole], node.read_s, strict=True):
        assert sent.in_chunks
        assert sent.at_s + 0.04 < whole.at_s < read_s + 0.02


@pytest.mark.parametrize(("goes_on", "more"), [(GoesOn.NEW_CONNECTION, ""), (GoesOn.AT_ONCE, CLOSES)])
def test_a_connection_that_is_not_kept_is_followed_by_another_one(run_async, tmp_path, goes_on, more):
    node = Node(more=more)
    records = play(run_async, tmp_path, goes_on, node)
    assert node.connections == len(records[Sent]) > 1
    assert all(each.kept is not bool(more) for each in records[Answered])


def test_a_cut_answer_and_the_request_behind_it_are_recorded(run_async, tmp_path):
    records = play(run_async, tmp_path, GoesOn.PIPELINED, Node(cut=True))
    first, second = records[Answered][:2]
    assert (first.status, first.whole, first.own) == (200, False, True)
    assert (second.status, second.whole) == (0, False)
    assert records[Sent][1].behind == first.request


def test_a_caller_pauses_after_a_refusal(run_async, tmp_path):
    records = play(run_async, tmp_path, GoesOn.AT_ONCE, Node(answer_s=0.0, status=503, more=CLOSES))
    assert 1 < len(records[Sent]) <= CALLS_S / kept_caller_process.AFTER_REFUSAL_S + 1
    assert {each.status for each in records[Answered]} == {503}


def read(run_async, data):
    """Return head and body of an answer that comes in one piece, before its connection ends."""

    async def work():
        reader, body = asyncio.StreamReader(), []
        reader.feed_data(data)
        reader.feed_eof()
        head = await read_head(reader)
        await read_body(reader, head, body.append)
        return head, b"".join(body)

    return run_async(work())


@pytest.mark.parametrize(
    ("headers", "body", "keeps"),
    [
        ("Content-Length: 4\r\n", b"body", True),
        ("Content-Length: 4\r\nConnection: Close\r\n", b"body", False),
        ("Transfer-Encoding: chunked\r\n", encode_chunk(b"bo") + encode_chunk(b"dy") + encode_chunk(b""), True),
        ("Transfer-Encoding: chunked\r\n", b"4;more\r\nbody\r\n0\r\nTrailer: 1\r\n\r\n", True),
        ("", b"body", False),
    ],
)
def test_an_answer_is_read_whole_however_its_end_is_told(run_async, headers, body, keeps):
    head, read_whole = read(run_async, f"HTTP/1.1 200 OK\r\n{headers}\r\n".encode() + body)
    assert (head.status, read_whole, head.keeps_connection) == (200, b"body", keeps)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo",
    ],
)
def test_an_answer_that_ends_early_is_not_whole(run_async, data):
    with pytest.raises(EOFError):
        read(run_async, data)


def test_a_head_names_path_and_headers():
    assert encode_head("/a/b", {"Host": "h", "X": "1"}) == b"POST /a/b HTTP/1.1\r\nHost: h\r\nX: 1\r\n\r\n"


def test_a_path_tells_its_worker_the_pace():
    assert pace_of(paced_path("/chat/", 0.08, "r-1")) == 0.08
    assert pace_of("/chat/r-1") is None
