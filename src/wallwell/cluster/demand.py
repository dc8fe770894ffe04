"""How many generations callers ask for, of one node and of all. Pure.

For decisions that depend on the demand of the fleet. Owns the count of this node; that of the others comes with
their load reports.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wallwell.routing.sliding_window import SlidingWindow

RATE_WINDOW_S = 4.0
"""Seconds over which generations are counted, by every node alike."""


@dataclass
class FleetDemand:
    """Generations that came to this node and to all others."""

    own_generations: SlidingWindow = field(default_factory=lambda: SlidingWindow(RATE_WINDOW_S))
    peers_generations: int | None = None
    """Of all other nodes by their recent reports; None without such reports."""

    def generations_per_s(self, now_s: float, nodes: int) -> float:
        """Return generations a second of all nodes; without reports each is taken to get as many as this one."""
        own_count = self.own_generations.count(now_s)
        total = own_count * nodes if self.peers_generations is None else own_count + self.peers_generations
        return total / RATE_WINDOW_S
