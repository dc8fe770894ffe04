"""The shares of a weighted split hold over few requests and over any number of nodes together."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.deployment.routes import Route, RouteKind, WeightedService
from wallwell.routing.selection.split import WeightedSplit


def split_route(*weights):
    services = tuple(WeightedService(f"s{index}", weight) for index, weight in enumerate(weights))
    return Route("r", "h", "/", RouteKind.SAFE, services, timeout_s=1.0, objective_s=1.0)


@given(
    weights=st.lists(st.integers(1, 100), min_size=2, max_size=4),
    offset=st.floats(0.0, 0.999),
    requests=st.integers(1, 300),
)
def test_every_share_deviates_by_at_most_one_and_a_half_requests(weights, offset, requests):
    split, route = WeightedSplit(), split_route(*weights)
    counts = Counter(split.choose(route, offset) for _ in range(requests))
    for index, weight in enumerate(weights):
        assert abs(counts[f"s{index}"] - requests * weight / sum(weights)) <= 1.5


def test_many_nodes_with_few_requests_each_keep_the_shares_in_total():
    route = split_route(90, 10)
    counts: Counter[str] = Counter()
    for node in range(20):
        split = WeightedSplit()
        counts.update(split.choose(route, node / 20) for _ in range(15))
    assert abs(counts["s1"] / counts.total() - 0.1) < 0.03


def test_changed_services_start_a_new_round():
    split = WeightedSplit()
    split.choose(split_route(1, 1), 0.0)
    route = Route("r", "h", "/", RouteKind.SAFE, (WeightedService("n", 1.0),), timeout_s=1.0, objective_s=1.0)
    assert split.choose(route, 0.0) == "n"


@pytest.mark.parametrize("weights", [(90, 10), (10, 90), (50, 30, 20), (20, 30, 50), (70, 20, 10), (1, 1)])
@pytest.mark.parametrize("requests", [1, 2, 3])
def test_the_first_requests_of_many_nodes_keep_the_shares(weights, requests):
    """After a restart or a change of services, all nodes start a round and each serves few requests at first."""
    counts: Counter[str] = Counter()
    for node in range(200):
        split = WeightedSplit()
        counts.update(split.choose(split_route(*weights), node / 200) for _ in range(requests))
    for index, weight in enumerate(weights):
        assert abs(counts[f"s{index}"] / counts.total() - weight / sum(weights)) <= 0.02
