"""When a weights roll begins: at once, or after a version that is expected soon, so that one load serves both.

A load costs an engine's time; a generation on older weights loses part of its value. Both are counted in
generations and compared. Inputs: the times at which versions were named, the fleet's generations a second, the
number of engines that would load, and whether all of them serve. Owns no state.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import msgspec

from wallwell.deployment.weights import NamedVersion

MIN_START_DELAY_S = 0.6
"""Seconds from a version's naming to its first load at the earliest: every node knows the version by then, and
generations on older weights still have their full value."""
FULL_VALUE_AGE_S = 1.5
"""Age in seconds of the newer version from which a generation on older weights loses value. Given by the
operators, who value generations by the age of their weights."""
STALE_VALUE_LOSS_FRACTION = 0.2
"""Fraction of a generation's value that is lost on older weights. Given by the operators as well."""
LOAD_COST_GENERATIONS = 1.4
"""Cost of a load and its order, in generations: 1.3 to 1.5 in most of the operators' price lists, 0.8 in two."""
NAMING_TOLERANCE_S = 0.5
"""Seconds by which a version may be later than the usual interval and still be expected."""
MAX_RECENT_INTERVALS = 4
"""Newest intervals between versions whose median is the usual one: few, so that a change of the operators' habit
counts soon."""


class FleetConditions(msgspec.Struct, frozen=True):
    """The fleet's state that a weights roll of one model would meet now."""

    generations_per_s: float
    """Of all nodes."""
    outdated_engine_count: int
    """Engines without the newest version."""
    are_all_serving: bool
    """Whether every listed engine that is not leaving takes requests."""


def median_naming_interval_s(named_versions: Sequence[NamedVersion]) -> float | None:
    """Return the usual time between two versions, None if fewer than two are known."""
    naming_times_s = [named.named_at_s for named in named_versions if not named.estimated][
        -MAX_RECENT_INTERVALS - 1 :
    ]
    intervals_s = [later - earlier for earlier, later in itertools.pairwise(naming_times_s)]
    return _median(intervals_s) if intervals_s else None


def start_delay_s(
    named_versions: Sequence[NamedVersion],
    missing: NamedVersion,
    conditions: FleetConditions,
    max_delay_s: float,
    now_s: float,
) -> float:
    """Return the seconds from the naming of the oldest missing version to the beginning of its weights roll.

    ``named_versions`` holds all versions of the model, oldest first. While an engine is out of service, the others
    are needed, and a weights roll waits for ``max_delay_s``.
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
    """Return the median of at least one value; the standard library's module for it costs a node 1 MB."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2
