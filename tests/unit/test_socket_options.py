"""Connections to back ends and peers end when their remote end no longer acknowledges packets.

Packets cannot be dropped on the loopback interface, so the tests check the options of each kind of connection.
"""

import asyncio
import socket

import pytest

from wallwell.address import parse_address
from wallwell.cluster.peer_link import PeerLink
from wallwell.errors import PeerUnavailableError
from wallwell.http_connection import ConnectionPool
from wallwell.platform.worker_client import TCP_USER_TIMEOUT_S
from wallwell.socket_options import KEEPALIVE_PROBE_S, idle_end_s, survived_silence_s

SOUND_SILENCE_S = 1.5
"""Longest silence, in seconds, of a worker that is sound."""
CONTACT_S = 3.0
"""Seconds after the start of a cut from which requests must be served, so that no dead connection is used then."""


async def pooled(address):
    connection = await ConnectionPool("X-Id", 1.0, 1.0).acquire(parse_address(address), "r1")
    return connection.transport


async def peer_link(address):
    link = PeerLink(parse_address(address))
    with pytest.raises(PeerUnavailableError):
        await link.ask(None, type(None), 0.05)
    link = PeerLink(parse_address(address))
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

    assert run_async(scenario()) == [1, KEEPALIVE_PROBE_S, 1, 1000]


def test_connections_to_workers_survive_a_short_silence_and_end_soon_after_a_cut():
    """Guards against giving up unsafe requests at a sound worker that is silent for a second or so."""
    assert survived_silence_s(TCP_USER_TIMEOUT_S) > SOUND_SILENCE_S
    assert idle_end_s(TCP_USER_TIMEOUT_S) <= CONTACT_S


@pytest.mark.parametrize(
    ("unacknowledged_s", "idle_ends_s", "survived_s"),
    [(0.5, 2.0, 0.5), (1.0, 2.0, 1.0), (1.5, 2.0, 1.0), (2.5, 3.0, 2.0)],
)
def test_time_for_unacknowledged_bytes_also_decides_when_idle_connections_end(
    unacknowledged_s, idle_ends_s, survived_s
):
    assert idle_end_s(unacknowledged_s) == idle_ends_s
    assert survived_silence_s(unacknowledged_s) == survived_s
