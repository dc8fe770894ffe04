"""Fault scenarios over real sockets against an example deployment, counted per guarantee.

A seeded schedule causes faults one after another, and two at a time, while a trace runs; the stand-ins' journals
and the callers' own checks then say what was violated.
"""

from __future__ import annotations

import asyncio
import random
import re
import secrets
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from wallwell.backends.engine_protocol import EngineState
from wallwell.bench.load import Guarantee, LoadDriver, LoadResult
from wallwell.bench.workload import PROFILES, ServiceRequest, TraceBuilder, TraceRequest
from wallwell.config.commit import ApplyRequest
from wallwell.config.schema import TenantSpec
from wallwell.emulator.deployment import Fleet
from wallwell.emulator.engine_server import generated_word
from wallwell.errors import ConfigConflictError, ConfigUnavailableError
from wallwell.outcomes import Outcome

FAULT_LENGTH_S = 1.5
LEAVING_BOUND_S = 3.0
RATE_PER_S = 25.0
GUARANTEE_TEXTS = {
    Guarantee.CACHE_VALIDITY: "cache entries only of live engines, own tenant, current weights",
    Guarantee.STREAMS: "streams complete and in order",
    Guarantee.RESTART: "a restarted router serves at once",
    Guarantee.OWN_ANSWER: "each caller gets its own answer",
    Guarantee.NOT_RUN: "not run means that it did not run",
    Guarantee.AT_MOST_ONCE: "at most once",
    Guarantee.LEAVING: "a leaving back end gets nothing new after 3 s",
    Guarantee.PLANNED_STOP: "a planned stop cuts no request",
    Guarantee.CONFIGURATION: "configuration in force everywhere, never reverting",
}


@dataclass
class FaultReport:
    """Faults caused and violations found, per guarantee."""

    deployment: str
    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    faults: Counter[Guarantee] = field(default_factory=Counter)
    violations: dict[Guarantee, list[str]] = field(default_factory=dict)

    def violate(self, guarantee: Guarantee, detail: str) -> None:
        """Record a violation."""
        self.violations.setdefault(guarantee, []).append(detail)

    @property
    def clean(self) -> bool:
        """Whether nothing was violated."""
        return not any(self.violations.values())


