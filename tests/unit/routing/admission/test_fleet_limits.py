"""A tenant's limit holds for the fleet through failures of its nodes, and little within the limit is refused."""

import random

import pytest

from tests.unit.routing.admission.limit_fleet import TENANT, LimitFleet
from wallwell.deployment.routes import TenantLimit
from wallwell.routing.admission.fleet_limits import MAX_LIMIT_WAIT_S, Admitted, FleetLimits, OverLimit
from wallwell.routing.admission.relay_spending import RELAY_SILENCE_S

LARGE = TenantLimit(307_096, 307_096, counts_tokens=True)
SMALL = TenantLimit(29_000, 29_000, counts_tokens=True)
SURGE_FACTOR = 7.5
"""Factor of a tenant's normal demand in the worst surges known."""
SURGE_FROM_S, SURGE_TO_S = 5.0, 15.0


def surge(fleet):
    fleet.demand_factor = lambda now_s: SURGE_FACTOR if SURGE_FROM_S < now_s < SURGE_TO_S else 1.0


def surge_at_one_node(fleet):
    surge(fleet)
    chosen = fleet.nodes[-1]
    choose_any_node = fleet.choose_node

    def choose(now_s):
        is_surge = SURGE_FROM_S < now_s < SURGE_TO_S and fleet.rng.random() < 1 - 1 / SURGE_FACTOR
        return chosen if is_surge else choose_any_node(now_s)

    fleet.choose_node = choose


def third_is_cut_off(fleet):
    cut = fleet.nodes[::3]

    def set_unreachable(value):
        def change(now_s):
            for node in cut:
                node.is_unreachable = value

        return change

    fleet.schedule(SURGE_FROM_S + 1, set_unreachable(True))
    fleet.schedule(SURGE_FROM_S + 13, set_unreachable(False))


def surge_while_a_third_is_cut_off(fleet):
    surge(fleet)
    third_is_cut_off(fleet)


def relay_is_cut_off(fleet):
    surge(fleet)

    def change(value):
        fleet.nodes[0].is_unreachable = value

    fleet.schedule(SURGE_FROM_S + 2, lambda now_s: change(True))
    fleet.schedule(SURGE_FROM_S + 12, lambda now_s: change(False))


def all_nodes_restart(fleet):
    surge(fleet)

    def stop(now_s):
        for node in fleet.nodes[1:]:
            node.is_down = True

    def start(now_s):
        for node in fleet.nodes:
            fleet.start(node)

    fleet.schedule(SURGE_FROM_S + 2, stop)
    fleet.schedule(SURGE_FROM_S + 2.8, start)


def third_of_nodes_stops(fleet):
    def stop(now_s):
        for node in fleet.nodes[::3]:
            node.is_down = True

    fleet.schedule(SURGE_FROM_S, stop)


MINIMAL_REFUSALS, FEW_REFUSALS = 0.01, 0.03
SCENARIOS = [
    (lambda fleet: None, MINIMAL_REFUSALS),
    (surge, MINIMAL_REFUSALS),
    (surge_at_one_node, FEW_REFUSALS),
    (relay_is_cut_off, FEW_REFUSALS),
    (all_nodes_restart, FEW_REFUSALS),
    (third_of_nodes_stops, 0.05),
    # A node that reaches no other knows nothing of their demand, so it spends only its equal share.
    (third_is_cut_off, 0.18),
    (surge_while_a_third_is_cut_off, 0.18),
]


@pytest.mark.parametrize("limit", [LARGE, SMALL], ids=["large", "small"])
@pytest.mark.parametrize(("scenario", "refused"), SCENARIOS)
def test_no_window_exceeds_the_limit_and_few_requests_within_it_are_refused(scenario, refused, limit):
    fleet = LimitFleet(seed=1, limit=limit)
    scenario(fleet)
    fleet.run(20.0)
    assert fleet.largest_overrun() <= 1.0
    assert fleet.refused_fraction(from_s=2.0) <= refused


def test_a_fleet_of_410_nodes_stays_within_the_limit():
    fleet = LimitFleet(seed=2, nodes=410, zones=14, limit=LARGE)
    surge(fleet)
    fleet.run(14.0)
    assert fleet.largest_overrun() <= 1.0
    assert fleet.refused_fraction(from_s=2.0) <= MINIMAL_REFUSALS


