"""Engines that send an answer a second time, just before the next one on the connection."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.repeating_server import RepeatingServer, answer
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.standalone.backends.engine_client import EngineClient, GenerationCall, GenerationHead, client_session
from wallwell.standalone.backends.engine_protocol import CancelState


def refusal(request_id):
    return answer(503, b'{"reason":"loading"}', X_Request_Id=request_id)


def cancelled(request_id, state):
    return answer(200, json.dumps({"state": state}).encode(), X_Request_Id=f"{request_id}.cancel")


async def generate(client, request_id):
    """Return how a generation without tokens ended."""
    call = GenerationCall("/v1/completions", request_id, b"{}", 255, "inc-1", "w3", 4, 0, 2.0, 2.0)
    try:
        return [event async for event in client.generate(call, GenerationHead())]
    except AttemptFailed as failure:
        return failure.event


def with_engine(run_async, answers, scenario):
    async def work():
        session = client_session()
        async with asyncio.timeout(5), RepeatingServer(*answers) as engine:
            try:
                return await scenario(EngineClient(engine.address, session))
            finally:
                await session.close()

    return run_async(work())


@pytest.mark.parametrize(
    "second", [refusal("r2"), answer(200, b"data: [DONE]\n\n", X_Request_Id="r2")], ids=["refused", "runs"]
)
def test_copy_of_a_refusal_does_not_prove_that_the_next_generation_never_ran(run_async, second):
    """Guards against a generation that runs though the router says that it has not run."""

    async def scenario(client):
        return [await generate(client, each) for each in ("r1", "r2")]

    first, next_one = with_engine(run_async, [refusal("r1"), second], scenario)
    assert first is TransportEvent.BACKEND_OVERLOADED
    assert next_one is TransportEvent.FOREIGN_ANSWER


def test_copy_of_a_cancellations_answer_does_not_confirm_the_next_one(run_async):
    """Guards against a generation that started and counts as one that never did."""
    answers = [cancelled("r1", "never_started"), cancelled("r2", "stopped")]

    async def scenario(client):
        return [await client.cancel(each) for each in ("r1", "r2")]

    assert with_engine(run_async, answers, scenario) == [CancelState.NEVER_STARTED, None]


def test_a_refused_generation_and_its_cancellation_are_told_apart(run_async):
    async def scenario(client):
        return await generate(client, "r1"), await client.cancel("r1")

    answers = [refusal("r1"), cancelled("r1", "unknown_request")]
    assert with_engine(run_async, answers, scenario) == (TransportEvent.BACKEND_OVERLOADED, None)
