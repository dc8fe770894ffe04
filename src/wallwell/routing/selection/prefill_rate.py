"""Estimates how the time to the first token of long prompts grows with an engine's load. Pure.

Each node has one instance. ``BackendSelector`` passes in the first token of each long prompt; ``engine_choice``
reads the load up to which an engine still begins a prompt within its objective.
"""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_SECONDS_PER_UNIT = 0.07
"""Seconds per unit of load assumed before the first observation."""
SMOOTHING_FACTOR = 0.1
"""Weight of the newest observation in the exponential average, which spans about ten prompts."""
MIN_SECONDS_PER_UNIT = 0.005
"""Lower bound of the seconds per unit of one observation, so that the load limit stays finite."""


@dataclass
class PrefillRate:
    """Seconds from sending a prompt to its first token, per unit of the engine's load including the prompt."""

    seconds_per_unit: float = DEFAULT_SECONDS_PER_UNIT

    def observe(self, load: int, first_token_s: float) -> None:
        """Update the average with a first token from an engine with ``load`` units, including the prompt's own."""
        observed_s = max(MIN_SECONDS_PER_UNIT, first_token_s / max(1, load))
        self.seconds_per_unit += SMOOTHING_FACTOR * (observed_s - self.seconds_per_unit)

    def load_limit(self, objective_s: float) -> float:
        """Return the load, in units, up to which an engine still begins a prompt within its objective."""
        return objective_s / self.seconds_per_unit