def test_a_limit_lowered_while_nodes_are_cut_off_holds_one_window_after_all_nodes_have_it():
    fleet = LimitFleet(seed=3)
    surge_while_a_third_is_cut_off(fleet)
    half = TenantLimit(LARGE.rate_per_s / 2, LARGE.burst / 2, counts_tokens=True)
    fleet.schedule(
        8.0, lambda now_s: fleet.change_limit(half, [node for node in fleet.nodes if not node.is_unreachable])
    )
    fleet.schedule(18.5, lambda now_s: fleet.change_limit(half, fleet.nodes))
    fleet.run(40.0)
    assert fleet.largest_overrun(half, from_s=19.0) <= 1.0


def test_spending_during_a_relays_silence_is_not_counted():
    """A relay counted twelve seconds of the fleet's spending at once, and then refused all requests for as long."""
    limits = filled_limits(LARGE)
    limits.on_relay_report("n2", 1, {TENANT: 1_000}, now_s=100.0)
    limits.on_relay_report("n2", 1, {TENANT: 2_000}, now_s=100.0)
    counted = limits.levels(100.0)[TENANT]
    limits.on_relay_report("n2", 1, {TENANT: 2_000_000}, now_s=100.0 + RELAY_SILENCE_S + 0.1)
    assert (counted, limits.levels(103.0)) == (LARGE.burst - 1_000, {})


def test_totals_of_a_restarted_relay_count_from_its_first_report():
    limits = filled_limits(LARGE)
    limits.on_relay_report("n2", 1, {TENANT: 5_000}, now_s=100.0)
    limits.on_relay_report("n2", 2, {TENANT: 700}, now_s=100.0)
    limits.on_relay_report("n2", 2, {TENANT: 900}, now_s=100.0)
    assert limits.levels(100.0)[TENANT] == LARGE.burst - 200


def test_refunds_reported_by_a_relay_are_counted():
    """A decreased total was mistaken for a restart of the relay: its spending of other limits was not counted."""
    limits = FleetLimits(random.Random(5))
    limits.set_limits({TENANT: LARGE, "other": LARGE})
    limits.on_fleet_report({}, 0, 1)
    limits.levels(0.0)
    limits.levels(100.0)
    limits.on_relay_report("n2", 1, {TENANT: 5_000, "other": 0}, now_s=100.0)
    limits.on_relay_report("n2", 1, {TENANT: 6_000, "other": 0}, now_s=100.0)
    limits.on_relay_report("n2", 1, {TENANT: 5_700, "other": 900}, now_s=100.0)
    assert limits.levels(100.0) == {TENANT: LARGE.burst - 700, "other": LARGE.burst - 900}


def test_a_bucket_is_refilled_before_spending_is_counted():
    """A bucket that had not been refilled for long gained back at once what was spent."""
    limits = filled_limits(LARGE)
    limits.on_member_report({TENANT: 1_000}, now_s=110.0)
    assert limits.levels(110.0)[TENANT] == LARGE.burst - 1_000


def started_limits(limit, nodes=1):
    """Return the limits of a node that has just started, with empty buckets."""
    limits = FleetLimits(random.Random(5))
    limits.set_limits({TENANT: limit})
    limits.on_fleet_report({}, nodes - 1, nodes)
    limits.levels(0.0)
    return limits


def filled_limits(limit):
    """Return the limits of a single node with a full bucket at second 100."""
    limits = started_limits(limit)
    limits.levels(100.0)
    return limits


def test_a_started_node_does_not_spend_tokens_saved_before_its_start():
    limits = started_limits(SMALL)
    admitted = sum(isinstance(limits.admit(TENANT, 1_000, 0.01), Admitted) for _ in range(500))
    assert admitted <= 2 * SMALL.rate_per_s / 1_000


def test_a_raised_limit_may_be_spent_at_once():
    limits = filled_limits(SMALL)
    while isinstance(limits.admit(TENANT, 5_000, 100.0), Admitted):
        pass
    limits.set_limits({TENANT: LARGE})
    admitted = sum(isinstance(limits.admit(TENANT, 5_000, 100.0), Admitted) for _ in range(50))
    assert admitted == 50


