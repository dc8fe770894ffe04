"""Replies of a peer that makes an attempt, with hostile values: the attempt ends as one that may have run."""

import asyncio
import random

import msgspec
import pytest

from tests.hostile_messages import drawn_bytes, hostile_messages, sound_value
from tests.unit.serving.fakes import make_request, make_state
from tests.virtual_time import run_virtual
from wallwell.address import Address
from wallwell.clock import boot_time_s
from wallwell.deployment.topology import SINGLE_REGION
from wallwell.node.backend_notices import apply_notice
from wallwell.peer_attempts import client as client_module
from wallwell.peer_attempts.client import NoPeerError, PeerAttemptClient
from wallwell.peer_attempts.messages import (
    AnswerData,
    AnswerEnded,
    AnswerStarted,
    AttemptDeclined,
    AttemptFailed,
)
from wallwell.routing.health.backend_notice import BackendNotices
from wallwell.routing.selection.peer_choice import PeerChoice, PeerNode
from wallwell.serving.messages import AttemptError, Dispatch

ADDRESS = Address("10.0.0.9", 7)
SOUND_START = msgspec.json.encode(AnswerStarted(200, ((b"X-Mark", b"kept"),)))
SOUND_ANSWER = [SOUND_START, msgspec.json.encode(AnswerData(b"x")), msgspec.json.encode(AnswerEnded())]


class Writer:
    """Stands for a connection's writing side."""

    def __init__(self):
        self.transport = self

    def write(self, data):
        pass

    def abort(self):
        pass


@pytest.fixture
def replies(monkeypatch):
    """Lines with which the peer answers each attempt; it then closes the connection."""
    lines = []

    async def open_connection(host, port, limit):
        assert (host, port) == (ADDRESS.host, ADDRESS.port)
        reader = asyncio.StreamReader(limit=limit)
        reader.feed_data(b"".join(line + b"\n" for line in lines))
        reader.feed_eof()
        return reader, Writer()

    monkeypatch.setattr(client_module.asyncio, "open_connection", open_connection)
    monkeypatch.setattr(client_module, "enable_keepalive", lambda transport, timeout_s: None)
    return lines


async def attempt(state):
    """Make one attempt through the peer; return its body, or the error with which it ended."""
    notices = BackendNotices()
    notices.on_notice = lambda incarnation, notice: apply_notice(state, incarnation, notice)
    choice = PeerChoice(SINGLE_REGION, random.Random(1))
    client = PeerAttemptClient(choice, lambda: [PeerNode("peer", "z1", ADDRESS)], notices)
    dispatch = Dispatch(state.backends.get("i-0").record, make_request(), "t", 5.0, 5)
    try:
        answer = await client.send(dispatch)
        return b"".join([chunk async for chunk in answer.chunks()])
    except (AttemptError, NoPeerError) as error:
        return error


def hostile_replies(message_type):
    """Return the lines of whole replies in which one message is hostile."""
    sound = sound_value(message_type)
    if message_type is AnswerStarted:
        sound |= {"status": 200, "headers": [["WC1NYXJr", "a2VwdA=="]]}
    for name, line in (*hostile_messages(message_type, sound), *drawn_bytes(message_type, 100, 5, sound)):
        if message_type in (AnswerData, AnswerEnded):
            yield name, [SOUND_START, line]
        else:
            yield name, [line, *SOUND_ANSWER[1:]]


@pytest.mark.parametrize(
    "message_type",
    [AttemptDeclined, AttemptFailed, AnswerStarted, AnswerData, AnswerEnded],
    ids=lambda each: each.__name__,
)
def test_a_hostile_reply_ends_one_attempt_as_it_may_have_run(message_type, replies):
    """A reply nested deeply raised RecursionError, which nothing on the way to the caller expects."""

    async def work():
        for name, lines in hostile_replies(message_type):
            state = make_state(backends=2)
            replies[:] = lines
            try:
                result = await attempt(state)
                state.load.limits.levels(boot_time_s())
                state.load.own_load(boot_time_s())
                state.brittle_wait_s(state.backends.get("i-0"), 0.1, boot_time_s())
            except Exception as error:
                raise AssertionError(name) from error
            assert isinstance(result, bytes | AttemptError | NoPeerError), name
            replies[:] = SOUND_ANSWER
            assert await attempt(state) == b"x", name

    run_virtual(work())
