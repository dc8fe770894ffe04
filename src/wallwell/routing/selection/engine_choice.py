"""Which of its candidates a generation goes to. Pure.

Inputs are the prompt, the candidates, the listed engines from which pools are formed, and what the node knows of
the fleet. In this order:

1. The region: the node's own, or that of the prompt's home if much of it is shared (``prefix_home.home_region``).
2. Within it the pool for the prompt's length, then all engines, as long as enough of them have headroom; then the
   other regions in the same way, up to ``FAR_SLOTS_FRACTION`` of their slots.
3. Among those engines the first in the order of the prompt's key that is within its load bound. A busy home is
   thereby passed over for the same next engine on every node.

Without headroom anywhere the key alone decides, so that requests spread over all engines.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from wallwell.deployment.topology import Topology
from wallwell.routing.health.backend import Backend
from wallwell.routing.rendezvous import rendezvous_score
from wallwell.routing.selection.prefill_rate import PrefillRate
from wallwell.routing.selection.prefix_home import home_region, is_long, regional_pools

REGION_ROUND_TRIP_S = 0.04
"""Seconds that the way to an engine of another region and back adds to a first token.

Arithmetic: twice the 20 ms of one way between regions."""
FAR_SLOTS_FRACTION = 0.75
"""Fraction of another region's slots that this region's prompts may fill.

The rest is left to that region's own prompts, since its loads arrive here only some times a second."""
HEADROOM_DIVISOR = 3
"""One engine in so many of a tier has to have headroom for the tier to be used.

Among fewer, all nodes with the same old loads would send the fleet's requests to a few."""
MIN_LOAD_BOUND = 3
"""Requests under way below which an engine is never passed over.

In an idle fleet a second request at the same home is no reason to prefill its prefix elsewhere."""
LOAD_BOUND_FACTOR = 1.5
"""Multiple of the mean load (plus one) from which an engine is passed over for the next in the key's order.

Larger keeps prefixes at their homes, smaller evens loads out."""
LEAVE_REGION_FACTOR = 1.25
"""Mean load of a region's engines, relative to the other region's, from which prompts leave it without headroom.

Less is made up for by the way and by what the region's engines and stores keep."""
KEY_SPACE = 2**64
"""Number of rendezvous scores; a score below a fraction of it is as likely as that fraction."""


class Prompt(NamedTuple):
    """What the choice needs to know of a generation."""

    key: int
    """Places the prompt by its longest shared prefix (``prefix_home.placement_key``)."""
    tokens: int
    shared_tokens: int
    """Tokens that other prompts may share."""
    objective_s: float
    """Within how many seconds the first token should come."""


class FleetView(NamedTuple):
    """What the node knows of the fleet."""

    node_count: int
    topology: Topology
    prefill_rate: PrefillRate


def choose_for_generation(
    prompt: Prompt, candidates: Sequence[Backend], listed: Sequence[Backend], fleet: FleetView
) -> Backend:
    """Return the engine of a generation's next attempt; there is at least one candidate."""
    topology, nodes, key = fleet.topology, fleet.node_count, prompt.key
    pool = regional_pools(listed, prompt.tokens, topology)
    near: Sequence[Backend] = candidates
    far: Sequence[Backend] = ()
    if topology.has_other_regions:
        near, far = _by_region(candidates, home_region(key, prompt.shared_tokens, pool, topology), topology)
    near_limit, far_limit = _load_limits(prompt, fleet.prefill_rate)
    if not (near and far):
        chosen = choose_from_tiers(_tiers(near or far, pool), key, nodes, near_limit if near else far_limit)
    else:
        chosen = (
            find_headroom(_tiers(near, pool), key, nodes, near_limit)
            or find_headroom(_tiers(far, pool), key, nodes, far_limit, FAR_SLOTS_FRACTION)
            or choose_engine(far if prefers_other_region(near, far, key, nodes) else near, key, nodes)
        )
    assert chosen is not None
    return chosen


