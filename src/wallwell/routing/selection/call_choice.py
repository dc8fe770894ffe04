"""Which of its candidates a call of a service goes to. Pure.

Inputs are the candidates with the loads of all nodes, the number of nodes, where this node stands, and a random
generator. Calls prefer the node's own zone while a back end there is at most half full, then the own region while
enough of its slots are free; the rest is spread at random by free slots.

Loads of other nodes are some hundred milliseconds old. If every node took the least loaded back end, all would take
the same one in that time; so the choice is random, weighed by the square of the free slots.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from wallwell.deployment.topology import Topology
from wallwell.routing.health.backend import Backend

MIN_FREE_SLOTS = 0.25
"""Free slots that a full back end counts as having, so that one is chosen if all are full.

Beside one with a single free slot it gets one call in 17."""
FREE_FRACTION_OF_REGION = 0.25
"""Fraction of a region's slots that has to be free for its calls to stay there.

What the fleet sends while loads grow old (0.1 to 0.2 s) takes some slots; with fewer free ones a call waits longer
than the way to another region and back takes (40 ms)."""
FULL_FRACTION_OF_ZONE = 0.5
"""Load of a back end of the own zone, by its slots, below which calls stay in the zone.

Half of the slots are left for what other nodes send while loads grow old."""


def choose_for_call(
    candidates: Sequence[Backend], node_count: int, own_zone: str, topology: Topology, rng: random.Random
) -> Backend:
    """Return the back end of a call's next attempt; there is at least one candidate."""
    near = [each for each in candidates if each.record.zone == own_zone and _is_below_half_full(each, node_count)]
    if near:
        return min(near, key=lambda each: (each.fleet_load(node_count), rng.random()))
    candidates = _of_own_region_if_free(candidates, node_count, topology)
    free = [max(MIN_FREE_SLOTS, each.record.slots - each.fleet_load(node_count)) for each in candidates]
    return rng.choices(candidates, [slots * slots for slots in free])[0]


def _is_below_half_full(backend: Backend, node_count: int) -> bool:
    return backend.fleet_load(node_count) < FULL_FRACTION_OF_ZONE * backend.record.slots


def _of_own_region_if_free(candidates: Sequence[Backend], node_count: int, topology: Topology) -> Sequence[Backend]:
    """Return the candidates of the own region if enough of its slots are free, else all."""
    if not topology.has_other_regions:
        return candidates
    own = [each for each in candidates if topology.is_in_own_region(each.record.zone)]
    free = sum(max(0, each.record.slots - each.fleet_load(node_count)) for each in own)
    is_enough = bool(own) and free >= FREE_FRACTION_OF_REGION * sum(each.record.slots for each in own)
    return own if is_enough else candidates
