"""How long engines take to begin a long prompt by the load they have, learned from first pieces. Pure."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_S = 0.07
"""Seconds a unit until something has been observed."""
SMOOTHING = 0.1
SHORTEST_S = 0.005


@dataclass
class PrefillRate:
    """Seconds from sending to the first piece, by unit of an engine's load with the prompt's own."""

    seconds_per_unit: float = DEFAULT_S

    def observe(self, load: int, first_piece_s: float) -> None:
        """Learn from a first piece that came from an engine with ``load`` units, the prompt's own among them."""
        seen_s = max(SHORTEST_S, first_piece_s / max(1, load))
        self.seconds_per_unit += SMOOTHING * (seen_s - self.seconds_per_unit)

    def room(self, objective_s: float) -> float:
        """Return the load up to which an engine still begins a prompt within its objective."""
        return objective_s / self.seconds_per_unit