class FaultRun:
    """One deployment under faults."""

    def __init__(self, examples: Path, deployment: str, seed: int) -> None:
        self._deployment = deployment
        self._rng = random.Random(f"faults/{deployment}/{seed}")
        self._fleet = Fleet(examples / deployment)
        self._seed = seed
        self._report = FaultReport(deployment)
        self._heads: dict[str, int] = {}
        self._left: set[str] = set()

    async def run(self, rounds: int, progress: Callable[[str], None]) -> FaultReport:
        """Cause every fault ``rounds`` times, each beside a second one, while requests run."""
        await self._fleet.start()
        try:
            steps = [step for _ in range(rounds) for step in self._shuffled_faults()]
            duration_s = len(steps) * (FAULT_LENGTH_S + 0.5) + 3.0
            trace = TraceBuilder(PROFILES[self._deployment], self._seed).build(
                round(duration_s * RATE_PER_S), RATE_PER_S
            )
            driver = LoadDriver(
                self._addresses, token_of=lambda tenant: f"demo-{tenant}", expected_word=generated_word
            )
            watch = asyncio.create_task(self._watch_revisions())
            load = asyncio.create_task(driver.run(trace))
            for number, (name, step) in enumerate(steps):
                progress(f"{self._deployment}: fault {number + 1} of {len(steps)}: {name}")
                await asyncio.gather(step(), self._second_fault())
                await asyncio.sleep(0.5)
            self._judge(trace, await load)
            watch.cancel()
        finally:
            await self._fleet.stop()
        return self._report

    def _addresses(self) -> list[str]:
        return [router.callers_address for router in self._fleet.routers if not router.context.draining]

    def _shuffled_faults(self) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        faults: list[tuple[str, Callable[[], Awaitable[None]]]] = [
            ("an engine crashes and comes back empty", self._crash_engine),
            ("streams are cut", self._cut_streams),
            ("chunks are duplicated", self._duplicate_chunks),
            ("answers of other requests", self._foreign_answers),
            ("cache events are lost", self._lose_events),
            ("an engine pauses", self._pause_engine),
            ("service answers are lost after the effect", self._lose_service_answers),
            ("a service worker resets connections", self._service_down),
            ("the platform is down", self._platform_down),
            ("the platform is slow and loses answers", self._platform_slow),
            ("a router is stopped and replaced", self._replace_router),
            ("operators race", self._race_operators),
            ("an engine leaves", self._engine_leaves),
        ]
        self._rng.shuffle(faults)
        return faults

    async def _second_fault(self) -> None:
        """Something else goes wrong at the same time."""
        await asyncio.sleep(self._rng.uniform(0.1, 0.5))
        await self._rng.choice((self._crash_engine, self._duplicate_chunks, self._lose_events))()

    # --- engines ---------------------------------------------------------------------------------------

    def _some_engine(self) -> str:
        return self._rng.choice([name for name in self._fleet.engines if name not in self._left])

    async def _crash_engine(self) -> None:
        self._report.faults[Guarantee.CACHE_VALIDITY] += 1
        self._report.faults[Guarantee.STREAMS] += 1
        self._fleet.engine(self._some_engine()).crash()

    async def _engine_fault(self, guarantee: Guarantee, **switches: object) -> None:
        name = self._some_engine()
        self._report.faults[guarantee] += 1
        server = self._fleet.engine(name)
        server.faults.set(**switches)
        await asyncio.sleep(FAULT_LENGTH_S)
        off = {key: type(value)() for key, value in switches.items()}
        server.faults.set(**off)

    async def _cut_streams(self) -> None:
        await self._engine_fault(Guarantee.STREAMS, cut_streams_after=5)

    async def _duplicate_chunks(self) -> None:
        await self._engine_fault(Guarantee.STREAMS, duplicate_chunks=True)

    async def _foreign_answers(self) -> None:
        await self._engine_fault(Guarantee.OWN_ANSWER, foreign_answers=3)

    async def _lose_events(self) -> None:
        await self._engine_fault(Guarantee.CACHE_VALIDITY, drop_event_ratio=0.5)

    async def _pause_engine(self) -> None:
        await self._engine_fault(Guarantee.STREAMS, paused=True)

    async def _engine_leaves(self) -> None:
        """The engine says that it leaves; after the bound nothing new may reach it."""
        if len(self._left) >= 2:
            return
        name = self._some_engine()
        self._left.add(name)
        self._report.faults[Guarantee.LEAVING] += 1
        server = self._fleet.engine(name)
        server.state = EngineState.LEAVING
        asked: list[str] = []
        await asyncio.sleep(LEAVING_BOUND_S)
        before = server.refused
        await asyncio.sleep(FAULT_LENGTH_S)
        if server.refused > before:
            asked.append(f"{name}: {server.refused - before} requests after {LEAVING_BOUND_S} s")
        for detail in asked:
            self._report.violate(Guarantee.LEAVING, detail)

    # --- services and platform -------------------------------------------------------------------------

    async def _lose_service_answers(self) -> None:
        self._report.faults[Guarantee.AT_MOST_ONCE] += 1
        name = self._rng.choice(list(self._fleet.services))
        self._fleet.service(name).faults.set(lose_answers=3)
        await asyncio.sleep(FAULT_LENGTH_S)
        self._fleet.service(name).faults.set(lose_answers=0)

    async def _service_down(self) -> None:
        self._report.faults[Guarantee.NOT_RUN] += 1
        name = self._rng.choice(list(self._fleet.services))
        self._fleet.service(name).faults.set(down=True)
        await asyncio.sleep(FAULT_LENGTH_S)
        self._fleet.service(name).faults.set(down=False)

    async def _platform_fault(self, **switches: object) -> None:
        self._report.faults[Guarantee.AT_MOST_ONCE] += 1
        faults = self._fleet.platform_server.faults
        faults.set(**switches)
        await asyncio.sleep(FAULT_LENGTH_S)
        faults.set(down=False, slow_s=0.0, lose_answers=0)

    async def _platform_down(self) -> None:
        await self._platform_fault(down=True)

    async def _platform_slow(self) -> None:
        await self._platform_fault(slow_s=0.3, lose_answers=4)

    # --- routers and operators -------------------------------------------------------------------------

    async def _replace_router(self) -> None:
        """Planned stop of one router under load, then a new one in its place."""
        self._report.faults[Guarantee.PLANNED_STOP] += 1
        self._report.faults[Guarantee.RESTART] += 1
        old = self._fleet.routers[0]
        await old.stop()
        self._fleet.routers.remove(old)
        settings = old.settings
        name = f"{settings.zone}-{secrets.token_hex(2)}"
        started_s = time.monotonic()
        router = await self._fleet.start_router(name, settings.zone, settings.region)
        while not router.context.ready:
            if time.monotonic() - started_s > LEAVING_BOUND_S:
                self._report.violate(Guarantee.RESTART, f"{name}: not ready after {LEAVING_BOUND_S} s")
                return
            await asyncio.sleep(0.01)

    async def _race_operators(self) -> None:
        """Two operators change the same file from the same revision; one may win."""
        self._report.faults[Guarantee.CONFIGURATION] += 1
        file = next(f for f in self._fleet.files if isinstance(f.spec, TenantSpec))
        store = self._fleet.routers[0].context.node.config
        current = store.revision_of(file.key)
        base = current.revision if current is not None else 0
        weights = self._rng.sample(range(1, 100), 2)
        bodies = [re.sub(r"(?m)^  weight: .*$", f"  weight: {weight}", file.body) for weight in weights]
        results = await asyncio.gather(*(self._apply(number, body, base) for number, body in enumerate(bodies)))
        if sum(results) > 1:
            self._report.violate(Guarantee.CONFIGURATION, "two operators won the same revision")
        try:
            await self._fleet.wait_in_force(6.0)
        except TimeoutError:
            self._report.violate(Guarantee.CONFIGURATION, "not in force everywhere after 6 s")

    async def _apply(self, number: int, body: str, base: int) -> bool:
        router = self._fleet.routers[number % len(self._fleet.routers)]
        request = ApplyRequest(secrets.token_hex(8), f"operator-{number}", body, base_revision=base)
        try:
            await router.context.committer.apply(request)
        except (ConfigConflictError, ConfigUnavailableError):
            return False
        return True

    async def _watch_revisions(self) -> None:
        while True:
            for router in self._fleet.routers:
                name, head = router.settings.node, router.context.node.config.head
                if head < self._heads.get(name, 0):
                    self._report.violate(Guarantee.CONFIGURATION, f"{name} went back to revision {head}")
                self._heads[name] = head
            await asyncio.sleep(0.02)

    # --- judgement -------------------------------------------------------------------------------------

    def _judge(self, trace: list[TraceRequest], load: LoadResult) -> None:
        report = self._report
        report.requests = len(trace)
        report.outcomes = load.outcomes()
        for violation in load.violations:
            report.violate(violation.guarantee, violation.detail)
        runs = Counter(self._fleet.journal())
        for key, count in runs.items():
            if count > 1:
                report.violate(Guarantee.AT_MOST_ONCE, f"{key} ran {count} times")
        for request in trace:
            if not isinstance(request, ServiceRequest) or not request.key:
                continue
            outcome = load.outcome_of.get(request.number)
            if outcome == Outcome.NOT_RUN and runs[request.key]:
                report.violate(Guarantee.NOT_RUN, f"{request.key} was refused as not run but ran")
            if outcome == Outcome.COMPLETED and not runs[request.key]:
                report.violate(Guarantee.NOT_RUN, f"{request.key} was answered but never ran")
        for name in self._fleet.engines:
            for detail in self._fleet.engine(name).validity_violations:
                report.violate(Guarantee.CACHE_VALIDITY, detail)


def report_text(report: FaultReport) -> str:
    """Return a Markdown table of one deployment's report."""
    outcomes = ", ".join(f"{count} {name}" for name, count in sorted(report.outcomes.items()))
    lines = [
        f"### {report.deployment}: {report.requests} requests ({outcomes})",
        "",
        "| guarantee | faults caused | violations |",
        "|---|---|---|",
    ]
    for guarantee, text in GUARANTEE_TEXTS.items():
        found = report.violations.get(guarantee, [])
        lines.append(f"| {guarantee.value}. {text} | {report.faults[guarantee]} | {len(found)} |")
    for guarantee, details in report.violations.items():
        lines.extend(f"- {guarantee.value}: {detail}" for detail in details[:5])
    return "\n".join(lines) + "\n"
