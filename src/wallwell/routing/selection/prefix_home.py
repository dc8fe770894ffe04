"""Where shared prefixes are at home, and which engines are meant for short and long prompts. Pure.

Rendezvous hashing over the listed engines gives each shared prefix a home, so every node sends it to the engine
that already holds its KV cache, without any message. ``engine_choice`` passes a busy home over for the next engine
in the same order; a prefix under pressure thereby spreads over the same few engines on every node. Where there are
regions, a short prefix has a home in each, a long one has one home for all.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import msgspec

from wallwell.deployment.topology import Topology
from wallwell.routing.health.backend import Backend
from wallwell.routing.rendezvous import key_of, rendezvous_score

CHUNK_TOKENS = 4096
"""Prompt tokens that engines prefill in one step; a longer prompt holds up the streams beside it for several
steps."""
SHORT_POOL_DIVISOR = 3
"""One engine in so many is kept for prompts of at most one chunk."""
MIN_ENGINES_TO_DIVIDE = 3
"""Engines from which pools are formed: with fewer, a pool would have none or one of them."""
_POOL_KEY = key_of("short prompts")
SHARED_TOKENS_WORTH_THE_WAY = 1024
"""Shared tokens from which a prompt has one home in all regions.

It parts short prompts (some 200 shared tokens) from long ones (6,300, which take 67 ms to prefill at the 94
tokens a ms of the deployment with two regions, where the way to the other region and back takes 40 ms)."""


class PromptPart(msgspec.Struct, frozen=True):
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

    An engine prefills a long prompt in chunks between the tokens of its other streams, so each chunk lengthens
    their gaps. Long prompts therefore stay away from the engines that carry short ones. All nodes pick the same
    engines.
    """
    if len(engines) < MIN_ENGINES_TO_DIVIDE:
        return list(engines)
    ordered = sorted(engines, key=lambda engine: rendezvous_score(engine.incarnation, _POOL_KEY))
    count = max(1, len(engines) // SHORT_POOL_DIVISOR)
    return ordered[count:] if is_long(prompt_tokens) else ordered[:count]


def regional_pools(engines: Sequence[Backend], prompt_tokens: int, topology: Topology) -> list[Backend]:
    """Return the engines of all regions meant for a prompt of this length; each region's are divided by themselves.

    Regions alternate in the list, so that any leading part of it is spread over them.
    """
    if not topology.has_other_regions:
        return engine_pool(engines, prompt_tokens)
    by_region: dict[str, list[Backend]] = {}
    for engine in engines:
        by_region.setdefault(topology.region_of(engine.record.zone), []).append(engine)
    pools = (engine_pool(by_region[region], prompt_tokens) for region in sorted(by_region))
    alternating = itertools.chain.from_iterable(itertools.zip_longest(*pools))
    return [engine for engine in alternating if engine is not None]


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
    """Whether a prompt is prefilled in several chunks."""
    return prompt_tokens > CHUNK_TOKENS


def request_load(prompt_tokens: int) -> int:
    """Return what a generation counts in an engine's load: one, and one more for each whole chunk to prefill."""
    return 1 + prompt_tokens // CHUNK_TOKENS
