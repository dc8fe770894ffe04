"""A back end whose answers state that it leaves, while its entry in the store does not.

Guards against nodes that ignore this statement and rely on the store's listing alone. During a store outage of 13 s
an engine stated in each answer that it was leaving; two nodes forwarded such answers and sent it new requests 10.7
and 12.4 s later, and a back end of a plain service got 32 requests. The listing was as old as the outage, and was
read up to half a second after the configuration, with which requests were accepted again. Without the fix, a back
end whose entry stays ``ready`` in a working store gets requests after any such answer.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from tests.platform.conftest import config, route
from tests.unit.serving.fakes import event

LATER_REQUESTS = 20
"""Requests after the answer: with two equally good back ends, chance alone sends none of them to one of the two in
one of a million runs."""
DRAIN_S = 2.0
"""Seconds after which a leaving back end must get no requests."""
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
def test_back_end_that_stated_it_leaves_gets_no_requests(on_platform, kind):
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


def test_back_end_restarted_under_the_same_id_gets_requests_again(on_platform):
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
