"""Decides when a back end that asked for back-off gets requests again. Pure.

Inputs are the seconds that its refusals ask for, and the times of requests sent to it and of its answers. Times are
on this node's clock.

A full back end states for how long it wants no requests from this node. It gets none until the longest such time
has passed; outcomes of other requests, such as answers to older ones, do not shorten it. Then one trial request is
sent, and others follow once it is accepted. A back end that is still full would refuse each of them, and every
refusal costs a caller time and the fleet a retry.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

MAX_BACKOFF_S = 3600.0
"""Longest back-off in seconds. No overload is expected to last as long, and a value that was meant in milliseconds
must not exclude a back end for good."""
TRIAL_TIMEOUT_S = 0.5
"""Seconds to wait for the outcome of the trial request after a back-off before another one is sent. Refusals arrive
within milliseconds, and first tokens of an engine without backlog within its objective."""
MAX_LOGGED_CHARS = 40
"""Characters of a header that are logged; numbers and dates are shorter."""


class StatedBackoff(NamedTuple):
    """Back-off that the ``Retry-After`` headers of one refusal ask for."""

    seconds: float
    """The longest time asked for, at most ``MAX_BACKOFF_S``; 0 if none."""
    unreadable: tuple[str, ...]
    """Headers that are not numbers, truncated for the log. HTTP also allows dates, which back ends do not send."""


def parse_retry_after(headers: Iterable[str]) -> StatedBackoff:
    """Parse the ``Retry-After`` headers of one refusal."""
    longest_s = 0.0
    unreadable: list[str] = []
    for header in headers:
        try:
            longest_s = max(longest_s, float(header))  # ``max`` keeps its first argument if the second is NaN.
        except ValueError:
            unreadable.append(header[:MAX_LOGGED_CHARS])
    return StatedBackoff(min(longest_s, MAX_BACKOFF_S), tuple(unreadable))


@dataclass(slots=True)
class RequestedBackoff:
    """The back-off that one back end has asked of this node."""

    until_s: float = float("-inf")
    """End of the longest back-off asked for."""
    _refused_since_s: float | None = None
    """When the back end first asked, if it has accepted no request since; None otherwise."""
    _trial_until_s: float = float("-inf")

    def is_in_force(self, now_s: float) -> bool:
        """Whether the back end currently wants no requests from this node."""
        return now_s < self.until_s

    def allows_request(self, now_s: float) -> bool:
        """Whether a request may be sent: no back-off is in force and no trial request is in flight."""
        return now_s >= self.until_s and now_s >= self._trial_until_s

    def on_requested(self, backoff_s: float, now_s: float) -> bool:
        """Record a refusal that asks for back-off; returns False if a back-off was already in force."""
        is_new = not self.is_in_force(now_s)
        if self._refused_since_s is None:
            self._refused_since_s = now_s
        self.until_s = max(self.until_s, now_s + min(backoff_s, MAX_BACKOFF_S))
        self._trial_until_s = float("-inf")
        return is_new

    def on_sent(self, now_s: float) -> None:
        """Record that a request was sent; the first one after a back-off is the trial request."""
        if self._refused_since_s is not None and now_s >= self.until_s:
            self._trial_until_s = now_s + TRIAL_TIMEOUT_S

    def on_accepted(self, now_s: float) -> float | None:
        """Record an accepted request; returns the seconds since the first refusal if this ends a back-off."""
        if self._refused_since_s is None or self.is_in_force(now_s):
            return None
        backoff_duration_s = now_s - self._refused_since_s
        self._refused_since_s = None
        self._trial_until_s = float("-inf")
        return backoff_duration_s
