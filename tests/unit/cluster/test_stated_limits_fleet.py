"""All nodes together enforce the limit that a back end states, whatever nodes and links between them fail."""

import pytest

from tests.unit.cluster.limit_network import (
    ANSWER_DELAY_S,
    ENFORCEMENT_DELAY_S,
    LimitNetwork,
    max_requests_in_window,
)
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S

STATED_S, ENDED_S, END_S = 5.0, 25.0, 40.0
ENFORCED_S = STATED_S + ENFORCEMENT_DELAY_S
LOW_BANDWIDTH_INTERVAL_S = 0.25


def stated(per_s):
    return lambda now_s: per_s if STATED_S <= now_s < ENDED_S else NO_LIMIT_PER_S


def fewer_callers_at_each_further_node(network):
    network.weights = [1 / (index + 1) ** 1.2 for index in range(len(network.nodes))]


def a_third_is_cut_off(network):
    network.cut_off(network.nodes[::3], 10.0, 18.0)


def a_relay_is_cut_off(network):
    network.cut_off(network.nodes[:1], 10.0, 18.0)


def one_node_restarts_after_the_other(network):
    for index, node in enumerate(network.nodes):
        network.restart(node, 6.0 + index * 16.0 / len(network.nodes))


def all_nodes_restart(network):
    for node in network.nodes:
        network.restart(node, 12.0)


def two_in_five_exchanges_are_lost(network):
    network.lost_fraction = 0.4


def the_regions_lose_each_other(network):
    network.regions = 2

    def cut(value):
        network.region_cut = value

    network.schedule(11.0, lambda now_s: cut(True))
    network.schedule(17.0, lambda now_s: cut(False))


def two_regions(network):
    network.regions = 2


def nothing_happens(network):
    pass


EVENTS = [
    nothing_happens,
    fewer_callers_at_each_further_node,
    a_third_is_cut_off,
    a_relay_is_cut_off,
    one_node_restarts_after_the_other,
    all_nodes_restart,
    two_in_five_exchanges_are_lost,
    two_regions,
    the_regions_lose_each_other,
]


def run_network(event, nodes, per_s, requested_per_s, interval_s=0.05, seed=1):
    network = LimitNetwork(seed, nodes, stated(per_s), requested_per_s, interval_s)
    event(network)
    network.run(END_S)
    return network


@pytest.mark.parametrize("per_s", [0.3, 1.8, 10.0])
@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
def test_seven_nodes_keep_a_limit_and_use_it(event, per_s):
    network = run_network(event, 7, per_s, 4 * per_s)
    assert network.largest_window_of_informed_nodes(ENFORCED_S, ENDED_S) <= max_requests_in_window(per_s)
    assert network.rate(ENFORCED_S, ENDED_S) >= 0.5 * per_s
    # At a low rate, only the answer to the next request shows that the limit has ended.
    known_s = ENDED_S + max(2.0, 3 / per_s)
    assert not [at_s for at_s in network.passed_over_s if at_s >= known_s]


@pytest.mark.parametrize("event", [nothing_happens, one_node_restarts_after_the_other, the_regions_lose_each_other])
def test_79_nodes_that_report_four_times_a_second_keep_a_limit(event):
    per_s = 2.0
    network = run_network(event, 79, per_s, 4 * per_s, LOW_BANDWIDTH_INTERVAL_S)
    assert network.largest_window_of_informed_nodes(ENFORCED_S, ENDED_S) <= max_requests_in_window(per_s)
    assert network.rate(ENFORCED_S, ENDED_S) >= 0.5 * per_s


@pytest.mark.parametrize("per_s", [0.3, 1.8, 3.0, 10.0])
@pytest.mark.parametrize("seed", range(5))
def test_requests_before_the_first_statement_are_compensated_within_the_window(per_s, seed):
    """Guards against a debt that is dropped too early: callers send all requests of a window at one moment."""
    network = LimitNetwork(seed, 3, stated(per_s), 4 * per_s)
    network.requested_per_s = 1e-6
    for number in range(int(max_requests_in_window(per_s))):
        network.schedule(STATED_S - ANSWER_DELAY_S + 0.001 * number / per_s, network.request)

    def start_callers(now_s):
        network.requested_per_s = 4 * per_s
        network.schedule(now_s, network._arrive)

    network.schedule(STATED_S + 0.5, start_callers)
    network.run(STATED_S + 20.0)
    assert network.largest_window_of_all_nodes(ENFORCED_S, STATED_S + 20.0) <= max_requests_in_window(per_s)
    assert network.rate(STATED_S + 10.0, STATED_S + 20.0) >= 0.5 * per_s


def test_a_limit_that_falls_and_rises_is_enforced_at_each_value():
    values = [(5.0, 8.0), (12.0, 2.0), (20.0, 5.0)]

    def per_s(now_s):
        return next((value for at_s, value in reversed(values) if at_s <= now_s), NO_LIMIT_PER_S)

    network = LimitNetwork(2, 7, per_s, 16.0)
    network.run(28.0)
    ends_s = [at_s for at_s, _ in values[1:]] + [28.0]
    for (at_s, value), end_s in zip(values, ends_s, strict=True):
        assert network.largest_window_of_informed_nodes(
            at_s + ENFORCEMENT_DELAY_S, end_s
        ) <= max_requests_in_window(value)
        assert network.rate(at_s + ENFORCEMENT_DELAY_S, end_s) >= 0.5 * value


def test_a_back_end_with_a_limit_of_zero_is_probed_and_used_again_when_the_limit_ends():
    network = LimitNetwork(3, 7, lambda now_s: 0.0 if STATED_S <= now_s < 45.0 else NO_LIMIT_PER_S, 3.0)
    network.run(70.0)
    assert network.largest_window_of_informed_nodes(ENFORCED_S, 45.0) <= max_requests_in_window(0.0)
    assert 0 < network.rate(ENFORCED_S, 45.0) <= 0.2
    assert network.rate(60.0, 70.0) > 2.0


def test_a_node_that_learned_a_limit_only_from_peers_has_it_in_force():
    network = LimitNetwork(4, 7, stated(1.0), 4.0)
    silent = network.nodes[-1]
    network.weights[-1] = 0.0
    network.run(ENFORCED_S)
    limit = silent.load.backends.get("i-0").request_limit
    assert (limit.per_s, limit.own_per_s) == (1.0, NO_LIMIT_PER_S)
