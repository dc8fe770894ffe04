"""A node serves its peers on the first free port, and logs once that others were in use."""

import asyncio
from types import SimpleNamespace

import pytest

from wallwell.events import Event
from wallwell.node import node as node_module
from wallwell.node.node import FleetNode


class FakePeerServer:
    """Raises OSError for ports that are not free."""

    def __init__(self, free):
        self.free = free
        self.port = None

    async def start(self, host, port):
        if port not in self.free:
            raise OSError("address in use")
        self.port = port


async def _nothing():
    return None


@pytest.mark.parametrize(
    ("free", "port", "expected"),
    [
        ({1, 2, 3}, 1, []),
        ({3}, 3, [Event.PEER_PORTS_REFUSED]),
        (set(), None, [Event.RELAY_NOT_SERVED, Event.PEER_PORTS_REFUSED]),
    ],
)
def test_the_first_free_port_serves_peers(monkeypatch, free, port, expected):
    events = []
    monkeypatch.setattr(node_module, "emit", lambda event, **fields: events.append(event))
    node = SimpleNamespace(_peer_server=FakePeerServer(free), _listen_for_datagrams=_nothing)
    asyncio.run(FleetNode.listen_for_peers(node, "127.0.0.1", range(1, 4)))
    assert (node._peer_server.port, events) == (port, expected)
