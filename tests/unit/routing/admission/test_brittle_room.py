"""Which requests a node sends to brittle back ends, and how often all nodes together are refused by them."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque

import pytest

from wallwell.routing.admission.brittle_room import (
    MIN_REFUSAL_PAUSE_S,
    PAUSE_JITTER,
    BrittleStatement,
    ServiceBrittleness,
    SlotUse,
)

CALL_S = 0.09
SLOTS = 6
DOWN_S = 4.0
OBJECTIVE_S = 0.4
MAX_UNSERVED = 0.02
"""Part of the requests that may go unserved while three quarters of the slots are free."""


def use(incarnation="b0", node="n0", nodes=7, slots=SLOTS, in_flight=0, service_slots=18, before=0):
    members = [f"n{index}" for index in range(nodes)]
    return SlotUse(incarnation, slots, before, service_slots, in_flight, node, members, CALL_S)


def brittle(tolerated=1.0):
    tested = ServiceBrittleness()
    assert tested.on_answer(BrittleStatement(tolerated, 0.0), 0.0)
    return tested


@pytest.mark.parametrize(("nodes", "slots", "backends"), [(1, 6, 3), (3, 6, 3), (7, 6, 3), (7, 64, 6), (79, 24, 9)])
def test_shares_of_all_nodes_add_up_to_the_slots_of_each_back_end_and_are_even(nodes, slots, backends):
    shares = [
        [
            use(node=f"n{node}", nodes=nodes, slots=slots, before=slots * each).own_slots()
            for each in range(backends)
        ]
        for node in range(nodes)
    ]
    assert [sum(each) for each in zip(*shares, strict=True)] == [slots] * backends
    totals = [sum(each) for each in shares]
    assert max(totals) - min(totals) <= 1


def test_node_sends_no_more_at_a_time_than_its_share():
    tested, rng = brittle(), random.Random(1)
    share = use(slots=64).own_slots()
    assert tested.admit(use(slots=64, in_flight=share - 1), 1.0, rng) is None
    assert tested.admit(use(slots=64, in_flight=share), 1.0, rng) > 0


def test_nothing_is_held_back_from_back_ends_that_are_not_brittle():
    tested, rng = ServiceBrittleness(), random.Random(1)
    assert tested.admit(use(in_flight=100), 1.0, rng) is None


@pytest.mark.parametrize(
    ("tolerated", "nodes", "pause_s"), [(1.0, 7, 7.0), (10.0, 79, 7.9), (10.0, 7, 1.0), (0.0, 3, 3.0)]
)
def test_refused_node_pauses_so_long_that_all_nodes_keep_below_what_is_tolerated(tolerated, nodes, pause_s):
    tested, rng = brittle(tolerated), random.Random(1)
    tested.on_refused("b0", nodes, 10.0, rng)
    wait_s = tested.admit(use(slots=700), 10.0, rng)
    assert max(pause_s, MIN_REFUSAL_PAUSE_S) <= wait_s <= pause_s * PAUSE_JITTER[1]
    assert tested.admit(use("b1", slots=700), 10.0, rng) is None


def test_only_an_answer_to_a_later_request_ends_it():
    tested = brittle()
    tested.on_answer(BrittleStatement(2.0, 4.0), 5.0)
    assert not tested.on_answer(BrittleStatement(None, 4.5), 5.5)
    assert tested.is_brittle(5.5)
    assert tested.on_answer(BrittleStatement(None, 5.1), 5.6)
    assert not tested.is_brittle(5.6)


class Fleet:
    """Nodes that send calls at random times to brittle back ends."""

    def __init__(self, nodes, backends, load, tolerated, seed):
        self.rng = random.Random(seed)
        self.names = [f"n{index}" for index in range(nodes)]
        self.tolerated = tolerated
        self.brittleness = [brittle(tolerated) for _ in range(nodes)]
        self.own = [[0] * backends for _ in range(nodes)]
        self.running = [0] * backends
        self.back_s = [0.0] * backends
        self.refused_at_s = [deque() for _ in range(backends)]
        self.falls = self.served = self.unserved = 0
        self._rate = load * backends * SLOTS / CALL_S
        self._queue = []
        self._order = itertools.count()

    def at(self, at_s, action, *arguments):
        heapq.heappush(self._queue, (at_s, next(self._order), action, arguments))

    def play(self, seconds):
        self.at(0.0, self.arrive)
        while self._queue[0][0] < seconds:
            at_s, _, action, arguments = heapq.heappop(self._queue)
            action(at_s, *arguments)
        return self

    def arrive(self, now_s):
        self.at(now_s + self.rng.expovariate(self._rate), self.arrive)
        self.choose(now_s, self.rng.randrange(len(self.names)), frozenset(), now_s)

    def choose(self, now_s, node, tried, arrived_s):
        open_backends = [each for each, back_s in enumerate(self.back_s) if back_s <= now_s and each not in tried]
        self.rng.shuffle(open_backends)
        waits = []
        for backend in open_backends:
            wait_s = self.brittleness[node].admit(self.use(node, backend), now_s, self.rng)
            if wait_s is None:
                self.own[node][backend] += 1
                self.at(now_s + 0.001, self.reach, node, backend, tried, arrived_s)
                return
            waits.append(wait_s)
        if waits and min(waits) < 0.5 * (arrived_s + OBJECTIVE_S - now_s):
            self.at(now_s + min(waits) + self.rng.uniform(0.0, 0.03), self.choose, node, tried, arrived_s)
        else:
            self.unserved += 1

    def use(self, node, backend):
        slots, before = SLOTS * len(self.back_s), SLOTS * backend
        in_flight = self.own[node][backend]
        return SlotUse(f"b{backend}", SLOTS, before, slots, in_flight, self.names[node], self.names, CALL_S)

    def reach(self, now_s, node, backend, tried, arrived_s):
        if self.back_s[backend] <= now_s and self.running[backend] < SLOTS:
            self.running[backend] += 1
            ends_s = now_s + CALL_S * self.rng.lognormvariate(-0.125, 0.5)
            self.at(ends_s, self.end, node, backend, self.back_s[backend])
            return
        self.own[node][backend] -= 1
        if self.back_s[backend] <= now_s:
            self.refuse(now_s, backend)
            self.brittleness[node].on_refused(f"b{backend}", len(self.names), now_s, self.rng)
        self.choose(now_s, node, tried | {backend}, arrived_s)

    def refuse(self, now_s, backend):
        refused = self.refused_at_s[backend]
        refused.append(now_s)
        while refused[0] <= now_s - 1.0:
            refused.popleft()
        if len(refused) > self.tolerated:
            self.falls += 1
            self.back_s[backend] = now_s + DOWN_S
            self.running[backend] = 0
            refused.clear()

    def end(self, now_s, node, backend, since_s):
        self.own[node][backend] -= 1
        if self.back_s[backend] == since_s:
            self.running[backend] -= 1
            self.served += 1


@pytest.mark.parametrize("tolerated", [1, 10])
@pytest.mark.parametrize("load", [0.9, 3.0])
@pytest.mark.parametrize(("nodes", "backends"), [(3, 3), (7, 3), (8, 4), (79, 3), (79, 12)])
def test_back_ends_fall_seldom_whatever_is_asked_of_them(nodes, backends, load, tolerated):
    """Guards against a fleet whose nodes each keep to what a back end tolerates, and together exceed it."""
    fleet = Fleet(nodes, backends, load, tolerated, seed=1).play(5.0)
    assert fleet.falls <= 2 + backends / 10
    assert fleet.served > 0


@pytest.mark.parametrize(("nodes", "backends"), [(3, 3), (7, 3), (8, 4)])
def test_a_fleet_that_is_not_full_serves_nearly_everything(nodes, backends):
    fleet = Fleet(nodes, backends, 0.3, 1, seed=1).play(6.0)
    assert fleet.unserved <= MAX_UNSERVED * (fleet.served + fleet.unserved)
    assert fleet.falls == 0
