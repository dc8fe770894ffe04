"""Chooses the back end of a service call among its candidates. Pure.

Inputs are the candidates with the loads of all nodes, the number of nodes, the zone and region of this node, and a
random generator. A call goes to the node's own zone while a back end there is below half load, else to the own
region while enough of its slots are free. Calls that stay in neither are spread at random by free slots.

Loads of other nodes are some hundred milliseconds old. If every node chose the least loaded back end, all would
choose the same one until the next load report. The choice is therefore random, weighted by the square of the free
slots.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from wallwell.deployment.topology import Topology
from wallwell.routing.health.backend import Backend

MIN_COUNTED_FREE_SLOTS = 0.25
"""Free slots assumed of a full back end, so that one is chosen even if all are full. Next to a back end with one
free slot, a full one gets one call in 17."""
MIN_FREE_REGION_FRACTION = 0.25
"""Fraction of the own region's slots that must be free for calls to stay in the region. Calls that the fleet sends
while loads are out of date (0.1 to 0.2 s) occupy some slots. With fewer free slots, a call waits longer than the
round trip to another region takes (40 ms)."""
MAX_OWN_ZONE_LOAD_FRACTION = 0.5
"""Fraction of a back end's slots in use below which calls from its own zone go to it. The other half is for what
other nodes send while loads are out of date."""


def choose_backend_for_call(
    candidates: Sequence[Backend], node_count: int, own_zone: str, topology: Topology, rng: random.Random
) -> Backend:
    """Return the back end of a call's next attempt. ``candidates`` must not be empty."""
    in_own_zone = [
        each for each in candidates if each.record.zone == own_zone and _is_below_zone_limit(each, node_count)
    ]
    if in_own_zone:
        return min(in_own_zone, key=lambda each: (each.fleet_load(node_count), rng.random()))
    candidates = _prefer_own_region(candidates, node_count, topology)
    free_slots = [
        max(MIN_COUNTED_FREE_SLOTS, each.record.slots - each.fleet_load(node_count)) for each in candidates
    ]
    return rng.choices(candidates, [slots * slots for slots in free_slots])[0]


def _is_below_zone_limit(backend: Backend, node_count: int) -> bool:
    return backend.fleet_load(node_count) < MAX_OWN_ZONE_LOAD_FRACTION * backend.record.slots


def _prefer_own_region(candidates: Sequence[Backend], node_count: int, topology: Topology) -> Sequence[Backend]:
    """Return the candidates of the own region if enough of its slots are free, else all candidates."""
    if not topology.has_other_regions:
        return candidates
    in_own_region = [each for each in candidates if topology.is_in_own_region(each.record.zone)]
    free_slots = sum(max(0, each.record.slots - each.fleet_load(node_count)) for each in in_own_region)
    has_enough_free = bool(in_own_region) and free_slots >= MIN_FREE_REGION_FRACTION * sum(
        each.record.slots for each in in_own_region
    )
    return in_own_region if has_enough_free else candidates
