"""How long engines take to begin a long prompt by the load they have, learned from first tokens. Pure.

One instance a node: ``BackendSelector`` observes the first token of each long prompt, ``engine_choice`` asks up to
which load an engine still begins a prompt within its objective.
"""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_S = 0.07
"""Seconds per unit of load until something has been observed."""
SMOOTHING = 0.1
"""Weight of the newest observation in the average: ten prompts or so decide."""
SHORTEST_S = 0.005
"""Least seconds per unit that one observation counts as, so that the load limit stays finite."""


@dataclass
class PrefillRate:
    """Seconds from sending to the first token, by unit of an engine's load with the prompt's own."""

    seconds_per_unit: float = DEFAULT_S

    def observe(self, load: int, first_token_s: float) -> None:
        """Learn from a first token that came from an engine with ``load`` units, the prompt's own among them."""
        seen_s = max(SHORTEST_S, first_token_s / max(1, load))
        self.seconds_per_unit += SMOOTHING * (seen_s - self.seconds_per_unit)

    def load_limit(self, objective_s: float) -> float:
        """Return the load up to which an engine still begins a prompt within its objective."""
        return objective_s / self.seconds_per_unit
