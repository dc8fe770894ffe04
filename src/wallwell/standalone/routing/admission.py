"""Admission by deadline: a request that cannot start in time is refused at once instead of queued. Pure.

Engines serve lower ranks first, so under load a request of a higher rank waits longer than the queue at the time of
its dispatch suggests. The additional wait is estimated from earlier requests of the same rank.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MIN_RETRY_AFTER_S = 0.05
"""Minimum retry delay in seconds that a refused caller is given."""
_EXCESS_SMOOTHING = 0.2
"""Weight of the latest observation in the moving average of the excess wait."""
_EXCESS_HALF_LIFE_S = 5.0
"""Seconds in which the estimated excess halves, so that a short overload does not cause refusals for long."""


@dataclass
class _ExcessWait:
    seconds: float = 0.0
    updated_s: float = 0.0


@dataclass
class WaitCalibration:
    """Estimates, per rank, how many seconds longer than expected requests wait; estimates decay with a half-life.

    After an overload the decay admits a few requests again, which update the estimate. The estimate is a difference
    and not a ratio: a cached prompt is expected within milliseconds, so one crash would make any ratio large.
    """

    _excess: dict[int, _ExcessWait] = field(default_factory=dict)

    def excess_s(self, rank: int, now_s: float) -> float:
        """Return the seconds to add to the expected time to first token of a request of ``rank``."""
        entry = self._excess.get(rank)
        if entry is None:
            return 0.0
        return entry.seconds * math.exp2(-(now_s - entry.updated_s) / _EXCESS_HALF_LIFE_S)

    def observe(self, rank: int, expected_s: float, observed_s: float, now_s: float) -> None:
        """Update the estimate from a request that got its first token, or was abandoned, after ``observed_s``."""
        excess = max(0.0, observed_s - expected_s)
        current = self.excess_s(rank, now_s)
        self._excess[rank] = _ExcessWait(current + _EXCESS_SMOOTHING * (excess - current), now_s)


def retry_after_if_late_s(expected_s: float, remaining_s: float) -> float | None:
    """Return None to admit, or the seconds after which the chosen engine's queue may be short enough."""
    if expected_s <= remaining_s:
        return None
    return max(MIN_RETRY_AFTER_S, expected_s - remaining_s)
