"""Which back end a call goes to: the own zone, then the own region, then by free slots."""

import random

from hypothesis import given
from hypothesis import strategies as st

from tests.unit.routing.selection.fleet_strategies import backends, topologies
from wallwell.routing.selection.call_choice import choose_backend_for_call


@given(backends(min_size=1, all_open=True), topologies(), st.sampled_from([1, 3, 200]), st.integers(0, 1000))
def test_a_candidate_is_chosen_and_the_own_zone_goes_first(candidates, topology, nodes, seed):
    chosen = choose_backend_for_call(candidates, nodes, topology.zone, topology, random.Random(seed))
    assert chosen in candidates
    near = [
        each
        for each in candidates
        if each.record.zone == topology.zone and 2 * each.fleet_load(nodes) < each.record.slots
    ]
    if near:
        assert chosen in near
        assert chosen.fleet_load(nodes) == min(each.fleet_load(nodes) for each in near)


@given(backends(min_size=1, all_open=True), topologies(), st.integers(0, 1000))
def test_one_random_number_is_drawn_for_each_free_back_end_of_the_zone_or_one_in_all(candidates, topology, seed):
    rng, expected = random.Random(seed), random.Random(seed)
    choose_backend_for_call(candidates, 1, topology.zone, topology, rng)
    near = [
        each
        for each in candidates
        if each.record.zone == topology.zone and 2 * each.fleet_load(1) < each.record.slots
    ]
    for _ in range(len(near) or 1):
        expected.random()
    assert rng.getstate() == expected.getstate()
