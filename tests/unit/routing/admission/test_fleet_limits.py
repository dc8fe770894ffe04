"""A tenant's limit holds over the whole fleet, whatever happens to its nodes, and is not refused what it allows."""

import random

import pytest

from tests.unit.routing.admission.limit_fleet import TENANT, LimitFleet
from wallwell.deployment.routes import TenantLimit
from wallwell.routing.admission.fleet_limits import MAX_LIMIT_WAIT_S, Admitted, FleetLimits, OverLimit
from wallwell.routing.admission.relay_spending import RELAY_SILENCE_S

LARGE = TenantLimit(307_096, 307_096, counts_tokens=True)
SMALL = TenantLimit(29_000, 29_000, counts_tokens=True)
EXCESS = 7.5
"""Times its usual that a tenant asks for in the worst days known."""
EXCESS_FROM_S, EXCESS_TO_S = 5.0, 15.0


def excess(fleet):
    fleet.factor = lambda now_s: EXCESS if EXCESS_FROM_S < now_s < EXCESS_TO_S else 1.0


def excess_at_one_node(fleet):
    excess(fleet)
    chosen = fleet.nodes[-1]
    everywhere = fleet.pick

    def pick(now_s):
        is_excess = EXCESS_FROM_S < now_s < EXCESS_TO_S and fleet.rng.random() < 1 - 1 / EXCESS
        return chosen if is_excess else everywhere(now_s)

    fleet.pick = pick


def cut_off_third(fleet):
    cut = fleet.nodes[::3]

    def set_unreachable(value):
        def change(now_s):
            for node in cut:
                node.unreachable = value

        return change

    fleet.at(EXCESS_FROM_S + 1, set_unreachable(True))
    fleet.at(EXCESS_FROM_S + 13, set_unreachable(False))


def excess_while_a_third_is_cut_off(fleet):
    excess(fleet)
    cut_off_third(fleet)


def relay_is_cut_off(fleet):
    excess(fleet)

    def change(value):
        fleet.nodes[0].unreachable = value

    fleet.at(EXCESS_FROM_S + 2, lambda now_s: change(True))
    fleet.at(EXCESS_FROM_S + 12, lambda now_s: change(False))


def all_nodes_restart(fleet):
    excess(fleet)

    def stop(now_s):
        for node in fleet.nodes[1:]:
            node.down = True

    def start(now_s):
        for node in fleet.nodes:
            fleet.start(node)

    fleet.at(EXCESS_FROM_S + 2, stop)
    fleet.at(EXCESS_FROM_S + 2.8, start)


def third_is_stopped(fleet):
    def stop(now_s):
        for node in fleet.nodes[::3]:
            node.down = True

    fleet.at(EXCESS_FROM_S, stop)


QUIET, SMALL_LOSS = 0.01, 0.03
SCENARIOS = [
    (lambda fleet: None, QUIET),
    (excess, QUIET),
    (excess_at_one_node, SMALL_LOSS),
    (relay_is_cut_off, SMALL_LOSS),
    (all_nodes_restart, SMALL_LOSS),
    (third_is_stopped, 0.05),
    # A node that hears nobody keeps to its equal share, whatever it is asked for: nothing is known of the others.
    (cut_off_third, 0.18),
    (excess_while_a_third_is_cut_off, 0.18),
]


@pytest.mark.parametrize("limit", [LARGE, SMALL], ids=["large", "small"])
@pytest.mark.parametrize(("scenario", "refused"), SCENARIOS)
def test_no_window_exceeds_the_limit_and_little_within_it_is_refused(scenario, refused, limit):
    fleet = LimitFleet(seed=1, limit=limit)
    scenario(fleet)
    fleet.run(20.0)
    assert fleet.largest_overrun() <= 1.0
    assert fleet.refused_fraction(from_s=2.0) <= refused


def test_a_fleet_of_410_nodes_keeps_the_limit():
    fleet = LimitFleet(seed=2, nodes=410, zones=14, limit=LARGE)
    excess(fleet)
    fleet.run(14.0)
    assert fleet.largest_overrun() <= 1.0
    assert fleet.refused_fraction(from_s=2.0) <= QUIET


