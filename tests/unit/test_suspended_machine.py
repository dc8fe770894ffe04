"""A machine that was suspended for some seconds: after waking, its nodes must not use outdated times.

The failure has not been observed; users reported that machines are suspended, and that the monotonic clock stops
meanwhile. To a node that reads that clock after a suspension of five seconds, its credentials, leases, connections
and callers appear five seconds younger than they are. Ages and time-outs were once taken from the monotonic clock,
and timers from the event loop, which uses it too. If :func:`wallwell.clock.boot_time_s` reads the monotonic clock,
the tests of time-outs, credentials, confirmations of the store, leases and requests in flight fail.
"""

import asyncio
import time

import pytest

from tests.faulty_table import FaultyTable
from tests.unit.serving.fakes import (
    FakeClient,
    FakeReply,
    Script,
    event,
    make_generation,
    make_request,
    make_route,
    make_state,
)
from tests.unit.test_http_connection import REQUEST, ScriptedServer, answer
from tests.virtual_time import run_virtual, suspend_machine
from wallwell.backend_connection import DEFAULT_MAX_IDLE_S
from wallwell.clock import SUSPENSION_CHECK_S, SuspensionWatch, boot_time_s, time_limit
from wallwell.cluster.lease_candidate import LeaseCandidate
from wallwell.cluster.leases import LeaseKeeper
from wallwell.deployment.freshness import ConfigurationFreshness, StoreClock
from wallwell.deployment.routes import RouteKind
from wallwell.http_connection import ConnectionPool
from wallwell.node.loop_lag import LoopLag
from wallwell.outcomes import Outcome
from wallwell.platform.stop_deadline import BootClockTimer
from wallwell.routing.retry.attempt_outcome import TransportEvent as T
from wallwell.serving.pipeline import RequestPipeline
from wallwell.task_wait import is_done_within

SUSPENSION_S = 5.0
UNSAFE = make_route(RouteKind.UNSAFE, attempts=1, timeout_s=8.0)
STREAM = make_route(RouteKind.STREAM, attempts=1, timeout_s=8.0)
OK = Script(chunks=(b"ok",))
SILENT = Script(head_delay_s=60.0)
STALLED = Script(chunks=(event(1), 60.0), stream=True)


async def watch_for_suspensions():
    suspensions = SuspensionWatch()
    while True:
        await asyncio.sleep(SUSPENSION_CHECK_S)
        suspensions.check()


