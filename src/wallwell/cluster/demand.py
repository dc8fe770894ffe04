"""Rate of generations that callers request, from one node and from the whole fleet. Pure.

Owns the count of this node; the count of all other nodes comes from their load reports.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wallwell.routing.sliding_window import SlidingWindow

RATE_WINDOW_S = 4.0
"""Seconds over which every node counts generations."""


@dataclass
class FleetDemand:
    """Recent generations requested from this node and from all other nodes."""

    own_generations: SlidingWindow = field(default_factory=lambda: SlidingWindow(RATE_WINDOW_S))
    peers_generations: int | None = None
    """Generations that all other nodes reported recently; None without recent reports."""

    def generations_per_s(self, now_s: float, node_count: int) -> float:
        """Return the fleet's generations per second; without reports, this node's times ``node_count``."""
        own_count = self.own_generations.count(now_s)
        total = own_count * node_count if self.peers_generations is None else own_count + self.peers_generations
        return total / RATE_WINDOW_S
