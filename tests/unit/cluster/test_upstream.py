"""Which peers a node follows: few nodes follow the store, none in a circle, and failed peers are passed over."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wallwell.cluster.peer_health import MAX_PAUSE_S
from wallwell.cluster.upstream import MEMBERS_PER_RELAY, NodeRecord, UpstreamOrder
from wallwell.deployment.topology import Topology


def fleet(count, zones=1):
    return {f"n{index}": NodeRecord(f"z{index % zones}", f"10.0.0.{index}:1") for index in range(count)}


def orders(members):
    return {name: UpstreamOrder(name, member.zone, members) for name, member in members.items()}


@given(count=st.integers(1, 130), zones=st.integers(1, 4))
def test_each_zone_has_a_relay_per_group_of_members_and_two_zones_follow_the_store(count, zones):
    members = fleet(count, zones)
    relays = [name for name, order in orders(members).items() if not order.followed_peers_in_zone(0.0)]
    roots = [name for name, order in orders(members).items() if not order.candidates(0.0)]
    sizes = [sum(member.zone == f"z{zone}" for member in members.values()) for zone in range(zones)]
    assert len(relays) == sum(-(-size // MEMBERS_PER_RELAY) for size in sizes)
    assert len({members[name].zone for name in roots}) == min(sum(size > 0 for size in sizes), 2)
    assert set(roots) <= set(relays)


@settings(deadline=None)
@given(count=st.integers(2, 100), zones=st.integers(1, 7), seed=st.integers(0, 1 << 32))
def test_nobody_is_followed_in_a_circle_whatever_each_node_knows_and_believes(count, zones, seed):
    rng = random.Random(seed)
    members = {
        name: NodeRecord(f"z{rng.randrange(zones)}", each.relay, rng.choice((10.0, 200.0)))
        for name, each in fleet(count).items()
    }
    names = sorted(members)
    follows = {}
    for name in names:
        known = {each: members[each] for each in rng.sample(names, rng.randint(1, count))}
        order = UpstreamOrder(name, members[name].zone, {**known, name: members[name]})
        for failed in rng.sample(names, rng.randint(0, count)):
            order.on_failure(failed, 0.0)
        follows[name] = [peer for peer, _ in order.candidates(1.0)]

    def reaches(start, target, seen):
        if start in seen:
            return False
        seen.add(start)
        return any(peer == target or reaches(peer, target, seen) for peer in follows[start])

    assert not any(reaches(name, name, set()) for name in members)


def test_a_failed_peer_is_passed_over_for_longer_each_time_and_used_again():
    members = fleet(3)
    root = next(name for name, order in orders(members).items() if not order.candidates(0.0))
    follower = next(name for name in members if name != root)
    order = UpstreamOrder(follower, "z0", members)
    now_s, pauses = 0.0, []
    for _ in range(6):
        order.on_failure(root, now_s)
        order.on_failure(root, now_s)  # A second call made at the same time counts once.
        failed_s = now_s
        while root not in [name for name, _ in order.candidates(now_s)]:
            now_s += 0.5
        pauses.append(now_s - failed_s)
    assert pauses == [2.0, 4.0, 8.0, 16.0, MAX_PAUSE_S, MAX_PAUSE_S]
    order.on_success(root)
    order.on_failure(root, now_s)
    assert root in [name for name, _ in order.candidates(now_s + 2.0)]


def test_a_peer_with_a_stale_copy_is_not_followed_and_still_exchanges_loads():
    """Guards against nodes that hear nothing of each other while the store is away, as no copy is recent then."""
    members = fleet(3)
    root = next(name for name, order in orders(members).items() if not order.candidates(0.0))
    follower = next(name for name in members if name != root)
    order = UpstreamOrder(follower, "z0", members)
    order.on_stale_copy(root, 0.0)
    order.on_success(root)  # An exchange of loads says nothing of its copy.
    assert root not in [name for name, _ in order.candidates(0.1)]
    assert [name for name, _ in order.followed_peers_in_zone(0.1)] == [root]
    order.on_rows(root)
    assert root in [name for name, _ in order.candidates(0.1)]


def test_relays_with_stale_copies_still_exchange_loads_between_zones():
    members = fleet(12, zones=4)
    relay = next(name for name, order in orders(members).items() if not order.followed_peers_in_zone(0.0))
    order = UpstreamOrder(relay, members[relay].zone, members)
    others = order.other_relays(0.0)
    for name, _ in others:
        order.on_stale_copy(name, 0.0)
    assert order.other_relays(0.1) == others


def test_a_node_that_peers_cannot_reach_or_that_is_not_registered_follows_the_store():
    members = {**fleet(3), "silent": NodeRecord("z0", "")}
    assert UpstreamOrder("silent", "z0", members).candidates(0.0) == []
    assert UpstreamOrder("unknown", "z0", members).candidates(0.0) == []


def test_the_nodes_with_the_fastest_links_relay():
    """Found on a deployment of 69 nodes: a burst of configurations saturated the low-bandwidth links of relays."""
    members = {
        name: NodeRecord(each.zone, each.relay, 200.0 if name == "n7" else 10.0) for name, each in fleet(12).items()
    }
    assert [name for name, order in orders(members).items() if not order.candidates(0.0)] == ["n7"]


def test_a_zone_follows_the_store_itself_only_if_both_zones_before_it_are_silent():
    members = fleet(12, zones=4)
    later = next(
        name
        for name, order in orders(members).items()
        if not order.followed_peers_in_zone(0.0) and order.candidates(0.0)
    )
    order = UpstreamOrder(later, members[later].zone, members)
    followed = [name for name, _ in order.candidates(0.0)]
    assert len({members[name].zone for name in followed}) == 2
    for name in members:
        if members[name].zone in {members[each].zone for each in followed}:
            order.on_failure(name, 0.0)
    assert order.candidates(0.5) == []


REGIONS = {"z0": "east", "z1": "west", "z2": "east", "z3": "west", "z4": "east", "z5": "west"}


def regional_orders(members, regions=REGIONS):
    return {
        name: UpstreamOrder(name, member.zone, members, Topology(member.zone, regions))
        for name, member in members.items()
    }


@given(count=st.integers(6, 100))
def test_one_zone_of_each_region_follows_the_store(count):
    members = fleet(count, zones=6)
    roots = [name for name, order in regional_orders(members).items() if not order.candidates(0.0)]
    assert sorted(REGIONS[members[name].zone] for name in roots) == ["east", "west"]


@settings(deadline=None)
@given(count=st.integers(2, 60), seed=st.integers(0, 1 << 32))
def test_nobody_follows_a_peer_of_another_region_or_in_a_circle(count, seed):
    """Holds for any differences in the nodes, failures and regions of zones that each node knows."""
    rng = random.Random(seed)
    members = fleet(count, zones=6)
    names = sorted(members)
    follows = {}
    for name in names:
        zone = members[name].zone
        known = {each: members[each] for each in rng.sample(names, rng.randint(1, count))}
        regions = {each: REGIONS[each] for each in REGIONS if each == zone or rng.random() < 0.9}
        order = UpstreamOrder(name, zone, {**known, name: members[name]}, Topology(zone, regions))
        for failed in rng.sample(names, rng.randint(0, count)):
            order.on_failure(failed, 0.0)
        follows[name] = [peer for peer, _ in order.candidates(1.0)]
        known_zones = [members[peer].zone for peer in follows[name] if members[peer].zone in regions]
        assert {REGIONS[each] for each in known_zones} <= {REGIONS[zone]}

    def reaches(start, target, seen):
        if start in seen:
            return False
        seen.add(start)
        return any(peer == target or reaches(peer, target, seen) for peer in follows[start])

    assert not any(reaches(name, name, set()) for name in members)


def test_the_second_zone_of_a_region_is_the_standby_of_the_first():
    members = fleet(12, zones=6)
    for name, order in regional_orders(members).items():
        candidates = [peer for peer, _ in order.candidates(0.0)]
        zones = [members[peer].zone for peer in candidates]
        if order.followed_peers_in_zone(0.0) or len(candidates) < 2:
            continue
        first_zone, second_zone = zones
        assert REGIONS[first_zone] == REGIONS[second_zone] == REGIONS[members[name].zone]
        # The second zone's relay follows the first zone's relay, and is asked only if the latter does not answer.
        second = regional_orders(members)[candidates[1]]
        assert [peer for peer, _ in second.candidates(0.0)] == candidates[:1]
        for lost in (each for each in members if members[each].zone == first_zone):
            order.on_failure(lost, 0.0)
        assert [peer for peer, _ in order.candidates(0.5)] == candidates[1:]
        return
    raise AssertionError("no zone follows two others")


def test_a_region_whose_peers_are_gone_follows_the_store_itself():
    members = fleet(12, zones=6)
    alone = {name: member for name, member in members.items() if REGIONS[member.zone] == "west"}
    for known in (members, alone):
        roots = [name for name in alone if not regional_orders(known)[name].candidates(0.0)]
        assert len(roots) == 1


@pytest.mark.parametrize("regions", [{}, {f"z{zone}": "east" for zone in range(6)}])
def test_a_single_region_has_the_same_order_as_no_regions(regions):
    members = fleet(40, zones=6)
    plain, mapped = orders(members), regional_orders(members, regions)
    for name in members:
        assert mapped[name].candidates(0.0) == plain[name].candidates(0.0)
        assert mapped[name].other_relays(0.0) == plain[name].other_relays(0.0)
        assert not mapped[name].other_regions()


def test_relays_report_only_to_relays_of_their_own_region():
    members = fleet(12, zones=6)
    for name, order in regional_orders(members).items():
        reached = {REGIONS[members[peer].zone] for peer, _ in order.other_relays(0.0)}
        assert reached == {REGIONS[members[name].zone]}


def test_both_regions_compute_the_same_order_of_delegates():
    members = fleet(24, zones=6)
    known = regional_orders(members)
    delegates = {tuple(name for name, _ in order.delegates_of("east")) for order in known.values()}
    assert len(delegates) == 1
    (names,) = delegates
    # The relays of the zones come first, then their replacements.
    assert len(names) == 9
    assert all(not known[name].followed_peers_in_zone(0.0) for name in names[:3])
    assert [known[name].delegate_rank(0.0) for name in names] == list(range(9))
    known[names[1]].on_failure(names[0], 0.0)
    assert known[names[1]].delegate_rank(0.5) == 0
