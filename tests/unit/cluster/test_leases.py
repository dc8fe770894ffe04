"""Leases: one valid holder, rising fences, no harm from a paused holder."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.faulty_table import DELAYED, LOST_AFTER, LOST_BEFORE, OK, FaultyTable
from tests.unit.standalone.cluster.test_claims import drive
from wallwell.cluster.leases import LeaseKeeper
from wallwell.errors import LeaseLostError, PlatformUnavailableError

TTL_S = 10.0
NODES = 3


class LeaseMachine(RuleBasedStateMachine):
    """Nodes acquire, renew, pause and release one lease while answers are lost. Time only moves forward."""

    def __init__(self):
        super().__init__()
        self.table = FaultyTable()
        self.keepers = [LeaseKeeper("placement", f"n{i}", TTL_S, self.table) for i in range(NODES)]
        self.now_s = 0.0
        self.obeyed_fence = 0

    @rule(node=st.integers(0, NODES - 1), fault=st.sampled_from([OK, LOST_BEFORE, LOST_AFTER, DELAYED]))
    def acquire(self, node, fault):
        self.table.faults.extend([OK, fault])
        try:
            drive(self.keepers[node].try_acquire(self.now_s))
        except PlatformUnavailableError:
            pass
        self.table.faults.clear()

    @rule(node=st.integers(0, NODES - 1))
    def release(self, node):
        drive(self.keepers[node].release())

    @rule(seconds=st.sampled_from([0.5, 3.0, 9.5, 11.0, 30.0]))
    def pass_time(self, seconds):
        self.now_s += seconds

    @rule(node=st.integers(0, NODES - 1))
    def order(self, node):
        """A node that was paused for any time sends an order with its last fence; the engine compares fences."""
        held = self.keepers[node].held
        if held is not None and held.fence >= self.obeyed_fence:
            self.obeyed_fence = held.fence

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
            keeper.check(self.now_s)
        except LeaseLostError:
            return False
        return True


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=150, stateful_step_count=40, derandomize=True, deadline=None)


def test_a_released_lease_is_taken_at_once_and_an_expired_one_after_its_time():
    table = FaultyTable()
    first, second = (LeaseKeeper("l", name, TTL_S, table) for name in ("a", "b"))
    held = drive(first.try_acquire(0.0))
    assert drive(second.try_acquire(1.0)) is None
    drive(first.release())
    taken = drive(second.try_acquire(2.0))
    assert taken.fence > held.fence
    assert drive(first.try_acquire(3.0)) is None
    assert drive(first.try_acquire(12.9)) is None
    assert drive(first.try_acquire(13.0)).fence > taken.fence
    with pytest.raises(LeaseLostError):
        second.check(13.0)
