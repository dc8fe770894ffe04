"""The standalone router: a request under which engines or services end, each as a killed process does.

How it would come about: a generation is sent on up to six times and resumed up to 32 times, a call up to four
times, and a caller that comes again begins anew.
Cause: without the quarantine nothing remembers what a request has done. Proof: each test here fails with a memory
that never quarantines.
"""

import asyncio

import pytest

from tests.contract.conftest import PROMPT, Harness
from wallwell.emulator.deployment import RESTART_DELAY_S
from wallwell.routing.admission.quarantine import CRASHES_TO_QUARANTINE

CRASHING = "ends its process"
SENDINGS = 4
PAUSE_S = 0.3


@pytest.fixture
def harness():
    harness = Harness()
    for backend in (*harness.fleet.engines.values(), *harness.fleet.services.values()):
        backend.server.faults.set(crash_on=CRASHING)
    yield harness
    harness.run(harness.stop())


def crashes(backends):
    return sum(backend.crashes for backend in backends.values())


def test_a_generation_ends_few_engines_however_often_it_comes(harness):
    async def scenario():
        statuses = []
        for _ in range(SENDINGS):
            statuses.append((await harness.generate(CRASHING * 20))[0])
            await asyncio.sleep(PAUSE_S)
        return statuses, (await harness.generate(PROMPT))[0]

    statuses, calm = harness.run(scenario())
    assert crashes(harness.fleet.engines) == CRASHES_TO_QUARANTINE
    assert statuses[-1] == 503
    assert calm == 200


def test_a_router_knows_what_another_one_has_seen(harness):
    async def scenario():
        first = (await harness.generate(CRASHING * 20))[0]
        await asyncio.sleep(PAUSE_S)
        before = crashes(harness.fleet.engines)
        others = [(await harness.generate(CRASHING * 20, router=number))[0] for number in (1, 2)]
        return first, before, others

    first, before, others = harness.run(scenario())
    assert (first, before, others) == (502, CRASHES_TO_QUARANTINE, [503, 503])
    assert crashes(harness.fleet.engines) == CRASHES_TO_QUARANTINE


@pytest.mark.parametrize(("method", "pause_s"), [("GET", PAUSE_S), ("POST", RESTART_DELAY_S + PAUSE_S)])
def test_a_call_ends_few_instances_however_often_it_comes(harness, method, pause_s):
    """One that may be repeated is also sent on by the router itself."""
    path = "/orders/pickup-notices" if method == "POST" else "/orders/status"

    async def scenario():
        results = []
        for _ in range(SENDINGS):
            results.append(await harness.call(method, path, body=CRASHING.encode()))
            await asyncio.sleep(pause_s)
        return results, await harness.call(body=b"calm")

    results, calm = harness.run(scenario())
    assert crashes(harness.fleet.services) == CRASHES_TO_QUARANTINE
    assert results[-1][1] == "not_run"
    assert calm[0] == 200
