"""Which fraction of a limit may be spent together by the nodes that reach each other. Pure.

Inputs are the number of nodes that reach each other and the size of the fleet. After a network partition, each side
may spend the fraction of the limit that corresponds to its share of the nodes, and a majority
``TOLERATED_MISSING_FRACTION`` more. So both sides together spend at most 1.05 times the limit.
"""

from __future__ import annotations

TOLERATED_MISSING_FRACTION = 0.05
"""Fraction of the nodes that may be unreachable, for example stopped or replaced, while the others still spend the
whole limit.

It applies to a majority only, so that the two halves of a partitioned fleet cannot both use it."""
MAJORITY_FRACTION = 0.5
"""Nodes that reach each other are a majority if they are more than this fraction of the fleet."""
ASSUMED_NODE_COUNT = 100
"""Fleet size assumed by a node that does not know of any other node yet; it does within a second of its start.

With a larger value, starting nodes admit less during that second."""


def spendable_fraction(reachable_nodes: int | None, node_count: int) -> float:
    """Return the fraction of a limit that the nodes which reach each other, this one included, may spend.

    ``reachable_nodes`` includes this node; None if it reaches no other node, which leaves it an equal share of the
    limit. ``node_count`` is the size of the fleet, 0 if unknown.
    """
    node_count = node_count or ASSUMED_NODE_COUNT
    if reachable_nodes is None:
        return 1.0 / node_count
    reachable_fraction = min(1.0, reachable_nodes / node_count)
    if reachable_fraction > MAJORITY_FRACTION:
        return min(1.0, reachable_fraction + TOLERATED_MISSING_FRACTION)
    return reachable_fraction
