"""Tracks which peers are not asked for a while because they did not answer. Pure.

Owns the failures of each peer and the pauses that follow. Times are seconds on this node's clock. Used by
:mod:`.upstream`, which treats a paused peer as absent from its order.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wallwell.routing.exponential_delay import exponential_delay_s

FIRST_PAUSE_S = 2.0
"""Seconds of the first pause: longer than the 1.3 s that it takes to detect a silent peer, so that less than half
of the time is spent waiting for it."""
MAX_PAUSE_S = 16.0
"""Longest pause in seconds: a peer that works again is asked at most this late."""


@dataclass
class PeerHealth:
    """Consecutive failures of one peer, and the end of its pause."""

    consecutive_failures: int = 0
    paused_until_s: float = float("-inf")


@dataclass
class PeersHealth:
    """Health of all peers that did not answer the last request."""

    _by_name: dict[str, PeerHealth] = field(default_factory=dict)

    def is_working(self, name: str, now_s: float) -> bool:
        """Return whether a peer may be asked: it has not failed, or its pause is over."""
        health = self._by_name.get(name)
        return health is None or now_s >= health.paused_until_s

    def on_failure(self, name: str, now_s: float) -> None:
        """Pause a peer. Failures during its pause do not count: they belong to calls made at the same time."""
        health = self._by_name.setdefault(name, PeerHealth())
        if now_s < health.paused_until_s:
            return
        health.paused_until_s = now_s + exponential_delay_s(FIRST_PAUSE_S, MAX_PAUSE_S, health.consecutive_failures)
        health.consecutive_failures += 1

    def on_success(self, name: str) -> None:
        """Reset a peer's failures because it answered or may be reachable again."""
        self._by_name.pop(name, None)
