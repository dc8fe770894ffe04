"""Which peers are asked to make an attempt, and how long those that declined are left out."""

from __future__ import annotations

import random
from collections import Counter

from wallwell.address import Address
from wallwell.deployment.topology import Topology
from wallwell.routing.selection.peer_choice import (
    MAX_PEERS_ASKED,
    MAX_WITNESSES,
    SILENT_MEMORY_S,
    UNREACHABLE_MEMORY_S,
    PeerChoice,
    PeerNode,
    choose_witnesses,
)

TOPOLOGY = Topology("z1", {"z1": "east", "z2": "east", "z3": "east", "z4": "west"})


def choice(seed=1):
    return PeerChoice(TOPOLOGY, random.Random(seed))


def peers(*zones):
    return [PeerNode(f"n{index}", zone, Address(f"10.0.0.{index}", 1)) for index, zone in enumerate(zones)]


def names(chosen):
    return [peer.name for peer in chosen]


def test_peers_of_the_own_zone_and_of_the_back_ends_zone_are_asked_first_and_another_region_last():
    chosen = choice().choose(peers("z4", "z3", "z2", "z1"), "svc", "z2", 0.0)
    assert set(names(chosen[:2])) == {"n2", "n3"}
    assert names(chosen[2:]) == ["n1"]
    assert len(chosen) == MAX_PEERS_ASKED


def test_many_nodes_spread_over_all_peers():
    listed = peers(*["z2"] * 10)
    first = Counter(choice(seed).choose(listed, "svc", "z2", 0.0)[0].name for seed in range(400))
    assert len(first) == 10
    assert max(first.values()) < 2 * 400 / 10


def test_peer_that_cannot_reach_a_service_is_left_out_for_that_service_for_a_while():
    tested, listed = choice(), peers("z2", "z2")
    tested.on_unreachable("n0", "svc", 5.0)
    assert names(tested.choose(listed, "svc", "z2", 5.0)) == ["n1"]
    assert set(names(tested.choose(listed, "other", "z2", 5.0))) == {"n0", "n1"}
    assert set(names(tested.choose(listed, "svc", "z2", 5.0 + UNREACHABLE_MEMORY_S))) == {"n0", "n1"}


def test_silent_peer_is_left_out_for_all_services_for_a_while():
    tested, listed = choice(), peers("z2")
    tested.on_silent("n0", 5.0)
    assert not tested.choose(listed, "svc", "z2", 5.0)
    assert names(tested.choose(listed, "svc", "z2", 5.0 + SILENT_MEMORY_S)) == ["n0"]


def test_witnesses_are_of_as_many_zones_as_possible_and_of_the_own_zone_last():
    """A fault may cut off a whole zone, whose nodes would all be refused."""

    def zones(*listed):
        return [peer.zone for peer in choose_witnesses(peers(*listed), "z1", random.Random(3))]

    assert set(zones("z1", *["z2"] * 9, "z3", "z4")[:3]) == {"z2", "z3", "z4"}
    assert sorted(zones(*["z1"] * 6, *["z2"] * 4, "z3", "z3")) == ["z2", "z2", "z2", "z2", "z3", "z3"]
    assert zones("z1", "z1", "z2") == ["z2", "z1", "z1"]
    assert zones() == []
    assert len(zones(*["z2"] * 20)) == MAX_WITNESSES


def test_witnesses_of_one_zone_are_drawn():
    listed = peers(*["z2"] * 10)
    first = Counter(choose_witnesses(listed, "z1", random.Random(seed))[0].name for seed in range(400))
    assert len(first) == 10
