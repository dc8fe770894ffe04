"""Probes and loads that nobody awaits and that fail unexpectedly are logged with their back end, and go on."""

import asyncio

import pytest

from tests.faulty_table import FaultyTable
from tests.unit.serving.fakes import make_state
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster import unexpected_errors
from wallwell.deployment.freshness import StoreClock
from wallwell.events import Event
from wallwell.node.crash_probe import CrashProbe
from wallwell.node.crash_watch import CrashWatch
from wallwell.placement.weights_roll import LoadTask
from wallwell.placement.weights_roll_driver import WeightsRollDriver
from wallwell.serving.liveness import LivenessMonitor
from wallwell.serving.messages import SendProgress

ERRORS = [UnicodeError("label empty or too long"), OverflowError("x"), TypeError("x")]


class FailingCheck:
    """Raises at each connection while ``error`` is set; then all back ends refuse connections or do not answer."""

    def __init__(self, error):
        self.error = error
        self.probed = 0

    async def is_reachable(self, backend):
        self.probed += 1
        await asyncio.sleep(0.01)
        if self.error is not None:
            raise self.error
        return False

    accepts_connections = is_reachable

    async def refuses_connections(self, backend):
        return not await self.is_reachable(backend)


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        unexpected_errors,
        "emit",
        lambda event, **fields: lines.append((event, fields["where"], fields["key"])),
    )
    return lines


async def failed_tasks(work):
    """Await ``work`` and return the errors that reached the event loop."""
    unhandled = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: unhandled.append(context))
    await work
    return unhandled


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_a_probe_of_a_silent_back_end_that_fails_is_logged_and_repeated(error, logged):
    """Its error reached the event loop alone, without the back end's name."""

    async def scenario():
        state = make_state(backends=1)
        backend, check = state.backends.get("i-0"), FailingCheck(error)
        monitor = LivenessMonitor(state, check)
        running = asyncio.create_task(monitor.run())
        backend.silence.on_idle_ended(boot_time_s())
        backend.in_flight = 1
        async with monitor.watch(backend, SendProgress()) as attempt:
            await asyncio.sleep(2.5)
            assert check.probed >= 2
            assert not attempt.suspected.done()
            check.error = None
            await asyncio.sleep(1.0)
            assert attempt.suspected.done()
        running.cancel()

    assert run_virtual(failed_tasks(scenario())) == []
    assert logged == [(Event.INTERNAL_ERROR, "probe of a back end", "i-0")]


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_a_probe_of_a_broken_run_that_fails_is_logged_and_the_next_crash_found(error, logged):
    """The back end must not count as being probed for ever."""

    async def scenario():
        state, check = make_state(backends=1), FailingCheck(error)
        watch = CrashWatch(state, CrashProbe(check, state.backends.all_backends), FaultyTable(), lambda: ("n1",))
        backend = state.backends.get("i-0")
        watch.on_broken_run("digest", backend)
        await asyncio.sleep(2.0)
        assert not list(state.quarantine.crashes())
        check.error = None
        watch.on_broken_run("digest", backend)
        await asyncio.sleep(2.0)
        assert len(list(state.quarantine.crashes())) == 1

    assert run_virtual(failed_tasks(scenario())) == []
    assert [(event, where) for event, where, _ in logged] == [(Event.INTERNAL_ERROR, "probe of a crashed back end")]


class FailingControl:
    """Raises for each report."""

    async def fetch_report(self, backend):
        raise OverflowError("x")


def test_a_load_that_fails_unexpectedly_is_logged_and_given_up(logged):
    """An engine must not count as loading for ever, and operators see which one it was."""

    async def scenario():
        state = make_state(backends=1, versions={"m": 1})
        driver = WeightsRollDriver(state, FaultyTable(), FailingControl(), StoreClock())
        task = LoadTask(state.backends.get("i-0"), "m", 2)
        driver._loading["i-0"] = task
        await driver._run_load(task)
        assert not driver._loading
        assert task.backend.expected_load is None

    run_virtual(scenario())
    assert logged == [(Event.INTERNAL_ERROR, "load of weights", "i-0")]
