"""``wallwell demo``: a whole deployment in one process, with real requests over loopback sockets."""

from __future__ import annotations

import argparse
import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from wallwell.bench.load import LoadDriver, LoadResult
from wallwell.bench.workload import PROFILES, ServiceRequest, TraceBuilder, TraceRequest
from wallwell.emulator.deployment import Fleet
from wallwell.emulator.engine_server import generated_word
from wallwell.events import configure_logging

REQUESTS = 300
RATE_PER_S = 30.0
_POLICIES = ("expected_first_token", "round_robin")


@dataclass(frozen=True)
class PolicyRun:
    """One policy's results over the trace."""

    policy: str
    load: LoadResult
    hit_rate: float
    recomputed_tokens: int
    doubled: int
    not_run_but_ran: int


def register(commands: Any) -> None:
    """Add the command."""
    parser = commands.add_parser("demo", help="run a deployment with embedded stand-ins")
    parser.add_argument("--deployment", choices=sorted(PROFILES), default="pharmacy")
    parser.add_argument("--examples", type=Path, default=Path("examples"))
    parser.add_argument("--requests", type=int, default=REQUESTS)
    parser.add_argument("--verbose", action="store_true", help="print log events")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the trace under wallwell's policy and round robin; status 1 if a request was lost, cut or doubled."""
    configure_logging("INFO" if options.verbose else "ERROR", json_lines=False)
    trace = TraceBuilder(PROFILES[options.deployment], seed=7).build(options.requests, RATE_PER_S)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runs = [runner.run(_run_policy(options, policy, trace)) for policy in _POLICIES]
    for each in runs:
        _print_run(each)
    return 0 if all(_is_clean(each) for each in runs) else 1


async def _run_policy(options: argparse.Namespace, policy: str, trace: list[TraceRequest]) -> PolicyRun:
    fleet = Fleet(options.examples / options.deployment, policy=policy)
    _progress(f"{options.deployment}, {policy}: starting")
    try:
        await fleet.start()
        _progress(
            f"{options.deployment}, {policy}: {len(fleet.routers)} routers, {len(fleet.engines)} engines, "
            f"{len(fleet.services)} service workers; revision {fleet.routers[0].context.node.config.head} in force"
        )
        driver = LoadDriver(
            lambda: [router.callers_address for router in fleet.routers],
            token_of=lambda tenant: f"demo-{tenant}",
            expected_word=generated_word,
            on_progress=lambda done: _show_count(done, len(trace)),
        )
        load = await driver.run(trace)
        return _measure(fleet, policy, load, trace)
    finally:
        await fleet.stop()


def _measure(fleet: Fleet, policy: str, load: LoadResult, trace: list[TraceRequest]) -> PolicyRun:
    models = [fleet.engine(name).model for name in fleet.engines]
    cached = sum(model.cached_tokens_total for model in models)
    computed = sum(model.prefill_tokens_total for model in models)
    keys = fleet.journal()
    sent = {request.key for request in trace if isinstance(request, ServiceRequest) and request.key}
    ran_once = set(keys)
    lost = len(sent - ran_once) if load.outcomes()["completed"] == len(trace) else 0
    return PolicyRun(
        policy=policy,
        load=load,
        hit_rate=cached / max(1, cached + computed),
        recomputed_tokens=sum(model.recomputed_tokens for model in models),
        doubled=len(keys) - len(ran_once),
        not_run_but_ran=lost,
    )


def _is_clean(each: PolicyRun) -> bool:
    outcomes = each.load.outcomes()
    all_completed = set(outcomes) == {"completed"}
    return all_completed and not each.load.violations and each.doubled == 0 and each.not_run_but_ran == 0


def _progress(text: str) -> None:
    print(text, file=sys.stderr)


def _show_count(done: int, total: int) -> None:
    if done % 50 == 0 or done == total:
        _progress(f"  {done} of {total} requests answered")


def _print_run(each: PolicyRun) -> None:
    print(f"\npolicy {each.policy}")
    print(f"  {'priority':<20}{'requests':>9}  {'outcomes':<24}{'first token p50':>16}{'p99':>10}")
    for priority, result in sorted(each.load.priorities.items()):
        outcomes = ", ".join(f"{count} {name}" for name, count in sorted(result.outcomes.items()))
        if result.first_token_us.get_total_count():
            times = f"{result.first_token_s(50) * 1000:>13.0f} ms{result.first_token_s(99) * 1000:>7.0f} ms"
        else:
            times = f"{'-':>16}{'-':>10}"
        print(f"  {priority:<20}{result.requests:>9}  {outcomes:<24}{times}")
    print(f"  prefix hit rate {each.hit_rate:.1%}; prompt tokens computed again {each.recomputed_tokens:,}")
    print(f"  lost, cut or foreign answers {len(each.load.violations)}; doubled calls {each.doubled}")
    for violation in each.load.violations[:5]:
        print(f"    {violation.detail}")
