"""A zone is suspected when connections to several of its back ends time out, and returns with its first answer."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.zone_suspicion import (
    RETURN_JITTER_S,
    TIMEOUT_WINDOW_S,
    ZONE_PROBE_INTERVAL_S,
    ZONE_SUSPENSION_S,
    ZoneSuspicion,
)


class TwoZones:
    """Five back ends in each of two zones, and the suspicion of one node."""

    def __init__(self):
        self.listed = [
            Backend(BackendRecord(f"{zone}{number}", "svc", f"{zone}{number}:1", zone, 8))
            for zone in "ab"
            for number in range(5)
        ]
        self.suspicion = ZoneSuspicion(random.Random(5))
        self.returned = []
        self.suspicion.on_zone_returned = self.returned.append

    def backend(self, name):
        return next(each for each in self.listed if each.incarnation == name)

    def time_out(self, *names, at_s=10.0):
        return [self.suspicion.on_connect_timeout(self.backend(name), self.listed, at_s) for name in names]

    def answer(self, name, at_s=10.0):
        return self.suspicion.on_answer(self.backend(name), self.listed, at_s)

    def probe(self, at_s):
        return [each.incarnation for each in self.suspicion.begin_probes(self.listed, at_s)]

    def open_names(self, at_s):
        return [each.incarnation for each in self.listed if each.is_open(at_s)]


ZONE_A_NAMES = [f"a{number}" for number in range(5)]
ZONE_B_NAMES = [f"b{number}" for number in range(5)]


@pytest.mark.parametrize(
    ("events", "suspected"),
    [
        ("a0 a1 a2", True),
        ("a0 a1", False),
        ("a0 a0 a0", False),
        ("a0 a1 b0", False),
        ("a0 a1 +a3 a2", False),
        ("a0 a1 +b3 a2", True),
        ("a0 a1 +a1 a1 a0 a2", True),
    ],
)
def test_a_zone_is_suspected_when_three_back_ends_time_out_without_an_answer_in_between(events, suspected):
    zones = TwoZones()
    changes = []
    for event in events.split():
        changes += [zones.answer(event[1:])] if event.startswith("+") else zones.time_out(event)
    assert any(changes) is suspected
    assert zones.open_names(10.0) == (ZONE_B_NAMES if suspected else ZONE_A_NAMES + ZONE_B_NAMES)


def test_old_timeouts_are_not_counted():
    zones = TwoZones()
    zones.time_out("a0", "a1")
    assert zones.time_out("a2", at_s=10.0 + TIMEOUT_WINDOW_S) == [False]


def test_another_back_end_is_probed_before_a_zone_is_suspected_and_one_at_a_time_afterwards():
    zones = TwoZones()
    assert zones.probe(9.0) == []
    zones.time_out("a0")
    assert zones.probe(10.0) == []
    zones.time_out("a1")
    (third,) = zones.probe(10.0)
    assert third in ZONE_A_NAMES[2:]
    assert zones.probe(10.0 + ZONE_PROBE_INTERVAL_S / 2) == []
    assert zones.time_out(third) == [True]
    probed = {name for step in range(1, 40) for name in zones.probe(10.0 + ZONE_PROBE_INTERVAL_S * step)}
    assert probed == set(ZONE_A_NAMES)


def test_a_leaving_back_end_is_not_probed():
    zones = TwoZones()
    zones.time_out("a0", "a1", "a2")
    for name in ZONE_A_NAMES[1:]:
        zones.backend(name).gone = True
    assert {name for step in range(1, 9) for name in zones.probe(10.0 + step)} == {"a0"}


def test_a_suspected_zone_stays_suspended_while_its_probes_time_out():
    zones = TwoZones()
    zones.time_out("a0", "a1", "a2")
    for step in range(20):
        now_s = 10.0 + step * (ZONE_PROBE_INTERVAL_S + 0.12)
        assert zones.open_names(now_s) == ZONE_B_NAMES
        for name in zones.probe(now_s):
            zones.time_out(name, at_s=now_s + 0.12)
    assert zones.open_names(now_s + 0.12 + ZONE_SUSPENSION_S) == ZONE_A_NAMES + ZONE_B_NAMES


def test_all_back_ends_return_after_the_first_answer_spread_over_a_short_time():
    zones = TwoZones()
    for failure in range(5):
        zones.backend("a0").on_failure(10.0 + failure, unreachable=True)
    zones.time_out("a0", "a1", "a2", at_s=15.0)
    assert zones.backend("a0").suspended_until_s > 17.0
    assert zones.answer("a3", at_s=15.5)
    assert zones.open_names(15.5) == ["a3", *ZONE_B_NAMES]
    assert zones.open_names(15.5 + RETURN_JITTER_S) == ZONE_A_NAMES + ZONE_B_NAMES
    assert len({each.suspended_until_s for each in zones.listed[:5]}) == 5
    assert zones.returned == ["a"]
    assert not zones.answer("a3", at_s=15.6)
    assert zones.backend("a0").consecutive_failures == 0


def test_back_ends_without_a_zone_are_not_treated_as_one_zone():
    zones = TwoZones()
    zones.listed = [Backend(BackendRecord(f"n{number}", "svc", f"n{number}:1", "", 8)) for number in range(5)]
    assert zones.time_out("n0", "n1", "n2", "n3") == [False] * 4
    assert len(zones.open_names(10.0)) == 5


def test_a_suspected_zone_is_probed_at_a_back_end_without_timeout_so_that_dead_ones_do_not_keep_it_suspected():
    for seed in range(20):
        zones = TwoZones()
        zones.suspicion = ZoneSuspicion(random.Random(seed))
        zones.time_out("a0", "a1", "a2")
        (probed,) = zones.probe(10.0 + ZONE_PROBE_INTERVAL_S)
        assert probed in ("a3", "a4")


EVENTS = st.sampled_from(["time out", "time out", "answer", "probe"])


@given(st.integers(0, 99), st.lists(st.tuples(EVENTS, st.integers(0, 9), st.floats(0.0, 1.0)), max_size=60))
def test_probes_of_a_zone_keep_their_interval_and_an_answer_ends_every_suspension(seed, events):
    zones = TwoZones()
    zones.suspicion = ZoneSuspicion(random.Random(seed))
    probed_s = {"a": float("-inf"), "b": float("-inf")}
    now_s = 10.0
    for event, index, delay_s in events:
        now_s += delay_s
        name = (ZONE_A_NAMES + ZONE_B_NAMES)[index]
        if event == "time out":
            zones.time_out(name, at_s=now_s)
        elif event == "answer":
            zones.answer(name, at_s=now_s)
            own = [each for each in zones.listed if each.record.zone == name[0]]
            assert all(each.is_open(now_s + RETURN_JITTER_S) for each in own)
            probed_s[name[0]] = float("-inf")
        else:
            for probed in zones.probe(now_s):
                assert now_s - probed_s[probed[0]] >= ZONE_PROBE_INTERVAL_S
                probed_s[probed[0]] = now_s
