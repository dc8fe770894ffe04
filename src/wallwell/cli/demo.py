"""``wallwell demo``: a whole deployment in one process, with real requests over loopback sockets.

The same requests run under wallwell's policy and under round robin, so that the two results can be compared.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path
from typing import Any

import uvloop

from wallwell.bench.policy_run import PolicyRun, run_policy
from wallwell.bench.profiles import PROFILES
from wallwell.bench.workload import TraceBuilder
from wallwell.events import configure_logging

DEFAULT_REQUESTS = 300
"""Default number of requests: ten seconds of load at ``RATE_PER_S``."""
RATE_PER_S = 30.0
"""Requests per second that emulators, routers and callers can handle together in one process."""
SEED = 7
"""Fixed random seed, so that every run sends the same requests."""
MAX_PRINTED_VIOLATIONS = 5
"""Maximum number of faulty answers printed in full; their total is always printed."""
_POLICIES = ("expected_first_token", "round_robin")


def register(commands: Any) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser("demo", help="run a deployment with embedded emulators")
    parser.add_argument("--deployment", choices=sorted(PROFILES), default="pharmacy")
    parser.add_argument("--examples", type=Path, default=Path("examples"))
    parser.add_argument("--requests", type=int, default=DEFAULT_REQUESTS)
    parser.add_argument("--verbose", action="store_true", help="print log events")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the trace under both policies. Returns 1 if a request was lost, truncated or executed twice."""
    configure_logging("INFO" if options.verbose else "ERROR", json_lines=False)
    trace = TraceBuilder(PROFILES[options.deployment], seed=SEED).build(options.requests, RATE_PER_S)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        directory = options.examples / options.deployment
        runs = [runner.run(run_policy(directory, policy, trace, _print_progress)) for policy in _POLICIES]
    for policy_run in runs:
        _print_run(policy_run)
    return 0 if all(policy_run.is_clean for policy_run in runs) else 1


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr)


def _print_run(policy_run: PolicyRun) -> None:
    print(f"\npolicy {policy_run.policy}")
    print(f"  {'priority':<20}{'requests':>9}  {'outcomes':<24}{'first token p50':>16}{'p99':>10}")
    for priority, result in sorted(policy_run.load.priorities.items()):
        outcomes = ", ".join(f"{count} {name}" for name, count in sorted(result.outcomes.items()))
        if result.first_token_us.get_total_count():
            times = f"{result.first_token_s(50) * 1000:>13.0f} ms{result.first_token_s(99) * 1000:>7.0f} ms"
        else:
            times = f"{'-':>16}{'-':>10}"
        print(f"  {priority:<20}{result.requests:>9}  {outcomes:<24}{times}")
    hit_rate = policy_run.cached_tokens / max(1, policy_run.cached_tokens + policy_run.prefill_tokens)
    print(f"  prefix hit rate {hit_rate:.1%}; prompt tokens prefilled again {policy_run.recomputed_tokens:,}")
    print(f"  lost, cut or foreign answers {len(policy_run.load.violations)}; doubled calls {policy_run.doubled}")
    for violation in policy_run.load.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"    {violation}")
