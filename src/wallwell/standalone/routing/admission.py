"""Admission by deadline: work that cannot start in time is refused at once instead of queueing. Pure.

Engines serve lower ranks first, so under load a request of a higher rank waits longer than the work ahead of it
when it was sent. How much longer is learned from what became of earlier requests of the rank.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MIN_RETRY_AFTER_S = 0.05
"""Least seconds after which a refused caller is asked to retry."""
_EXCESS_SMOOTHING = 0.2
"""Weight of the latest observation of excess wait."""
_EXCESS_HALF_LIFE_S = 5.0
"""Seconds in which half of the learned excess is forgotten, so that one bad moment does not refuse for long."""


@dataclass
class _ExcessWait:
    seconds: float = 0.0
    updated_s: float = 0.0


@dataclass
class WaitCalibration:
    """Per rank, how many seconds longer requests waited than was expected; forgets with a half-life.

    Forgetting lets a few requests through again after an overload, whose outcome then counts. A difference is
    used and not a ratio: a cached prompt is expected within milliseconds, and one crash would make any ratio large.
    """

    _excess: dict[int, _ExcessWait] = field(default_factory=dict)

    def excess_s(self, rank: int, now_s: float) -> float:
        """Return the seconds to add to an expected first-token time."""
        entry = self._excess.get(rank)
        if entry is None:
            return 0.0
        return entry.seconds * math.exp2(-(now_s - entry.updated_s) / _EXCESS_HALF_LIFE_S)

    def observe(self, rank: int, expected_s: float, observed_s: float, now_s: float) -> None:
        """Learn from a first token, or from a request given up after ``observed_s``."""
        excess = max(0.0, observed_s - expected_s)
        current = self.excess_s(rank, now_s)
        self._excess[rank] = _ExcessWait(current + _EXCESS_SMOOTHING * (excess - current), now_s)


def retry_after_if_late_s(expected_s: float, remaining_s: float) -> float | None:
    """Return None to admit, or the time after which the chosen engine's queue may be short enough."""
    if expected_s <= remaining_s:
        return None
    return max(MIN_RETRY_AFTER_S, expected_s - remaining_s)
