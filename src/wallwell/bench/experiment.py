"""Experiments: a YAML file names a deployment, a rate and policies; results go to JSON and a table.

Requests go over loopback sockets in real time, so figures depend on the machine; what one run's policies differ in
says more than one figure. Owns the form of experiments and results; a policy's run is :mod:`.policy_run`'s.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from wallwell.bench.latency import merged, percentile_s
from wallwell.bench.load_result import LoadResult
from wallwell.bench.policy_run import PolicyRun, run_policy
from wallwell.bench.profiles import PROFILES
from wallwell.bench.workload import TraceBuilder
from wallwell.emulator.engine_model import EngineProfile
from wallwell.errors import BenchError
from wallwell.outcomes import Outcome
from wallwell.standalone.typed import load_document

BASELINES = ("round_robin", "least_loaded", "prefix_affinity")
"""Policies that the router's own one is compared with."""
OWN_POLICY = "expected_first_token"
_LEAST_P99_S = 1e-6
"""Seconds; keeps the ratio defined when no request got a token."""
_LEAST_RATE = 1e-9
"""Keeps the ratio defined when no baseline hit a cache."""


class ExperimentSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One experiment; every policy sees the same traces.

    Requests that arrive in the first ``warm_up_s`` are served but not counted: caches start empty, and whoever
    meets a prefix first must compute it under any policy. Token counts are of the whole run.
    """

    name: str
    deployment: str
    requests: Annotated[int, msgspec.Meta(gt=0)]
    rate_per_s: Annotated[float, msgspec.Meta(gt=0)]
    seeds: tuple[int, ...] = (1, 2, 3)
    policies: tuple[str, ...] = (OWN_POLICY, *BASELINES)
    warm_up_s: float = 30.0


class PolicyResult(msgspec.Struct, frozen=True):
    """One policy over all seeds. Times in seconds, ``by_priority`` holds (p50, p95, p99) first-token times."""

    policy: str
    requests: int
    lost: int
    refused: int
    hit_rate: float
    recomputed_after_eviction: int
    prefill_tokens: int
    by_priority: dict[str, tuple[float, float, float]]
    between_tokens_p95_s: float
    per_seed_p99_s: tuple[float, ...]


class ExperimentResult(msgspec.Struct, frozen=True):
    """All policies of one experiment."""

    spec: ExperimentSpec
    top_priority: str
    policies: tuple[PolicyResult, ...]

    def of(self, policy: str) -> PolicyResult:
        """Return one policy's result."""
        return next(result for result in self.policies if result.policy == policy)


def load_experiment(path: Path) -> ExperimentSpec:
    """Read an experiment's file. Raises :class:`BenchError` with every problem."""
    spec = load_document(path, ExperimentSpec, BenchError)
    if spec.deployment not in PROFILES:
        raise BenchError(f"{path}: no deployment `{spec.deployment}`")
    return spec


def run_experiment(
    spec: ExperimentSpec, examples: Path, progress: Callable[[str], None], engines: EngineProfile | None = None
) -> ExperimentResult:
    """Run every policy on every seed, one after another."""
    profile = PROFILES[spec.deployment]
    traces = [TraceBuilder(profile, seed).build(spec.requests, spec.rate_per_s) for seed in spec.seeds]
    results = []
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        for policy in spec.policies:
            runs = [
                runner.run(run_policy(examples / spec.deployment, policy, trace, progress, spec.warm_up_s, engines))
                for trace in traces
            ]
            results.append(_summarise(policy, runs, profile.top_priority))
    return ExperimentResult(spec, profile.top_priority, tuple(results))


def _percentiles(histogram: HdrHistogram) -> tuple[float, float, float]:
    return (percentile_s(histogram, 50), percentile_s(histogram, 95), percentile_s(histogram, 99))


def _summarise(policy: str, runs: Sequence[PolicyRun], top: str) -> PolicyResult:
    """Return one policy's result over the runs of all seeds."""
    loads = [run.load for run in runs]
    first_token_s = _first_token_times(loads, top)
    between = merged(result.between_tokens_us for load in loads for result in load.priorities.values())
    outcomes = sum((load.outcomes() for load in loads), Counter[str]())
    cached, prefilled = sum(run.cached_tokens for run in runs), sum(run.prefill_tokens for run in runs)
    return PolicyResult(
        policy=policy,
        requests=outcomes.total(),
        lost=outcomes.total() - outcomes[Outcome.NOT_RUN] - outcomes[Outcome.COMPLETED],
        refused=outcomes[Outcome.NOT_RUN],
        hit_rate=cached / max(1, cached + prefilled),
        recomputed_after_eviction=sum(run.recomputed_tokens for run in runs),
        prefill_tokens=prefilled,
        by_priority=first_token_s,
        between_tokens_p95_s=percentile_s(between, 95),
        per_seed_p99_s=tuple(percentile_s(load.of(top).first_token_us, 99) for load in loads),
    )


def _first_token_times(loads: Sequence[LoadResult], top: str) -> dict[str, tuple[float, float, float]]:
    """Return first-token times in seconds of the top priority and of all others that got tokens."""
    return {
        name: _percentiles(merged(load.of(name).first_token_us for load in loads))
        for name in (top, *_generating_priorities(loads))
    }


def _generating_priorities(loads: Sequence[LoadResult]) -> list[str]:
    """Return the priorities whose requests got tokens, sorted."""
    names: set[str] = set()
    for load in loads:
        names.update(name for name, each in load.priorities.items() if each.first_token_us.get_total_count())
    return sorted(names)


def table(result: ExperimentResult) -> str:
    """Return a Markdown table with the ratios to the best baseline."""
    top = result.top_priority
    lines = [
        f"### {result.spec.name}",
        "",
        f"{result.spec.deployment}, {result.spec.requests} requests at {result.spec.rate_per_s:g}/s, "
        f"{len(result.spec.seeds)} seeds",
        "",
        f"| policy | {top} first token p50 | p99 | hit rate | again after eviction | refused | lost |",
        "|---|---|---|---|---|---|---|",
    ]
    for each in result.policies:
        p50, _, p99 = each.by_priority[top]
        lines.append(
            f"| {each.policy} | {p50 * 1000:.0f} ms | {p99 * 1000:.0f} ms | {each.hit_rate:.1%} | "
            f"{each.recomputed_after_eviction:,} | {each.refused} | {each.lost} |"
        )
    lines.extend(["", _ratios(result), ""])
    return "\n".join(lines)


def _ratios(result: ExperimentResult) -> str:
    names = {each.policy for each in result.policies}
    baselines = [result.of(name) for name in BASELINES if name in names]
    if OWN_POLICY not in names or not baselines:
        return ""
    own = result.of(OWN_POLICY)
    top = result.top_priority
    best_p99 = min(each.by_priority[top][2] for each in baselines)
    best_rate = max(each.hit_rate for each in baselines)
    return (
        f"p99 of {top} against the best baseline: {own.by_priority[top][2] / max(_LEAST_P99_S, best_p99):.2f}x; "
        f"hit rate against the best baseline: {own.hit_rate / max(_LEAST_RATE, best_rate):.2f}x."
    )
