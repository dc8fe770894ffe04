"""Choice of a call's back end by the load of all nodes."""

from collections import Counter

import pytest

from tests.unit.serving.fakes import make_state
from tests.virtual_time import run_virtual
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.selection.call_choice import choose_backend_for_call

SLOTS = 6
CALLS = 600


def calls_by_backend(loads, zones=("z2", "z2", "z2"), own_loads=None):
    """Return the number of calls that each back end gets; ``loads`` are those reported by the other nodes."""

    async def scenario():
        state = make_state(backends=0)
        for index, (load, zone) in enumerate(zip(loads, zones, strict=True)):
            record = BackendRecord(f"b{index}", "svc", f"10.0.0.{index}:1", zone, SLOTS)
            backend = state.backends.upsert(record)
            backend.peers_load = load
            backend.load = (own_loads or {}).get(record.incarnation, 0)
        candidates = state.backends.backends_of_service("svc")
        return Counter(
            choose_backend_for_call(candidates, state.node_count, state.zone, state.topology, state.rng).incarnation
            for _ in range(CALLS)
        )

    return run_virtual(scenario())


def test_nodes_with_identical_stale_load_reports_spread_their_calls():
    shares = calls_by_backend((0, 1, 2))
    assert max(shares.values()) < 0.65 * CALLS
    assert shares["b0"] > shares["b1"] > shares["b2"] > 0.1 * CALLS


def test_a_full_back_end_gets_almost_no_calls_while_others_have_free_slots():
    shares = calls_by_backend((SLOTS + 3, 1, 1))
    assert shares["b0"] < 0.01 * CALLS
    assert abs(shares["b1"] - shares["b2"]) < 0.15 * CALLS


def test_calls_are_shared_evenly_when_all_back_ends_are_full():
    shares = calls_by_backend((SLOTS, SLOTS, SLOTS))
    assert min(shares.values()) > 0.2 * CALLS


@pytest.mark.parametrize(("near_load", "stays_near"), [(0, True), (2, True), (3, False), (9, False)])
def test_calls_stay_in_their_zone_while_half_of_the_slots_there_are_free(near_load, stays_near):
    shares = calls_by_backend((near_load, 0, 0), zones=("z1", "z2", "z2"))
    assert (shares["b0"] == CALLS) is stays_near


def test_own_calls_are_added_to_the_load_reported_by_other_nodes():
    shares = calls_by_backend((2, 0, 0), zones=("z1", "z2", "z2"), own_loads={"b0": 1})
    assert shares["b0"] < CALLS


def test_without_peer_reports_the_other_nodes_are_assumed_to_send_as_much():
    async def scenario():
        state = make_state(backends=0)
        state.members = {f"n{index}" for index in range(4)}
        backend = state.backends.upsert(BackendRecord("b", "svc", "10.0.0.1:1", "z1", SLOTS))
        backend.load = 2
        return backend.fleet_load(state.node_count)

    assert run_virtual(scenario()) == 8
