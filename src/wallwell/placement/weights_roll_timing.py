"""When a weights roll begins: at once, or after a version that is expected soon, so that one load serves both.

Loading and serving on older weights both cost. What decides is observed: how often versions are named, how many
generations come, how many engines would load, and whether all of them serve. Pure.
"""

from __future__ import annotations

import itertools
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from wallwell.deployment.weights import NamedVersion

SOONEST_S = 0.6
"""Time from a version's naming to its first load: every node has heard of it by then, and it costs nothing."""
FREE_AGE_S = 1.5
"""Age of a superseding version from which generations on older weights are worth less (users' rules)."""
STALE_LOSS = 0.2
"""Part of a generation's worth that is lost on older weights (users' rules)."""
LOAD_COST = 1.4
"""Worth of a load and its order in generations (1.3 to 1.5 in the users' price lists, 0.8 in two of them)."""
NAMING_TOLERANCE_S = 0.5
"""How late a version may be against the usual gap and still be expected."""
GAPS_REMEMBERED = 4


@dataclass(frozen=True)
class RollCircumstances:
    """What a weights roll of one model would meet now."""

    generations_per_s: float
    """Of all nodes."""
    engines_lacking: int
    all_serving: bool


def usual_gap_s(named: Sequence[NamedVersion]) -> float | None:
    """Return the usual time between two versions, None if fewer than two are known."""
    times = [each.known_since_s for each in named if not each.estimated][-GAPS_REMEMBERED - 1 :]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    return statistics.median(gaps) if gaps else None


def hold_s(
    named: Sequence[NamedVersion],
    missing: NamedVersion,
    circumstances: RollCircumstances,
    longest_s: float,
    now_s: float,
) -> float:
    """Return how long after the naming of the oldest missing version its weights roll begins.

    ``named`` holds all versions of the model, oldest first. While an engine is out, the others are needed, and a
    weights roll waits for ``longest_s``.
    """
    if not circumstances.all_serving:
        return longest_s
    gap_s = usual_gap_s(named)
    if gap_s is None:
        return min(SOONEST_S, longest_s)
    next_s = named[-1].known_since_s + gap_s
    if now_s > next_s + NAMING_TOLERANCE_S:
        return min(SOONEST_S, longest_s)
    stale_s = max(0.0, next_s - missing.known_since_s - FREE_AGE_S)
    cost_of_waiting = STALE_LOSS * circumstances.generations_per_s * stale_s
    cost_of_loads = LOAD_COST * circumstances.engines_lacking
    return min(SOONEST_S, longest_s) if cost_of_waiting >= cost_of_loads else longest_s
