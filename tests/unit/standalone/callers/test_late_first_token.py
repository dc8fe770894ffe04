"""An engine that is late with its first token: its attempt ends for another one, if another one may follow."""

from __future__ import annotations

import asyncio

import pytest

from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.standalone.backends.engine_client import GenerationCall, wait_for_response_head
from wallwell.standalone.routing.retry import RetryBudget
from wallwell.standalone.routing.retry_decision import MAX_GENERATION_ATTEMPTS, GenerationProgress, reserve_retry

TIMEOUT_S = 2.0
LONGEST_S = 7.0


@pytest.mark.parametrize(
    ("answers_s", "may_end", "ends_s", "answered"),
    [
        pytest.param(1.0, [True], 1.0, True, id="in time"),
        pytest.param(3.0, [True], 2.0, False, id="late, and another attempt may follow"),
        pytest.param(3.0, [False, True], 3.0, True, id="late, and none may follow"),
        pytest.param(6.5, [False, True], 4.0, False, id="another one may follow later"),
        pytest.param(9.0, [False] * 4, 7.0, False, id="the deadline"),
    ],
)
def test_an_attempt_whose_retry_would_be_refused_is_not_ended(answers_s, may_end, ends_s, answered):
    """Slow engines had their work cancelled for retries that the budget then refused: the requests failed."""
    asked = list(may_end)

    async def work():
        sending = asyncio.ensure_future(asyncio.sleep(answers_s))
        begun_s = boot_time_s()
        call = GenerationCall("/", "r", b"", 0, "", "", 0, 0, TIMEOUT_S, 2.0, LONGEST_S, lambda: asked.pop(0))
        got = await wait_for_response_head(sending, call)
        return got, round(boot_time_s() - begun_s, 3)

    assert run_virtual(work()) == (answered, ends_s)


@pytest.mark.parametrize(
    ("fruitless", "retries", "reserved", "left"),
    [
        (0, 2, True, 1),
        (0, 0, False, 0),
        (MAX_GENERATION_ATTEMPTS - 2, 2, True, 1),
        (MAX_GENERATION_ATTEMPTS - 1, 2, False, 2),
    ],
)
def test_a_retry_is_reserved_only_if_it_may_be_made(fruitless, retries, reserved, left):
    """What is reserved is taken from the budget once, and what is refused costs nothing."""
    budget = RetryBudget(reserve=float(retries))
    assert reserve_retry(GenerationProgress(0, fruitless), budget) is reserved
    remaining = 0
    while budget.try_retry():
        remaining += 1
    assert remaining == left
