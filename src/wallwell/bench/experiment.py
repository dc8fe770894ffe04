"""Experiments: a YAML file names a deployment, conditions and policies; results go to JSON and a table."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import msgspec
import numpy

from wallwell.bench.simulation import (
    ORACLE,
    EngineFault,
    PriorityTerms,
    Simulation,
    SimulationResult,
    SimulationSettings,
)
from wallwell.bench.workload import PROFILES, GenerationRequest, TraceBuilder
from wallwell.config.parse import parse_file
from wallwell.config.schema import EnginePoolSpec, PrioritySpec
from wallwell.emulator.engine_model import EngineProfile
from wallwell.errors import BenchError
from wallwell.typed import load_document

BASELINES = ("round_robin", "least_loaded", "prefix_affinity")
OWN_POLICY = "expected_first_token"


class CrashSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One engine crash."""

    at_s: float
    engine: int


class ExperimentSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One experiment; every policy sees the same traces.

    Requests that arrive in the first ``warm_up_s`` are served but not counted: caches start empty, and whoever
    meets a prefix first must compute it under any policy.
    """

    name: str
    deployment: str
    requests: Annotated[int, msgspec.Meta(gt=0)]
    rate_per_s: Annotated[float, msgspec.Meta(gt=0)]
    seeds: tuple[int, ...] = (1, 2, 3)
    policies: tuple[str, ...] = (OWN_POLICY, *BASELINES, ORACLE)
    warm_up_s: float = 30.0
    shift_s: float | None = None
    event_delay_s: float = 0.1
    load_lag_s: float = 0.2
    drop_event_ratio: float = 0.0
    crashes: tuple[CrashSpec, ...] = ()
    cache_blocks: int = 4000


class PolicyResult(msgspec.Struct, frozen=True):
    """One policy over all seeds. Times in seconds, ``by_priority`` holds (p50, p95, p99) first-token times."""

    policy: str
    requests: int
    lost: int
    refused: int
    goodput_per_s: float
    hit_rate: float
    wasted_tokens: int
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


class _Deployment:
    """Zones, engines and priorities of an example's operators' files."""

    def __init__(self, directory: Path) -> None:
        self.zones: dict[str, int] = {}
        self.terms: dict[str, PriorityTerms] = {}
        for path in sorted(directory.glob("*.yaml")):
            file, _ = parse_file(path.read_text(encoding="utf-8"))
            if file is None:
                raise BenchError(f"{path} is not a valid operators' file")
            if isinstance(file.spec, EnginePoolSpec):
                for engine in file.spec.engines:
                    self.zones[engine.zone] = self.zones.get(engine.zone, 0) + 1
            elif isinstance(file.spec, PrioritySpec):
                spec = file.spec
                self.terms[file.key.name] = PriorityTerms(spec.rank, spec.objective, spec.deadline_ms / 1000)


def run_experiment(spec: ExperimentSpec, examples: Path, progress: Callable[[str], None]) -> ExperimentResult:
    """Run every policy on every seed."""
    profile = PROFILES[spec.deployment]
    deployment = _Deployment(examples / spec.deployment)
    traces = [_trace(spec, seed) for seed in spec.seeds]
    results = []
    with ProcessPoolExecutor() as pool:
        submitted = {
            policy: [
                pool.submit(
                    _run_one, _settings(spec, deployment, policy, seed), deployment.terms, trace, spec.warm_up_s
                )
                for seed, trace in zip(spec.seeds, traces, strict=True)
            ]
            for policy in spec.policies
        }
        for policy, futures in submitted.items():
            runs = [future.result() for future in futures]
            progress(f"{spec.name}: {policy}")
            results.append(_summarise(policy, runs, profile.top_priority))
    return ExperimentResult(spec, profile.top_priority, tuple(results))


def _run_one(
    settings: SimulationSettings,
    terms: dict[str, PriorityTerms],
    trace: Sequence[GenerationRequest],
    warm_up_s: float,
) -> SimulationResult:
    """Run one policy on one seed in a process of its own; drops the warm-up's records."""
    result = Simulation(settings, terms).run(trace)
    result.records = [record for record in result.records if record.arrival_s >= warm_up_s]
    result.load_samples = []
    return result


def _trace(spec: ExperimentSpec, seed: int) -> list[GenerationRequest]:
    builder = TraceBuilder(PROFILES[spec.deployment], seed, spec.shift_s)
    trace = builder.build(spec.requests, spec.rate_per_s)
    return [request for request in trace if isinstance(request, GenerationRequest)]


