"""Which node tries to acquire a lease, and when."""

import asyncio

import pytest

from tests.faulty_table import FaultyTable
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster import lease_candidate
from wallwell.cluster.lease_candidate import CANDIDATE_SPACING_S, LAST_HOLDER_PRIORITY_S, LeaseCandidate
from wallwell.cluster.leases import LEASE_PREFIX, LeaseKeeper
from wallwell.errors import PlatformUnavailableError
from wallwell.events import Event
from wallwell.storage.feed import FeedRow

VALID_S = 1.5
NAMES = ("a", "b", "c", "d")
TICK_S = 0.05


class CandidateFleet:
    """Several nodes with the same work, and the table that their lease is in."""

    def __init__(self):
        self.table = FaultyTable()
        self.candidates = {name: self._new_candidate(name) for name in NAMES}
        self.stopped: set[str] = set()

    def _new_candidate(self, name):
        return LeaseCandidate("work", name, LeaseKeeper("work", name, VALID_S, self.table), VALID_S, lambda: NAMES)

    async def step(self, is_due=True):
        """Let ``TICK_S`` pass; every running node sees the lease's row and tries to acquire it if it may."""
        await asyncio.sleep(TICK_S)
        row = self.table.model.rows.get(LEASE_PREFIX + "work")
        for name, candidate in self.candidates.items():
            if name in self.stopped:
                continue
            if row is not None:
                candidate.observe(FeedRow(row.key, row.value.encode(), row.version), boot_time_s())
            candidate.set_work_pending(is_due, boot_time_s())
            if is_due:
                await candidate.acquire_or_renew(boot_time_s())

    def holders(self):
        return [name for name, candidate in self.candidates.items() if candidate.is_held()]

    async def until_held(self):
        started_s = boot_time_s()
        while not self.holders():
            await self.step()
        return self.holders()[0], boot_time_s() - started_s


def run_scenario(scenario):
    async def work():
        return await scenario(CandidateFleet())

    return run_virtual(work())


def test_one_node_acquires_the_lease_and_holds_it_while_there_is_work():
    async def scenario(fleet):
        first, _ = await fleet.until_held()
        seen = set()
        for _ in range(200):
            await fleet.step()
            seen.add(tuple(fleet.holders()))
        return seen == {(first,)}

    assert run_scenario(scenario)


def test_without_work_no_node_tries_and_a_lease_expires():
    async def scenario(fleet):
        await fleet.step(is_due=False)
        untouched = not fleet.table.model.rows
        await fleet.until_held()
        for _ in range(round(VALID_S / TICK_S) + 1):
            await fleet.step(is_due=False)
        return untouched, fleet.holders()

    assert run_scenario(scenario) == (True, [])


def test_the_last_holder_is_first_to_acquire_when_work_returns():
    async def scenario(fleet):
        first, _ = await fleet.until_held()
        for _ in range(100):
            await fleet.step(is_due=False)
        return (await fleet.until_held()) == (first, pytest.approx(TICK_S))

    assert run_scenario(scenario)


def test_a_dead_holder_is_replaced_after_its_lease_and_the_delays_of_candidates():
    async def scenario(fleet):
        first, _ = await fleet.until_held()
        fleet.stopped.add(first)
        await asyncio.sleep(0)
        while first in fleet.holders():
            await fleet.step()
        second, took_s = await fleet.until_held()
        return second != first, took_s

    is_other, took_s = run_scenario(scenario)
    assert is_other
    assert took_s <= LAST_HOLDER_PRIORITY_S + len(NAMES) * CANDIDATE_SPACING_S


def test_a_draining_node_keeps_its_lease_and_acquires_no_new_one():
    async def scenario(fleet):
        first, _ = await fleet.until_held()
        fleet.candidates[first].drain()
        for _ in range(60):
            await fleet.step()
        kept = fleet.holders()
        for _ in range(100):
            await fleet.step(is_due=False)
        second, _ = await fleet.until_held()
        return kept == [first], second != first

    assert run_scenario(scenario) == (True, True)


def test_without_the_store_a_lease_is_held_only_until_it_expires():
    async def scenario(fleet):
        first, _ = await fleet.until_held()
        fleet.table.down = True
        await fleet.step()
        kept = fleet.holders()
        for _ in range(round(VALID_S / TICK_S) + 1):
            await fleet.step()
        return kept == [first], fleet.holders()

    assert run_scenario(scenario) == (True, [])


def test_a_store_that_does_not_answer_is_logged_once_per_outage(monkeypatch):
    events = []
    monkeypatch.setattr(lease_candidate, "emit", lambda event, **fields: events.append(event))

    async def scenario(fleet):
        holder, _ = await fleet.until_held()
        fleet.stopped = set(NAMES) - {holder}
        table, keeper = fleet.table, fleet.candidates[holder]._keeper
        for _ in range(2):
            keeper._table = SilentTable()
            for _ in range(60):
                await fleet.step()
            assert not fleet.candidates[holder].is_held()
            keeper._table = table
            for _ in range(60):
                await fleet.step()
        return holder

    run_scenario(scenario)
    assert events.count(Event.LEASE_UNCONFIRMED) == 2


class SilentTable:
    """A store that does not answer."""

    async def get(self, key):
        raise PlatformUnavailableError("no answer")
