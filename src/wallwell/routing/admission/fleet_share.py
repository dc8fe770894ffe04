"""Which fraction of every tenant's limit the nodes that hear each other may spend together. Pure.

Inputs are how many nodes are heard and how many the fleet has. Each side of a cut gets the fraction of the nodes
that it sees, and a majority ``TOLERATED_MISSING`` more. So both sides together spend at most 1.05 times the limit.
"""

from __future__ import annotations

TOLERATED_MISSING_FRACTION = 0.05
"""Fraction of the nodes that may be unheard without the others giving up their rate: stopped or replaced ones.

Only for a majority, so that two halves of a fleet cannot both use it."""
MAJORITY_FRACTION = 0.5
"""Fraction of the nodes above which those that hear each other are a majority."""
ASSUMED_FLEET_NODES = 100
"""Size of the fleet for a node that knows of no others yet; it knows them within a second of its start.

A larger figure lets nodes that start admit less in that second."""


def spendable_fraction(reachable_nodes: int | None, fleet_nodes: int) -> float:
    """Return the fraction of a limit that may be spent by the nodes that hear each other, this one among them.

    ``heard_nodes`` is None for a node that hears no other: it keeps to its equal share, as all that are cut off do.
    ``fleet_nodes`` is the size of the fleet, 0 if unknown.
    """
    fleet_nodes = fleet_nodes or ASSUMED_FLEET_NODES
    if reachable_nodes is None:
        return 1.0 / fleet_nodes
    reachable_fraction = min(1.0, reachable_nodes / fleet_nodes)
    if reachable_fraction > MAJORITY_FRACTION:
        return min(1.0, reachable_fraction + TOLERATED_MISSING_FRACTION)
    return reachable_fraction