def _settings(spec: ExperimentSpec, deployment: _Deployment, policy: str, seed: int) -> SimulationSettings:
    return SimulationSettings(
        zones=tuple(deployment.zones),
        engines_per_zone=tuple(deployment.zones.values()),
        policy=policy,
        seed=seed,
        event_delay_s=spec.event_delay_s,
        load_lag_s=spec.load_lag_s,
        drop_event_ratio=spec.drop_event_ratio,
        crashes=tuple(EngineFault(crash.at_s, crash.engine) for crash in spec.crashes),
        profile=EngineProfile(cache_blocks=spec.cache_blocks),
    )


def _first_token_times(runs: Iterable[SimulationResult], priority: str) -> list[float]:
    return [
        record.first_token_s - record.arrival_s
        for run in runs
        for record in run.records
        if record.priority == priority and record.first_token_s is not None
    ]


def _percentiles(values: Sequence[float]) -> tuple[float, float, float]:
    if not values:
        return (0.0, 0.0, 0.0)
    p50, p95, p99 = numpy.percentile(values, [50, 95, 99])
    return (float(p50), float(p95), float(p99))


def _goodput(run: SimulationResult) -> float:
    """Requests a second that were answered by the end of the arrivals; refused and later ones do not count."""
    first = min(record.arrival_s for record in run.records)
    last = max(record.arrival_s for record in run.records)
    answered = sum(record.finished_s is not None and record.finished_s <= last for record in run.records)
    return answered / max(1e-9, last - first)


def _summarise(policy: str, runs: Sequence[SimulationResult], top: str) -> PolicyResult:
    records = [record for run in runs for record in run.records]
    served = [record for record in records if not record.refused]
    between = [
        (r.finished_s - r.first_token_s) / (r.tokens - 1)
        for r in records
        if r.finished_s is not None and r.first_token_s is not None and r.tokens > 1
    ]
    priorities = sorted({record.priority for record in records})
    return PolicyResult(
        policy=policy,
        requests=len(records),
        lost=sum(record.finished_s is None and not record.refused for record in records),
        refused=sum(record.refused for record in records),
        goodput_per_s=sum(map(_goodput, runs)) / len(runs),
        hit_rate=sum(r.cached_tokens for r in served) / max(1, sum(r.prompt_tokens for r in served)),
        wasted_tokens=sum(run.wasted_tokens for run in runs),
        recomputed_after_eviction=sum(run.recomputed_after_eviction for run in runs),
        prefill_tokens=sum(run.prefill_tokens for run in runs),
        by_priority={priority: _percentiles(_first_token_times(runs, priority)) for priority in priorities},
        between_tokens_p95_s=_percentiles(between)[1],
        per_seed_p99_s=tuple(_percentiles(_first_token_times([run], top))[2] for run in runs),
    )


def table(result: ExperimentResult) -> str:
    """Return a Markdown table with the ratios to the best baseline."""
    top = result.top_priority
    lines = [
        f"### {result.spec.name}",
        "",
        f"{result.spec.deployment}, {result.spec.requests} requests at {result.spec.rate_per_s:g}/s, "
        f"{len(result.spec.seeds)} seeds",
        "",
        f"| policy | {top} first token p50 | p99 | hit rate | wasted tokens | again after eviction | goodput "
        "| refused | lost |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for each in result.policies:
        p50, _, p99 = each.by_priority[top]
        lines.append(
            f"| {each.policy} | {p50 * 1000:.0f} ms | {p99 * 1000:.0f} ms | {each.hit_rate:.1%} | "
            f"{each.wasted_tokens:,} | {each.recomputed_after_eviction:,} | {each.goodput_per_s:.1f}/s | "
            f"{each.refused} | {each.lost} |"
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
    best_waste = min(each.wasted_tokens for each in baselines)
    parts = [
        f"p99 of {top} against the best baseline: {own.by_priority[top][2] / best_p99:.2f}x",
        f"wasted tokens against the best baseline: {own.wasted_tokens / max(1, best_waste):.2f}x",
    ]
    if ORACLE in names:
        parts.append(f"hit rate against the oracle: {own.hit_rate / max(1e-9, result.of(ORACLE).hit_rate):.2f}x")
    return "; ".join(parts) + "."
