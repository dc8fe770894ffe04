"""Which back ends may get a request: the pure module beside the methods that it replaces."""

import random
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from tests.unit.routing.selection.drawn_fleet import MODEL, NOW_S, ZONES, backends, weights_targets
from wallwell.node.state import FleetBounds, NodeState
from wallwell.routing.selection.candidates import (
    WeightsRequirement,
    begin_by_s,
    candidates_of_tiers,
    usable_backends,
    without_unresponsive_zones,
)
from wallwell.serving.backend_choice import BackendChoice
from wallwell.serving.version_choice import candidates_for


def state_with(targets, zone="z1"):
    state = NodeState("n1", zone, FleetBounds(version_s=8.0), random.Random(1))
    state.weights = targets
    return state


GENERATIONS = st.sampled_from([None, SimpleNamespace(model=MODEL)])


def requirement_of(state, generation):
    if generation is None:
        return None
    return WeightsRequirement(state.weights, generation.model, state.bounds.version_s)


@given(backends(), weights_targets(), GENERATIONS)
def test_the_same_are_usable(listed, targets, generation):
    state = state_with(targets)
    new = usable_backends(listed, requirement_of(state, generation), NOW_S)
    assert new == state.usable_of(listed, generation, NOW_S)


@given(st.lists(backends(max_size=5), min_size=1, max_size=3), weights_targets(), GENERATIONS)
def test_the_same_tier_is_taken(tiers, targets, generation):
    state = state_with(targets)
    sides = SimpleNamespace(tiers=lambda *_: tiers, record=None)
    state.rollouts = SimpleNamespace(active={"svc": sides})
    active = SimpleNamespace(service="svc", request=SimpleNamespace(generation=generation), prefers_target=False)
    new = candidates_of_tiers(tiers, requirement_of(state, generation), NOW_S)
    assert tuple(new) == tuple(candidates_for(state, active, NOW_S))


@given(backends(min_size=1), weights_targets())
def test_the_same_time_to_begin(listed, targets):
    state = state_with(targets)
    requirement = WeightsRequirement(targets, MODEL, 8.0)
    for backend in listed:
        assert begin_by_s(backend, requirement) == state.begin_by_s(backend, MODEL)


@given(backends(), st.sets(st.sampled_from(ZONES)), st.sampled_from(ZONES))
def test_the_same_zones_are_left_out(listed, unresponsive, own_zone):
    choice = BackendChoice(state_with(None, own_zone))
    active = SimpleNamespace(history=SimpleNamespace(unresponsive_zones=unresponsive))
    assert without_unresponsive_zones(listed, unresponsive, own_zone) == choice.without_unresponsive_zones(
        active, listed
    )