def test_a_lowered_limit_cuts_the_saved_tokens():
    limits = filled_limits(LARGE)
    limits.set_limits({TENANT: SMALL})
    admitted = sum(isinstance(limits.admit(TENANT, 1_000, 100.0), Admitted) for _ in range(1_000))
    assert admitted * 1_000 <= 4 * SMALL.burst


def test_a_request_larger_than_the_burst_is_admitted():
    limits = filled_limits(SMALL)
    assert isinstance(limits.admit(TENANT, 40_000, 100.0), Admitted)


def test_a_request_that_has_not_run_is_refunded():
    limits = filled_limits(SMALL)
    admitted = limits.admit(TENANT, 10_000, 100.0)
    before = limits.levels(100.0)[TENANT]
    limits.refund(admitted)
    assert (before, limits.levels(100.0)) == (19_000, {})


def test_a_retry_of_a_request_that_may_have_run_is_charged_again():
    limits = filled_limits(SMALL)
    limits.charge_retry(limits.admit(TENANT, 10_000, 100.0))
    assert limits.levels(100.0)[TENANT] == 9_000


def test_a_refusal_states_when_tokens_are_expected():
    limits = filled_limits(SMALL)
    refusals = []
    while len(refusals) < 20:
        decision = limits.admit(TENANT, 9_000, 100.0)
        if isinstance(decision, OverLimit):
            refusals.append(decision.wait_s)
    # Waits grow with the demand, and callers refused at the same time wait for different times.
    assert min(refusals) >= 0.2 and max(refusals) <= MAX_LIMIT_WAIT_S
    assert len(set(refusals[:5])) > 1
    assert refusals[0] < refusals[-1]


def test_a_tenant_without_a_limit_is_not_limited():
    limits = started_limits(SMALL)
    assert limits.admit("other", 10**9, 0.0) is None


def test_amounts_of_a_lost_report_are_reported_again():
    limits = filled_limits(LARGE)
    limits.admit(TENANT, 1_000, 100.0)
    first = limits.begin_report()
    limits.end_report(is_acknowledged=False)
    second = limits.begin_report()
    limits.end_report(is_acknowledged=True)
    assert (first, second, limits.begin_report()) == ({TENANT: 1_000}, {TENANT: 1_000}, {})


def test_spending_during_a_report_is_subtracted_from_the_levels_it_returns():
    limits = filled_limits(LARGE)
    limits.admit(TENANT, 1_000, 100.0)
    limits.begin_report()
    limits.admit(TENANT, 500, 100.0)
    limits.end_report(is_acknowledged=True)
    limits.on_levels_report({TENANT: 50_000}, 100.1)
    assert limits.levels(100.1)[TENANT] == 49_500
    assert limits.begin_report() == {TENANT: 500}


def test_most_refused_tenants_come_first():
    limits = FleetLimits(random.Random(5))
    limits.set_limits({name: SMALL for name in ("idle", "busy", "refused")})
    limits.on_fleet_report({}, 0, 1)
    limits.levels(0.0)
    limits.levels(100.0)
    limits.admit("busy", 5_000, 100.0)
    for _ in range(100):
        limits.admit("refused", 5_000, 100.0)
    first, second = limits.most_refused_tenants(2, 100.0)
    assert (first.tenant, second.tenant) == ("refused", "busy")
    assert first.refused_requests > 50 and second.refused_requests == 0
    assert (second.level, second.demand_per_s) == (24_000, 5_000)


def cut_link(from_s, to_s):
    def scenario(fleet):
        def change(value):
            fleet.is_link_cut = value

        fleet.schedule(from_s, lambda now_s: change(True))
        fleet.schedule(to_s, lambda now_s: change(False))

    return scenario


def degrade_link(delay_s=0.02, lost_fraction=0.0):
    def scenario(fleet):
        fleet.link_delay_s, fleet.link_lost_fraction = delay_s, lost_fraction

    return scenario


def idle_until_surge(fleet):
    """The bucket is full when the surge begins."""
    fleet.demand_factor = lambda now_s: SURGE_FACTOR if SURGE_FROM_S < now_s < SURGE_TO_S else 0.05