def boot_clock_s():
    """Return the boot clock, which runs like the clocks of other machines."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def timed(waiting, suspended_at_s=1.0, suspended_s=SUSPENSION_S):
    """Return the seconds that an awaitable takes by the boot clock, on a machine that is suspended meanwhile."""
    watching = asyncio.create_task(watch_for_suspensions())
    started_s = boot_clock_s()
    asyncio.get_running_loop().call_later(suspended_at_s, suspend_machine, suspended_s)
    await waiting
    watching.cancel()
    return boot_clock_s() - started_s


# --- the clock and time-outs -------------------------------------------------------------------------------


def test_boot_time_is_read_from_the_system():
    assert boot_time_s() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=1.0)


async def wait_with_time_limit(limit_s):
    with pytest.raises(TimeoutError):
        async with time_limit(limit_s):
            await asyncio.sleep(60.0)


async def wait_for_task(limit_s):
    task = asyncio.create_task(asyncio.sleep(60.0))
    assert not await is_done_within(task, limit_s)
    task.cancel()


@pytest.mark.parametrize("wait", [wait_with_time_limit, wait_for_task])
@pytest.mark.parametrize(
    ("limit_s", "suspended_s", "ends_s"),
    [(8.0, SUSPENSION_S, 8.0), (8.0, 0.0, 8.0), (4.0, SUSPENSION_S, 1.0 + SUSPENSION_S), (0.5, SUSPENSION_S, 0.5)],
    ids=["ends later", "not suspended", "ends during suspension", "ends before"],
)
def test_time_limit_includes_time_suspended(wait, limit_s, suspended_s, ends_s):
    took_s = run_virtual(timed(wait(limit_s), suspended_s=suspended_s))
    assert ends_s - 0.01 <= took_s <= ends_s + SUSPENSION_CHECK_S + 0.01


def test_nested_time_limits_keep_their_own_ends():
    async def work():
        async with time_limit(20.0):
            await wait_with_time_limit(8.0)
        async with time_limit(None):
            await asyncio.sleep(0.1)

    assert run_virtual(timed(work())) == pytest.approx(8.1, abs=SUSPENSION_CHECK_S + 0.01)


def test_time_limit_opened_after_the_wake_up_is_not_shortened():
    """A request that arrives after the wake-up, before the suspension is detected, has not waited during it."""

    async def work():
        watching = asyncio.create_task(watch_for_suspensions())
        await asyncio.sleep(SUSPENSION_CHECK_S * 1.1)
        suspend_machine(SUSPENSION_S)
        started_s = boot_clock_s()
        await wait_with_time_limit(3.0)
        watching.cancel()
        return boot_clock_s() - started_s

    assert run_virtual(work()) == pytest.approx(3.0, abs=0.01)


def test_small_clock_drift_changes_no_time_limit():
    assert run_virtual(timed(wait_with_time_limit(8.0), suspended_s=0.03)) == pytest.approx(8.03, abs=0.01)


# --- confirmations -----------------------------------------------------------------------------------------


def test_credential_confirmed_before_a_suspension_is_not_accepted_after_it():
    """The maximum time for which a revoked credential is accepted also holds on a suspended machine."""

    async def work():
        state = make_state(UNSAFE, revocation_s=5.0)
        statuses = []
        for _ in range(2):
            reply = FakeReply()
            await RequestPipeline(state, FakeClient(OK)).serve(make_request(), reply)
            statuses.append((reply.status, state.is_ready(boot_time_s())))
            suspend_machine(SUSPENSION_S)
        return statuses

    assert run_virtual(work()) == [(200, True), (503, False)]


@pytest.mark.parametrize("by_relay", [False, True])
def test_confirmation_after_a_suspension_has_its_true_age(by_relay):
    """The store's clock continues during the suspension, so the offset to it must not appear to have grown."""

    async def work():
        clock, freshness = StoreClock(), ConfigurationFreshness()
        store_is_ahead_s = 700.0
        clock.confirmed_s(boot_time_s(), boot_clock_s() + store_is_ahead_s)
        suspend_machine(SUSPENSION_S)
        sent_s, store_s = boot_time_s(), boot_clock_s() + store_is_ahead_s
        await asyncio.sleep(1.0)
        if by_relay:
            confirmed_s = clock.confirmed_by_relay_s(boot_time_s(), store_s)
        else:
            confirmed_s = clock.confirmed_s(sent_s, store_s)
        freshness.confirm(confirmed_s)
        return boot_time_s() - confirmed_s, freshness.is_within_bound(boot_time_s() + 4.0, 4.9)

    age_s, is_covered = run_virtual(work())
    assert age_s == pytest.approx(1.0, abs=0.01)
    assert not is_covered


def test_lease_is_not_held_after_a_suspension():
    async def work():
        keeper = LeaseKeeper("work", "n1", 3.0, FaultyTable())
        candidate = LeaseCandidate("work", "n1", keeper, 3.0, lambda: ("n1",))
        candidate.set_work_pending(True, boot_time_s())
        held = [await candidate.acquire_or_renew(boot_time_s())]
        suspend_machine(SUSPENSION_S)
        held.append(candidate.is_held())
        return held

    assert run_virtual(work()) == [True, False]


def test_wait_for_another_nodes_lease_includes_time_suspended():
    async def work():
        table = FaultyTable()
        await LeaseKeeper("work", "n1", 3.0, table).try_acquire(boot_time_s())
        other = LeaseKeeper("work", "n2", 3.0, table)
        acquired = [await other.try_acquire(boot_time_s())]
        suspend_machine(SUSPENSION_S)
        acquired.append(await other.try_acquire(boot_time_s()))
        return [each is not None for each in acquired]

    assert run_virtual(work()) == [False, True]


