"""A back end whose answers say that it leaves, while the store does not.

Seen: during a store outage of 13 s an engine said in each answer that it was leaving. Two nodes passed such answers
on, and sent it new requests 10.7 and 12.4 s later; a back end of a plain service got 32 requests meanwhile.
How it came about: the listing was as old as the outage, and was read again up to half a second after the
configuration, from when on requests were accepted. The listing alone said who leaves.
Cause: of an answer a node kept what it proves of the request, and nothing of what it states about its back end.
Proof: with the store well, a back end whose entry stays ``ready`` goes on getting requests after any such answer.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from tests.platform.conftest import config, route
from tests.unit.serving.fakes import event

LATER_REQUESTS = 20
"""Requests after the answer: with two back ends that are equally good, none of them reaches one by chance once in a
million plays."""
DRAIN_S = 2.0
"""Seconds after which a back end that leaves must get nothing more."""
ANSWERS = {
    "a whole answer": lambda worker: worker.answer_ok,
    "its own error": lambda worker: worker.answer(500),
    "a refusal": lambda worker: worker.answer(503, X_Not_Run="1"),
    "an unmet precondition": lambda worker: worker.answer(421),
    "a stream": lambda worker: worker.stream(event(1), event(2)),
}


def generation(number):
    """Return the headers of a generation whose prompt no other request shares."""
    return {"X-Model": "m", "X-Token-Usage": "30,5", "X-Prefix-Hash": f"a{number:x}:20,b{number:x}:10"}


@pytest.mark.parametrize("kind", ANSWERS)
def test_a_back_end_that_said_it_leaves_gets_nothing_more(on_platform, kind):
    is_stream = kind == "a stream"

    async def scenario(harness):
        leaving, staying = harness.workers
        leaving.leaving = True
        leaving.respond = ANSWERS[kind](leaving)
        staying.respond = staying.stream(event(1)) if is_stream else staying.answer_ok
        numbers = itertools.count()
        while not leaving.requests:
            await harness.call(**(generation(next(numbers)) if is_stream else {}))
        for _ in range(LATER_REQUESTS):
            status, _, _ = await harness.call(**(generation(next(numbers)) if is_stream else {}))
            assert status == 200
        assert not harness.node.state.backends.get(leaving.incarnation).record.draining
        return len(leaving.requests)

    routes = [route(kind="stream" if is_stream else "safe")]
    assert on_platform(scenario, config(routes=routes)) == 1


def test_its_later_start_under_the_same_identity_is_used_again(on_platform):
    async def scenario(harness):
        (worker,) = harness.workers
        worker.leaving = True
        await harness.call()
        worker.leaving = False
        harness.store.put("servers", worker.incarnation, {**worker.entry(), "born": 1_000})
        await asyncio.sleep(DRAIN_S)
        status_before, _, _ = await harness.call()
        harness.store.put("servers", worker.incarnation, {**worker.entry(), "born": 2_000})
        await harness.until(lambda: harness.node.state.backends.get(worker.incarnation).leaving_since_s is None)
        status_after, _, _ = await harness.call()
        return status_before, status_after

    assert on_platform(scenario, workers=1) == (503, 200)
