"""Which new connections a node closes unread while load balancers send it most of them.

Guards against a node that takes all new connections of a region, reads every request too late for its deadline, and
serves hardly any, while the other nodes are idle.
"""

import random

import pytest

from wallwell.node.connection_shedding import (
    LATE_TIMER_S,
    MAX_FRACTION,
    ConnectionShedding,
    is_load_skewed,
)
from wallwell.read_gaps import TIMER_INTERVAL_S

CONTACT_S = 3.0
MIN_SERVED_SHARE = 0.75
"""Share of the requests read at the first attempt that must be served, of that before."""
LATE_S, IN_TIME_S = LATE_TIMER_S * 2, 0.0


def make_shedding(is_skewed=True, seed=1):
    return ConnectionShedding(lambda: is_skewed, random.Random(seed))


def observe(shedding, *delays_s):
    for delay_s in delays_s:
        shedding.observe(delay_s)
    return shedding


@pytest.mark.parametrize(
    ("delays_s", "sheds"),
    [
        ([IN_TIME_S] * 9, False),
        ([LATE_S], False),
        ([LATE_S, IN_TIME_S] * 9, False),
        ([LATE_S, LATE_S], True),
    ],
)
def test_connections_are_closed_only_after_late_timers_in_a_row(delays_s, sheds):
    assert (observe(make_shedding(), *delays_s).fraction > 0) is sheds


def test_a_node_that_is_as_busy_as_the_others_closes_none():
    """Its callers would only be sent from one late node to the next."""
    shedding = observe(make_shedding(is_skewed=False), *[LATE_S] * 20)
    assert shedding.fraction == 0 and not any(shedding.closes_next() for _ in range(100))


def test_some_connections_are_always_taken_and_all_are_once_the_node_is_in_time():
    shedding = observe(make_shedding(), *[LATE_S] * 20)
    assert shedding.fraction == MAX_FRACTION
    assert not all(shedding.closes_next() for _ in range(200))
    assert observe(shedding, *[IN_TIME_S] * 20).fraction == 0


@pytest.mark.parametrize(
    ("own", "peers", "nodes", "is_skewed"),
    [
        (10, 0, 7, True),
        (10, 60, 7, False),
        (10, 30, 7, False),
        (10, 29, 7, True),
        (10, 0, 1, False),
        (0, 0, 7, False),
    ],
)
def test_load_is_skewed_above_twice_the_mean_of_the_others(own, peers, nodes, is_skewed):
    assert is_load_skewed(own, peers, nodes) is is_skewed


class BusyNode:
    """A node that handles what arrives in order, each request in ``cost_s``; a closed connection costs a tenth.

    Callers give up what was not read within a second, or not answered within their deadline.
    """

    def __init__(self, cost_s, shedding):
        self.cost_s = cost_s
        self.shedding = shedding
        self.free_at_s = 0.0
        self.timer_due_s = TIMER_INTERVAL_S
        self.read = self.served = 0

    def on_connection(self, now_s, deadline_s, is_counted):
        while self.timer_due_s <= now_s:
            delay_s = max(0.0, self.free_at_s - self.timer_due_s)
            if self.shedding is not None:
                self.shedding.observe(delay_s)
            self.timer_due_s += delay_s + TIMER_INTERVAL_S
        begins_s = max(now_s, self.free_at_s)
        if self.shedding is not None and self.shedding.closes_next():
            self.free_at_s = begins_s + self.cost_s / 10
            return
        is_read = begins_s - now_s < 1.0
        self.free_at_s = begins_s + self.cost_s * (1.0 if is_read else 0.3)
        if is_read and is_counted:
            self.read += 1
            self.served += self.free_at_s - now_s < deadline_s


def served_share(overload, shedding, seed=1):
    """Return the served share of the requests that a node reads later than ``CONTACT_S``; 0 if it reads none.

    ``overload`` is what arrives, as a multiple of what the node can handle.
    """
    rng = random.Random(seed)
    node = BusyNode(0.01, shedding)
    now_s = 0.0
    while now_s < 12.0:
        now_s += rng.expovariate(overload / node.cost_s)
        node.on_connection(now_s, 0.66, now_s > CONTACT_S)
    return node.served / max(1, node.read)


@pytest.mark.parametrize("overload", [1.3, 2.0, 4.0, 6.0])
def test_what_a_node_with_most_connections_reads_is_served(overload):
    assert served_share(overload, None) < MIN_SERVED_SHARE, "the model shows no fault without the decision"
    assert served_share(overload, make_shedding()) >= MIN_SERVED_SHARE


def test_a_node_below_its_capacity_closes_none():
    shedding = make_shedding()
    assert served_share(0.7, shedding) == 1.0 and shedding.fraction == 0
