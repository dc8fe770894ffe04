"""Which requests the pipeline refuses while engines are overloaded."""

import pytest

from tests.unit.serving.fakes import (
    FakeClient,
    FakeReply,
    Script,
    event,
    make_generation,
    make_request,
    make_route,
    make_state,
)
from tests.virtual_time import run_virtual
from wallwell.deployment.routes import RouteKind
from wallwell.outcomes import Outcome
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.pipeline import RequestPipeline

STREAM = make_route(RouteKind.STREAM, resumable=True, rank=0)
OK = Script(chunks=(event(1),), stream=True)
SLOTS = 8


def serve(peers_load, generation=None, scripts=(OK,)):
    """Serve one request while each engine has this load from other nodes; return reply and client."""

    async def scenario():
        state = make_state(STREAM, versions={"m": 1})
        for backend in state.backends.all_backends():
            backend.peers_load = peers_load
        client, reply = FakeClient(*scripts), FakeReply()
        await RequestPipeline(state, client).serve(make_request(generation=generation), reply)
        return reply, client

    return run_virtual(scenario())


def test_a_new_generation_is_refused_at_once_with_a_retry_after():
    reply, client = serve(3 * SLOTS, make_generation())
    assert (reply.status, reply.error.outcome, client.sent) == (503, Outcome.NOT_RUN, [])
    assert reply.error.code == "WW3019"
    assert reply.error.retry_after_ms >= 500


@pytest.mark.parametrize(
    ("peers_load", "generation"),
    [
        (SLOTS, make_generation()),
        # A resumed stream, a node without load reports from peers, a call.
        (3 * SLOTS, make_generation(resume_after=3)),
        (None, make_generation()),
        (3 * SLOTS, None),
    ],
)
def test_requests_that_are_not_refused_for_overload(peers_load, generation):
    reply, client = serve(peers_load, generation)
    assert reply.ended in ("answered", "finished")
    assert len(client.sent) == 1


def test_a_generation_already_sent_is_not_refused_on_its_second_attempt():
    reply, client = serve(
        SLOTS, make_generation(), scripts=(Script(send_error=TransportEvent.RESET_AFTER_SEND), OK)
    )
    assert (reply.ended, len(client.sent)) == ("finished", 2)