def _by_region(
    candidates: Sequence[Backend], region: str, topology: Topology
) -> tuple[Sequence[Backend], Sequence[Backend]]:
    """Return the candidates of a region and those of others."""
    near: list[Backend] = []
    far: list[Backend] = []
    for each in candidates:
        side = near if topology.region_of(each.record.zone) == region else far
        side.append(each)
    return near, far


def _load_limits(prompt: Prompt, prefill_rate: PrefillRate) -> tuple[float, float]:
    """Return the loads up to which engines of this region and of others begin a prompt within its objective.

    Short prompts have no limit. A long one that would wait beyond its objective in its pool rather lengthens the
    gaps of short ones on other engines.
    """
    if not is_long(prompt.tokens):
        return math.inf, math.inf
    far_objective_s = max(0.0, prompt.objective_s - REGION_ROUND_TRIP_S)
    return prefill_rate.load_limit(prompt.objective_s), prefill_rate.load_limit(far_objective_s)


def _tiers(engines: Sequence[Backend], pool: Sequence[Backend]) -> tuple[Sequence[Backend], Sequence[Backend]]:
    """Return the engines that are meant for a prompt's length, and all of them."""
    meant = set(pool)
    return [each for each in engines if each in meant], engines


def choose_engine(engines: Sequence[Backend], key: int, nodes: int = 1) -> Backend | None:
    """Return the first engine in the key's order that is within its load bound; None without engines."""
    if not engines:
        return None
    loads = {engine.incarnation: engine.fleet_load(nodes) for engine in engines}
    mean = sum(loads.values()) / len(engines)
    bound = max(MIN_LOAD_BOUND, LOAD_BOUND_FACTOR * (mean + 1))
    ordered = sorted(engines, key=lambda engine: rendezvous_score(engine.incarnation, key), reverse=True)
    return next((engine for engine in ordered if loads[engine.incarnation] < bound), ordered[0])


def find_headroom(
    tiers: Sequence[Sequence[Backend]],
    key: int,
    nodes: int,
    load_limit: float = math.inf,
    slots_fraction: float = 1.0,
) -> Backend | None:
    """Return an engine of the first tier in which enough have headroom; None if no tier has.

    An engine has headroom while the load of all nodes is below a fraction of its slots and below ``load_limit``.
    Loads of other nodes are some hundred milliseconds old, and all nodes have the same ones. If all of them chose
    among the few engines that looked idle, these would get in that time what the whole fleet is sent.
    """
    for tier in tiers:
        with_headroom = [
            each for each in tier if each.fleet_load(nodes) < min(load_limit, slots_fraction * each.record.slots)
        ]
        if with_headroom and len(with_headroom) * HEADROOM_DIVISOR >= len(tier):
            return choose_engine(with_headroom, key, nodes)
    return None


def choose_from_tiers(
    tiers: Sequence[Sequence[Backend]], key: int, nodes: int, load_limit: float = math.inf
) -> Backend | None:
    """Return an engine of the first tier in which enough have headroom.

    If no tier has, return one of the last tier by the key; None if that is empty.
    """
    return find_headroom(tiers, key, nodes, load_limit) or choose_engine(tiers[-1], key, nodes)


def prefers_other_region(near: Sequence[Backend], far: Sequence[Backend], key: int, nodes: int = 1) -> bool:
    """Whether a prompt goes to another region though its own is preferred, where neither has headroom.

    The fraction of the keys that leave grows with the difference of mean loads, so that loads that are known late
    do not send all prompts to and fro. A prefix leaves as long as its key belongs to that fraction.
    """
    near_load = _mean_load(near, nodes)
    far_load = _mean_load(far, nodes)
    excess = near_load - far_load * LEAVE_REGION_FACTOR
    if excess <= 0:
        return False
    return rendezvous_score("another region", key) < excess / (near_load + far_load) * KEY_SPACE


def _mean_load(engines: Sequence[Backend], nodes: int) -> float:
    return sum(engine.fleet_load(nodes) for engine in engines) / len(engines)
