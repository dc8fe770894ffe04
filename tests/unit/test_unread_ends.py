"""Connections to back ends whose end, or something unexpected, waits in the socket and is not read yet."""

from __future__ import annotations

import asyncio
import select
import socket
import struct

import pytest
import uvloop

from tests.unit.test_http_connection import answer, fetch
from wallwell.address import parse_address
from wallwell.http_connection import ConnectFailedError, ConnectionPool


class BlockingServer:
    """Accepts connections outside the event loop, so that the loop has not read what happens to them."""

    def __init__(self):
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.address = parse_address(f"127.0.0.1:{self._listening.getsockname()[1]}")

    def accept(self):
        return self._listening.accept()[0]

    def close(self):
        self._listening.close()


def wait_until_readable(connection):
    """Block until the system has what the other end has done to a connection, which the event loop has not read."""
    assert select.select([connection.transport.get_extra_info("socket").fileno()], [], [], 5.0)[0]


def end_by_close(accepted):
    accepted.close()


def end_by_reset(accepted):
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    accepted.close()


def send_surplus(accepted):
    accepted.sendall(answer(b"r9", b"surplus"))


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
@pytest.mark.parametrize("act", [end_by_close, end_by_reset, send_surplus])
def test_a_kept_connection_whose_end_is_not_read_yet_carries_no_request(run_async, act, new_loop):
    """A request that must not be repeated was sent on it and ended as unknown, though the end was at hand."""

    async def work():
        server, pool = BlockingServer(), ConnectionPool("X-Id", connect_timeout_s=5.0, user_timeout_s=5.0)
        await pool.open_idle(server.address, 5.0)
        accepted = server.accept()
        (kept,) = pool._idle[server.address]
        act(accepted)
        wait_until_readable(kept)
        assert not kept.closed
        taken = await pool.acquire(server.address, "r1")
        assert taken is not kept and not taken.closed
        assert kept.closed or kept.transport.is_closing()
        taken.close()
        accepted.close()
        server.close()

    run_async(work(), new_loop)


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
@pytest.mark.parametrize("act", [end_by_close, end_by_reset])
def test_a_connection_that_ends_before_anything_is_sent_counts_as_not_made(run_async, act, new_loop, monkeypatch):
    """A request was written to it and ended as unknown, though nothing can have reached the back end."""
    connect = ConnectionPool._connect

    async def work():
        server, pool = BlockingServer(), ConnectionPool("X-Id", connect_timeout_s=5.0, user_timeout_s=5.0)

        async def connect_and_end(pool, address, timeout_s):
            connection = await connect(pool, address, timeout_s)
            act(server.accept())
            wait_until_readable(connection)
            return connection

        monkeypatch.setattr(ConnectionPool, "_connect", connect_and_end)
        with pytest.raises(ConnectFailedError):
            await fetch(pool, server.address)
        server.close()

    run_async(work(), new_loop)
