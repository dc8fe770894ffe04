"""Whose turn it is to try for a lease."""

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


class Turns:
    """Nodes that all have work to do, over one table."""

    def __init__(self):
        self.table = FaultyTable()
        self.turns = {name: self._turn(name) for name in NAMES}
        self.away: set[str] = set()

    def _turn(self, name):
        return LeaseCandidate("work", name, LeaseKeeper("work", name, VALID_S, self.table), VALID_S, lambda: NAMES)

    async def step(self, is_due=True):
        """Let time pass; every node that is there follows the row and tries when it is its turn."""
        await asyncio.sleep(TICK_S)
        row = self.table.model.rows.get(LEASE_PREFIX + "work")
        for name, turn in self.turns.items():
            if name in self.away:
                continue
            if row is not None:
                turn.observe(FeedRow(row.key, row.value.encode(), row.version), boot_time_s())
            turn.set_work_pending(is_due, boot_time_s())
            if is_due:
                await turn.acquire_or_renew(boot_time_s())

    def holders(self):
        return [name for name, turn in self.turns.items() if turn.is_held()]

    async def until_held(self):
        started_s = boot_time_s()
        while not self.holders():
            await self.step()
        return self.holders()[0], boot_time_s() - started_s


def play(scenario):
    async def work():
        return await scenario(Turns())

    return run_virtual(work())


def test_one_node_takes_the_lease_and_keeps_it_while_there_is_work():
    async def scenario(turns):
        first, _ = await turns.until_held()
        seen = set()
        for _ in range(200):
            await turns.step()
            seen.add(tuple(turns.holders()))
        return seen == {(first,)}

    assert play(scenario)


def test_without_work_nobody_tries_and_a_lease_runs_out():
    async def scenario(turns):
        await turns.step(is_due=False)
        untouched = not turns.table.model.rows
        await turns.until_held()
        for _ in range(round(VALID_S / TICK_S) + 1):
            await turns.step(is_due=False)
        return untouched, turns.holders()

    assert play(scenario) == (True, [])


def test_the_last_holder_is_first_when_work_comes_back():
    async def scenario(turns):
        first, _ = await turns.until_held()
        for _ in range(100):
            await turns.step(is_due=False)
        return (await turns.until_held()) == (first, pytest.approx(TICK_S))

    assert play(scenario)


def test_a_dead_holder_is_followed_after_its_time_and_the_others_delays():
    async def scenario(turns):
        first, _ = await turns.until_held()
        turns.away.add(first)
        await asyncio.sleep(0)
        while first in turns.holders():
            await turns.step()
        second, took_s = await turns.until_held()
        return second != first, took_s

    is_other, took_s = play(scenario)
    assert is_other
    assert took_s <= LAST_HOLDER_PRIORITY_S + len(NAMES) * CANDIDATE_SPACING_S


def test_a_draining_node_keeps_what_it_holds_and_takes_no_new_lease():
    async def scenario(turns):
        first, _ = await turns.until_held()
        turns.turns[first].drain()
        for _ in range(60):
            await turns.step()
        kept = turns.holders()
        for _ in range(100):
            await turns.step(is_due=False)
        second, _ = await turns.until_held()
        return kept == [first], second != first

    assert play(scenario) == (True, True)


def test_without_the_store_the_lease_runs_on_to_its_end_only():
    async def scenario(turns):
        first, _ = await turns.until_held()
        turns.table.down = True
        await turns.step()
        kept = turns.holders()
        for _ in range(round(VALID_S / TICK_S) + 1):
            await turns.step()
        return kept == [first], turns.holders()

    assert play(scenario) == (True, [])


def test_a_store_that_does_not_answer_is_logged_once_until_it_does(monkeypatch):
    events = []
    monkeypatch.setattr(lease_candidate, "emit", lambda event, **fields: events.append(event))

    async def scenario(turns):
        holder, _ = await turns.until_held()
        turns.away = set(NAMES) - {holder}
        table, keeper = turns.table, turns.turns[holder]._keeper
        for _ in range(2):
            keeper._table = SilentTable()
            for _ in range(60):
                await turns.step()
            assert not turns.turns[holder].is_held()
            keeper._table = table
            for _ in range(60):
                await turns.step()
        return holder

    play(scenario)
    assert events.count(Event.LEASE_UNCONFIRMED) == 2


class SilentTable:
    """A store that does not answer."""

    async def get(self, key):
        raise PlatformUnavailableError("no answer")
