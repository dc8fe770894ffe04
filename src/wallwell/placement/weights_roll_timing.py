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

SOONEST_S = 0.6
"""Seconds from a version's naming to its first load at the earliest: every node knows the version by then, and
generations on older weights still have their full value."""
FREE_AGE_S = 1.5
"""Age in seconds of the newer version from which a generation on older weights loses value. Given by the
operators, who value generations by the age of their weights."""
STALE_LOSS = 0.2
"""Fraction of a generation's value that is lost on older weights. Given by the operators as well."""
LOAD_COST = 1.4
"""Cost of a load and its order, in generations: 1.3 to 1.5 in most of the operators' price lists, 0.8 in two."""
NAMING_TOLERANCE_S = 0.5
"""Seconds by which a version may be later than the usual interval and still be expected."""
INTERVALS_REMEMBERED = 4
"""Newest intervals between versions whose median is the usual one: few, so that a change of the operators' habit
counts soon."""


class RollCircumstances(msgspec.Struct, frozen=True):
    """The fleet's state that a weights roll of one model would meet now."""

    generations_per_s: float
    """Of all nodes."""
    engines_lacking: int
    """Engines without the newest version."""
    all_serving: bool
    """Whether every listed engine that is not leaving takes requests."""


def usual_interval_s(named: Sequence[NamedVersion]) -> float | None:
    """Return the usual time between two versions, None if fewer than two are known."""
    times = [each.known_since_s for each in named if not each.estimated][-INTERVALS_REMEMBERED - 1 :]
    intervals = [later - earlier for earlier, later in itertools.pairwise(times)]
    return _median(intervals) if intervals else None


def start_delay_s(
    named: Sequence[NamedVersion],
    missing: NamedVersion,
    circumstances: RollCircumstances,
    longest_s: float,
    now_s: float,
) -> float:
    """Return the seconds from the naming of the oldest missing version to the beginning of its weights roll.

    ``named`` holds all versions of the model, oldest first. While an engine is out of service, the others are
    needed, and a weights roll waits for ``longest_s``.
    """
    if not circumstances.all_serving:
        return longest_s
    interval_s = usual_interval_s(named)
    if interval_s is None:
        return min(SOONEST_S, longest_s)
    next_s = named[-1].known_since_s + interval_s
    if now_s > next_s + NAMING_TOLERANCE_S:
        return min(SOONEST_S, longest_s)
    stale_s = max(0.0, next_s - missing.known_since_s - FREE_AGE_S)
    cost_of_waiting = STALE_LOSS * circumstances.generations_per_s * stale_s
    cost_of_loads = LOAD_COST * circumstances.engines_lacking
    return min(SOONEST_S, longest_s) if cost_of_waiting >= cost_of_loads else longest_s


def _median(values: Sequence[float]) -> float:
    """Return the median of at least one value; the standard library's module for it costs a node 1 MB."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2
