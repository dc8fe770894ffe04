"""Requests that peers send as a server for peers closes are answered."""

import asyncio
import socket

import msgspec
import pytest
import uvloop

from tests.unit.cluster.test_peer_link import Answer, Question
from wallwell.cluster.peer_link import FIRST_REQUEST_WAIT_S, PeerMessage, PeerServer

LINE = msgspec.json.encode(Question(1)) + b"\n"


class StreamQuestion(PeerMessage, frozen=True):
    """A request whose reply is a stream."""


STREAM_LINE = msgspec.json.encode(StreamQuestion()) + b"\n"


async def answer(_question):
    return Answer(1)


async def answer_stream(_question, replies):
    await replies.send(Answer(2))


async def serving(scenario):
    server = PeerServer({Question: answer}, {StreamQuestion: answer_stream})
    await server.start("127.0.0.1", 0)
    try:
        return await asyncio.wait_for(scenario(server), 10.0)
    finally:
        server.close()
        server.abort_streams()
        await asyncio.sleep(0)


def connect(server):
    """Return a connection that the system has made; the server's process has not looked at it yet."""
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)))


async def read_all(connection):
    """Return what comes until the end; raises ConnectionResetError if the connection is reset."""
    connection.setblocking(False)
    data = b""
    while part := await asyncio.get_running_loop().sock_recv(connection, 4096):
        data += part
    connection.close()
    return data


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
@pytest.mark.parametrize("line", [LINE, STREAM_LINE], ids=["reply", "stream"])
@pytest.mark.parametrize("moment", ["connected", "accepted", "accepted, sent after"])
def test_a_request_on_a_new_connection_is_answered_as_the_server_closes(run_async, moment, line, new_loop):
    """Its connection was reset, and an attempt that must not be repeated was lost, although it had not run."""

    async def scenario(server):
        connection = connect(server)
        if moment == "connected":
            connection.sendall(line)
        else:
            await asyncio.sleep(0.05)
        if moment == "accepted":
            connection.sendall(line)
        server.close()
        if moment == "accepted, sent after":
            await asyncio.sleep(FIRST_REQUEST_WAIT_S / 10)
            connection.sendall(line)
        return await read_all(connection)

    reply = msgspec.json.decode(run_async(serving(scenario), new_loop), type=Answer)
    assert reply.number in (1, 2)


def test_connections_that_have_been_used_end_at_once_and_unused_ones_soon(run_async):
    async def scenario(server):
        used, unused = connect(server), connect(server)
        used.sendall(LINE)
        await asyncio.sleep(0.05)
        assert used.recv(4096).endswith(b"\n")
        server.close()
        begun_s = asyncio.get_running_loop().time()
        for connection, bound_s in ((used, FIRST_REQUEST_WAIT_S / 2), (unused, FIRST_REQUEST_WAIT_S * 2)):
            with pytest.raises(ConnectionResetError):
                assert await read_all(connection) == b""
                raise ConnectionResetError  # Closed in order: as good.
            assert asyncio.get_running_loop().time() - begun_s < bound_s
        with pytest.raises(OSError):
            connect(server)

    run_async(serving(scenario))
