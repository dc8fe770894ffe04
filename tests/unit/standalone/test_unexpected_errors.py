"""Unexpected errors, faults of ours: each is seen as an event, and stops neither other work nor its loop."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest

from wallwell.background import BackgroundTasks
from wallwell.errors import NoBackendError
from wallwell.events import Event
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.placement import controller
from wallwell.standalone.placement.controller import PlacementController
from wallwell.standalone.platform_reads import PlatformReads


async def fail(*_):
    raise RuntimeError("a fault of the test")


def test_a_model_whose_placement_fails_keeps_no_other_model_back(run_async, monkeypatch, error_events):
    """The loop began anew each time, so that the models behind the first were never placed."""

    async def scenario():
        monkeypatch.setattr(controller, "RECONCILE_INTERVAL_S", 0.01)
        config = SimpleNamespace(models={"bad": None, "good": None})
        placement = PlacementController(SimpleNamespace(config=config, rng=random.Random(1)))
        placed = asyncio.Event()

        async def reconcile(model, _spec):
            if model == "bad":
                await fail()
            placed.set()

        monkeypatch.setattr(placement, "_reconcile", reconcile)
        task = asyncio.create_task(placement.run())
        async with asyncio.timeout(10):
            await placed.wait()
        assert not task.done()
        task.cancel()

    run_async(scenario())
    assert {(each["event"], each["key"]) for each in error_events} == {(Event.INTERNAL_ERROR.number, "bad")}


def test_a_configuration_that_cannot_be_applied_counts_as_none(run_async, error_events):
    """It ended the task by which a node becomes ready, though another source may have one."""

    async def scenario():
        delta = SimpleNamespace(head=1)

        async def fetch_config(*_):
            return delta

        def apply(_delta):
            raise RuntimeError("a fault of the test")

        transport = SimpleNamespace(fetch_config=fetch_config, apply_config_delta=apply)
        context = SimpleNamespace(transport=transport, committer=SimpleNamespace(refresh=fail))
        reads = PlatformReads(context, None, random.Random(1))
        return await reads._refresh(), await reads._fetch_from("127.0.0.1:9")

    assert run_async(scenario()) == (False, False)
    assert [each["event"] for each in error_events] == [Event.INTERNAL_ERROR.number] * 2


@pytest.mark.parametrize(("error", "events"), [(RuntimeError, [Event.TASK_FAILED.number]), (NoBackendError, [])])
def test_an_error_of_work_whose_caller_has_left_is_logged_unless_it_is_an_answer(
    run_async, error_events, error, events
):
    """It was dropped without a line."""

    async def scenario():
        async def work():
            raise error("a fault of the test")

        NodeContext.spawn(SimpleNamespace(background=BackgroundTasks()), work())
        await asyncio.sleep(0.01)

    run_async(scenario())
    assert [each["event"] for each in error_events] == events
