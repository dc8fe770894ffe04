"""Decides when a weights roll begins: at once, or later, so that one load also covers a version expected soon.

A load takes engine time; a generation on older weights loses part of its value. Both costs are expressed in
generations and compared. Inputs: the times at which versions were named, the fleet's generations per second, the
number of outdated engines, and whether all engines serve. Stateless.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import msgspec

from wallwell.deployment.weights import NamedVersion

MIN_START_DELAY_S = 0.6
"""Minimum seconds between a version's naming and its first load: by then every node knows the version, and
generations on older weights still have their full value."""
FULL_VALUE_AGE_S = 1.5
"""A generation on older weights keeps its full value until the newer version is this many seconds old. Set by the
operators, who value generations by the age of their weights."""
STALE_VALUE_LOSS_FRACTION = 0.2
"""Fraction of its value that a generation loses on older weights after that age. Also set by the operators."""
LOAD_COST_GENERATIONS = 1.4
"""Cost of a load and its order, in generations: 1.3 to 1.5 in most of the operators' price lists, 0.8 in two."""
NAMING_TOLERANCE_S = 0.5
"""Seconds past the usual interval during which the next version is still expected."""
MAX_RECENT_INTERVALS = 4
"""Number of recent naming intervals of which the median is taken; small, so that the estimate follows a change in
how often operators name versions."""


class FleetConditions(msgspec.Struct, frozen=True):
    """Current state of the fleet, as it affects when the weights roll of one model begins."""

    generations_per_s: float
    """Generations per second of all nodes."""
    outdated_engine_count: int
    """Engines without the newest version."""
    are_all_serving: bool
    """Whether every listed engine that is not leaving takes requests."""


def median_naming_interval_s(named_versions: Sequence[NamedVersion]) -> float | None:
    """Return the median seconds between two namings, None if fewer than two naming times are known."""
    times_s = [named.named_at_s for named in named_versions if not named.estimated][-MAX_RECENT_INTERVALS - 1 :]
    intervals_s = [later - earlier for earlier, later in itertools.pairwise(times_s)]
    return _median(intervals_s) if intervals_s else None


def start_delay_s(
    named_versions: Sequence[NamedVersion],
    missing: NamedVersion,
    conditions: FleetConditions,
    max_delay_s: float,
    now_s: float,
) -> float:
    """Return how many seconds after the naming of ``missing``, the oldest missing version, its weights roll begins.

    ``named_versions`` holds all versions of the model, oldest first. While an engine is out of service, the others
    have to serve its load, and the weights roll waits for ``max_delay_s``.
    """
    if not conditions.are_all_serving:
        return max_delay_s
    interval_s = median_naming_interval_s(named_versions)
    if interval_s is None:
        return min(MIN_START_DELAY_S, max_delay_s)
    expected_next_s = named_versions[-1].named_at_s + interval_s
    if now_s > expected_next_s + NAMING_TOLERANCE_S:
        return min(MIN_START_DELAY_S, max_delay_s)
    stale_s = max(0.0, expected_next_s - missing.named_at_s - FULL_VALUE_AGE_S)
    cost_of_waiting = STALE_VALUE_LOSS_FRACTION * conditions.generations_per_s * stale_s
    cost_of_loads = LOAD_COST_GENERATIONS * conditions.outdated_engine_count
    return min(MIN_START_DELAY_S, max_delay_s) if cost_of_waiting >= cost_of_loads else max_delay_s


def _median(values: Sequence[float]) -> float:
    """Return the median of a non-empty sequence; importing the standard ``statistics`` module costs a node 1 MB."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2
