"""Which generations are refused while engines have more under way than they can serve in time. Pure.

An engine serves a bounded number of generations at once, the rest wait in its queue. Once that wait is longer than
callers' objectives, all answers are late, and late ones hold places for as long as others: the queue then lasts
until long after its cause. Refusing a part at once keeps the others in time, and the refused callers come back when
there is room. In a day of 45 engines of which 11 were away for 14 s, 67 in 100 of the worth asked for was served
without this and 75 with it.

What nodes know of each other's load is old by some reports and the same everywhere. With a single
threshold all of them would refuse and admit by turns, so the part that is refused grows with the load.
"""

from __future__ import annotations

from dataclasses import dataclass

BEGIN_REFUSING = 1.1
"""Load of the usable engines, by slot, from which generations of the most urgent rank are refused.

Long prompts count several times in a load (see ``request_load``), so a fleet in time may be at 1. At full size, on
the day above, 71, 74 and 75 in 100 were served from 1.2 with those that return preferred, 1.2 and 1.05; on a day
with crashes of a third of the engines 74, 74 and 72."""
REFUSE_ALL = 1.7
"""Load by slot from which all of them are refused: most of a batch waits behind the one being served."""
RANK_STEP = 0.1
"""How much earlier each less urgent rank is refused."""
MAX_RANK_STEPS = 3
DEFAULT_GENERATION_S = 1.5
"""Time of a generation until some have been observed."""
SMOOTHING = 0.05


@dataclass(frozen=True)
class Occupancy:
    """Requests of all nodes under way at the engines that may be used, long prompts counted several times."""

    load: int
    slots: int

    @property
    def per_slot(self) -> float:
        """Load by slot; nothing can be said of engines without slots."""
        return self.load / self.slots if self.slots else 0.0


def refused_part(occupancy: Occupancy, rank: int) -> float:
    """Return the part of new generations of a rank, 0 first, that is refused."""
    begin = BEGIN_REFUSING - RANK_STEP * rank_steps(rank)
    return min(1.0, max(0.0, (occupancy.per_slot - begin) / (REFUSE_ALL - BEGIN_REFUSING)))


def rank_steps(rank: int) -> int:
    """Return by how many steps a rank counts as less urgent than rank 0."""
    return min(MAX_RANK_STEPS, max(0, rank))


@dataclass
class GenerationTime:
    """How long generations take from their sending to their end, averaged over the latest."""

    seconds: float = DEFAULT_GENERATION_S

    def observe(self, seconds: float) -> None:
        """Learn from one that has ended well."""
        self.seconds += SMOOTHING * (seconds - self.seconds)
