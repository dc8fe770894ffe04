"""Which generations are refused while engines have more in flight than they can serve in time. Pure.

An engine runs a bounded number of generations at once; the others wait in its queue. Once they wait longer than the
callers' objectives, all answers are late. Late generations occupy slots as long as others, so the queue lasts until
long after its cause has ended. Refusing a fraction of the generations at once keeps the others in time, and the
refused callers retry when slots are free.

Nodes receive each other's load some reports late, and all receive the same. With a single threshold they would all
refuse and admit in alternation, so the refused fraction grows gradually with the load.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from wallwell.routing.health.backend import Backend

REFUSAL_BEGIN_LOAD = 1.1
"""Load per slot of the usable engines above which generations of the most urgent rank are refused.

Long prompts count several times in the load (see ``request_load``), so a fleet can be at 1 and still be in time."""
REFUSE_ALL_LOAD = 1.7
"""Load per slot from which all of them are refused: most of a further batch waits behind the running one."""
RANK_LOAD_STEP = 0.1
"""Refusals begin at a load per slot that is lower by this for each step to a less urgent rank."""
MAX_RANK_STEPS = 3
"""Steps by which a rank counts as less urgent at most: refusals begin at a load per slot of 0.8 at the lowest."""
DEFAULT_GENERATION_S = 1.5
"""Assumed duration of a generation, in seconds, before the first one is observed."""
SMOOTHING_WEIGHT = 0.05
"""Weight of the newest observation in the moving average: about the last twenty determine it."""


class Occupancy(msgspec.Struct, frozen=True):
    """Requests of all nodes in flight at the usable engines, with long prompts counted several times."""

    load: int
    slots: int

    @property
    def load_per_slot(self) -> float:
        """Load per slot; 0 if the engines state no slots."""
        return self.load / self.slots if self.slots else 0.0


def occupancy_if_refused(
    engines: Sequence[Backend], rank: int, now_s: float, rng: random.Random
) -> Occupancy | None:
    """Return the occupancy if a new generation is refused because of it; None if the generation is admitted.

    ``engines`` are those eligible for new generations of the service. Engines that are loading weights count, since
    they are available again before a refused caller retries. Nothing is refused while other nodes' loads are
    unknown, since one node's requests say little about the fleet. One random number is drawn if they are known.
    """
    engines = [each for each in engines if each.is_open(now_s)]
    if any(each.peers_load is None for each in engines):
        return None
    load = sum(each.fleet_load() for each in engines)
    occupancy = Occupancy(load, sum(each.record.slots for each in engines))
    return occupancy if rng.random() < refused_fraction(occupancy, rank) else None


def refused_fraction(occupancy: Occupancy, rank: int) -> float:
    """Return the fraction of new generations of a rank that is refused; rank 0 is the most urgent."""
    begin_load = REFUSAL_BEGIN_LOAD - RANK_LOAD_STEP * rank_steps(rank)
    return min(1.0, max(0.0, (occupancy.load_per_slot - begin_load) / (REFUSE_ALL_LOAD - REFUSAL_BEGIN_LOAD)))


def rank_steps(rank: int) -> int:
    """Return how many steps less urgent than rank 0 a rank is, at most ``MAX_RANK_STEPS``."""
    return min(MAX_RANK_STEPS, max(0, rank))


@dataclass
class AverageDuration:
    """Moving average of the time in seconds from sending a request to the end of its answer."""

    seconds: float = DEFAULT_GENERATION_S

    def observe(self, seconds: float) -> None:
        """Update the average with the duration of a successful request."""
        self.seconds += SMOOTHING_WEIGHT * (seconds - self.seconds)