def test_a_limit_lowered_while_nodes_are_cut_off_holds_one_window_after_all_can_know_it():
    fleet = LimitFleet(seed=3)
    excess_while_a_third_is_cut_off(fleet)
    half = TenantLimit(LARGE.rate_per_s / 2, LARGE.burst / 2, counts_tokens=True)
    fleet.at(8.0, lambda now_s: fleet.change_limit(half, [node for node in fleet.nodes if not node.unreachable]))
    fleet.at(18.5, lambda now_s: fleet.change_limit(half, fleet.nodes))
    fleet.run(40.0)
    assert fleet.largest_overrun(half, from_s=19.0) <= 1.0


def test_a_relay_that_was_cut_off_does_not_count_what_was_spent_meanwhile():
    """It counted twelve seconds of the fleet's spending at once and refused everybody for as long."""
    limits = filled(LARGE)
    limits.on_relay_totals("n2", 1, {TENANT: 1_000}, now_s=100.0)
    limits.on_relay_totals("n2", 1, {TENANT: 2_000}, now_s=100.0)
    counted = limits.levels(100.0)[TENANT]
    limits.on_relay_totals("n2", 1, {TENANT: 2_000_000}, now_s=100.0 + RELAY_SILENCE_S + 0.1)
    assert (counted, limits.levels(103.0)) == (LARGE.burst - 1_000, {})


def test_a_relay_that_has_started_again_is_counted_from_there():
    limits = filled(LARGE)
    limits.on_relay_totals("n2", 1, {TENANT: 5_000}, now_s=100.0)
    limits.on_relay_totals("n2", 2, {TENANT: 700}, now_s=100.0)
    limits.on_relay_totals("n2", 2, {TENANT: 900}, now_s=100.0)
    assert limits.levels(100.0)[TENANT] == LARGE.burst - 200


def test_what_a_relay_refunds_is_refunded_elsewhere_too():
    """A total that had become smaller looked like a new life of the relay: what others spent was not counted."""
    limits = FleetLimits(random.Random(5))
    limits.set_limits({TENANT: LARGE, "other": LARGE})
    limits.on_fleet_report({}, 0, 1)
    limits.levels(0.0)
    limits.levels(100.0)
    limits.on_relay_totals("n2", 1, {TENANT: 5_000, "other": 0}, now_s=100.0)
    limits.on_relay_totals("n2", 1, {TENANT: 6_000, "other": 0}, now_s=100.0)
    limits.on_relay_totals("n2", 1, {TENANT: 5_700, "other": 900}, now_s=100.0)
    assert limits.levels(100.0) == {TENANT: LARGE.burst - 700, "other": LARGE.burst - 900}


def test_spending_is_taken_off_what_was_saved_until_then():
    """A bucket that had not been looked at for long earned what was spent at once."""
    limits = filled(LARGE)
    limits.on_member_spending({TENANT: 1_000}, now_s=110.0)
    assert limits.levels(110.0)[TENANT] == LARGE.burst - 1_000


def started(limit, nodes=1):
    """Return the state of a node that has just started, its buckets empty."""
    limits = FleetLimits(random.Random(5))
    limits.set_limits({TENANT: limit})
    limits.on_fleet_report({}, nodes - 1, nodes)
    limits.levels(0.0)
    return limits


def filled(limit):
    """Return the state of a lone node with a full bucket at second 100."""
    limits = started(limit)
    limits.levels(100.0)
    return limits


def test_a_started_node_does_not_spend_what_may_have_been_spent_before():
    limits = started(SMALL)
    admitted = sum(isinstance(limits.admit(TENANT, 1_000, 0.01), Admitted) for _ in range(500))
    assert admitted <= 2 * SMALL.rate_per_s / 1_000


def test_a_raised_limit_serves_at_once():
    limits = filled(SMALL)
    while isinstance(limits.admit(TENANT, 5_000, 100.0), Admitted):
        pass
    limits.set_limits({TENANT: LARGE})
    admitted = sum(isinstance(limits.admit(TENANT, 5_000, 100.0), Admitted) for _ in range(50))
    assert admitted == 50


