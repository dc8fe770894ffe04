"""Waiting for the head of an answer: abandoned answers are closed, so that their back ends stop working."""

import asyncio

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
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind
from wallwell.routing.retry.first_token import DelayCounts
from wallwell.serving.pipeline import RequestPipeline

STREAMING = Script(chunks=(10.0, b"late"), head_delay_s=0.01)


class DisconnectingCallerClient(FakeClient):
    """Cancels the serving task in the same iteration of the event loop in which the head arrives."""

    serving: asyncio.Task

    async def send(self, dispatch):
        answer = await super().send(dispatch)
        asyncio.get_running_loop().call_soon(self.serving.cancel)
        return answer


def test_an_answer_is_closed_if_its_caller_disconnects_as_the_head_arrives():
    async def scenario():
        client = DisconnectingCallerClient(STREAMING)
        pipeline = RequestPipeline(make_state(), client)
        client.serving = asyncio.ensure_future(pipeline.serve(make_request(), FakeReply()))
        await asyncio.gather(client.serving, return_exceptions=True)
        return client

    client = run_virtual(scenario())
    assert client.serving.cancelled()
    assert len(client.sent) == 1
    assert client.cancelled == 1


@pytest.mark.parametrize(
    ("peers", "sent"), [(DelayCounts(100, 20), 2), (DelayCounts(100, 60), 1)], ids=["in time", "behind"]
)
def test_a_silent_engine_is_abandoned_only_if_the_fleet_is_not_behind(peers, sent):
    """In a deployment of 195 nodes, 60 prompts per second had been prefilled again, and the fleet stayed behind."""

    async def scenario():
        state = make_state(make_route(RouteKind.STREAM, resumable=True))
        state.first_token_delays.peer_counts = peers
        client = FakeClient(
            Script(chunks=(event(1),), head_delay_s=1.5, stream=True), Script(chunks=(event(1),), stream=True)
        )
        reply = FakeReply()
        await RequestPipeline(state, client).serve(make_request(generation=make_generation()), reply)
        return len(client.sent), reply.ended

    assert run_virtual(scenario()) == (sent, "finished")


def test_abandoned_attempts_count_as_late_first_tokens():
    async def scenario():
        state = make_state(make_route(RouteKind.STREAM, resumable=True))
        client = FakeClient(
            Script(chunks=(event(1),), head_delay_s=1.5, stream=True), Script(chunks=(event(1),), stream=True)
        )
        await RequestPipeline(state, client).serve(make_request(generation=make_generation()), FakeReply())
        return state.first_token_delays.own_counts(boot_time_s())

    delays = run_virtual(scenario())
    assert delays == DelayCounts(2, 1)


class UnresponsiveNetwork(FakeClient):
    """The first connections take longer than the response timeout; later ones succeed."""

    def __init__(self, unresponsive):
        super().__init__(Script(chunks=(b"ok",)))
        self.unresponsive = unresponsive

    async def send(self, dispatch):
        if self.unresponsive:
            self.unresponsive -= 1
            dispatch.progress.connecting = True
            await asyncio.sleep(5.0)
        return await super().send(dispatch)


def test_attempts_abandoned_while_connecting_do_not_count_as_runs():
    """With an objective of 0.16 s, the response timeout is shorter than the connect timeout; the attempts had been
    used up by connections."""

    async def scenario():
        state, reply = make_state(make_route(attempts=2)), FakeReply()
        client = UnresponsiveNetwork(unresponsive=2)
        await RequestPipeline(state, client).serve(make_request(), reply)
        return (
            reply.status,
            len(client.sent),
            sum(each.suspended_until_s > 0 for each in state.backends.all_backends()),
        )

    assert run_virtual(scenario()) == (200, 1, 2)


class WeightsUpdatedDuringRequest(FakeClient):
    """The engine gets the newest weights while it processes the request, before its answer starts."""

    def __init__(self, state):
        super().__init__(Script(chunks=(event(1),), head_delay_s=1.5, stream=True))
        self.state = state

    async def send(self, dispatch):
        backend = self.state.backends.get(dispatch.backend.incarnation)
        asyncio.get_running_loop().call_later(0.2, backend.set_believed_version, "m", 2)
        return await super().send(dispatch)


def test_an_engine_that_gets_the_newest_weights_during_the_wait_is_not_abandoned():
    """The old weights expire 1 s after sending; the response timeout of 0.4 s is checked before that."""

    async def scenario():
        state = make_state(make_route(RouteKind.STREAM, resumable=True), versions={"m": 1})
        state.weights.add_version("m", 2, boot_time_s() - 6.75)
        state.first_token_delays.peer_counts = DelayCounts(100, 60)
        client, reply = WeightsUpdatedDuringRequest(state), FakeReply()
        await RequestPipeline(state, client).serve(make_request(generation=make_generation()), reply)
        return len(client.sent), reply.ended

    assert run_virtual(scenario()) == (1, "finished")
