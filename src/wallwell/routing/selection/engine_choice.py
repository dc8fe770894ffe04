"""Chooses the engine of a generation among its candidates. Pure.

Inputs are the prompt, the candidates, the listed engines from which pools are formed, and what the node knows of
the fleet. The choice is made in three steps:

1. Prefer a region: the node's own, or that of the prompt's home if many tokens are shared (``prefill_region``).
2. In that region, use the pool for the prompt's length, else all engines, if enough of them have headroom.
   Otherwise do the same in the other regions, up to ``OTHER_REGION_SLOTS_FRACTION`` of their slots.
3. Choose the first of these engines, in the rendezvous order of the prompt's placement key, that is below its load
   bound. Every node thus replaces a busy home by the same next engine.

If no engine has headroom, the region, the key and the load bound decide, so that requests spread over all engines.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from wallwell.deployment.topology import Topology
from wallwell.routing.health.backend import Backend
from wallwell.routing.rendezvous import rendezvous_score
from wallwell.routing.selection.prefill_rate import PrefillRate
from wallwell.routing.selection.prefix_home import engine_pool_of_all_regions, is_long_prompt, prefill_region

REGION_ROUND_TRIP_S = 0.04
"""Seconds that the round trip to an engine of another region adds to the time to the first token. Calculated: twice
the 20 ms of one way between regions."""
OTHER_REGION_SLOTS_FRACTION = 0.75
"""Fraction of another region's slots that prompts from this region may fill. The rest is reserved for prompts of
that region, because its loads arrive here only a few times a second."""
TIER_HEADROOM_DIVISOR = 3
"""A tier is used if at least one engine in this many has headroom. With fewer, all nodes would send their requests
to the same few engines, since all have the same outdated loads."""
MIN_LOAD_BOUND = 3
"""Requests in flight below which an engine is never skipped. In an idle fleet, a second request at the same home
does not justify prefilling its prefix on another engine."""
LOAD_BOUND_FACTOR = 1.5
"""Load, as a multiple of the mean load plus one, from which an engine is skipped for the next in the key's order. A
larger factor keeps more prefixes at their homes, a smaller one balances load better."""
REGION_SWITCH_LOAD_RATIO = 1.25
"""Ratio of mean engine loads from which prompts move to the other regions if no region has headroom. Below this
ratio, a move would cost more in round trips and lost KV cache than it gains."""
RENDEZVOUS_SCORE_COUNT = 2**64
"""Number of possible rendezvous scores, which are uniformly distributed."""


class Prompt(NamedTuple):
    """Properties of a generation's prompt that decide its engine."""

    placement_key: int
    """Rendezvous key of the longest shared prefix (``prefix_home.placement_key``)."""
    tokens: int
    shared_tokens: int
    """Tokens of the parts that other prompts may share."""
    objective_s: float
    """Seconds within which the first token should arrive."""


class FleetView(NamedTuple):
    """Size, topology and prefill rate of the fleet as this node knows them."""

    node_count: int
    topology: Topology
    prefill_rate: PrefillRate


def choose_engine_for_generation(
    prompt: Prompt, candidates: Sequence[Backend], listed: Sequence[Backend], fleet: FleetView
) -> Backend:
    """Return the engine of a generation's next attempt. ``candidates`` must not be empty."""
    topology, node_count, placement_key = fleet.topology, fleet.node_count, prompt.placement_key
    pool = engine_pool_of_all_regions(listed, prompt.tokens, topology)
    preferred: Sequence[Backend] = candidates
    others: Sequence[Backend] = ()
    if topology.has_other_regions:
        preferred, others = _split_by_region(
            candidates, prefill_region(placement_key, prompt.shared_tokens, pool, topology), topology
        )
    preferred_limit, other_limit = _load_limits(prompt, fleet.prefill_rate)
    if not (preferred and others):
        chosen = choose_from_tiers(
            _tiers_for_length(preferred or others, pool),
            placement_key,
            node_count,
            preferred_limit if preferred else other_limit,
        )
    else:
        chosen = (
            find_engine_with_headroom(
                _tiers_for_length(preferred, pool), placement_key, node_count, preferred_limit
            )
            or find_engine_with_headroom(
                _tiers_for_length(others, pool), placement_key, node_count, other_limit, OTHER_REGION_SLOTS_FRACTION
            )
            or choose_engine_by_key(
                others if should_switch_region(preferred, others, placement_key, node_count) else preferred,
                placement_key,
                node_count,
            )
        )
    assert chosen is not None
    return chosen


