"""Which engine a request goes to: the standalone router's policy, and the baselines it is compared with. Pure.

Every policy implements :class:`RoutingPolicy`: a request and candidates in, one choice out. Policies hold no
sockets and no clock.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from wallwell.routing.rendezvous import rendezvous_score
from wallwell.standalone.config.schema import Objective
from wallwell.standalone.routing.load import EngineLoad

TIE_MARGIN_S = 0.002
"""Costs in seconds that differ by no more count as equal, and one is drawn."""
AFFINITY_LOAD_FACTOR = 1.25
"""Multiple of the mean load up to which the prefix-affinity baseline keeps a prefix at its home."""
AFFINITY_BLOCKS = 16
"""Leading blocks of a prompt by which that baseline names its home."""
CROSS_ZONE_COST_S = 0.004
"""Seconds added for an engine of another zone: there and back at 2 ms each way, an assumed time between zones."""
CONGESTION_UNIT_S = 0.05
"""Wait that doubles the cost of computing cached blocks again. In an overloaded simulator 95.4 requests/s were
served in time with 0.05 s, 92.4/s with 0.2 s."""
MAX_CONGESTION = 20.0
"""Bound of that factor, so that one overloaded engine does not rule every choice."""
HOME_PREFIX_BLOCKS = 16
"""Leading blocks of a prompt that name its home; prompts that share fewer get their homes independently."""
HOME_WEIGHT = 0.5
"""Pull of the home under congestion. In a simulator at twice the usual load 117.6 requests/s were served in time
with it, 78.9/s without."""


@dataclass(frozen=True)
class RoutingRequest:
    """What a policy knows of a request."""

    chain: Sequence[int]
    block_tokens: int
    prompt_tokens: int
    rank: int
    objective: Objective
    zone: str
    remaining_s: float


@dataclass(frozen=True)
class Candidate:
    """One engine that could serve; ``cached_blocks`` counts the prompt's leading blocks it holds."""

    engine: str
    zone: str
    cached_blocks: int
    load: EngineLoad


@dataclass(frozen=True)
class Choice:
    """The engine chosen with what the policy expected."""

    engine: str
    expected_first_token_s: float
    expected_prefill_tokens: int


class RoutingPolicy(Protocol):
    """Chooses among a non-empty list of candidates."""

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now_s: float, rng: random.Random
    ) -> Choice:
        """Return the engine to try."""
        ...


def _home_engine(request: RoutingRequest, candidates: Sequence[Candidate]) -> str:
    """Return the engine that rendezvous hashing gives the prompt's first blocks.

    Congestion pulls a prefix back to its home: otherwise each spill leaves another copy, until every engine holds
    a part of everything and evicts it before it is used.
    """
    if not request.chain:
        return ""
    key = request.chain[min(HOME_PREFIX_BLOCKS, len(request.chain)) - 1]
    return max(candidates, key=lambda each: rendezvous_score(each.engine, key)).engine


def prefill_tokens(request: RoutingRequest, cached_blocks: int) -> int:
    """Return the prompt tokens left to compute when ``cached_blocks`` are cached."""
    return max(1, request.prompt_tokens - cached_blocks * request.block_tokens)


def _make_choice(request: RoutingRequest, candidate: Candidate, now_s: float) -> Choice:
    tokens = prefill_tokens(request, candidate.cached_blocks)
    expected_s = candidate.load.wait_s(now_s, request.rank) + tokens / candidate.load.prefill_tokens_per_s
    return Choice(candidate.engine, expected_s, tokens)


