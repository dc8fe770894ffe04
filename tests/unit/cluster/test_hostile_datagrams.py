"""Datagrams about streams with hostile values: each is lost or believed without harm to what comes later."""

import asyncio

import msgspec
import pytest

from tests.hostile_messages import drawn_bytes, hostile_messages
from wallwell.address import Address
from wallwell.cluster import stream_directory
from wallwell.cluster.stream_directory import StreamDirectory
from wallwell.cluster.stream_messages import StreamBegun, StreamQuery, StreamReply, stream_digest
from wallwell.cluster.upstream import NodeRecord
from wallwell.deployment.topology import Topology
from wallwell.events import Event

PEER = Address("10.0.0.9", 7)
STREAM = stream_digest("caller", "r1")


class Transport:
    """Collects the datagrams that are sent."""

    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, data, target):
        self.sent.append((data, target))


def make_directory():
    members = {"peer": NodeRecord("z", str(PEER), keeps_streams=True)}
    directory = StreamDirectory("own", Topology("z"), lambda: members, lambda service: {"v1", "v2"})
    directory._transport = Transport()
    return directory


@pytest.fixture
def logged(monkeypatch):
    events = []
    monkeypatch.setattr(stream_directory, "emit", lambda event, **fields: events.append(event))
    monkeypatch.setattr(stream_directory, "REFUSAL_LOG_INTERVAL_S", 0.0)
    return events


@pytest.mark.parametrize("message_type", [StreamBegun, StreamQuery, StreamReply], ids=lambda each: each.__name__)
def test_a_hostile_datagram_is_lost_or_harmless(message_type, logged):
    """A datagram nested deeply left the protocol's callback, of which the event loop printed a traceback."""

    async def work():
        directory = make_directory()
        for name, data in (*hostile_messages(message_type), *drawn_bytes(message_type, 300, seed=3)):
            before = len(logged)
            directory.on_datagram(data, PEER)
            assert len(logged) - before <= 1, name
        directory.on_begun(STREAM, "svc", "v1", 30.0)
        assert directory.find_here(STREAM).software == "v1"
        directory.on_datagram(msgspec.json.encode(StreamQuery(5, STREAM, "svc")), PEER)
        answered, target = directory._transport.sent[-1]
        assert msgspec.json.decode(answered, type=StreamReply).software == "v1"
        assert target == (PEER.host, PEER.port)

    asyncio.run(work())
    assert set(logged) == {Event.STREAM_DATAGRAM_LOST}


def test_a_hostile_reply_to_a_query_is_reported_or_lost(logged):
    """An age of 1e308 s raised OverflowError where the log line of the resumed request is made."""

    async def work():
        directory = make_directory()
        for name, data in hostile_messages(StreamReply):
            query = directory._queries[1] = stream_directory._Query([stream_directory.Holder("peer", PEER)])
            directory.on_datagram(data, PEER)
            for _, reply in query.replies:
                assert round(reply.age_s * 1000) >= 0, name

    asyncio.run(work())


def test_an_unexpected_error_with_one_datagram_is_logged_and_others_are_handled(monkeypatch):
    """It left the protocol's callback, and was printed as text by the event loop."""
    errors = []
    monkeypatch.setattr(
        "wallwell.cluster.unexpected_errors.emit", lambda event, **fields: errors.append((event, fields))
    )

    async def work():
        directory = make_directory()
        monkeypatch.setattr(directory, "_versions", lambda service: len(service.nothing))
        for _ in range(3):
            directory.on_datagram(msgspec.json.encode(StreamQuery(5, STREAM, "svc")), PEER)
        directory.on_datagram(msgspec.json.encode(StreamBegun(STREAM, "v1", 30.0)), PEER)
        assert directory.find_here(STREAM).software == "v1"

    asyncio.run(work())
    assert [(event, fields["where"], fields["key"]) for event, fields in errors] == [
        (Event.INTERNAL_ERROR, "datagram about streams", PEER.host)
    ]
