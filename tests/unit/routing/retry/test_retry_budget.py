"""All nodes together never retry more than the fleet's budget allows, for any number of nodes."""

from hypothesis import given
from hypothesis import strategies as st

from wallwell.routing.retry.retry_budget import FleetRetryBudget

RATIO, EXTRA, WINDOW_S = 0.2, 54.0, 10.0


@given(
    nodes=st.integers(1, 12),
    steps=st.lists(st.tuples(st.integers(0, 11), st.booleans(), st.floats(0.0, 0.4)), max_size=400),
)
def test_the_fleet_stays_within_its_budget_in_every_window(nodes, steps):
    budgets = [FleetRetryBudget(RATIO, EXTRA, WINDOW_S) for _ in range(nodes)]
    requests: list[float] = []
    retries: list[float] = []
    now_s = 0.0
    for node, is_request, pause_s in steps:
        now_s += pause_s
        budget = budgets[node % nodes]
        if is_request:
            budget.on_request(now_s)
            requests.append(now_s)
        elif budget.try_retry(now_s, nodes):
            retries.append(now_s)
            start_s = now_s - WINDOW_S
            allowed = RATIO * sum(at_s > start_s for at_s in requests) + EXTRA
            assert sum(at_s > start_s for at_s in retries) <= allowed


def test_a_node_without_requests_may_retry_its_share_of_the_extra():
    budget = FleetRetryBudget(RATIO, EXTRA, WINDOW_S)
    granted = sum(budget.try_retry(1.0, node_count=6) for _ in range(100))
    assert 5 <= granted <= EXTRA / 6


def test_spent_retries_are_available_again_after_the_window():
    budget = FleetRetryBudget(RATIO, 6.0, WINDOW_S)
    while budget.try_retry(1.0, node_count=1):
        pass
    assert not budget.try_retry(10.9, node_count=1)
    assert budget.try_retry(11.1, node_count=1)


def test_nodes_restarted_one_after_the_other_do_not_spend_their_share_twice():
    """Seven nodes that were restarted within one window each spent their share of the extra a second time."""
    nodes, spent = 7, 0
    for node in range(nodes):
        before = FleetRetryBudget(RATIO, EXTRA, WINDOW_S)
        after = FleetRetryBudget(RATIO, EXTRA, WINDOW_S, started_s=1.0 + node)
        spent += sum(before.try_retry(0.5 + node, nodes) for _ in range(50))
        spent += sum(after.try_retry(1.5 + node, nodes) for _ in range(50))
    assert 0 < spent <= EXTRA


def test_a_restarted_node_gets_its_share_after_one_window():
    budget = FleetRetryBudget(RATIO, EXTRA, WINDOW_S, started_s=5.0)
    assert not budget.try_retry(14.9, node_count=1)
    assert budget.try_retry(15.1, node_count=1)
