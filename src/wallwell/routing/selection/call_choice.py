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

FREE_SLOTS_FLOOR = 0.25
"""Free slots that a full back end counts as having, so that one is chosen if all are full.

Beside one with a single free slot it gets one call in 17."""
MIN_FREE_REGION_FRACTION = 0.25
"""Fraction of a region's slots that has to be free for its calls to stay there.

What the fleet sends while loads grow old (0.1 to 0.2 s) takes some slots; with fewer free ones a call waits longer
than the way to another region and back takes (40 ms)."""
MAX_OWN_ZONE_LOAD_FRACTION = 0.5
"""Load of a back end of the own zone, by its slots, below which calls stay in the zone.

Half of the slots are left for what other nodes send while loads grow old."""


def choose_backend_for_call(
    candidates: Sequence[Backend], node_count: int, own_zone: str, topology: Topology, rng: random.Random
) -> Backend:
    """Return the back end of a call's next attempt; there is at least one candidate."""
    in_own_zone = [
        each for each in candidates if each.record.zone == own_zone and _is_below_zone_limit(each, node_count)
    ]
    if in_own_zone:
        return min(in_own_zone, key=lambda each: (each.fleet_load(node_count), rng.random()))
    candidates = _prefer_own_region(candidates, node_count, topology)
    free_slots = [max(FREE_SLOTS_FLOOR, each.record.slots - each.fleet_load(node_count)) for each in candidates]
    return rng.choices(candidates, [slots * slots for slots in free_slots])[0]


def _is_below_zone_limit(backend: Backend, node_count: int) -> bool:
    return backend.fleet_load(node_count) < MAX_OWN_ZONE_LOAD_FRACTION * backend.record.slots


def _prefer_own_region(candidates: Sequence[Backend], node_count: int, topology: Topology) -> Sequence[Backend]:
    """Return the candidates of the own region if enough of its slots are free, else all."""
    if not topology.has_regions:
        return candidates
    in_own_region = [each for each in candidates if topology.is_own_region(each.record.zone)]
    free_slots = sum(max(0, each.record.slots - each.fleet_load(node_count)) for each in in_own_region)
    has_enough_free = bool(in_own_region) and free_slots >= MIN_FREE_REGION_FRACTION * sum(
        each.record.slots for each in in_own_region
    )
    return in_own_region if has_enough_free else candidates