def _split_by_region(
    candidates: Sequence[Backend], region: str, topology: Topology
) -> tuple[Sequence[Backend], Sequence[Backend]]:
    """Return the candidates in a region, then those in other regions."""
    in_region: list[Backend] = []
    others: list[Backend] = []
    for each in candidates:
        group = in_region if topology.region_of(each.record.zone) == region else others
        group.append(each)
    return in_region, others


def _load_limits(prompt: Prompt, prefill_rate: PrefillRate) -> tuple[float, float]:
    """Return the loads up to which engines begin a prompt within its objective, in the preferred and other regions.
    Short prompts have no limit. A long prompt that would miss its objective in its pool goes to other engines, at
    the cost of longer gaps between the tokens of their short prompts."""
    if not is_long_prompt(prompt.tokens):
        return math.inf, math.inf
    other_region_objective_s = max(0.0, prompt.objective_s - REGION_ROUND_TRIP_S)
    return prefill_rate.load_limit(prompt.objective_s), prefill_rate.load_limit(other_region_objective_s)


def _tiers_for_length(
    engines: Sequence[Backend], pool: Sequence[Backend]
) -> tuple[Sequence[Backend], Sequence[Backend]]:
    """Return two tiers: the engines of the pool for the prompt's length, and all engines."""
    pool_members = set(pool)
    return [each for each in engines if each in pool_members], engines


def choose_engine_by_key(engines: Sequence[Backend], placement_key: int, node_count: int = 1) -> Backend | None:
    """Return the first engine in the key's order that is below its load bound; None if there are no engines."""
    if not engines:
        return None
    loads = {engine.incarnation: engine.fleet_load(node_count) for engine in engines}
    mean_load = sum(loads.values()) / len(engines)
    load_bound = max(MIN_LOAD_BOUND, LOAD_BOUND_FACTOR * (mean_load + 1))
    ordered = sorted(engines, key=lambda engine: rendezvous_score(engine.incarnation, placement_key), reverse=True)
    return next((engine for engine in ordered if loads[engine.incarnation] < load_bound), ordered[0])


def find_engine_with_headroom(
    tiers: Sequence[Sequence[Backend]],
    placement_key: int,
    node_count: int,
    load_limit: float = math.inf,
    slots_fraction: float = 1.0,
) -> Backend | None:
    """Return an engine of the first tier in which enough engines have headroom; None if there is no such tier. An
    engine has headroom while its load from all nodes is below ``slots_fraction`` of its slots and below
    ``load_limit``. Loads of other nodes are some hundred milliseconds old and the same on all nodes. If all nodes
    chose among the few engines that look idle, these would get all requests of the fleet until the next report."""
    for tier in tiers:
        with_headroom = [
            each
            for each in tier
            if each.fleet_load(node_count) < min(load_limit, slots_fraction * each.record.slots)
        ]
        if with_headroom and len(with_headroom) * TIER_HEADROOM_DIVISOR >= len(tier):
            return choose_engine_by_key(with_headroom, placement_key, node_count)
    return None


def choose_from_tiers(
    tiers: Sequence[Sequence[Backend]], placement_key: int, node_count: int, load_limit: float = math.inf
) -> Backend | None:
    """Return an engine of the first tier in which enough engines have headroom. If there is no such tier, return
    one of the last tier by the key; None if the last tier is empty."""
    return find_engine_with_headroom(tiers, placement_key, node_count, load_limit) or choose_engine_by_key(
        tiers[-1], placement_key, node_count
    )


def should_switch_region(
    preferred: Sequence[Backend], others: Sequence[Backend], placement_key: int, node_count: int = 1
) -> bool:
    """Whether a prompt leaves its preferred region while no region has headroom. The fraction of keys that leave
    grows with the difference of the mean loads, so that outdated loads do not make all prompts alternate between
    regions. A prefix leaves while the score of its key is within that fraction."""
    preferred_load = _mean_load(preferred, node_count)
    other_load = _mean_load(others, node_count)
    excess = preferred_load - other_load * REGION_SWITCH_LOAD_RATIO
    if excess <= 0:
        return False
    return (
        rendezvous_score("another region", placement_key)
        < excess / (preferred_load + other_load) * RENDEZVOUS_SCORE_COUNT
    )


def _mean_load(engines: Sequence[Backend], node_count: int) -> float:
    return sum(engine.fleet_load(node_count) for engine in engines) / len(engines)
