"""Connections to back ends and peers end when their remote end no longer acknowledges packets.

Packets cannot be dropped on the loopback interface, so the tests check the options of each kind of connection.
"""

import asyncio
import socket

import pytest

from wallwell.cluster.peer_link import PeerLink
from wallwell.errors import PeerUnavailableError
from wallwell.http_connection import ConnectionPool
from wallwell.socket_options import KEEPALIVE_PROBE_S, KEEPALIVE_PROBES


async def pooled(address):
    connection = await ConnectionPool("X-Id", 1.0, 1.0).acquire(address)
    return connection.transport


async def peer_link(address):
    link = PeerLink(address)
    with pytest.raises(PeerUnavailableError):
        await link.ask(None, type(None), 0.05)
    link = PeerLink(address)
    asking = asyncio.ensure_future(link.ask(None, type(None), 5.0))
    while link._streams is None:
        await asyncio.sleep(0.001)
    transport = link._streams[1].transport
    asking.add_done_callback(lambda done: done.exception())
    return transport


@pytest.mark.parametrize("connect", [pooled, peer_link])
def test_connection_has_keepalive_options(run_async, connect):
    async def scenario():
        server = await asyncio.start_server(lambda reader, writer: reader.read(), "127.0.0.1", 0)
        transport = await connect(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        raw = transport.get_extra_info("socket")
        options = [
            raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
            raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
            raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
            raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        ]
        transport.abort()
        server.close()
        return options

    assert run_async(scenario()) == [1, KEEPALIVE_PROBE_S, KEEPALIVE_PROBES, 1000]
