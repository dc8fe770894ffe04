"""One policy over one trace: a whole deployment in this process, real requests over loopback sockets.

Owns the deployment from start to stop. The demo and experiments use it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from wallwell.bench.load import LoadDriver
from wallwell.bench.load_result import LoadResult
from wallwell.bench.workload import ServiceRequest, TraceRequest
from wallwell.emulator.deployment import EmulatedDeployment
from wallwell.emulator.engine_model import EngineProfile
from wallwell.emulator.engine_output import generated_word

PROGRESS_REQUESTS = 50
"""Answered requests between two lines of progress."""


@dataclass(frozen=True)
class PolicyRun:
    """One policy's results over the trace. Tokens are of every engine's whole run."""

    policy: str
    load: LoadResult
    cached_tokens: int
    prefill_tokens: int
    recomputed_tokens: int
    """Tokens of blocks that an engine computed again after it had evicted them."""
    doubled: int
    """Service calls that ran more than once."""
    not_run: int
    """Service calls that were answered but never ran."""

    @property
    def is_clean(self) -> bool:
        """Whether every request was answered, whole and once."""
        all_completed = set(self.load.outcomes()) == {"completed"}
        return all_completed and not self.load.violations and self.doubled == 0 and self.not_run == 0


async def run_policy(
    directory: Path,
    policy: str,
    trace: Sequence[TraceRequest],
    progress: Callable[[str], None],
    warm_up_s: float = 0.0,
    engines: EngineProfile | None = None,
) -> PolicyRun:
    """Start the deployment whose operators' files are in ``directory``, send the trace and stop it."""
    fleet = EmulatedDeployment(directory, policy=policy, profile=engines)
    progress(f"{directory.name}, {policy}: starting")

    def show_count(done: int) -> None:
        if done % PROGRESS_REQUESTS == 0 or done == len(trace):
            progress(f"  {done} of {len(trace)} requests answered")

    try:
        await fleet.start()
        progress(
            f"{directory.name}, {policy}: {len(fleet.routers)} routers, {len(fleet.engines)} engines, "
            f"{len(fleet.services)} service workers; revision {fleet.routers[0].context.node.config.head} in force"
        )
        driver = LoadDriver(
            lambda: [router.callers_address for router in fleet.routers],
            token_of=lambda tenant: f"demo-{tenant}",
            expected_word=generated_word,
            on_progress=show_count,
            warm_up_s=warm_up_s,
        )
        load = await driver.run(trace)
        return _measure(fleet, policy, load, trace)
    finally:
        await fleet.stop()


def _measure(fleet: EmulatedDeployment, policy: str, load: LoadResult, trace: Sequence[TraceRequest]) -> PolicyRun:
    models = [fleet.engine(name).model for name in fleet.engines]
    keys = fleet.idempotency_keys()
    sent = {request.key for request in trace if isinstance(request, ServiceRequest) and request.key}
    ran_once = set(keys)
    return PolicyRun(
        policy=policy,
        load=load,
        cached_tokens=sum(model.cached_tokens_total for model in models),
        prefill_tokens=sum(model.prefill_tokens_total for model in models),
        recomputed_tokens=sum(model.recomputed_tokens for model in models),
        doubled=len(keys) - len(ran_once),
        not_run=len(sent - ran_once) if set(load.outcomes()) == {"completed"} else 0,
    )
