"""Carries out weights rolls: takes the lease, publishes what loads, gives fenced orders, sees them take effect."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from wallwell.background import BackgroundTasks
from wallwell.clock import boot_time_s, bounded
from wallwell.cluster.lease_turn import LeaseTurn
from wallwell.cluster.leases import LeaseKeeper
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.freshness import StoreClock
from wallwell.errors import LeaseLostError, PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.placement.weights_roll import EngineReport, LoadOrder, LoadTask, OrderReply, WeightsRollPlanner
from wallwell.routing.health.backend import Backend, LoadInProgress
from wallwell.storage.feed import FeedRow
from wallwell.storage.table import Put, TableService, Transaction

LEASE_NAME = "weights"
PROGRESS_PREFIX = "weights/"
TICK_S = 0.15
VALID_FRACTION = 0.4
"""Part of the lease's time for which a holder trusts one renewal."""
REPORT_INTERVAL_S = 0.3
LOAD_TIMEOUT_S = 6.0
MAX_SILENT_REPORTS = 2
"""Reports in a row without an answer after which an engine's turn passes to another."""
MAX_NAMED = 16
"""Versions whose naming is recorded; older ones are long due."""
LOADING_HINT_S = 4.0
SETTLE_S = 0.25
"""Time between the word that an engine will load and its order.

Nothing that is sent to the engine after that word is saved, and what was sent before is read by then: what an
engine reads while it changes weights must not be kept."""
ORDER_LEAD_S = 0.03
"""How long before its order an engine gets nothing new; what has not begun by then would be refused."""


class EngineControl(Protocol):
    """Orders and reports of engines."""

    async def report(self, backend: BackendRecord) -> EngineReport | None:
        """Return what the engine says of itself, None without an answer."""
        ...

    async def order(self, backend: BackendRecord, order: LoadOrder) -> OrderReply:
        """Give an order."""
        ...


class Progress(msgspec.Struct, frozen=True):
    """Row that tells all nodes which engines are loading and which have finished."""

    model: str
    loading: tuple[tuple[str, int], ...]
    """Engines under order, each with its version."""
    finished: tuple[tuple[str, int], ...]
    named: tuple[tuple[int, float], ...] = ()
    """Versions and the store's time of their naming, for nodes that start later."""


def _load_to_come(model: str, version: int, now_s: float) -> LoadInProgress:
    """Return what is believed of an engine from the word that it will load."""
    return LoadInProgress(model, version, now_s + LOADING_HINT_S, now_s + SETTLE_S - ORDER_LEAD_S)


