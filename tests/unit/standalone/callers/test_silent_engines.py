"""Engines that fall silent for a moment and go on, and engines that never do, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from tests.unit.standalone.callers.silent_engines import FOREVER_S, STEP_S, TOKENS, Router, ScriptedEngine
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.standalone.backends.engine_client import CANCEL_TIMEOUT_S
from wallwell.standalone.callers.engine_attempt import MAX_STALL_S, MIN_FIRST_TOKEN_TIMEOUT_S, STALL_TIMEOUT_S

WHOLE = list(range(TOKENS))
SILENT_S = 2.7
"""Longer than both time-outs, so that the attempt counts as silent, and over soon after."""
MOVE_S = 0.5
"""Most seconds that it takes to have an event of another engine once one is silent."""
HEAD, EVENTS = 0.05, 1.05
"""When the silence begins: before the first token, and between two."""


def serve(engines, retries, count=1, deadline_s=60.0):
    """Return what the callers of ``count`` generations got that were sent at once, and the router."""

    async def work():
        router = Router(engines, retries)
        callers = [router.generate(f"r{number}", deadline_s) for number in range(count)]
        answers = await asyncio.gather(*callers)
        await asyncio.sleep(5)  # What is done in the background ends.
        return answers, router

    return run_virtual(work())


def silent(name, from_s, seconds=SILENT_S):
    return ScriptedEngine(name, from_s, seconds)


def is_whole(answer):
    return answer[0] == "" and answer[1] == WHOLE


OTHERS = {
    "none": [],
    "refuses": [ScriptedEngine("b", fault="refuses")],
    "breaks off": [ScriptedEngine("b", fault="breaks_off")],
    "unreachable": [ScriptedEngine("b", fault="unreachable")],
}


@pytest.mark.parametrize("others", OTHERS)
@pytest.mark.parametrize(("from_s", "retries"), [(EVENTS, 0), (HEAD, 1)], ids=["events", "first token"])
def test_answer_of_a_silent_engine_is_whole_if_no_other_one_goes_on(others, from_s, retries):
    """Guards against attempts that are ended before another engine goes on: requests failed, streams were cut."""
    engines = [silent("a", from_s), *(ScriptedEngine(each.name, fault=each.fault) for each in OTHERS[others])]
    answers, _ = serve(engines, retries, count=1 if OTHERS[others] else 4)
    assert [each[:2] for each in answers] == [("", WHOLE)] * len(answers)


@pytest.mark.parametrize("from_s", [HEAD, EVENTS], ids=["first token", "events"])
@pytest.mark.parametrize("retries", [0, 10])
def test_answers_are_whole_though_all_engines_are_silent_at_once(from_s, retries):
    """Guards against a short silence of all engines that opens their breakers and cuts every stream at once."""
    answers, _ = serve([silent(name, from_s) for name in "abc"], retries, count=12)
    assert [each[:2] for each in answers] == [("", WHOLE)] * len(answers)


@pytest.mark.parametrize("retries", [0, 10])
@pytest.mark.parametrize(
    "engine",
    [silent("a", (TOKENS + 0.5) * STEP_S, FOREVER_S), ScriptedEngine("a", fault="lacks_end")],
    ids=["silent", "breaks off"],
)
def test_generation_with_all_its_tokens_is_whole_though_its_end_does_not_come(engine, retries):
    """Guards against asking another engine to go on behind the last token, which writes one more."""
    engines = [engine, ScriptedEngine("b")]
    engine.sent.clear()
    answers, _ = serve(engines, retries)
    assert [each[:2] for each in answers] == [("", WHOLE)]
    assert not engines[1].sent


def test_stream_past_its_deadline_is_whole_though_the_next_engine_is_silent_too():
    """Guards against a begun stream that is cut since its deadline has passed while both engines are silent."""
    engines = [silent("a", EVENTS, 5.5), silent("b", EVENTS, 5.5)]
    answers, _ = serve(engines, 0, deadline_s=1.0)
    assert [each[:2] for each in answers] == [("", WHOLE)]


@pytest.mark.parametrize(
    ("from_s", "timeout_s"), [(HEAD, MIN_FIRST_TOKEN_TIMEOUT_S), (EVENTS, STALL_TIMEOUT_S)], ids=["head", "events"]
)
def test_dead_engine_is_left_in_time(from_s, timeout_s):
    """Guards against waiting on at an engine that is dead while a sound one could go on."""
    [answer], router = serve([silent("a", from_s, FOREVER_S), ScriptedEngine("b")], retries=1)
    assert is_whole(answer)
    assert answer[2] <= timeout_s + MOVE_S
    assert [len(each.sent) for each in router.engines] == [1, 1]


@pytest.mark.parametrize("from_s", [HEAD, EVENTS], ids=["first token", "events"])
def test_third_engine_is_tried_if_two_are_dead(from_s):
    """Guards against a second dead engine that holds a request for longer than the first one did."""
    dead = [silent(name, from_s, FOREVER_S) for name in "ab"]
    [answer], _ = serve([*dead, ScriptedEngine("c")], retries=2)
    assert is_whole(answer)
    assert answer[2] <= STALL_TIMEOUT_S + MIN_FIRST_TOKEN_TIMEOUT_S + 2 * MOVE_S + 1


def test_stream_whose_only_engine_is_dead_ends_with_its_error():
    """Guards against a caller that is held for ever by an engine that nobody can take over from."""

    async def work():
        started_s = boot_time_s()
        code, got, _ = await Router([silent("a", EVENTS, FOREVER_S)], 0).generate(deadline_s=5.0)
        return code, len(got), boot_time_s() - started_s

    code, tokens, took_s = run_virtual(work())
    assert (code, tokens) == ("WW3012", 10)
    assert took_s <= EVENTS + 2 * (MAX_STALL_S + CANCEL_TIMEOUT_S + MOVE_S)


def test_engine_that_goes_on_first_keeps_the_stream():
    """Guards against work that goes on unneeded, and tokens twice, after the silent engine was the faster one."""
    slow = ScriptedEngine("b", 0.0, 3.0)
    [answer], router = serve([silent("a", EVENTS, 2.5), slow], retries=0)
    assert is_whole(answer)
    assert [len(each.sent) for each in router.engines] == [1, 1]
    assert not any(each.running for each in router.engines)


def test_engine_that_was_left_stops_working_once_it_can():
    """Guards against a silent engine that generates on for a stream that another one has taken over."""
    [answer], router = serve([silent("a", EVENTS), ScriptedEngine("b")], retries=0)
    assert is_whole(answer)
    assert [each.sent for each in router.engines] == [[("r0", 0)], [("r0.1", 10)]]
    assert not any(each.running for each in router.engines)


def test_caller_that_leaves_ends_all_open_attempts():
    """Guards against attempts beside a silent one that outlive their caller."""

    async def work():
        engines = [silent("a", EVENTS, 5.0), ScriptedEngine("b", 0.0, 5.0)]
        caller = asyncio.create_task(Router(engines, 10).generate())
        await asyncio.sleep(3.5)
        sent = [len(each.sent) for each in engines]
        caller.cancel()
        await asyncio.gather(caller, return_exceptions=True)
        await asyncio.sleep(20)
        return sent, [len(each.sent) for each in engines], [each.running for each in engines]

    assert run_virtual(work()) == ([1, 1], [1, 1], [set(), set()])


def test_attempts_beside_silent_ones_stay_within_the_budget():
    """Guards against a silence of all engines that multiplies what is sent to them."""
    engines = [silent(name, HEAD, 20.0) for name in "abc"]
    answers, router = serve(engines, retries=2, count=6)
    assert all(is_whole(each) for each in answers)
    assert sum(len(each.sent) for each in engines) == 6 + 2
    assert not router.context.retry_budget.try_retry()


@pytest.mark.parametrize(("state", "failures"), [("never_started", 0), ("stopped", 3)])
def test_engine_left_before_its_first_token_counts_as_broken_only_if_it_had_begun(state, failures):
    """Guards against busy engines that get no requests since others were faster."""
    busy = ScriptedEngine("a", HEAD, FOREVER_S, cancel_state=state)
    answers, router = serve([busy, ScriptedEngine("b"), ScriptedEngine("c")], retries=10, count=9)
    assert all(is_whole(each) for each in answers)
    assert len(busy.sent) == 3
    assert router.context.selector.breaker_of("a")._failures == failures