def test_a_lowered_limit_cuts_what_was_saved_up():
    limits = filled(LARGE)
    limits.set_limits({TENANT: SMALL})
    admitted = sum(isinstance(limits.admit(TENANT, 1_000, 100.0), Admitted) for _ in range(1_000))
    assert admitted * 1_000 <= 4 * SMALL.burst


def test_a_request_larger_than_the_burst_is_served():
    limits = filled(SMALL)
    assert isinstance(limits.admit(TENANT, 40_000, 100.0), Admitted)


def test_what_has_not_run_is_refunded():
    limits = filled(SMALL)
    admitted = limits.admit(TENANT, 10_000, 100.0)
    before = limits.levels(100.0)[TENANT]
    limits.refund(admitted)
    assert (before, limits.levels(100.0)) == (19_000, {})


def test_a_retry_of_what_may_have_run_counts_again():
    limits = filled(SMALL)
    limits.charge_retry(limits.admit(TENANT, 10_000, 100.0))
    assert limits.levels(100.0)[TENANT] == 9_000


def test_a_refusal_says_when_the_tokens_are_there():
    limits = filled(SMALL)
    refusals = []
    while len(refusals) < 20:
        taken = limits.admit(TENANT, 9_000, 100.0)
        if isinstance(taken, OverLimit):
            refusals.append(taken.wait_s)
    # A refused caller waits longer the more is asked for, and not at one moment with the others.
    assert min(refusals) >= 0.2 and max(refusals) <= MAX_LIMIT_WAIT_S
    assert len(set(refusals[:5])) > 1
    assert refusals[0] < refusals[-1]


def test_tenants_without_a_limit_are_not_limited():
    limits = started(SMALL)
    assert limits.admit("other", 10**9, 0.0) is None


def test_a_lost_report_is_sent_again():
    limits = filled(LARGE)
    limits.admit(TENANT, 1_000, 100.0)
    first = limits.begin_report()
    limits.end_report(is_acknowledged=False)
    second = limits.begin_report()
    limits.end_report(is_acknowledged=True)
    assert (first, second, limits.begin_report()) == ({TENANT: 1_000}, {TENANT: 1_000}, {})


def test_what_is_spent_while_a_report_is_under_way_is_taken_off_its_answer():
    limits = filled(LARGE)
    limits.admit(TENANT, 1_000, 100.0)
    limits.begin_report()
    limits.admit(TENANT, 500, 100.0)
    limits.end_report(is_acknowledged=True)
    limits.on_relay_levels({TENANT: 50_000}, 100.1)
    assert limits.levels(100.1)[TENANT] == 49_500
    assert limits.begin_report() == {TENANT: 500}


def test_operators_see_the_tenants_that_are_refused_most():
    limits = FleetLimits(random.Random(5))
    limits.set_limits({name: SMALL for name in ("quiet", "busy", "excess")})
    limits.on_fleet_report({}, 0, 1)
    limits.levels(0.0)
    limits.levels(100.0)
    limits.admit("busy", 5_000, 100.0)
    for _ in range(100):
        limits.admit("excess", 5_000, 100.0)
    first, second = limits.most_refused_tenants(2, 100.0)
    assert (first.tenant, second.tenant) == ("excess", "busy")
    assert first.refused_requests > 50 and second.refused_requests == 0
    assert (second.level, second.demand_per_s) == (24_000, 5_000)


def link_cut(from_s, to_s):
    def scenario(fleet):
        def change(value):
            fleet.link_is_cut = value

        fleet.at(from_s, lambda now_s: change(True))
        fleet.at(to_s, lambda now_s: change(False))

    return scenario


def link(delay_s=0.02, lost_fraction=0.0):
    def scenario(fleet):
        fleet.link_delay_s, fleet.link_lost_fraction = delay_s, lost_fraction

    return scenario


def idle_until_excess(fleet):
    """Everything saved up is there when the excess begins."""
    fleet.factor = lambda now_s: EXCESS if EXCESS_FROM_S < now_s < EXCESS_TO_S else 0.05


