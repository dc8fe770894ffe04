"""Which back end a call goes to, by what all nodes have under way."""

from collections import Counter

import pytest

from tests.unit.serving.fakes import make_state
from tests.virtual_time import run_virtual
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.selection.call_choice import choose_backend_for_call

SLOTS = 6
PICKS = 600


def picks(loads, zones=("z2", "z2", "z2"), own=None):
    """Return how many of many calls each back end gets; ``loads`` are of the other nodes."""

    async def work():
        state = make_state(backends=0)
        for index, (load, zone) in enumerate(zip(loads, zones, strict=True)):
            record = BackendRecord(f"b{index}", "svc", f"10.0.0.{index}:1", zone, SLOTS)
            backend = state.backends.upsert(record)
            backend.peers_load = load
            backend.load = (own or {}).get(record.incarnation, 0)
        candidates = state.backends.backends_of_service("svc")
        return Counter(
            choose_backend_for_call(candidates, state.node_count, state.zone, state.topology, state.rng).incarnation
            for _ in range(PICKS)
        )

    return run_virtual(work())


def test_nodes_with_the_same_old_reports_do_not_all_take_the_same_back_end():
    shares = picks((0, 1, 2))
    assert max(shares.values()) < 0.65 * PICKS
    assert shares["b0"] > shares["b1"] > shares["b2"] > 0.1 * PICKS


def test_a_full_back_end_gets_next_to_nothing_while_others_have_free_slots():
    shares = picks((SLOTS + 3, 1, 1))
    assert shares["b0"] < 0.01 * PICKS
    assert abs(shares["b1"] - shares["b2"]) < 0.15 * PICKS


def test_if_all_are_full_all_share():
    shares = picks((SLOTS, SLOTS, SLOTS))
    assert min(shares.values()) > 0.2 * PICKS


@pytest.mark.parametrize(("near_load", "stays_near"), [(0, True), (2, True), (3, False), (9, False)])
def test_calls_stay_in_their_zone_while_half_of_the_slots_there_are_free(near_load, stays_near):
    shares = picks((near_load, 0, 0), zones=("z1", "z2", "z2"))
    assert (shares["b0"] == PICKS) is stays_near


def test_own_calls_count_beside_those_of_other_nodes():
    shares = picks((2, 0, 0), zones=("z1", "z2", "z2"), own={"b0": 1})
    assert shares["b0"] < PICKS


def test_without_reports_of_other_nodes_they_are_taken_to_send_as_much():
    async def work():
        state = make_state(backends=0)
        state.members = {f"n{index}" for index in range(4)}
        backend = state.backends.upsert(BackendRecord("b", "svc", "10.0.0.1:1", "z1", SLOTS))
        backend.load = 2
        return backend.fleet_load(state.node_count)

    assert run_virtual(work()) == 8
