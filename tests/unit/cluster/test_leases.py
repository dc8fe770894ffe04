"""Leases have at most one valid holder and rising fences, and a paused holder can do no harm."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.faulty_table import OK, REPLY_LOST, REQUEST_DELAYED, REQUEST_LOST, FaultyTable
from tests.unit.standalone.cluster.test_claims import run_without_waiting
from wallwell.cluster.leases import LEASE_PREFIX, LeaseKeeper
from wallwell.deployment.store_era import StoreEra
from wallwell.errors import LeaseLostError, PlatformUnavailableError
from wallwell.storage.table import Put, Transaction

TTL_S = 10.0
NODES = 3


class TableOfNode:
    """One node's access to the table; the node learns of a new era only from answers."""

    def __init__(self, machine, era):
        self._machine = machine
        self._era = era

    async def get(self, key):
        row = await self._machine.table.get(key)
        self._era.observe(self._machine.era, self._machine.now_s)
        return row

    async def transact(self, transaction):
        version = await self._machine.table.transact(transaction)
        self._era.observe(self._machine.era, self._machine.now_s)
        return version


class LeaseMachine(RuleBasedStateMachine):
    """Nodes acquire, renew, pause and release one lease; answers are lost, and the table is restored from copies.

    Time only moves forward. A node learns of another era only from answers to its own calls.
    """

    def __init__(self):
        super().__init__()
        self.table = FaultyTable()
        self.era = 0
        self.copy = (0, {})
        self.now_s = 0.0
        self.obeyed_fence = 0
        self.keepers = [self.new_keeper(index) for index in range(NODES)]
        self.holders = {}
        """The node that used each fence."""

    def new_keeper(self, index):
        era = StoreEra()
        return LeaseKeeper("placement", f"n{index}", TTL_S, TableOfNode(self, era), era=era)

    @rule()
    def make_copy(self):
        self.copy = (self.table.model.commit, dict(self.table.model.rows))

    @rule()
    def restore(self):
        self.table.model.commit, self.table.model.rows = self.copy[0], dict(self.copy[1])
        self.era += 1

    @rule(node=st.integers(0, NODES - 1))
    def restart(self, node):
        self.keepers[node] = self.new_keeper(node)

    @rule(node=st.integers(0, NODES - 1), fault=st.sampled_from([OK, REQUEST_LOST, REPLY_LOST, REQUEST_DELAYED]))
    def acquire(self, node, fault):
        self.table.faults.extend([OK, fault])
        try:
            run_without_waiting(self.keepers[node].try_acquire(self.now_s))
        except PlatformUnavailableError:
            pass
        self.table.faults.clear()

    @rule(node=st.integers(0, NODES - 1))
    def release(self, node):
        run_without_waiting(self.keepers[node].release())

    @rule(seconds=st.sampled_from([0.5, 3.0, 9.5, 11.0, 30.0]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule(node=st.integers(0, NODES - 1))
    def order(self, node):
        """A node that may have been paused sends an order with its last fence; the engine refuses lower fences."""
        held = self.keepers[node].held
        if held is not None and held.fence >= self.obeyed_fence:
            self.obeyed_fence = held.fence
            assert self.holders.setdefault(held.fence, node) == node, "two holders with one fence"

    @invariant()
    def at_most_one_valid_holder(self):
        valid = [keeper for keeper in self.keepers if self.is_valid(keeper)]
        assert len(valid) <= 1

    @invariant()
    def the_valid_holder_has_the_highest_fence(self):
        for keeper in self.keepers:
            if self.is_valid(keeper):
                assert keeper.held.fence >= self.obeyed_fence

    def is_valid(self, keeper):
        try:
            keeper.require_held(self.now_s)
        except LeaseLostError:
            return False
        return True


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=150, stateful_step_count=40, derandomize=True, deadline=None)


def test_a_released_lease_is_acquired_at_once_and_an_abandoned_one_after_its_time():
    table = FaultyTable()
    first, second = (LeaseKeeper("l", name, TTL_S, table) for name in ("a", "b"))
    held = run_without_waiting(first.try_acquire(0.0))
    assert run_without_waiting(second.try_acquire(1.0)) is None
    run_without_waiting(first.release())
    taken = run_without_waiting(second.try_acquire(2.0))
    assert taken.fence > held.fence
    assert run_without_waiting(first.try_acquire(3.0)) is None
    assert run_without_waiting(first.try_acquire(12.9)) is None
    assert run_without_waiting(first.try_acquire(13.0)).fence > taken.fence
    with pytest.raises(LeaseLostError):
        second.require_held(13.0)


class RestoredTable:
    """A table of leases that the test can restore from a copy, with a clock that the test sets."""

    def __init__(self):
        self.table = FaultyTable()
        self.era = 0
        self.now_s = 0.0
        self.eras = {}

    def keeper(self, name):
        era = self.eras[name] = StoreEra()
        return LeaseKeeper("l", name, TTL_S, TableOfNode(self, era), era=era)

    def copy(self):
        return self.table.model.commit, dict(self.table.model.rows)

    def restore(self, copy):
        self.table.model.commit, self.table.model.rows = copy[0], dict(copy[1])
        self.era += 1

    def acquire(self, keeper):
        return run_without_waiting(keeper.try_acquire(self.now_s))

    def acquire_once_allowed(self, keeper):
        """Learn of the new era, wait until a lease may start in it, and acquire the lease."""
        assert self.acquire(keeper) is None
        self.now_s += TTL_S
        return self.acquire(keeper)


@pytest.mark.parametrize("has_row", [False, True], ids=["no row in the copy", "an older row in the copy"])
@pytest.mark.parametrize("is_new", [False, True], ids=["a running node", "a node that has just started"])
def test_fences_rise_over_a_restore_that_lost_the_highest(has_row, is_new):
    restored = RestoredTable()
    first, second = restored.keeper("a"), restored.keeper("b")
    copy = restored.copy()
    restored.acquire(first)
    run_without_waiting(first.release())
    if has_row:
        copy = restored.copy()
    restored.acquire(second)
    run_without_waiting(second.release())
    fences = []
    for _ in range(5):
        restored.now_s += 3 * TTL_S
        fences.append(restored.acquire(first).fence)
        run_without_waiting(first.release())
    restored.restore(copy)
    keeper = restored.keeper("c") if is_new else second
    assert restored.acquire_once_allowed(keeper).fence > max(fences)


def test_a_lease_missing_from_the_copy_is_taken_over_only_after_its_time():
    restored = RestoredTable()
    first, second = restored.keeper("a"), restored.keeper("b")
    restored.acquire(first)
    restored.restore((0, {}))
    restored.now_s = 0.5
    assert restored.acquire(second) is None
    restored.now_s = TTL_S
    assert restored.acquire(second) is None
    restored.now_s = TTL_S + 0.5
    assert restored.acquire(second) is not None


def test_a_holder_that_learns_of_a_restore_no_longer_holds_the_lease():
    restored = RestoredTable()
    keeper = restored.keeper("a")
    restored.acquire(keeper)
    keeper.require_held(0.1)
    restored.eras["a"].observe(1, 0.1)
    with pytest.raises(LeaseLostError):
        keeper.require_held(0.1)


def test_a_release_from_before_a_restore_does_not_end_the_lease_that_has_its_version_again():
    restored = RestoredTable()
    first, second = restored.keeper("a"), restored.keeper("b")
    copy = restored.copy()
    held = restored.acquire(first)
    restored.restore(copy)
    restored.eras["a"].observe(restored.era, restored.now_s)
    taken = restored.acquire_once_allowed(second)
    assert taken.version == held.version
    run_without_waiting(first.release())
    assert restored.acquire(second).fence == taken.fence


@pytest.mark.parametrize(
    "value",
    ["", "{", "[" * 5000, '{"holder":7,"fence":0,"ttl_s":1}', '{"holder":"x","fence":0,"ttl_s":1e300}'],
    ids=["empty", "no JSON", "deep", "wrong type", "for ever"],
)
def test_a_lease_whose_row_cannot_be_read_is_taken_over_after_its_time(value):
    """Guards against weights and rollouts that stand still, their loops failing each second, beside such a row."""
    machine = LeaseMachine()
    keeper = machine.keepers[0]
    run_without_waiting(machine.table.transact(Transaction((), (Put(LEASE_PREFIX + "placement", value),), ())))
    assert run_without_waiting(keeper.try_acquire(0.0)) is None
    assert run_without_waiting(keeper.try_acquire(TTL_S - 0.1)) is None
    held = run_without_waiting(keeper.try_acquire(TTL_S))
    assert held is not None and held.fence > 1
