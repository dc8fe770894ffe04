"""Errors that nobody awaits are log events with a number, which say what failed and where."""

import asyncio
import gc

import pytest
import uvloop

from wallwell.background import BackgroundTasks
from wallwell.events import Event
from wallwell.loop_errors import log_loop_errors


def fail():
    raise UnicodeError("scripted")


async def probe():
    fail()


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
@pytest.mark.parametrize("is_task", [True, False], ids=["task", "callback"])
def test_error_that_nobody_awaits_is_logged_with_its_origin(is_task, new_loop, run_async, error_events):
    async def scenario():
        loop = asyncio.get_running_loop()
        log_loop_errors(loop)
        if is_task:
            BackgroundTasks().start(probe())
        else:
            loop.call_soon(fail)
        await asyncio.sleep(0.01)

    run_async(scenario(), new_loop)
    assert [line["event"] for line in error_events] == [Event.TASK_FAILED.number]
    assert error_events[0]["error"] == "UnicodeError: scripted"
    assert error_events[0]["raised_at"].startswith("fail:")
    assert ("probe" in error_events[0]["where"]) is is_task


def test_task_of_a_compiled_coroutine_has_a_name_in_the_log(run_async, error_events):
    """Guards against "None" as the origin of an error: coroutines of uvloop have no name."""

    async def scenario():
        loop = asyncio.get_running_loop()
        log_loop_errors(loop)
        task = asyncio.ensure_future(loop.create_connection(asyncio.Protocol, "127.0.0.1", 1))
        await asyncio.wait({task})
        del task
        gc.collect()
        await asyncio.sleep(0)

    run_async(scenario(), uvloop.new_event_loop)
    assert [event["error"].partition(":")[0] for event in error_events] == ["ConnectionRefusedError"]
    assert error_events[0]["where"] not in ("", "None")
