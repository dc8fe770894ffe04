"""Service calls: the outcome is the truth, and what may not be repeated runs at most once."""

import asyncio
import json

import pytest

from tests.contract.conftest import Harness

BACKOFF_S = 1.5
"""Seconds for which a full instance asks to be left alone: longer than 20 calls take, shorter than the pause of one
that names no time."""
# (name, switches of every instance, outcome, runs of the key)
ONCE_ONLY = [
    ("no fault", {}, "completed", 1),
    ("answer lost after the effect", {"lose_answers": 1}, "unknown", 1),
    ("another request's answer", {"foreign_answers": 1}, "unknown", 1),
    ("reset before anything ran", {"down": True}, "unknown", 0),
    ("answer too late", {"slow_s": 3.2}, "unknown", 0),
]


def runs(harness, key):
    return harness.fleet.idempotency_keys().count(key)


@pytest.mark.parametrize(("switches", "outcome", "ran"), [r[1:] for r in ONCE_ONLY], ids=[r[0] for r in ONCE_ONLY])
def test_outcome_and_runs_of_a_call_that_may_not_be_repeated(harness, switches, outcome, ran):
    key = f"once-{outcome}-{sorted(switches)}"
    harness.set_service_faults(**switches)
    _, got, _ = harness.run(harness.call(Idempotency_Key=key))
    assert got == outcome
    assert runs(harness, key) == ran
    harness.heal()
    # The resend goes through another router; it must not run again, whatever became of the first.
    _, again, _ = harness.run(harness.call(Idempotency_Key=key, router=1))
    assert runs(harness, key) <= 1
    assert again == outcome if outcome == "completed" else "unknown"


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
def test_no_method_is_sent_twice_behind_the_routers_back(harness, method):
    """The HTTP library repeats idempotent methods on its own; for once-only calls that is switched off."""
    harness.set_service_faults(lose_answers=1)
    before = sum(len(harness.fleet.service(name).journal) for name in harness.fleet.services)
    _, outcome, _ = harness.run(harness.call(method, "/orders/anything"))
    after = sum(len(harness.fleet.service(name).journal) for name in harness.fleet.services)
    assert (outcome, after - before) == ("unknown", 1)


def test_repeatable_calls_are_retried(harness):
    names = list(harness.fleet.services)
    for name in names[1:]:
        harness.fleet.service(name).faults.set(lose_answers=50)
    outcomes = [harness.run(harness.call("GET", "/orders/status"))[1] for _ in range(6)]
    assert outcomes == ["completed"] * 6


def test_refused_connections_are_not_run_and_release_the_key(harness):
    async def scenario():
        ports = {}
        for name, backend in harness.fleet.services.items():
            ports[name] = int(backend.address.rpartition(":")[2])
            await backend.stop()
        refused = await harness.call(Idempotency_Key="refused-then-sent")
        for name, backend in harness.fleet.services.items():
            await backend.start(ports[name])
        for router in harness.fleet.routers:
            router.context.retry_budget.__init__()
        sent = await harness.call(Idempotency_Key="refused-then-sent", router=1)
        return refused, sent

    refused, sent = harness.run(scenario())
    assert refused[1] == "not_run"
    assert json.loads(refused[2])["retry_after_ms"] > 0
    assert sent[1] == "completed"
    assert runs(harness, "refused-then-sent") == 1


def test_concurrent_resends_through_every_router_run_once(harness):
    async def scenario():
        calls = [harness.call(Idempotency_Key="herd", router=n % 3) for n in range(12)]
        return [outcome for _, outcome, _ in await asyncio.gather(*calls)]

    outcomes = harness.run(scenario())
    assert runs(harness, "herd") == 1
    assert set(outcomes) <= {"completed", "unknown"} and "completed" in outcomes


def test_a_resend_gets_the_recorded_answer_and_another_body_is_refused(harness):
    first = harness.run(harness.call(Idempotency_Key="recorded"))
    second = harness.run(harness.call(Idempotency_Key="recorded", router=2))
    other = harness.run(harness.call(Idempotency_Key="recorded", body=b'{"other": 1}'))
    assert first[2] == second[2]
    assert (other[0], json.loads(other[2])["code"]) == (422, "WW3013")
    assert runs(harness, "recorded") == 1


def test_without_a_confirmed_claim_nothing_is_sent(harness):
    harness.fleet.platform_server.faults.set(down=True)
    _, outcome, text = harness.run(harness.call(Idempotency_Key="table"))
    assert (outcome, json.loads(text)["code"]) == ("not_run", "WW3014")
    assert runs(harness, "table") == 0
    harness.heal()
    assert harness.run(harness.call(Idempotency_Key="table"))[1] == "completed"


def test_a_claim_whose_answer_was_lost_is_still_the_routers_own(harness):
    harness.fleet.platform_server.faults.set(lose_answers=2)
    assert harness.run(harness.call(Idempotency_Key="claim-answer-lost"))[1] == "completed"
    assert runs(harness, "claim-answer-lost") == 1


def test_a_caller_who_goes_away_still_leaves_a_settled_claim(harness):
    async def scenario():
        harness.set_service_faults(slow_s=0.3)
        task = asyncio.create_task(harness.call(Idempotency_Key="gone"))
        await asyncio.sleep(0.15)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        while any(router.context.background for router in harness.fleet.routers):
            await asyncio.sleep(0.01)
        harness.heal()
        return await harness.call(Idempotency_Key="gone", router=1)

    assert harness.run(scenario())[1] == "completed"
    assert runs(harness, "gone") == 1


def test_a_router_that_dies_during_dispatch_leaves_unknown_not_a_second_run():
    harness = Harness()

    async def scenario():
        harness.set_service_faults(slow_s=0.3)
        task = asyncio.create_task(harness.call(Idempotency_Key="dies"))
        await asyncio.sleep(0.15)
        victim = harness.fleet.routers[0]
        for background in list(victim.context.background):
            background.cancel()
        await victim.close()
        await asyncio.gather(task, return_exceptions=True)
        return await harness.call(Idempotency_Key="dies", router=1)

    try:
        outcome = harness.run(scenario())[1]
        assert outcome == "unknown"
        assert runs(harness, "dies") <= 1
    finally:
        harness.run(harness.stop())


def test_an_instance_that_names_a_time_is_left_alone_for_it_by_each_router_and_no_longer(harness):
    full = harness.fleet.service(next(iter(harness.fleet.services)))

    async def calls(count):
        return [(await harness.call("GET", f"/orders/status-{number}"))[1] for number in range(count)]

    async def scenario():
        full.backoff_s = BACKOFF_S
        outcomes = await calls(20)
        refused = full.refused
        full.backoff_s = 0.0
        await asyncio.sleep(BACKOFF_S)
        ran_before = len(full.journal)
        outcomes += await calls(20)
        return outcomes, refused, len(full.journal) - ran_before

    outcomes, refused, ran = harness.run(scenario())
    assert set(outcomes) == {"completed"}
    assert refused == 1
    assert ran > 0
