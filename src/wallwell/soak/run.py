"""One run: start the processes, play the schedule, stop, and check the invariants over what was recorded."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from wallwell.errors import SoakError
from wallwell.soak.caller_process import CallerSettings
from wallwell.soak.faults import FaultRunner
from wallwell.soak.fleet import RunProcesses
from wallwell.soak.history import HISTORY_SUFFIX, read_history
from wallwell.soak.invariants import CheckResult, check_invariants
from wallwell.soak.kept_caller_process import KeptCallerSettings
from wallwell.soak.logged_attempts import record_attempts_logged
from wallwell.soak.logged_faults import record_faults_logged
from wallwell.soak.odd_writer import OddWriter
from wallwell.soak.operator import Operator
from wallwell.soak.schedule import Schedule
from wallwell.soak.timeline import History

KEPT_CALLERS = "kept_callers"
"""Kind and name of the process of callers that keep their connections."""
LEAD_S = 1.0
"""Time from the callers' start to their first request."""
TAIL_S = 10.0
"""Time that the last callers get after the schedule's end: the longest deadline and some more."""
MEMORY_PERIOD_S = 1.0
"""Seconds between two checks of the processes' memory."""
LATE_WORK_S = 0.5
"""Time that workers get after the nodes' end, so that work that should have been cancelled still shows."""


@dataclass(frozen=True)
class RunResult:
    """What one run found."""

    schedule: Schedule
    folder: Path
    requests: int
    served: int
    found: CheckResult


async def run_soak(schedule: Schedule, folder: Path, checkout: Path, production: Path | None = None) -> RunResult:
    """Play a schedule and leave logs, histories and schedule in ``folder``. Raises :class:`SoakError`.

    ``production`` as for :class:`RunProcesses`.
    """
    (folder / "schedule.json").write_bytes(msgspec.json.encode(schedule))
    fleet = RunProcesses(schedule, folder, checkout, production)
    with _interruptible():
        try:
            writer = OddWriter(fleet)
            await _start(fleet, writer)
            await _within_memory(fleet, _play(fleet, writer))
        finally:
            await fleet.close()
    if schedule.shape.isolation:
        record_attempts_logged(folder, schedule.shape.node_names())
    if schedule.shape.odd_entries:
        record_faults_logged(folder, schedule.shape.node_names())
    return check_folder(schedule, folder)


async def _start(fleet: RunProcesses, writer: OddWriter) -> None:
    """Start everything. Where the store has odd rows, an invariant tells whether routers become ready."""
    try:
        await fleet.start(writer.begin)
    except TimeoutError as error:
        if not fleet.schedule.shape.odd_entries:
            raise SoakError("the routers did not become ready in time") from error


async def _play(fleet: RunProcesses, writer: OddWriter) -> None:
    schedule = fleet.schedule
    start_s = time.monotonic() + LEAD_S
    history = str(fleet.folder / f"callers{HISTORY_SUFFIX}")
    settings = CallerSettings(
        history, fleet.callers_addresses, start_s, schedule.requests, takes_up=schedule.shape.versions > 1
    )
    await fleet.supervisor.start_own("callers", "callers", settings)
    if schedule.kept_callers:
        await _start_kept_callers(fleet, start_s)
    try:
        async with asyncio.timeout(LEAD_S + schedule.shape.length_s + TAIL_S):
            runner = FaultRunner(fleet)
            async with runner.workers_kept():
                faults = runner.run(schedule.faults, start_s)
                operations = Operator(fleet).run(schedule.operations, start_s)
                await asyncio.gather(faults, operations, writer.run(start_s))
                statuses = await _until_callers_end(fleet)
    except TimeoutError as error:
        raise SoakError("the callers did not end in time") from error
    if any(statuses):
        raise SoakError(f"the callers ended with status {', '.join(map(str, statuses))}")
    await fleet.stop_nodes()
    await asyncio.sleep(LATE_WORK_S)


async def _start_kept_callers(fleet: RunProcesses, start_s: float) -> None:
    history = str(fleet.folder / f"{KEPT_CALLERS}{HISTORY_SUFFIX}")
    settings = KeptCallerSettings(history, fleet.callers_addresses, start_s, fleet.schedule.kept_callers)
    await fleet.supervisor.start_own(KEPT_CALLERS, KEPT_CALLERS, settings)


async def _until_callers_end(fleet: RunProcesses) -> list[int]:
    """Wait for the callers' processes and return their statuses."""
    names = ("callers", KEPT_CALLERS) if fleet.schedule.kept_callers else ("callers",)
    return [await fleet.supervisor.child(name).wait() for name in names]


async def _within_memory(fleet: RunProcesses, work: Coroutine[Any, Any, None]) -> None:
    """Do the work, or give it up where the processes hold more memory than they may."""
    tasks = (asyncio.create_task(work), asyncio.create_task(_watch_memory(fleet)))
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _watch_memory(fleet: RunProcesses) -> None:
    while True:
        await asyncio.sleep(MEMORY_PERIOD_S)
        fleet.supervisor.check_memory()


def check_folder(schedule: Schedule, folder: Path) -> RunResult:
    """Check the invariants over a folder's histories."""
    history = History(read_history(folder))
    answers = history.answers.values()
    served = sum(200 <= answer.status < 300 and answer.whole for answer in answers)
    return RunResult(schedule, folder, len(history.sent), served, check_invariants(history))


@contextmanager
def _interruptible() -> Iterator[None]:
    """Let SIGTERM and SIGINT cancel the run, so that its processes are ended."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        yield
    finally:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)
