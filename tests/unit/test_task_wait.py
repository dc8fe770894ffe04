"""A time-out on a busy event loop: a task that completes within the grace iterations counts as in time."""

import asyncio

import pytest

from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.task_wait import GRACE_ITERATIONS, is_done_within


async def end_after(seconds, iterations=0):
    await asyncio.sleep(seconds)
    for _ in range(iterations):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("seconds", "iterations", "expected_done"),
    [(0.1, 0, True), (1.0, 3, True), (1.0, GRACE_ITERATIONS + 5, False), (1.001, 0, False), (9.0, 0, False)],
)
def test_task_gets_extra_iterations_but_no_extra_time(seconds, iterations, expected_done):
    async def work():
        task = asyncio.create_task(end_after(seconds, iterations))
        started_s = boot_time_s()
        done = await is_done_within(task, 1.0)
        return done, boot_time_s() - started_s, task.cancelled()

    done, took_s, cancelled = run_virtual(work())
    assert (done, cancelled) == (expected_done, False)
    assert took_s <= 1.0 + 1e-6
