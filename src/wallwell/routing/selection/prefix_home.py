"""Placement of generations by their shared prefix, agreed by all nodes without messages. Pure.

Rendezvous hashing over the listed engines gives each shared prefix a home, so every node sends it to the engine
that already holds it. An engine that is busy beyond its fair share is passed over for the next one in the same
order; a prefix under pressure thereby spreads over the same few engines on every node. Where there are regions, a
prefix has a home in each.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Sequence
from dataclasses import dataclass

from wallwell.deployment.backends import Backend
from wallwell.deployment.topology import Topology
from wallwell.routing.rendezvous import key_of, rendezvous_score

CHUNK_TOKENS = 4096
"""Prompt tokens that engines read in one step; a longer prompt holds up the streams beside it for several steps."""
SHORT_POOL_DIVISOR = 3
"""One engine in so many is kept for prompts of at most one chunk."""
MIN_ENGINES_TO_DIVIDE = 3
_POOL_KEY = key_of("short prompts")
SHARED_TOKENS_WORTH_THE_WAY = 1024
"""Shared tokens from which a prompt has one home in all regions.

It parts short prompts (some 200 shared tokens) from long ones (6,300, which take 67 ms to prefill at 94 tokens a
ms, where the way to the other region and back takes 40 ms)."""
ROOM_DIVISOR = 3
"""One engine in so many of a tier has to have room for the tier to be used."""
MIN_LOAD_BOUND = 3
LOAD_BOUND_FACTOR = 1.5
LEAVE_REGION_FACTOR = 1.25
"""Mean load of a region's engines by the other one's from which prompts leave it where neither has room: less is
made up for by the way and by what the region's engines and stores keep."""


@dataclass(frozen=True)
class PromptPart:
    """A stretch of a prompt. Equal identities mean equal text after equal earlier parts."""

    identity: str
    tokens: int


def shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts that other prompts may share. The last part is the request's own."""
    return parts[:-1] if len(parts) > 1 else parts


def placement_key(parts: Sequence[PromptPart], scope: str) -> int:
    """Return the key that places a prompt: its longest shared prefix."""
    return key_of("\x1f".join((scope, *(part.identity for part in shared_parts(parts)))))


def engine_pool(engines: Sequence[Backend], prompt_tokens: int) -> list[Backend]:
    """Return the engines meant for a prompt of this length.

    An engine reads a long prompt in chunks between the tokens of its other streams, so each chunk lengthens their
    gaps. Long prompts therefore stay away from the engines that carry short ones. All nodes pick the same engines.
    """
    if len(engines) < MIN_ENGINES_TO_DIVIDE:
        return list(engines)
    ordered = sorted(engines, key=lambda engine: rendezvous_score(engine.incarnation, _POOL_KEY))
    count = max(1, len(engines) // SHORT_POOL_DIVISOR)
    return ordered[count:] if is_long(prompt_tokens) else ordered[:count]


def regional_pools(engines: Sequence[Backend], prompt_tokens: int, places: Topology) -> list[Backend]:
    """Return the engines of all regions meant for a prompt of this length; each region's are divided by themselves.

    Regions take turns in the list, so that any first part of it is spread over them.
    """
    if not places.has_regions:
        return engine_pool(engines, prompt_tokens)
    by_region: dict[str, list[Backend]] = {}
    for engine in engines:
        by_region.setdefault(places.region_of(engine.record.zone), []).append(engine)
    pools = (engine_pool(by_region[region], prompt_tokens) for region in sorted(by_region))
    turns = itertools.chain.from_iterable(itertools.zip_longest(*pools))
    return [engine for engine in turns if engine is not None]


def home_region(key: int, shared_tokens: int, pool: Sequence[Backend], topology: Topology) -> str:
    """Return the region in which a prompt is prefilled: the node's, or that of its home if much of it is shared.

    Prefilling much again takes longer than the way to the other region and back, and the stores of one region need
    not hold what all callers share. ``pool`` holds the engines of all regions that are meant for the prompt's
    length.
    """
    if shared_tokens < SHARED_TOKENS_WORTH_THE_WAY or not pool:
        return topology.own_region
    home = max(pool, key=lambda engine: rendezvous_score(engine.incarnation, key))
    return topology.region_of(home.record.zone)


def is_long(prompt_tokens: int) -> bool:
    """Whether a prompt is read in several chunks."""
    return prompt_tokens > CHUNK_TOKENS


def request_load(prompt_tokens: int) -> int:
    """Return what a generation counts in an engine's load: one, and one more for each whole chunk to read."""
    return 1 + prompt_tokens // CHUNK_TOKENS


def choose_engine(engines: Sequence[Backend], key: int, nodes: int = 1) -> Backend | None:
    """Return the first engine in the key's order that is within its load bound."""
    if not engines:
        return None
    loads = {engine.incarnation: engine.fleet_load(nodes) for engine in engines}
    mean = sum(loads.values()) / len(engines)
    bound = max(MIN_LOAD_BOUND, LOAD_BOUND_FACTOR * (mean + 1))
    ordered = sorted(engines, key=lambda engine: rendezvous_score(engine.incarnation, key), reverse=True)
    return next((engine for engine in ordered if loads[engine.incarnation] < bound), ordered[0])


def find_headroom(
    tiers: Sequence[Sequence[Backend]], key: int, nodes: int, room: float = math.inf, slots_part: float = 1.0
) -> Backend | None:
    """Return an engine of the first tier in which enough have room; None if no tier has.

    An engine has room while the load of all nodes is below a part of its slots and below ``room``. Loads of other
    nodes are some hundred milliseconds old, and all nodes have the same ones. If all of them chose among the few
    engines that looked idle, these would get in that time what the whole fleet is sent.
    """
    for tier in tiers:
        with_room = [each for each in tier if each.fleet_load(nodes) < min(room, slots_part * each.record.slots)]
        if with_room and len(with_room) * ROOM_DIVISOR >= len(tier):
            return choose_engine(with_room, key, nodes)
    return None


def choose_from_tiers(
    tiers: Sequence[Sequence[Backend]], key: int, nodes: int, room: float = math.inf
) -> Backend | None:
    """Return an engine of the first tier in which enough have room; one of the last tier by the key if none has."""
    return find_headroom(tiers, key, nodes, room) or choose_engine(tiers[-1], key, nodes)


def prefers_other_region(near: Sequence[Backend], far: Sequence[Backend], key: int, nodes: int = 1) -> bool:
    """Whether a prompt goes to another region though its own is preferred, where neither has room.

    The part of the keys that leave grows with the difference of mean loads, so that loads that are known late do
    not send all prompts to and fro. A prefix leaves as long as its key's part does.
    """
    near_load = _mean_load(near, nodes)
    far_load = _mean_load(far, nodes)
    excess = near_load - far_load * LEAVE_REGION_FACTOR
    if excess <= 0:
        return False
    return rendezvous_score("another region", key) < excess / (near_load + far_load) * 2**64


def _mean_load(engines: Sequence[Backend], nodes: int) -> float:
    return sum(engine.fleet_load(nodes) for engine in engines) / len(engines)
