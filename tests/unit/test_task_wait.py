"""A bound in time on a loop that stands still: what came before the bound counts, what did not come does not."""

import asyncio

import pytest

from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.task_wait import GRACE_ITERATIONS, is_done_within


async def done_after(seconds, turns=0):
    await asyncio.sleep(seconds)
    for _ in range(turns):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("seconds", "turns", "done"),
    [(0.1, 0, True), (1.0, 3, True), (1.0, GRACE_ITERATIONS + 5, False), (1.001, 0, False), (9.0, 0, False)],
)
def test_what_is_under_way_at_the_bound_is_waited_for_by_turns_and_not_by_time(seconds, turns, done):
    async def work():
        task = asyncio.create_task(done_after(seconds, turns))
        started_s = boot_time_s()
        seen = await is_done_within(task, 1.0)
        return seen, boot_time_s() - started_s, task.cancelled()

    seen, took_s, cancelled = run_virtual(work())
    assert (seen, cancelled) == (done, False)
    assert took_s <= 1.0 + 1e-6
