"""Which fraction of a limit the nodes that hear each other may spend."""

import pytest

from wallwell.routing.admission.fleet_share import (
    ASSUMED_FLEET_NODES,
    TOLERATED_MISSING_FRACTION,
    spendable_fraction,
)


@pytest.mark.parametrize(
    ("heard", "fleet", "fraction"),
    [
        (None, 0, 1 / ASSUMED_FLEET_NODES),
        (None, 20, 1 / 20),
        (20, 20, 1.0),
        (25, 20, 1.0),
        (19, 20, 1.0),
        (15, 20, 0.75 + TOLERATED_MISSING_FRACTION),
        (10, 20, 0.5),
        (1, 20, 1 / 20),
        (1, 0, 1 / ASSUMED_FLEET_NODES),
    ],
    ids=[
        "starting",
        "alone",
        "all",
        "more than listed",
        "one missing",
        "majority",
        "half",
        "itself",
        "no size yet",
    ],
)
def test_fraction_by_nodes_heard(heard, fleet, fraction):
    assert spendable_fraction(heard, fleet) == pytest.approx(fraction)


@pytest.mark.parametrize("size", [1, 2, 3, 10, 79, 410])
def test_one_side_of_a_cut_gets_at_most_what_the_other_leaves_but_for_the_nodes_that_are_tolerated(size):
    for heard in range(1, size):
        both = spendable_fraction(heard, size) + spendable_fraction(size - heard, size)
        assert both <= 1.0 + TOLERATED_MISSING_FRACTION + 1e-9
