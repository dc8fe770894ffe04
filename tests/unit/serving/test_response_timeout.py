"""Waiting for heads: an answer that nobody waits for any more is closed, so that its back end stops."""

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
from wallwell.routing.retry.first_token import Delays
from wallwell.serving.pipeline import RequestPipeline

STREAMING = Script(chunks=(10.0, b"late"), head_after_s=0.01)


class LeavingCaller(FakeClient):
    """Cancels the serving task in the very turn of the event loop in which the head arrives."""

    serving: asyncio.Task

    async def send(self, dispatch):
        answer = await super().send(dispatch)
        asyncio.get_running_loop().call_soon(self.serving.cancel)
        return answer


def test_a_caller_who_leaves_as_the_head_arrives_ends_the_work_of_the_back_end():
    async def work():
        client = LeavingCaller(STREAMING)
        pipeline = RequestPipeline(make_state(), client)
        client.serving = asyncio.ensure_future(pipeline.serve(make_request(), FakeReply()))
        await asyncio.gather(client.serving, return_exceptions=True)
        return client

    client = run_virtual(work())
    assert client.serving.cancelled()
    assert len(client.sent) == 1
    assert client.cancelled == 1


@pytest.mark.parametrize(("peers", "sent"), [(Delays(100, 20), 2), (Delays(100, 60), 1)], ids=["in time", "behind"])
def test_a_silent_engine_is_left_only_if_the_others_are_not_behind_as_well(peers, sent):
    """Found on a deployment of 195 nodes: 60 prompts a second were read again, and the fleet stayed behind."""

    async def work():
        state = make_state(make_route(RouteKind.STREAM, resumable=True))
        state.first_token_delays.peers = peers
        client = FakeClient(
            Script(chunks=(event(1),), head_after_s=1.5, stream=True), Script(chunks=(event(1),), stream=True)
        )
        reply = FakeReply()
        await RequestPipeline(state, client).serve(make_request(generation=make_generation()), reply)
        return len(client.sent), reply.ended

    assert run_virtual(work()) == (sent, "finished")


def test_attempts_that_are_given_up_count_as_late():
    async def work():
        state = make_state(make_route(RouteKind.STREAM, resumable=True))
        client = FakeClient(
            Script(chunks=(event(1),), head_after_s=1.5, stream=True), Script(chunks=(event(1),), stream=True)
        )
        await RequestPipeline(state, client).serve(make_request(generation=make_generation()), FakeReply())
        return state.first_token_delays.own(boot_time_s())

    delays = run_virtual(work())
    assert delays == Delays(2, 1)


class UnresponsiveNetwork(FakeClient):
    """The first connections are unresponsive beyond the response timeout; the others come up."""

    def __init__(self, unresponsive):
        super().__init__(Script(chunks=(b"ok",)))
        self.unresponsive = unresponsive

    async def send(self, dispatch):
        if self.unresponsive:
            self.unresponsive -= 1
            dispatch.progress.connecting = True
            await asyncio.sleep(5.0)
        return await super().send(dispatch)


def test_attempts_given_up_while_connecting_have_not_run():
    """With an objective of 0.16 s the response timeout ends before a connection's: no attempt was left then."""

    async def work():
        state, reply = make_state(make_route(attempts=2)), FakeReply()
        client = UnresponsiveNetwork(unresponsive=2)
        await RequestPipeline(state, client).serve(make_request(), reply)
        return reply.status, len(client.sent), sum(each.suspended_until_s > 0 for each in state.backends.all())

    assert run_virtual(work()) == (200, 1, 2)


class LoadedMeanwhile(FakeClient):
    """Its engine gets the newest weights while it works on the request, before its answer begins."""

    def __init__(self, state):
        super().__init__(Script(chunks=(event(1),), head_after_s=1.5, stream=True))
        self.state = state

    async def send(self, dispatch):
        backend = self.state.backends.get(dispatch.backend.incarnation)
        asyncio.get_running_loop().call_later(0.2, backend.learn_version, "m", 2)
        return await super().send(dispatch)


def test_an_engine_whose_weights_are_the_newest_by_now_is_waited_for():
    """Its weights would have been too old 1 s after the sending; a silence of 0.4 s is looked into before."""

    async def work():
        state = make_state(make_route(RouteKind.STREAM, resumable=True), versions={"m": 1})
        state.weights.add_version("m", 2, boot_time_s() - 6.75)
        state.first_token_delays.peers = Delays(100, 60)
        client, reply = LoadedMeanwhile(state), FakeReply()
        await RequestPipeline(state, client).serve(make_request(generation=make_generation()), reply)
        return len(client.sent), reply.ended

    assert run_virtual(work()) == (1, "finished")
