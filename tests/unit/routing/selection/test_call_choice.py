"""A call goes to the own zone, else to the own region, else to any back end by free slots."""

import random

from hypothesis import given
from hypothesis import strategies as st

from tests.unit.routing.selection.fleet_strategies import backends, topologies
from wallwell.routing.selection.call_choice import choose_backend_for_call


@given(backends(min_size=1, all_open=True), topologies(), st.sampled_from([1, 3, 200]), st.integers(0, 1000))
def test_a_candidate_is_chosen_and_the_own_zone_is_preferred(candidates, topology, node_count, seed):
    chosen = choose_backend_for_call(candidates, node_count, topology.zone, topology, random.Random(seed))
    assert chosen in candidates
    in_own_zone = [
        each
        for each in candidates
        if each.record.zone == topology.zone and 2 * each.fleet_load(node_count) < each.record.slots
    ]
    if in_own_zone:
        assert chosen in in_own_zone
        assert chosen.fleet_load(node_count) == min(each.fleet_load(node_count) for each in in_own_zone)


@given(backends(min_size=1, all_open=True), topologies(), st.integers(0, 1000))
def test_one_random_number_is_drawn_per_free_back_end_of_the_own_zone_or_a_single_one(candidates, topology, seed):
    rng, expected = random.Random(seed), random.Random(seed)
    choose_backend_for_call(candidates, 1, topology.zone, topology, rng)
    in_own_zone = [
        each
        for each in candidates
        if each.record.zone == topology.zone and 2 * each.fleet_load(1) < each.record.slots
    ]
    for _ in range(len(in_own_zone) or 1):
        expected.random()
    assert rng.getstate() == expected.getstate()
