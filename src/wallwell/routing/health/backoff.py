"""Decides when a back end that asked for back-off gets requests again. Pure.

Inputs are the seconds that its refusals ask for, the requests sent to it and the answers that came. Times are on
this node's clock.

A back end that is full says for how long it wants nothing from this node. It is left alone until the end of the
longest such time: nothing that other requests show, such as answers to older ones, shortens it. Then one request is
sent, and others follow once it is accepted, since a back end that is still full would refuse each of them, and
every refusal costs a caller time and the fleet a retry.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

MAX_BACKOFF_S = 3600.0
"""Longest time in seconds for which a back end is left out at its own request: no overload is expected to last as
long, and a figure that was meant in milliseconds must not remove a back end for good."""
TRIAL_TIMEOUT_S = 0.5
"""Seconds for which the first request after a back-off is waited for before another one is sent: refusals come
within milliseconds, and first tokens of an engine that keeps up within its objective."""
MAX_LOGGED_CHARS = 40
"""Characters of a header that are logged: more than any number or date has."""


class StatedBackoff(NamedTuple):
    """What the ``Retry-After`` headers of one refusal ask for."""

    seconds: float
    """The longest time asked for, 0 if none."""
    unreadable: tuple[str, ...]
    """Headers that are no number, cut for the log. HTTP also allows a date there, which back ends do not send."""


def parse_retry_after(headers: Iterable[str]) -> StatedBackoff:
    """Read the ``Retry-After`` headers of one refusal."""
    longest_s = 0.0
    unreadable: list[str] = []
    for header in headers:
        try:
            longest_s = max(longest_s, float(header))  # The first one stays where the other is not a number.
        except ValueError:
            unreadable.append(header[:MAX_LOGGED_CHARS])
    return StatedBackoff(longest_s, tuple(unreadable))


@dataclass(slots=True)
class RequestedBackoff:
    """The back-off that one back end asks of this node."""

    until_s: float = float("-inf")
    """End of the longest time asked for."""
    _refused_since_s: float | None = None
    """When it first asked, if it has accepted no request since; None otherwise."""
    _trial_until_s: float = float("-inf")

    def is_in_force(self, now_s: float) -> bool:
        """Whether the back end wants nothing from this node now."""
        return now_s < self.until_s

    def allows_request(self, now_s: float) -> bool:
        """Whether a request may be sent: no back-off is in force, and no first request after one is in flight."""
        return now_s >= self.until_s and now_s >= self._trial_until_s

    def on_requested(self, backoff_s: float, now_s: float) -> bool:
        """Note a refusal that asks for back-off; returns False if one was in force already."""
        is_new = not self.is_in_force(now_s)
        if self._refused_since_s is None:
            self._refused_since_s = now_s
        self.until_s = max(self.until_s, now_s + min(backoff_s, MAX_BACKOFF_S))
        self._trial_until_s = float("-inf")
        return is_new

    def on_sent(self, now_s: float) -> None:
        """Note a request to the back end: the first one after a back-off is waited for."""
        if self._refused_since_s is not None and now_s >= self.until_s:
            self._trial_until_s = now_s + TRIAL_TIMEOUT_S

    def on_accepted(self, now_s: float) -> float | None:
        """Note that a request was accepted; returns the seconds since the first refusal if that ends a back-off."""
        if self._refused_since_s is None or self.is_in_force(now_s):
            return None
        backoff_duration_s = now_s - self._refused_since_s
        self._refused_since_s = None
        self._trial_until_s = float("-inf")
        return backoff_duration_s
