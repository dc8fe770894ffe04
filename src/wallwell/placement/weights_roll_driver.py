"""Carries out weights rolls: takes the lease, publishes what loads, sends fenced orders, waits for their effect.

Owns this node's attempts at the lease ``weights``, the loads it has started and what it has published of them. What
to load and when is decided by :mod:`wallwell.placement.weights_roll`. Relies on the followed rows of this product's
table (:meth:`WeightsRollDriver.on_row`) and on engines refusing an order with an old fence or another
precondition, so that two holders cannot both change an engine.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from wallwell.background import BackgroundTasks
from wallwell.clock import boot_time_s, bounded
from wallwell.cluster.lease_candidate import LeaseCandidate
from wallwell.cluster.leases import LeaseKeeper
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.freshness import StoreClock
from wallwell.errors import LeaseLostError, PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.placement.weights_roll import EngineReport, LoadTask, OrderReply, WeightsOrder, WeightsRollPlanner
from wallwell.routing.health.backend import Backend, ExpectedWeightsLoad
from wallwell.storage.feed import FeedRow
from wallwell.storage.table import Put, TableService, Transaction

LEASE_NAME = "weights"
PROGRESS_PREFIX = "weights/"
TICK_S = 0.15
"""Seconds between two steps: a load starts at most this much late."""
VALID_FRACTION = 0.4
"""Fraction of the lease's time for which a holder trusts one renewal. Others wait for that and the whole lease's
time again, so that the last order of one holder and the first of the next are a lease apart."""
REPORT_INTERVAL_S = 0.3
"""Seconds between two reports that a loading engine is asked for."""
LOAD_TIMEOUT_S = 6.0
"""Seconds from an order's settle time to the load's end, after which the load counts as failed."""
MAX_SILENT_REPORTS = 2
"""Unanswered reports in a row after which the load counts as failed and another engine may load."""
MAX_NAMED = 16
"""Versions whose time of naming is recorded; older ones are long due: it bounds the row."""
LOADING_HINT_S = 4.0
"""Seconds from an announcement for which nodes take an engine to be loading, unless they learn of its end before: a
lost announcement of the end keeps an engine out no longer."""
SETTLE_S = 0.25
"""Seconds between the announcement that an engine will load and its order. KV cache that an engine computes while
it changes weights must not be saved: nothing sent to it after the announcement is saved, and by the end of this
time it has prefilled what was sent before."""
ORDER_LEAD_S = 0.03
"""Seconds before its order from which an engine gets no new requests; one that has not begun by the order would be
refused."""
PUBLISH_TIMEOUT_FRACTION = 0.25
"""Fraction of a renewal's time for which a write of progress is waited for, so that a silent store uses up little
of the lease."""


class EngineControl(Protocol):
    """Sends orders to engines and asks for their reports."""

    async def report(self, backend: BackendRecord) -> EngineReport | None:
        """Return the engine's report, None without an answer."""
        ...

    async def order(self, backend: BackendRecord, order: WeightsOrder) -> OrderReply:
        """Send an order; :attr:`OrderReply.UNKNOWN` without an answer."""
        ...


class Progress(msgspec.Struct, frozen=True):
    """Row by which all nodes learn which engines are loading and which have finished."""

    model: str
    loading: tuple[tuple[str, int], ...]
    """Incarnations of loading engines, each with its version."""
    finished: tuple[tuple[str, int], ...]
    """Incarnations of engines that have loaded, each with its version."""
    named: tuple[tuple[int, float], ...] = ()
    """Versions and the store's time (s) of their naming, for nodes that start later."""


def _announced_load(model: str, version: int, now_s: float) -> ExpectedWeightsLoad:
    """Return what nodes assume of an engine once its load is announced."""
    return ExpectedWeightsLoad(model, version, now_s + LOADING_HINT_S, now_s + SETTLE_S - ORDER_LEAD_S)


