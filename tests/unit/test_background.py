"""Background tasks are referenced until they end, whether by returning, raising or being cancelled."""

import asyncio
import gc

import pytest

from tests.virtual_time import run_virtual
from wallwell.background import BackgroundTasks


async def fail():
    await asyncio.sleep(0.1)
    raise ValueError("scripted")


@pytest.mark.parametrize("work", [lambda: asyncio.sleep(0.1), fail], ids=["ends", "fails"])
def test_task_is_referenced_until_it_ends(work):
    async def scenario():
        tasks = BackgroundTasks()
        task = tasks.start(work())
        gc.collect()
        held = set(tasks) == {task}
        await asyncio.wait({task})
        await asyncio.sleep(0)
        return held, bool(tasks)

    assert run_virtual(scenario()) == (True, False)


def test_cancelled_task_is_released():
    async def scenario():
        tasks = BackgroundTasks()
        task = tasks.start(asyncio.sleep(60.0))
        task.cancel()
        await asyncio.wait({task})
        await asyncio.sleep(0)
        return bool(tasks)

    assert not run_virtual(scenario())
