"""Peers that do not answer, or whose replies cannot be decoded, are logged once until they answer again."""

import asyncio

import msgspec
import pytest

from wallwell.address import parse_address
from wallwell.cluster import peer_link
from wallwell.cluster.peer_link import REFUSAL_LOG_INTERVAL_S, PeerLink, PeerLinks, PeerMessage, PeerServer
from wallwell.errors import PeerUnavailableError
from wallwell.events import Event


class Question(PeerMessage, frozen=True):
    """The request that this test sends."""

    number: int


class Answer(msgspec.Struct, frozen=True):
    """The expected reply."""

    number: int


class OtherAnswer(msgspec.Struct, frozen=True):
    """The reply of a peer of another version."""

    text: str = "x"


@pytest.fixture
def logged(monkeypatch):
    events = []
    monkeypatch.setattr(peer_link, "emit", lambda event, **fields: events.append((event, fields)))
    return events


async def ask(links, address, times=3):
    for _ in range(times):
        try:
            await links.to("n1", parse_address(address)).ask(Question(1), Answer, 1.0)
        except PeerUnavailableError:
            links.keep(set())


def test_each_change_of_a_peer_is_logged_once_across_new_links(run_async, logged):
    replies = [Answer(1)]

    async def answer(question):
        return replies[0]

    async def work():
        server, links = PeerServer({Question: answer}), PeerLinks()
        await server.start("127.0.0.1", 0)
        try:
            await ask(links, server.address)
            replies[0] = OtherAnswer()
            await ask(links, server.address)
            replies[0] = Answer(1)
            await ask(links, server.address)
        finally:
            server.close()
        await asyncio.sleep(0)
        await ask(links, server.address)
        return server.address

    address = run_async(work())
    assert [event for event, _ in logged] == [Event.PEER_REPLY_UNREADABLE, Event.PEER_ANSWERS, Event.PEER_SILENT]
    assert {(fields["peer"], fields.get("request", "Question")) for _, fields in logged} == {(address, "Question")}


def test_undecodable_requests_are_logged_at_an_interval_with_their_count(run_async, logged, monkeypatch):
    now_s = [100.0]
    monkeypatch.setattr(peer_link, "boot_time_s", lambda: now_s[0])

    async def send(address):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'{"type":"Unknown"}\n')
        try:
            assert await reader.read() == b""
        except ConnectionResetError:
            pass  # The server aborts the connection; the client may see an end of file or a reset.
        writer.close()

    async def work():
        server = PeerServer({Question: None})
        await server.start("127.0.0.1", 0)
        for step_s in (0.0, 1.0, 1.0, REFUSAL_LOG_INTERVAL_S):
            now_s[0] += step_s
            await send(server.address)
        server.close()

    run_async(work())
    assert [(event, fields["refused"]) for event, fields in logged] == [
        (Event.PEER_REQUEST_REFUSED, 1),
        (Event.PEER_REQUEST_REFUSED, 3),
    ]


@pytest.mark.parametrize("error", [ValueError("scripted"), KeyError("scripted"), ZeroDivisionError("scripted")])
def test_a_handlers_own_fault_is_no_refusal(error, run_async, logged, monkeypatch):
    """Guards against faults of this node that stood in the log as requests of a peer which cannot be decoded."""
    faults = []
    monkeypatch.setattr(peer_link.UnexpectedErrors, "record", lambda _, key, error: faults.append((key, error)))

    async def fail(_request):
        raise error

    async def work():
        server = PeerServer({Question: fail})
        await server.start("127.0.0.1", 0)
        with pytest.raises(PeerUnavailableError):
            await PeerLink(parse_address(server.address)).ask(Question(1), Answer, 1.0)
        server.close()

    run_async(work())
    assert faults == [("Question", error)]
    assert Event.PEER_REQUEST_REFUSED not in [event for event, _ in logged]
