"""Whether a request has too little time left to be sent. Pure.

An attempt that cannot end within the caller's remaining time only costs a back end's work, so it is refused unsent.
Owns what each route's shortest answers have shown; relies on the pipeline to report answers that ended well and to
ask before each attempt.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_REMAINING_S = 0.02
"""Time in seconds below which no attempt is made, nor an engine waited for."""
REQUIRED_ANSWER_FRACTION = 0.5
"""Fraction of the shortest answer seen that a request must have left to be sent: a half, since loads and sizes of
requests differ."""
REQUESTS_PER_PROBE = 20
"""One in so many requests with less time is sent all the same. A node learns only from what it sends, so one whose
first answers were slow would otherwise refuse short requests for its whole life."""


@dataclass
class ShortestAnswerTime:
    """The shortest time from a request's sending to the end of its answer, of one route at this node."""

    seconds: float = float("inf")
    _requests_short_of_time: int = 0
    """Requests so far that had at least the floor, and less than the shortest answer asks for."""

    def should_refuse(self, remaining_s: float, floor_s: float) -> bool:
        """Whether a request with ``remaining_s`` is refused; counts those that are short of time."""
        if remaining_s < floor_s:
            return True
        if remaining_s >= self.required_remaining_s(floor_s):
            return False
        self._requests_short_of_time += 1
        return self._requests_short_of_time % REQUESTS_PER_PROBE != 0

    def observe(self, seconds: float) -> None:
        """Learn from a request that ended well."""
        self.seconds = min(self.seconds, seconds)

    def required_remaining_s(self, floor_s: float) -> float:
        """Return what a request must have left of its time to be sent; ``floor_s`` at least."""
        return floor_s if self.seconds == float("inf") else max(floor_s, REQUIRED_ANSWER_FRACTION * self.seconds)


def has_too_little_time(shortest: ShortestAnswerTime | None, remaining_s: float, continues_run: bool) -> bool:
    """Whether too little time is left for an attempt.

    ``shortest`` is that of the request's route, None until one was answered. A request that continues an earlier
    run has less to do than a whole one, so only the floor of ``MIN_REMAINING_S`` applies to it.
    """
    if shortest is None or continues_run:
        return remaining_s < MIN_REMAINING_S
    return shortest.should_refuse(remaining_s, MIN_REMAINING_S)
