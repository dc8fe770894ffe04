"""Which generations are refused while engines have more in flight than they can serve in time. Pure.

An engine serves a bounded number of generations at once, the rest wait in its queue. Once that wait is longer than
callers' objectives, all answers are late, and late ones hold slots for as long as others: the queue then lasts
until long after its cause. Refusing a fraction at once keeps the others in time, and the refused callers return
when there are free slots.

What nodes know of each other's load is old by some reports and the same everywhere. With a single threshold all of
them would refuse and admit alternately, so the fraction that is refused grows with the load.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from wallwell.routing.health.backend import Backend

REFUSAL_BEGIN_LOAD = 1.1
"""Load of the usable engines, by slot, from which generations of the most urgent rank are refused.

Long prompts count several times in a load (see ``request_load``), so a fleet in time may be at 1."""
REFUSE_ALL_LOAD = 1.7
"""Load by slot from which all of them are refused: most of a batch waits behind the one being served."""
RANK_LOAD_STEP = 0.1
"""How much earlier each less urgent rank is refused, in load by slot."""
MAX_RANK_STEPS = 3
"""Ranks beyond the most urgent one that differ: refusing begins at a load by slot of 0.8 at the least."""
DEFAULT_GENERATION_S = 1.5
"""Seconds of a generation until some have been observed."""
SMOOTHING_WEIGHT = 0.05
"""Weight of the newest observation in the average: some twenty decide."""


class Occupancy(msgspec.Struct, frozen=True):
    """Requests of all nodes in flight at the engines that may be used, long prompts counted several times."""

    load: int
    slots: int

    @property
    def load_per_slot(self) -> float:
        """Load by slot; nothing can be said of engines without slots."""
        return self.load / self.slots if self.slots else 0.0


def occupancy_if_refused(
    engines: Sequence[Backend], rank: int, now_s: float, rng: random.Random
) -> Occupancy | None:
    """Return the occupancy on account of which a new generation is refused; None if it is not refused.

    ``engines`` are those that new generations of the service are meant for. Engines that load weights count: they
    are back sooner than a refused caller. Nothing is refused while other nodes' loads are unknown, since what one
    node has under way says little of the fleet. One random number is drawn if they are known.
    """
    engines = [each for each in engines if each.is_open(now_s)]
    if any(each.peers_load is None for each in engines):
        return None
    load = sum(each.fleet_load() for each in engines)
    occupancy = Occupancy(load, sum(each.record.slots for each in engines))
    return occupancy if rng.random() < refused_fraction(occupancy, rank) else None


def refused_fraction(occupancy: Occupancy, rank: int) -> float:
    """Return the fraction of new generations of a rank, 0 first, that is refused."""
    begin_load = REFUSAL_BEGIN_LOAD - RANK_LOAD_STEP * rank_steps(rank)
    return min(1.0, max(0.0, (occupancy.load_per_slot - begin_load) / (REFUSE_ALL_LOAD - REFUSAL_BEGIN_LOAD)))


def rank_steps(rank: int) -> int:
    """Return by how many steps a rank counts as less urgent than rank 0."""
    return min(MAX_RANK_STEPS, max(0, rank))


@dataclass
class AverageDuration:
    """How long generations take from their sending to their end, averaged over the latest."""

    seconds: float = DEFAULT_GENERATION_S

    def observe(self, seconds: float) -> None:
        """Learn from one that has ended well."""
        self.seconds += SMOOTHING_WEIGHT * (seconds - self.seconds)