def cut_again_and_again(fleet):
    for number in range(8):
        link_cut(6.0 + 1.2 * number, 6.9 + 1.2 * number)(fleet)


REGION_SCENARIOS = {
    "usual": ((), QUIET),
    "excess": ((excess,), SMALL_LOSS),
    "excess at one node": ((excess_at_one_node,), 0.045),
    "usual, cut": ((link_cut(6.0, 18.0),), 0.06),
    "excess, cut for 1 s": ((excess, link_cut(6.0, 7.0)), SMALL_LOSS),
    "excess, cut for 5 s": ((excess, link_cut(6.0, 11.0)), SMALL_LOSS),
    "excess, cut for 20 s": ((excess, link_cut(6.0, 26.0)), SMALL_LOSS),
    "excess, cut right before": ((excess, link_cut(4.9, 17.0)), SMALL_LOSS),
    "idle, cut right before the excess": ((idle_until_excess, link_cut(4.9, 17.0)), SMALL_LOSS),
    "excess at one node, cut": ((excess_at_one_node, link_cut(5.5, 14.0)), 0.18),
    "excess, cut again and again": ((excess, cut_again_and_again), 0.045),
    "excess, slow link": ((excess, link(delay_s=0.5)), SMALL_LOSS),
    "excess, very slow link": ((excess, link(delay_s=1.0)), 0.1),
    "excess, lossy link": ((excess, link(lost_fraction=0.3)), 0.045),
}


@pytest.mark.parametrize("limit", [LARGE, SMALL], ids=["large", "small"])
@pytest.mark.parametrize("scenario", REGION_SCENARIOS)
def test_two_regions_keep_the_limit_whatever_happens_to_their_link(scenario, limit):
    """Cut off right before an excess, both spent what was saved up: 1.14 of what the rule allows."""
    parts, refused = REGION_SCENARIOS[scenario]
    fleet = LimitFleet(seed=1, nodes=90, zones=6, limit=limit, regions=2)
    for part in parts:
        part(fleet)
    fleet.run(20.0)
    assert fleet.largest_overrun() <= 1.0
    assert fleet.refused_fraction(from_s=2.0) <= refused


def test_410_nodes_in_two_regions_keep_the_limit():
    fleet = LimitFleet(seed=2, nodes=410, zones=14, limit=LARGE, regions=2)
    excess(fleet)
    link_cut(7.0, 12.0)(fleet)
    fleet.run(14.0)
    assert fleet.largest_overrun() <= 1.0


def test_a_region_that_went_silent_is_taken_to_have_spent_as_this_one_did():
    limits = filled(LARGE)
    limits.on_relay_totals("near", 1, {TENANT: 0}, now_s=100.0)
    limits.on_relay_totals("far", 1, {TENANT: 0}, now_s=100.0, is_same_region=False)
    limits.charge_retry(Admitted(TENANT, 1_000))
    limits.on_region_report("west")
    before = limits.levels(100.0)[TENANT]
    limits.charge_retry(Admitted(TENANT, 500))
    limits.on_member_spending({TENANT: 300}, now_s=100.0)
    limits.on_relay_totals("near", 1, {TENANT: 200}, now_s=100.0)
    limits.on_relay_totals("far", 1, {TENANT: 70}, now_s=100.0, is_same_region=False)
    limits.on_region_lost("west", 2.0, now_s=100.0)
    # Spent here and reported by the other side, and twice what was spent in this region since its last report.
    assert before - limits.levels(100.0)[TENANT] == 1_070 + 2 * 1_000
    limits.on_region_lost("west", 2.0, now_s=100.0)
    assert before - limits.levels(100.0)[TENANT] == 3_070


def test_relays_that_are_gone_are_not_remembered():
    limits = FleetLimits(random.Random(1))
    for number in range(100):
        limits.on_relay_totals(f"relay-{number}", 1, {"t": number}, 2.0 * RELAY_SILENCE_S * number)
    assert len(limits._relay_spending) == 1
