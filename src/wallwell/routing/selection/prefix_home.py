"""Assigns shared prefixes to home engines, and engines to the pools for short and long prompts. Pure.

Rendezvous hashing over the listed engines gives each shared prefix a home. Every node thus sends the prefix to the
engine that already holds its KV cache, without any messages between nodes. ``engine_choice`` skips a busy home for
the next engine in the same order, so a popular prefix spreads over the same few engines on every node. If there are
regions, a short prefix has a home in each region and a long one has a single home.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import msgspec

from wallwell.deployment.topology import Topology
from wallwell.number_ranges import Count
from wallwell.routing.health.backend import Backend
from wallwell.routing.rendezvous import rendezvous_key, rendezvous_score

PREFILL_CHUNK_TOKENS = 4096
"""Prompt tokens that engines prefill in one step; a longer prompt delays the engine's other streams for several
steps."""
SHORT_POOL_DIVISOR = 3
"""One engine in this many is reserved for prompts of at most one chunk."""
MIN_ENGINES_FOR_POOLS = 3
"""Engines from which on pools are formed: with fewer, a pool would have at most one engine."""
_SHORT_POOL_KEY = rendezvous_key("short prompts")
MIN_SHARED_TOKENS_FOR_COMMON_HOME = 1024
"""Shared tokens from which a prompt has a single home for all regions. Separates short prompts (about 200 shared
tokens) from long ones. Those share 6,300 tokens, which take 67 ms to prefill at the 94 tokens per ms of the
deployment with two regions; a round trip between its regions takes 40 ms."""


class PromptPart(msgspec.Struct, frozen=True):
    """A section of a prompt. Parts with equal identities have equal text if all earlier parts are equal."""

    identity: str
    tokens: Count


def shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts that other prompts may share: all but the last, or the only one."""
    return parts[:-1] if len(parts) > 1 else parts


def placement_key(parts: Sequence[PromptPart], scope: str) -> int:
    """Return the rendezvous key of a prompt's longest shared prefix within a cache scope."""
    return rendezvous_key("\x1f".join((scope, *(part.identity for part in shared_parts(parts)))))


def engine_pool(engines: Sequence[Backend], prompt_tokens: int) -> list[Backend]:
    """Return the engines reserved for prompts of this length; all engines if there are too few to divide. An engine
    prefills a long prompt in chunks between the tokens of its other streams, so each chunk lengthens the gaps
    between those tokens. Long prompts are therefore kept away from the engines with short prompts. All nodes form
    the same pools."""
    if len(engines) < MIN_ENGINES_FOR_POOLS:
        return list(engines)
    ordered = sorted(engines, key=lambda engine: rendezvous_score(engine.incarnation, _SHORT_POOL_KEY))
    short_count = max(1, len(engines) // SHORT_POOL_DIVISOR)
    return ordered[short_count:] if is_long_prompt(prompt_tokens) else ordered[:short_count]


def engine_pool_of_all_regions(engines: Sequence[Backend], prompt_tokens: int, topology: Topology) -> list[Backend]:
    """Return the engines of all regions reserved for prompts of this length. Each region forms its own pools.
    Regions alternate in the list, so that any leading slice of it is spread over them."""
    if not topology.has_other_regions:
        return engine_pool(engines, prompt_tokens)
    by_region: dict[str, list[Backend]] = {}
    for engine in engines:
        by_region.setdefault(topology.region_of(engine.record.zone), []).append(engine)
    pools = (engine_pool(by_region[region], prompt_tokens) for region in sorted(by_region))
    alternating = itertools.chain.from_iterable(itertools.zip_longest(*pools))
    return [engine for engine in alternating if engine is not None]


def prefill_region(placement_key: int, shared_tokens: int, pool: Sequence[Backend], topology: Topology) -> str:
    """Return the region preferred for a prompt: the node's own, or its home's if it shares many tokens. Prefilling
    many tokens again takes longer than the round trip to the other region, and the stores of each region need not
    hold what all callers share. ``pool`` contains the engines of all regions for the prompt's length."""
    if shared_tokens < MIN_SHARED_TOKENS_FOR_COMMON_HOME or not pool:
        return topology.own_region
    home_engine = max(pool, key=lambda engine: rendezvous_score(engine.incarnation, placement_key))
    return topology.region_of(home_engine.record.zone)


def is_long_prompt(prompt_tokens: int) -> bool:
    """Whether a prompt is prefilled in more than one chunk."""
    return prompt_tokens > PREFILL_CHUNK_TOKENS


def request_load(prompt_tokens: int) -> int:
    """Return a generation's share of its engine's load: one unit, plus one per whole chunk to prefill."""
    return 1 + prompt_tokens // PREFILL_CHUNK_TOKENS
