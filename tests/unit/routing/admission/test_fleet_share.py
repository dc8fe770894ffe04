"""Which fraction of a limit the nodes that reach each other may spend."""

import pytest

from wallwell.routing.admission.fleet_share import (
    ASSUMED_NODE_COUNT,
    TOLERATED_MISSING_FRACTION,
    spendable_fraction,
)


@pytest.mark.parametrize(
    ("reachable_nodes", "node_count", "fraction"),
    [
        (None, 0, 1 / ASSUMED_NODE_COUNT),
        (None, 20, 1 / 20),
        (20, 20, 1.0),
        (25, 20, 1.0),
        (19, 20, 1.0),
        (15, 20, 0.75 + TOLERATED_MISSING_FRACTION),
        (10, 20, 0.5),
        (1, 20, 1 / 20),
        (1, 0, 1 / ASSUMED_NODE_COUNT),
    ],
    ids=[
        "starting node",
        "no other node reachable",
        "all nodes",
        "more nodes than listed",
        "one node missing",
        "majority",
        "half",
        "only itself",
        "unknown fleet size",
    ],
)
def test_fraction_by_number_of_reachable_nodes(reachable_nodes, node_count, fraction):
    assert spendable_fraction(reachable_nodes, node_count) == pytest.approx(fraction)


@pytest.mark.parametrize("node_count", [1, 2, 3, 10, 79, 410])
def test_both_sides_of_a_partition_exceed_the_limit_by_at_most_the_tolerated_fraction(node_count):
    for nodes in range(1, node_count):
        both = spendable_fraction(nodes, node_count) + spendable_fraction(node_count - nodes, node_count)
        assert both <= 1.0 + TOLERATED_MISSING_FRACTION + 1e-9
