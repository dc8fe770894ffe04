"""Chooses an engine from one node's view of the engines.

Combines the prefix directory's answer, this node's recent dispatches, load estimates and circuit breakers into
candidates, among which the policy chooses. Pure: time is passed in and nothing is sent.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from wallwell.routing.rendezvous import rendezvous_score
from wallwell.standalone.routing.admission import WaitCalibration, retry_after_if_late_s
from wallwell.standalone.routing.blocks import checkpoint_depths
from wallwell.standalone.routing.directory import EngineIncarnation, HeldPrefix, PrefixDirectory
from wallwell.standalone.routing.load import EngineLoad
from wallwell.standalone.routing.policy import Candidate, Choice, RoutingPolicy, RoutingRequest
from wallwell.standalone.routing.retry import CircuitBreaker

MAX_CANDIDATES = 16
"""Number of engines up to which all are candidates; of more engines only holders, rendezvous owners and a random
sample are, which bounds the cost of a choice."""
_HOLDER_CANDIDATES = 4
"""Number of candidates that hold the longest cached prefixes."""
MAX_WAIT_FRACTION = 0.25
"""Fraction of the remaining time within which the first token must be expected. In a simulator at twice the usual
load 127.9 requests/s were served in time with this limit, 117.6/s without."""
_SAMPLED_CANDIDATES = 8
"""Number of candidates drawn at random, so that idle engines are found."""
_OWNER_CANDIDATES = 2
"""Number of candidates that score highest in rendezvous hashing of the prompt's first block."""
MAX_RECENT_ENTRIES = 20_000
"""Maximum checkpoints recorded of this node's dispatches, needed when the prefix directory answers late."""


@dataclass(frozen=True)
class EngineView:
    """The properties of an engine that the selector uses."""

    name: str
    zone: str
    incarnation: str


