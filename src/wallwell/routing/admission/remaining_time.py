"""Whether a request has too little time left to be sent. Pure.

An attempt that cannot end within the caller's remaining time only wastes a back end's work, so the request is
refused without being sent. This module keeps the shortest answer time of each route. It relies on the pipeline to
report successful answers and to ask before each attempt.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_REMAINING_S = 0.02
"""With less time left than this, in seconds, no attempt is made and no engine is waited for."""
REQUIRED_ANSWER_FRACTION = 0.5
"""Fraction of the shortest answer time that a request must have left to be sent. It is a half because load and
request sizes vary."""
REQUESTS_PER_PROBE = 20
"""One in this many requests with too little time left is sent anyway. A node measures answer times only on requests
that it sends, so after slow first answers it would otherwise refuse short requests until it is restarted."""


@dataclass
class ShortestAnswerTime:
    """The shortest time at this node from sending a request of one route to the end of its answer."""

    seconds: float = float("inf")
    _requests_short_of_time: int = 0
    """Requests so far with at least the floor but less than the required time left."""

    def should_refuse(self, remaining_s: float, floor_s: float) -> bool:
        """Whether to refuse a request with ``remaining_s`` left; counts requests that have less than required."""
        if remaining_s < floor_s:
            return True
        if remaining_s >= self.required_remaining_s(floor_s):
            return False
        self._requests_short_of_time += 1
        return self._requests_short_of_time % REQUESTS_PER_PROBE != 0

    def observe(self, seconds: float) -> None:
        """Record the duration of a successful request."""
        self.seconds = min(self.seconds, seconds)

    def required_remaining_s(self, floor_s: float) -> float:
        """Return how many seconds a request must have left to be sent, at least ``floor_s``."""
        return floor_s if self.seconds == float("inf") else max(floor_s, REQUIRED_ANSWER_FRACTION * self.seconds)


def has_too_little_time(shortest: ShortestAnswerTime | None, remaining_s: float, continues_run: bool) -> bool:
    """Whether too little time is left for an attempt.

    ``shortest`` belongs to the request's route; None until a request of the route was answered. A request that
    continues an earlier run needs less time than a whole one, so only the floor ``MIN_REMAINING_S`` applies to it.
    """
    if shortest is None or continues_run:
        return remaining_s < MIN_REMAINING_S
    return shortest.should_refuse(remaining_s, MIN_REMAINING_S)


def has_too_little_time_for_another(shortest: ShortestAnswerTime | None, remaining_s: float) -> bool:
    """Whether too little time is left for an attempt beside the one in flight.

    Counts nothing, unlike :func:`has_too_little_time`, so that a request which waits may ask again and again.
    """
    required_s = MIN_REMAINING_S if shortest is None else shortest.required_remaining_s(MIN_REMAINING_S)
    return remaining_s < required_s