def cut_link_repeatedly(fleet):
    for number in range(8):
        cut_link(6.0 + 1.2 * number, 6.9 + 1.2 * number)(fleet)


REGION_SCENARIOS = {
    "normal": ((), MINIMAL_REFUSALS),
    "surge": ((surge,), FEW_REFUSALS),
    "surge at one node": ((surge_at_one_node,), 0.045),
    "normal, cut": ((cut_link(6.0, 18.0),), 0.06),
    "surge, cut for 1 s": ((surge, cut_link(6.0, 7.0)), FEW_REFUSALS),
    "surge, cut for 5 s": ((surge, cut_link(6.0, 11.0)), FEW_REFUSALS),
    "surge, cut for 20 s": ((surge, cut_link(6.0, 26.0)), FEW_REFUSALS),
    "surge, cut right before": ((surge, cut_link(4.9, 17.0)), FEW_REFUSALS),
    "idle, cut right before the surge": ((idle_until_surge, cut_link(4.9, 17.0)), FEW_REFUSALS),
    "surge at one node, cut": ((surge_at_one_node, cut_link(5.5, 14.0)), 0.18),
    "surge, cut repeatedly": ((surge, cut_link_repeatedly), 0.045),
    "surge, slow link": ((surge, degrade_link(delay_s=0.5)), FEW_REFUSALS),
    "surge, very slow link": ((surge, degrade_link(delay_s=1.0)), 0.1),
    "surge, lossy link": ((surge, degrade_link(lost_fraction=0.3)), 0.045),
}


@pytest.mark.parametrize("limit", [LARGE, SMALL], ids=["large", "small"])
@pytest.mark.parametrize("scenario", REGION_SCENARIOS)
def test_two_regions_stay_within_the_limit_whatever_happens_to_their_link(scenario, limit):
    """Cut off right before a surge, both regions spent the saved tokens: 1.14 times the allowed amount."""
    parts, refused = REGION_SCENARIOS[scenario]
    fleet = LimitFleet(seed=1, nodes=90, zones=6, limit=limit, regions=2)
    for part in parts:
        part(fleet)
    fleet.run(20.0)
    assert fleet.largest_overrun() <= 1.0
    assert fleet.refused_fraction(from_s=2.0) <= refused


def test_410_nodes_in_two_regions_stay_within_the_limit():
    fleet = LimitFleet(seed=2, nodes=410, zones=14, limit=LARGE, regions=2)
    surge(fleet)
    cut_link(7.0, 12.0)(fleet)
    fleet.run(14.0)
    assert fleet.largest_overrun() <= 1.0


def test_a_lost_region_is_assumed_to_have_spent_as_much_as_this_one_by_size():
    limits = filled_limits(LARGE)
    limits.on_relay_report("same region", 1, {TENANT: 0}, now_s=100.0)
    limits.on_relay_report("other region", 1, {TENANT: 0}, now_s=100.0, is_same_region=False)
    limits.charge_retry(Admitted(TENANT, 1_000))
    limits.on_region_report("west")
    before = limits.levels(100.0)[TENANT]
    limits.charge_retry(Admitted(TENANT, 500))
    limits.on_member_report({TENANT: 300}, now_s=100.0)
    limits.on_relay_report("same region", 1, {TENANT: 200}, now_s=100.0)
    limits.on_relay_report("other region", 1, {TENANT: 70}, now_s=100.0, is_same_region=False)
    limits.on_region_lost("west", 2.0, now_s=100.0)
    # What was spent and reported, and twice what this region has spent since the lost one's last report.
    assert before - limits.levels(100.0)[TENANT] == 1_070 + 2 * 1_000
    limits.on_region_lost("west", 2.0, now_s=100.0)
    assert before - limits.levels(100.0)[TENANT] == 3_070


def test_reports_of_silent_relays_are_removed():
    limits = FleetLimits(random.Random(1))
    for number in range(100):
        limits.on_relay_report(f"relay-{number}", 1, {"t": number}, 2.0 * RELAY_SILENCE_S * number)
    assert len(limits._relay_spending) == 1