@dataclass
class EngineSelector:
    """Chooses engines and updates its load, cache and wait estimates from the outcomes."""

    policy: RoutingPolicy
    rng: random.Random
    loads: dict[str, EngineLoad] = field(default_factory=dict)
    breakers: dict[str, CircuitBreaker] = field(default_factory=dict)
    recent_prefixes: PrefixDirectory = field(default_factory=lambda: PrefixDirectory(MAX_RECENT_ENTRIES))
    calibration: WaitCalibration = field(default_factory=WaitCalibration)

    def load_of(self, engine: str) -> EngineLoad:
        """Return the load estimate of an engine."""
        return self.loads.setdefault(engine, EngineLoad())

    def breaker_of(self, engine: str) -> CircuitBreaker:
        """Return the circuit breaker of an engine."""
        return self.breakers.setdefault(engine, CircuitBreaker())

    def forget_unconfigured(self, configured: Collection[str]) -> None:
        """Drop the load estimates and breakers of engines that are not in ``configured``."""
        self.loads = {name: load for name, load in self.loads.items() if name in configured}
        self.breakers = {name: breaker for name, breaker in self.breakers.items() if name in configured}

    def select(
        self,
        request: RoutingRequest,
        engines: Sequence[EngineView],
        held_prefixes: Iterable[HeldPrefix],
        now_s: float,
        failed: Collection[str] = (),
    ) -> Choice | None:
        """Return the policy's choice, None if all breakers are open. ``failed`` engines are only a last resort."""
        usable = [each for each in engines if not self.breaker_of(each.name).is_open(now_s)]
        preferred = [each for each in usable if each.name not in failed] or usable
        cached = self._cached_blocks(request, preferred, held_prefixes)
        narrowed = self._limit_candidates(request, preferred, cached)
        candidates = [
            Candidate(each.name, each.zone, cached.get(each.name, 0), self.load_of(each.name)) for each in narrowed
        ]
        while candidates:
            choice = self.policy.choose(request, candidates, now_s, self.rng)
            if self.breaker_of(choice.engine).allows(now_s, self.rng) or len(candidates) == 1:
                return choice
            candidates = [each for each in candidates if each.engine != choice.engine]
        return None

    def retry_after_if_refused_s(self, request: RoutingRequest, choice: Choice, now_s: float) -> float | None:
        """Return None to admit, or the seconds after which to try again.

        The first token must be expected within a fraction of the remaining time: a longer queue serves no more
        requests, delays each answer, and lets cached prefixes be evicted before their requests start.
        """
        expected_s = choice.expected_first_token_s + self.calibration.excess_s(request.rank, now_s)
        return retry_after_if_late_s(expected_s, request.remaining_s * MAX_WAIT_FRACTION)

    def _cached_blocks(
        self, request: RoutingRequest, engines: Sequence[EngineView], held_prefixes: Iterable[HeldPrefix]
    ) -> dict[str, int]:
        """Return the blocks of the longest cached prefix of each engine, in its current incarnation only."""
        current = {each.name: each.incarnation for each in engines}
        cached: dict[str, int] = {}
        own = self.recent_prefixes.lookup_chain(request.chain) if request.chain else []
        for prefix in (*held_prefixes, *own):
            name = prefix.holder.engine
            if current.get(name) == prefix.holder.incarnation:
                cached[name] = max(cached.get(name, 0), prefix.blocks)
        return cached

    def _limit_candidates(
        self, request: RoutingRequest, engines: Sequence[EngineView], cached: dict[str, int]
    ) -> Sequence[EngineView]:
        """Return holders, the chain's rendezvous owners and a random sample, which bounds the cost of a choice."""
        if len(engines) <= MAX_CANDIDATES:
            return engines
        by_name = {each.name: each for each in engines}
        holders = sorted((n for n in by_name if n in cached), key=lambda n: -cached[n])[:_HOLDER_CANDIDATES]
        root = request.chain[0] if request.chain else self.rng.getrandbits(64)
        owners = sorted(by_name, key=lambda n: rendezvous_score(n, root), reverse=True)[:_OWNER_CANDIDATES]
        sampled = self.rng.sample(sorted(by_name), _SAMPLED_CANDIDATES)
        return [by_name[name] for name in dict.fromkeys((*holders, *owners, *sampled))]

    def on_dispatch(
        self, request_id: str, choice: Choice, incarnation: str, chain: Sequence[int], rank: int, now_s: float
    ) -> None:
        """Record a dispatch, which adds to the engine's load and will put the chain into its cache."""
        self.load_of(choice.engine).on_dispatch(request_id, choice.expected_prefill_tokens, rank, now_s)
        holder = EngineIncarnation(choice.engine, incarnation)
        self.recent_prefixes.observe_incarnation(*holder)
        self.recent_prefixes.add(holder, checkpoint_hashes(chain), self.rng)

    def on_finished(self, engine: str, request_id: str) -> None:
        """Record the end of an attempt, whatever its outcome. If it was a probe, another one may follow."""
        self.load_of(engine).on_finished(request_id)
        self.breaker_of(engine).on_no_verdict()

    def on_unused(self, engine: str) -> None:
        """Record that nothing is sent to a chosen engine."""
        self.breaker_of(engine).on_no_verdict()

    def on_incarnation(self, engine: str, incarnation: str) -> bool:
        """Record an engine's incarnation; return True if it replaced another one."""
        changed = self.recent_prefixes.observe_incarnation(engine, incarnation)
        if changed:
            self.recent_prefixes.sweep()
            self.loads.pop(engine, None)
        return changed

    def on_precondition_refused(self, engine: str) -> None:
        """Drop the cached prefixes recorded for an engine that refused a request's precondition."""
        self.recent_prefixes.forget_engine(engine)
        self.recent_prefixes.sweep()


def checkpoint_hashes(chain: Sequence[int]) -> list[int]:
    """Return the hashes of a chain's checkpoints, which a directory records."""
    return [chain[depth] for depth in checkpoint_depths(len(chain))]
