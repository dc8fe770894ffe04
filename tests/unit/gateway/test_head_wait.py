"""Waiting for heads: an answer that nobody waits for any more is closed, so that its back end stops."""

import asyncio

from tests.unit.gateway.fakes import FakeClient, FakeReply, Script, make_request, make_state
from tests.virtual_time import run_virtual
from wallwell.gateway.pipeline import RequestPipeline

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
