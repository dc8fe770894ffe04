"""How many generations callers ask for, of one node and of all. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

RATE_WINDOW_S = 4.0


@dataclass
class ArrivalCount:
    """Arrivals in the last ``RATE_WINDOW_S``."""

    _times: deque[float] = field(default_factory=deque)

    def on_arrival(self, now_s: float) -> None:
        """Count one."""
        self._times.append(now_s)
        self.recent(now_s)

    def recent(self, now_s: float) -> int:
        """Return how many came lately."""
        while self._times and self._times[0] <= now_s - RATE_WINDOW_S:
            self._times.popleft()
        return len(self._times)


@dataclass
class FleetDemand:
    """Generations that came to this node and to all others."""

    own: ArrivalCount = field(default_factory=ArrivalCount)
    peers_generations: int | None = None
    """Of all other nodes as they told lately; None if they are not heard."""

    def per_s(self, now_s: float, nodes: int) -> float:
        """Return generations a second of all nodes; unheard ones are taken to get as many as this one."""
        own = self.own.recent(now_s)
        total = own * nodes if self.peers_generations is None else own + self.peers_generations
        return total / RATE_WINDOW_S
