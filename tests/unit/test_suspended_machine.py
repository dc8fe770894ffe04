"""A machine that was suspended for seconds: what its nodes take for recent, held or waiting when it wakes.

Seen: nothing yet; the users told that machines are suspended, and that the steady clock stands still meanwhile.
How it would come about: a node that wakes after five seconds reads the steady clock, and its credentials, leases,
connections and callers are five seconds younger to it than to everybody else.
Cause: ages and bounds were taken from the steady clock, and timers from the event loop, which goes by it as well.
Proof: with :func:`wallwell.clock.boot_time_s` reading the steady clock, the tests of bounds, credentials, words of
the store, leases and requests under way fail.
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

AWAY_S = 5.0
UNSAFE = make_route(RouteKind.UNSAFE, attempts=1, timeout_s=8.0)
STREAM = make_route(RouteKind.STREAM, attempts=1, timeout_s=8.0)
OK = Script(chunks=(b"ok",))
SILENT = Script(head_delay_s=60.0)
STALLED = Script(chunks=(event(1), 60.0), stream=True)


async def watch():
    suspensions = SuspensionWatch()
    while True:
        await asyncio.sleep(SUSPENSION_CHECK_S)
        suspensions.check()


def outside_s():
    """Return the time that everybody else sees."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def take_s(waiting, away_at_s=1.0, away_s=AWAY_S):
    """Return how long something took by the clock outside, on a machine that was suspended meanwhile."""
    watching = asyncio.create_task(watch())
    started_s = outside_s()
    asyncio.get_running_loop().call_later(away_at_s, suspend_machine, away_s)
    await waiting
    watching.cancel()
    return outside_s() - started_s


# --- the clock and bounds ----------------------------------------------------------------------------------


def test_the_boot_clock_is_the_systems():
    assert boot_time_s() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=1.0)


async def wait_bounded(bound_s):
    with pytest.raises(TimeoutError):
        async with time_limit(bound_s):
            await asyncio.sleep(60.0)


async def wait_for_task(bound_s):
    task = asyncio.create_task(asyncio.sleep(60.0))
    assert not await is_done_within(task, bound_s)
    task.cancel()


@pytest.mark.parametrize("wait", [wait_bounded, wait_for_task])
@pytest.mark.parametrize(
    ("bound_s", "away_s", "ends_s"),
    [(8.0, AWAY_S, 8.0), (8.0, 0.0, 8.0), (4.0, AWAY_S, 1.0 + AWAY_S), (0.5, AWAY_S, 0.5)],
    ids=["passes later", "not away", "passed meanwhile", "passed before"],
)
def test_a_bound_counts_the_time_away(wait, bound_s, away_s, ends_s):
    took_s = run_virtual(take_s(wait(bound_s), away_s=away_s))
    assert ends_s - 0.01 <= took_s <= ends_s + SUSPENSION_CHECK_S + 0.01


def test_a_bound_within_another_keeps_its_own_end():
    async def work():
        async with time_limit(20.0):
            await wait_bounded(8.0)
        async with time_limit(None):
            await asyncio.sleep(0.1)

    assert run_virtual(take_s(work())) == pytest.approx(8.1, abs=SUSPENSION_CHECK_S + 0.01)


def test_a_bound_that_begins_after_the_wake_keeps_its_time():
    """A request that comes in the moment before the suspension is noticed has been waiting for nothing."""

    async def work():
        watching = asyncio.create_task(watch())
        await asyncio.sleep(SUSPENSION_CHECK_S * 1.1)
        suspend_machine(AWAY_S)
        started_s = outside_s()
        await wait_bounded(3.0)
        watching.cancel()
        return outside_s() - started_s

    assert run_virtual(work()) == pytest.approx(3.0, abs=0.01)


def test_clocks_that_part_by_little_move_no_bound():
    assert run_virtual(take_s(wait_bounded(8.0), away_s=0.03)) == pytest.approx(8.03, abs=0.01)


# --- knowledge ---------------------------------------------------------------------------------------------


def test_a_credential_that_was_confirmed_before_is_not_accepted_after():
    """The bound on revoked credentials holds for every machine, whatever happened to it."""

    async def work():
        state = make_state(UNSAFE, revocation_s=5.0)
        statuses = []
        for _ in range(2):
            reply = FakeReply()
            await RequestPipeline(state, FakeClient(OK)).serve(make_request(), reply)
            statuses.append((reply.status, state.is_ready(boot_time_s())))
            suspend_machine(AWAY_S)
        return statuses

    assert run_virtual(work()) == [(200, True), (503, False)]