def test_connection_idle_during_a_suspension_is_not_reused(run_async, monkeypatch):
    """The back end has closed the connection, and a call that is lost on it may not be repeatable."""

    async def work():
        async with ScriptedServer([answer()], [answer()]) as server:
            pool = ConnectionPool("X-Id", 1.0, 1.0)
            await pool.fetch(server.address, REQUEST, 5.0)
            later_s = boot_time_s() + DEFAULT_MAX_IDLE_S + 0.1
            monkeypatch.setattr("wallwell.http_connection.boot_time_s", lambda: later_s)
            await pool.fetch(server.address, REQUEST, 5.0)
            pool.close()
            return server.connections

    assert run_async(work()) == 2


def test_suspension_does_not_count_as_a_starved_loop():
    async def work():
        lag = LoopLag()
        for number in range(4):
            due_s = boot_time_s() + 0.25
            await asyncio.sleep(0.25)
            if number == 1:
                suspend_machine(SUSPENSION_S)
            lag.observe(boot_time_s() - due_s, boot_time_s())
        return lag.is_starved(boot_time_s())

    assert not run_virtual(work())


# --- requests in flight ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("route", "script", "generation"),
    [(UNSAFE, SILENT, None), (STREAM, STALLED, make_generation())],
    ids=["no head", "stalled stream"],
)
@pytest.mark.parametrize("suspended_s", [2.0, SUSPENSION_S, 20.0])
def test_caller_is_answered_when_its_timeout_ends(route, script, generation, suspended_s):
    async def work():
        reply, client = FakeReply(), FakeClient(script)
        pipeline = RequestPipeline(make_state(route, versions={"m": 1}), client)
        took_s = await timed(pipeline.serve(make_request(generation=generation), reply), suspended_s=suspended_s)
        return reply.ended, took_s

    ended, took_s = run_virtual(work())
    assert ended in ("refused", "aborted")
    assert took_s <= max(8.0, 1.0 + suspended_s) + SUSPENSION_CHECK_S + 0.01


def test_attempt_after_a_suspension_gets_the_remaining_time():
    async def work():
        shed_slowly = Script(send_error=T.BACKEND_OVERLOADED, head_delay_s=0.5)
        reply, client = FakeReply(), FakeClient(shed_slowly, OK)
        pipeline = RequestPipeline(make_state(UNSAFE), client)
        await timed(pipeline.serve(make_request(), reply), suspended_at_s=0.2)
        return [round(each.remaining_s, 2) for each in client.sent]

    assert run_virtual(work()) == [8.0, 8.0 - 0.5 - SUSPENSION_S]


def test_no_attempt_is_sent_for_a_caller_whose_timeout_ended_during_a_suspension():
    """The attempt in flight during the suspension may have run, so the outcome is unknown."""

    async def work():
        shed_slowly = Script(send_error=T.BACKEND_OVERLOADED, head_delay_s=0.5)
        reply, client = FakeReply(), FakeClient(shed_slowly, OK)
        pipeline = RequestPipeline(make_state(UNSAFE), client)
        await timed(pipeline.serve(make_request(), reply), suspended_at_s=0.2, suspended_s=20.0)
        return len(client.sent), reply.status, reply.error.outcome

    assert run_virtual(work()) == (1, 504, Outcome.UNKNOWN)


# --- stop --------------------------------------------------------------------------------------------------


def test_suspension_does_not_postpone_the_end_of_a_planned_stop(monkeypatch):
    now_s = boot_time_s()
    ended = []
    timer = BootClockTimer(now_s + 30.0, lambda: ended.append(True))
    timer.start()
    monkeypatch.setattr("wallwell.platform.stop_deadline.boot_time_s", lambda: now_s + 31.0)
    timer.join(10.0)
    assert ended == [True]