class WeightsRollDriver:
    """One node's driver of weights rolls; the lease lets at most one node act at a time."""

    def __init__(self, state: NodeState, table: TableService, control: EngineControl, clock: StoreClock) -> None:
        self._state = state
        self._table = table
        self._control = control
        self._clock = clock
        self._planner = WeightsRollPlanner(
            state.weights,
            state.bounds.version_s,
            lambda now_s: state.demand.generations_per_s(now_s, state.node_count),
            state.topology,
        )
        self._valid_s = state.bounds.lease_s * VALID_FRACTION
        guard_s = state.bounds.lease_s
        self._lease = LeaseKeeper(LEASE_NAME, state.node, self._valid_s, table, guard_s, state.store_era)
        self._turn = LeaseCandidate(LEASE_NAME, state.node, self._lease, self._valid_s, lambda: state.members)
        self._loading: dict[str, LoadTask] = {}
        self._finished: dict[str, tuple[str, int]] = {}
        """Model and version last brought to each engine."""
        self._unpublished: set[str] = set()
        """Models whose row in the store is not up to date."""
        self._tasks = BackgroundTasks()

    def on_era(self, _era: int, is_restored: bool) -> None:
        """After a restore, what this node has written is written again."""
        if is_restored:
            self._unpublished.update(model for model, _ in self._finished.values())

    # --- rows of other nodes ---------------------------------------------------------------------------

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Apply a row of this product's own table; other kinds than the lease and progress are ignored."""
        self._turn.observe(row, now_s)
        if row.key.startswith(PROGRESS_PREFIX) and row.value is not None:
            self._on_progress(msgspec.json.decode(row.value, type=Progress), now_s)

    def _on_progress(self, progress: Progress, now_s: float) -> None:
        for version, store_s in progress.named:
            self._state.weights.recall(progress.model, version, self._clock.to_local_s(store_s))
        for incarnation, version in progress.finished:
            backend = self._state.backends.get(incarnation)
            if backend is not None and backend.believed_version(progress.model) < version:
                backend.set_believed_version(progress.model, version)
        for incarnation, version in progress.loading:
            backend = self._state.backends.get(incarnation)
            if backend is not None:
                backend.expect_weights_load(_announced_load(progress.model, version, now_s), now_s)

    # --- loop ------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Drive weights rolls until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            await self.step()

    async def step(self) -> None:
        """Start the loads that are due, if this node holds the lease; publish loads that have ended."""
        now_s = boot_time_s()
        engines = self._engines()
        is_due = bool(self._tasks or self._unpublished) or self._planner.is_due(engines, now_s)
        self._turn.set_work_pending(is_due, now_s)
        if not is_due or not await self._turn.acquire_or_renew(now_s):
            return
        started = [
            task
            for group in self._by_rollout_version(engines)
            for task in self._planner.next_tasks(group, boot_time_s())
        ]
        if started:
            await self._start(started)
        elif self._unpublished:
            await self._publish(next(iter(self._unpublished)))

    def _engines(self) -> list[Backend]:
        """Return the engines to load: those of models with named versions that a rollout has not excluded."""
        targets, rollouts = self._state.weights, self._state.rollouts
        return [
            each
            for each in self._state.backends.all_backends()
            if any(targets.newest(model) for model in each.record.versions)
            and not rollouts.is_excluded(each.record.service, each.record.software)
        ]

    def _by_rollout_version(self, engines: list[Backend]) -> list[list[Backend]]:
        """Return the engines in groups, those of current versions and those of versions that are rolled out.

        While requests are shared between both, engines of one group cannot serve for those of the other.
        """
        current: list[Backend] = []
        target: list[Backend] = []
        for each in engines:
            is_target = self._state.rollouts.is_target_of_active(each.record.service, each.record.software)
            (target if is_target else current).append(each)
        return [group for group in (current, target) if group]

    # --- loads -----------------------------------------------------------------------------------------

    async def _start(self, tasks: list[LoadTask]) -> None:
        for task in tasks:
            self._loading[task.backend.incarnation] = task
            now_s = boot_time_s()
            task.backend.expect_weights_load(_announced_load(task.model, task.version, now_s), now_s)
        await self._publish(tasks[0].model)
        for task in tasks:
            self._tasks.begin(self._load(task))

    async def _publish(self, model: str) -> None:
        """Write the progress row; without an answer from the store the weights roll goes on all the same."""
        self._unpublished.discard(model)
        listed = self._state.backends
        self._finished = {name: done for name, done in self._finished.items() if listed.get(name) is not None}
        loading = tuple((name, task.version) for name, task in sorted(self._loading.items()) if task.model == model)
        finished = tuple((name, done[1]) for name, done in sorted(self._finished.items()) if done[0] == model)
        certain = self._state.weights.certain(model)
        named = tuple((each.version, self._clock.to_store_s(each.known_since_s)) for each in certain)
        body = msgspec.json.encode(Progress(model, loading, finished, named[-MAX_NAMED:])).decode()
        try:
            async with bounded(self._valid_s * PUBLISH_TIMEOUT_FRACTION):
                await self._table.transact(Transaction((), (Put(PROGRESS_PREFIX + model, body),)))
        except (PlatformUnavailableError, TableConflictError, TimeoutError) as error:
            # Logged each time, since a load publishes twice at most. The next write holds everything that this one
            # did.
            emit(Event.WEIGHTS_PROGRESS_LOST, model=model, reason=f"{type(error).__name__}: {error}")

    async def _load(self, task: LoadTask) -> None:
        done = False
        try:
            done = await self._order_and_wait(task)
        finally:
            now_s = boot_time_s()
            incarnation = task.backend.incarnation
            self._loading.pop(incarnation, None)
            task.backend.expected_load = None
            self._planner.finish(task, done, now_s)
        if not done:
            return
        emit(Event.WEIGHTS_IN_PLACE, backend=incarnation, model=task.model, version=task.version)
        self._finished[incarnation] = (task.model, task.version)
        self._unpublished.add(task.model)

    async def _order_and_wait(self, task: LoadTask) -> bool:
        """Send the order and wait until the engine reports the version; returns whether it did."""
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
                # Without an answer the order is sent again: with the same precondition at most one is accepted.
                ordered = reply is OrderReply.ACCEPTED
            await asyncio.sleep(REPORT_INTERVAL_S)
        return False

    async def _order(self, task: LoadTask, report: EngineReport) -> OrderReply:
        try:
            fence = self._lease.require_held(boot_time_s())
        except LeaseLostError:
            # No order without a lease, as if the engine had refused it. The lease turn logs what became of it.
            return OrderReply.FENCED
        order = WeightsOrder(task.model, task.version, self._state.node, fence, report.orders_taken)
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
        """Send no further orders."""
        for task in self._tasks:
            task.cancel()