@pytest.mark.parametrize("by_relay", [False, True])
def test_a_word_of_the_store_after_it_counts_from_when_it_was_said(by_relay):
    """The store's clock goes on, so that the offset to it must not be taken to have grown."""

    async def work():
        clock, freshness = StoreClock(), ConfigurationFreshness()
        store_is_ahead_s = 700.0
        clock.confirmed_s(boot_time_s(), outside_s() + store_is_ahead_s)
        suspend_machine(AWAY_S)
        sent_s, store_s = boot_time_s(), outside_s() + store_is_ahead_s
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


def test_a_lease_is_not_held_after_it():
    async def work():
        keeper = LeaseKeeper("work", "n1", 3.0, FaultyTable())
        candidate = LeaseCandidate("work", "n1", keeper, 3.0, lambda: ("n1",))
        candidate.set_work_pending(True, boot_time_s())
        held = [await candidate.acquire_or_renew(boot_time_s())]
        suspend_machine(AWAY_S)
        held.append(candidate.is_held())
        return held

    assert run_virtual(work()) == [True, False]


def test_another_nodes_lease_is_waited_for_by_the_clock_outside():
    async def work():
        table = FaultyTable()
        await LeaseKeeper("work", "n1", 3.0, table).try_acquire(boot_time_s())
        other = LeaseKeeper("work", "n2", 3.0, table)
        taken = [await other.try_acquire(boot_time_s())]
        suspend_machine(AWAY_S)
        taken.append(await other.try_acquire(boot_time_s()))
        return [each is not None for each in taken]

    assert run_virtual(work()) == [False, True]


def test_a_connection_that_rested_meanwhile_is_not_used_again(run_async, monkeypatch):
    """The back end has closed it, and a call that is lost on it may not be repeatable."""

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


def test_it_is_no_sign_of_a_starved_loop():
    async def work():
        lag = LoopLag()
        for number in range(4):
            due_s = boot_time_s() + 0.25
            await asyncio.sleep(0.25)
            if number == 1:
                suspend_machine(AWAY_S)
            lag.observe(boot_time_s() - due_s, boot_time_s())
        return lag.is_starved(boot_time_s())

    assert not run_virtual(work())


# --- requests under way ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("route", "script", "generation"),
    [(UNSAFE, SILENT, None), (STREAM, STALLED, make_generation())],
    ids=["no head", "stalled stream"],
)
@pytest.mark.parametrize("away_s", [2.0, AWAY_S, 20.0])
def test_a_caller_is_answered_when_its_time_is_over(route, script, generation, away_s):
    async def work():
        reply, client = FakeReply(), FakeClient(script)
        pipeline = RequestPipeline(make_state(route, versions={"m": 1}), client)
        took_s = await take_s(pipeline.serve(make_request(generation=generation), reply), away_s=away_s)
        return reply.ended, took_s

    ended, took_s = run_virtual(work())
    assert ended in ("refused", "aborted")
    assert took_s <= max(8.0, 1.0 + away_s) + SUSPENSION_CHECK_S + 0.01


def test_an_attempt_after_it_is_handed_what_is_left():
    async def work():
        shed_slowly = Script(send_error=T.BACKEND_OVERLOADED, head_delay_s=0.5)
        reply, client = FakeReply(), FakeClient(shed_slowly, OK)
        pipeline = RequestPipeline(make_state(UNSAFE), client)
        await take_s(pipeline.serve(make_request(), reply), away_at_s=0.2)
        return [round(each.remaining_s, 2) for each in client.sent]

    assert run_virtual(work()) == [8.0, 8.0 - 0.5 - AWAY_S]


def test_nothing_is_sent_for_a_caller_whose_time_passed_meanwhile():
    """The attempt that was under way then may have run, so the answer does not promise anything."""

    async def work():
        shed_slowly = Script(send_error=T.BACKEND_OVERLOADED, head_delay_s=0.5)
        reply, client = FakeReply(), FakeClient(shed_slowly, OK)
        pipeline = RequestPipeline(make_state(UNSAFE), client)
        await take_s(pipeline.serve(make_request(), reply), away_at_s=0.2, away_s=20.0)
        return len(client.sent), reply.status, reply.error.outcome

    assert run_virtual(work()) == (1, 504, Outcome.UNKNOWN)


# --- stop --------------------------------------------------------------------------------------------------


def test_the_end_of_a_planned_stop_is_not_put_off(monkeypatch):
    now_s = boot_time_s()
    ended = []
    timer = BootClockTimer(now_s + 30.0, lambda: ended.append(True))
    timer.start()
    monkeypatch.setattr("wallwell.platform.stop_deadline.boot_time_s", lambda: now_s + 31.0)
    timer.join(10.0)
    assert ended == [True]