class WeightsRollDriver:
    """One node's part in weights rolls; at most one node acts at a time."""

    def __init__(self, state: NodeState, table: TableService, control: EngineControl, clock: StoreClock) -> None:
        self._state = state
        self._table = table
        self._control = control
        self._clock = clock
        self._planner = WeightsRollPlanner(
            state.weights,
            state.bounds.version_s,
            lambda now_s: state.demand.per_s(now_s, state.node_count),
            state.topology,
        )
        self._valid_s = state.bounds.lease_s * VALID_FRACTION
        self._lease = LeaseKeeper(LEASE_NAME, state.node, self._valid_s, table, guard_s=state.bounds.lease_s)
        self._turn = LeaseTurn(LEASE_NAME, state.node, self._lease, self._valid_s, lambda: state.members)
        self._loading: dict[str, LoadTask] = {}
        self._finished: dict[str, tuple[str, int]] = {}
        """Model and version last brought to each engine."""
        self._unpublished = ""
        """Model of which a load has ended since its progress was published; empty if none."""
        self._tasks = BackgroundTasks()

    # --- what other nodes tell -------------------------------------------------------------------------

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Take a row of this product's own table."""
        self._turn.observe(row, now_s)
        if row.key.startswith(PROGRESS_PREFIX) and row.value is not None:
            self._on_progress(msgspec.json.decode(row.value, type=Progress), now_s)

    def _on_progress(self, progress: Progress, now_s: float) -> None:
        for version, store_s in progress.named:
            self._state.weights.recall(progress.model, version, self._clock.to_local_s(store_s))
        for incarnation, version in progress.finished:
            backend = self._state.backends.get(incarnation)
            if backend is not None and backend.believed_version(progress.model) < version:
                backend.learn_version(progress.model, version)
        for incarnation, version in progress.loading:
            backend = self._state.backends.get(incarnation)
            if backend is not None:
                backend.expect_load(_load_to_come(progress.model, version, now_s), now_s)

    # --- loop ------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Drive weights rolls until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            await self.step()

    async def step(self) -> None:
        """Look once whether something is due, and do this node's part of it."""
        now_s = boot_time_s()
        engines = self._engines()
        is_due = bool(self._tasks or self._unpublished) or self._planner.is_due(engines, now_s)
        self._turn.set_due(is_due, now_s)
        if not is_due or not await self._turn.hold(now_s):
            return
        started = [task for side in self._sides(engines) for task in self._planner.next_tasks(side, boot_time_s())]
        if started:
            await self._start(started)
        elif self._unpublished:
            await self._publish(self._unpublished)

    def _engines(self) -> list[Backend]:
        targets, rollouts = self._state.weights, self._state.rollouts
        return [
            each
            for each in self._state.backends.all()
            if any(targets.newest(model) for model in each.record.versions)
            and not rollouts.gets_nothing_more(each.record.service, each.record.software)
        ]

    def _sides(self, engines: list[Backend]) -> list[list[Backend]]:
        """Return the engines by the side of their rollout: those of one cannot stand in for those of the other."""
        sides: tuple[list[Backend], list[Backend]] = ([], [])
        for each in engines:
            sides[self._state.rollouts.is_beside(each.record.service, each.record.software)].append(each)
        return [side for side in sides if side]

    # --- loads -----------------------------------------------------------------------------------------

    async def _start(self, tasks: list[LoadTask]) -> None:
        for task in tasks:
            self._loading[task.backend.incarnation] = task
            now_s = boot_time_s()
            task.backend.expect_load(_load_to_come(task.model, task.version, now_s), now_s)
        await self._publish(tasks[0].model)
        for task in tasks:
            self._tasks.begin(self._load(task))

    async def _publish(self, model: str) -> None:
        """Tell every node what loads; without an answer from the store the weights roll goes on all the same."""
        self._unpublished = ""
        listed = self._state.backends
        self._finished = {name: done for name, done in self._finished.items() if listed.get(name) is not None}
        loading = tuple((name, task.version) for name, task in sorted(self._loading.items()) if task.model == model)
        finished = tuple((name, done[1]) for name, done in sorted(self._finished.items()) if done[0] == model)
        certain = self._state.weights.certain(model)
        named = tuple((each.version, self._clock.to_store_s(each.known_since_s)) for each in certain)
        body = msgspec.json.encode(Progress(model, loading, finished, named[-MAX_NAMED:])).decode()
        try:
            async with bounded(self._valid_s / 4):
                await self._table.transact(Transaction((), (Put(PROGRESS_PREFIX + model, body),)))
        except (PlatformUnavailableError, TableConflictError, TimeoutError):
            return

    async def _load(self, task: LoadTask) -> None:
        done = False
        try:
            done = await self._order_and_watch(task)
        finally:
            now_s = boot_time_s()
            incarnation = task.backend.incarnation
            self._loading.pop(incarnation, None)
            task.backend.loading = None
            self._planner.finish(task, done, now_s)
        if not done:
            return
        emit(Event.WEIGHTS_IN_PLACE, backend=incarnation, model=task.model, version=task.version)
        self._finished[incarnation] = (task.model, task.version)
        self._unpublished = task.model

    async def _order_and_watch(self, task: LoadTask) -> bool:
        """Give the order and wait until the engine reports the version; returns whether it did."""
        record = task.backend.record
        await asyncio.sleep(SETTLE_S)
        give_up_s = boot_time_s() + LOAD_TIMEOUT_S
        ordered = False
        silent = 0
        while boot_time_s() < give_up_s and not task.backend.gone and silent < MAX_SILENT_REPORTS:
            report = await self._control.report(record)
            silent = silent + 1 if report is None else 0
            if report is not None and report.versions.get(task.model, 0) >= task.version:
                return True
            if not ordered and report is not None and not report.busy:
                reply = await self._order(task, report)
                if reply in (OrderReply.FENCED, OrderReply.REFUSED):
                    return False
                if reply is OrderReply.IN_PLACE:
                    return True
                # Without an answer the order is given again: with the same precondition, at most one is taken.
                ordered = reply is OrderReply.ACCEPTED
            await asyncio.sleep(REPORT_INTERVAL_S)
        return False

    async def _order(self, task: LoadTask, report: EngineReport) -> OrderReply:
        try:
            fence = self._lease.check(boot_time_s())
        except LeaseLostError:
            return OrderReply.FENCED
        order = LoadOrder(task.model, task.version, self._state.node, fence, report.orders_taken)
        reply = await self._control.order(task.backend.record, order)
        emit(
            Event.ORDER_SENT,
            backend=task.backend.incarnation,
            model=task.model,
            version=task.version,
            fence=fence,
            expected_orders=report.orders_taken,
            reply=reply.value,
        )
        return reply

    def drain(self) -> None:
        """Finish what this node holds the lease for, and take no new lease."""
        self._turn.drain()

    def stop(self) -> None:
        """Give no further orders."""
        for task in self._tasks:
            task.cancel()
