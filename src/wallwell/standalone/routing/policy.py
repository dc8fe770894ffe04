"""Policies that choose the engine for a request: the standalone router's own and baselines for comparison. Pure.

Every policy implements :class:`RoutingPolicy`: it takes a request and its candidates and returns one choice.
Policies do no I/O and read no clock.
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
"""Candidates whose cost is within this many seconds of the lowest cost count as tied; one is drawn at random."""
AFFINITY_LOAD_FACTOR = 1.25
"""Multiple of the mean load up to which the prefix-affinity baseline sends a prefix to its home engine."""
AFFINITY_BLOCKS = 16
"""Leading blocks of a prompt whose hash selects the home engine in the prefix-affinity baseline."""
CROSS_ZONE_COST_S = 0.004
"""Seconds added for an engine of another zone: an assumed latency of 2 ms each way."""
CONGESTION_UNIT_S = 0.05
"""Mean wait in seconds that adds 1 to the weight of recomputing cached blocks. In an overloaded simulator
95.4 requests/s were served in time with 0.05 s, 92.4/s with 0.2 s."""
MAX_CONGESTION = 20.0
"""Upper bound of the congestion term, so that one overloaded engine does not dominate every choice."""
HOME_PREFIX_BLOCKS = 16
"""Leading blocks of a prompt that select its home engine; prompts that share fewer are placed independently."""
HOME_WEIGHT = 0.5
"""Weight of the cost of not using the home engine under congestion. In a simulator at twice the usual load
117.6 requests/s were served in time with this cost, 78.9/s without."""


@dataclass(frozen=True)
class RoutingRequest:
    """The properties of a request that a policy considers."""

    chain: Sequence[int]
    block_tokens: int
    prompt_tokens: int
    rank: int
    objective: Objective
    zone: str
    remaining_s: float


@dataclass(frozen=True)
class Candidate:
    """An engine that could serve the request; ``cached_blocks`` counts the leading prompt blocks in its cache."""

    engine: str
    zone: str
    cached_blocks: int
    load: EngineLoad


@dataclass(frozen=True)
class Choice:
    """The chosen engine with the expected time to first token and number of prompt tokens to compute."""

    engine: str
    expected_first_token_s: float
    expected_prefill_tokens: int


class RoutingPolicy(Protocol):
    """Chooses one of a non-empty list of candidates."""

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now_s: float, rng: random.Random
    ) -> Choice:
        """Return the engine to send the request to."""
        ...


def _home_engine(request: RoutingRequest, candidates: Sequence[Candidate]) -> str:
    """Return the home engine: the owner of the prompt's first blocks by rendezvous hashing, empty without blocks.

    Congestion favours the home engine: each request sent elsewhere leaves a copy of the prefix there, until every
    engine holds a part of all prefixes and evicts it before reuse.
    """
    if not request.chain:
        return ""
    key = request.chain[min(HOME_PREFIX_BLOCKS, len(request.chain)) - 1]
    return max(candidates, key=lambda each: rendezvous_score(each.engine, key)).engine


def prefill_tokens(request: RoutingRequest, cached_blocks: int) -> int:
    """Return the number of prompt tokens to compute, at least 1, when ``cached_blocks`` blocks are cached."""
    return max(1, request.prompt_tokens - cached_blocks * request.block_tokens)


def _make_choice(request: RoutingRequest, candidate: Candidate, now_s: float) -> Choice:
    tokens = prefill_tokens(request, candidate.cached_blocks)
    expected_s = candidate.load.wait_s(now_s, request.rank) + tokens / candidate.load.prefill_tokens_per_s
    return Choice(candidate.engine, expected_s, tokens)


class ExpectedFirstToken:
    """Chooses the lowest cost, which weighs the expected time to first token against recomputation.

    Cost = first_token x (wait + prefill time) + recompute x (prefill time of blocks cached at another candidate).
    Ties within a small margin are broken by a seeded random choice, so that nodes with the same view do not
    all choose the same engine.
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
        """Return the additional weight of recomputation, which grows with the mean wait of the candidates.

        Recomputation delays no other request on an idle engine, but all waiting requests on a busy one. Without
        this term an overloaded fleet copies prefixes to all engines, evicts them everywhere and stays overloaded.
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
    """Baseline: chooses the engines in turn."""

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
    """Baseline: fewest requests in flight, then the shortest expected wait; ignores cached blocks."""

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now_s: float, rng: random.Random
    ) -> Choice:
        """See :class:`RoutingPolicy`."""
        lowest = min((each.load.in_flight, each.load.wait_s(now_s)) for each in candidates)
        tied = [e for e in candidates if (e.load.in_flight, e.load.wait_s(now_s)) == lowest]
        return _make_choice(request, rng.choice(tied), now_s)


class PrefixAffinity:
    """Baseline: rendezvous hashing of the prompt's first blocks with bounded loads."""

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
