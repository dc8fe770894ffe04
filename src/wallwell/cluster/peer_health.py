"""Which peers are passed over for a while since they did not answer. Pure.

Owns the failures of each peer and the pauses that follow. Times are seconds on this node's clock. Used by
:mod:`.upstream`, where a peer that is passed over counts as absent from the order.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wallwell.routing.doubling_pause import doubling_pause_s

FIRST_PAUSE_S = 2.0
"""Seconds of the first pause: longer than the 1.3 s in which a peer that does not answer is found, so that less
than half of the time goes into asking it."""
MAX_PAUSE_S = 16.0
"""Bound of the pauses in seconds: how late a peer that works again is asked."""


@dataclass
class PeerHealth:
    """Failures of one peer in a row, and until when it is passed over."""

    consecutive_failures: int = 0
    paused_until_s: float = float("-inf")


@dataclass
class PeersHealth:
    """Failures of all peers that did not answer when they were asked last."""

    _by_name: dict[str, PeerHealth] = field(default_factory=dict)

    def is_working(self, name: str, now_s: float) -> bool:
        """Whether a peer may be asked."""
        health = self._by_name.get(name)
        return health is None or now_s >= health.paused_until_s

    def on_failure(self, name: str, now_s: float) -> None:
        """Pass a peer over for a while; a failure of another call made at the same time does not count again."""
        health = self._by_name.setdefault(name, PeerHealth())
        if now_s < health.paused_until_s:
            return
        health.paused_until_s = now_s + doubling_pause_s(FIRST_PAUSE_S, MAX_PAUSE_S, health.consecutive_failures)
        health.consecutive_failures += 1

    def on_success(self, name: str) -> None:
        """A peer answered, or may be reachable again: its failures are forgotten."""
        self._by_name.pop(name, None)