class ExpectedFirstToken:
    """Least cost, where cost weighs expected first-token time against recomputation.

    Cost = first_token x (wait + prefill time) + recompute x (prefill time of what another candidate holds).
    Ties within a small margin are broken by a seeded random choice, so that nodes with the same view do not
    all pick the same engine.
    """

    def __init__(self, tie_margin_s: float = TIE_MARGIN_S) -> None:
        self._tie_margin_s = tie_margin_s

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now_s: float, rng: random.Random
    ) -> Choice:
        """See :class:`RoutingPolicy`."""
        best_cached = max(candidate.cached_blocks for candidate in candidates)
        congestion = self._congestion(candidates, now_s)
        weight = request.objective.recompute + congestion
        home = _home_engine(request, candidates)
        scored = []
        for each in candidates:
            cost = self._cost(request, each, best_cached, weight, now_s)
            if each.engine != home:
                cost += HOME_WEIGHT * congestion * request.prompt_tokens / each.load.prefill_tokens_per_s
            scored.append((cost, each))
        lowest = min(cost for cost, _ in scored)
        tied = [each for cost, each in scored if cost <= lowest + self._tie_margin_s]
        return _make_choice(request, rng.choice(tied), now_s)

    def _congestion(self, candidates: Sequence[Candidate], now_s: float) -> float:
        """Return what a second of recomputation costs the work that waits behind it.

        On an idle engine recomputing costs nobody else; where work waits it delays all of it. Without this term
        an overloaded fleet spreads its prefixes over every engine, evicts them everywhere and stays overloaded.
        """
        waiting = sum(each.load.wait_s(now_s) for each in candidates) / len(candidates)
        return min(MAX_CONGESTION, waiting / CONGESTION_UNIT_S)

    def _cost(
        self,
        request: RoutingRequest,
        candidate: Candidate,
        best_cached: int,
        recompute_weight: float,
        now_s: float,
    ) -> float:
        rate = candidate.load.prefill_tokens_per_s
        expected = (
            candidate.load.wait_s(now_s, request.rank) + prefill_tokens(request, candidate.cached_blocks) / rate
        )
        if candidate.zone != request.zone:
            expected += CROSS_ZONE_COST_S
        recompute_s = (best_cached - candidate.cached_blocks) * request.block_tokens / rate
        return request.objective.first_token * expected + recompute_weight * recompute_s


class RoundRobin:
    """Baseline: engines in turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now_s: float, rng: random.Random
    ) -> Choice:
        """See :class:`RoutingPolicy`."""
        ordered = sorted(candidates, key=lambda each: each.engine)
        chosen = ordered[self._next % len(ordered)]
        self._next += 1
        return _make_choice(request, chosen, now_s)


class LeastLoaded:
    """Baseline: shortest expected wait, whatever is cached where."""

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now_s: float, rng: random.Random
    ) -> Choice:
        """See :class:`RoutingPolicy`."""
        lowest = min((each.load.in_flight, each.load.wait_s(now_s)) for each in candidates)
        tied = [e for e in candidates if (e.load.in_flight, e.load.wait_s(now_s)) == lowest]
        return _make_choice(request, rng.choice(tied), now_s)


class PrefixAffinity:
    """Baseline: rendezvous hash of the prompt's first blocks, with bounded load."""

    def __init__(self, prefix_blocks: int = AFFINITY_BLOCKS, load_factor: float = AFFINITY_LOAD_FACTOR) -> None:
        self._prefix_blocks = prefix_blocks
        self._load_factor = load_factor

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now_s: float, rng: random.Random
    ) -> Choice:
        """See :class:`RoutingPolicy`."""
        length = min(self._prefix_blocks, len(request.chain))
        key = request.chain[length - 1] if length else rng.getrandbits(64)
        ordered = sorted(candidates, key=lambda each: rendezvous_score(each.engine, key), reverse=True)
        total = sum(each.load.in_flight for each in candidates)
        capacity = self._load_factor * (total + 1) / len(candidates)
        chosen = next((each for each in ordered if each.load.in_flight < capacity), ordered[0])
        return _make_choice(request, chosen, now_s)


POLICIES: dict[str, type[RoutingPolicy]] = {
    "expected_first_token": ExpectedFirstToken,
    "round_robin": RoundRobin,
    "least_loaded": LeastLoaded,
    "prefix_affinity": PrefixAffinity,
}
