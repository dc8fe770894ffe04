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
from wallwell.cluster.lease_turn import LeaseTurn
from wallwell.cluster.leases import LeaseKeeper
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.freshness import StoreClock
from wallwell.errors import LeaseLostError, PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.placement.weights_roll import EngineReport, LoadTask, OrderReply, WeightsOrder, WeightsRollPlanner
from wallwell.routing.health.backend import Backend, LoadInProgress
from wallwell.storage.feed import FeedRow
from wallwell.storage.table import Put, TableService, Transaction

LEASE_NAME = "weights"
PROGRESS_PREFIX = "weights/"
STEP_INTERVAL_S = 0.15
"""Seconds between two steps: a load starts at most this much late."""
LEASE_VALID_FRACTION = 0.4
"""Fraction of the lease's time for which a holder trusts one renewal. Others wait for that and the whole lease's
time again, so that the last order of one holder and the first of the next are a lease apart."""
REPORT_INTERVAL_S = 0.3
"""Seconds between two reports that a loading engine is asked for."""
LOAD_TIMEOUT_S = 6.0
"""Seconds from an order's settle time to the load's end, after which the load counts as failed."""
MAX_UNANSWERED_REPORTS = 2
"""Unanswered reports in a row after which the load counts as failed and another engine may load."""
MAX_RECORDED_VERSIONS = 16
"""Versions whose time of naming is recorded; older ones are long due: it bounds the row."""
LOAD_ANNOUNCEMENT_LIFETIME_S = 4.0
"""Seconds from an announcement for which nodes take an engine to be loading, unless they learn of its end before: a
lost announcement of the end keeps an engine out no longer."""
ORDER_DELAY_S = 0.25
"""Seconds between the announcement that an engine will load and its order. KV cache that an engine computes while
it changes weights must not be saved: nothing sent to it after the announcement is saved, and by the end of this
time it has prefilled what was sent before."""
REQUEST_STOP_LEAD_S = 0.03
"""Seconds before its order from which an engine gets no new requests; one that has not begun by the order would be
refused."""
PUBLISH_TIMEOUT_FRACTION = 0.25
"""Fraction of a renewal's time for which a write of progress is waited for, so that a silent store uses up little
of the lease."""


class EngineControl(Protocol):
    """Sends orders to engines and asks for their reports."""

    async def fetch_report(self, backend: BackendRecord) -> EngineReport | None:
        """Return the engine's report, None without an answer."""
        ...

    async def send_order(self, backend: BackendRecord, order: WeightsOrder) -> OrderReply:
        """Send an order; :attr:`OrderReply.UNKNOWN` without an answer."""
        ...


class LoadProgress(msgspec.Struct, frozen=True):
    """Row by which all nodes learn which engines are loading and which have finished."""

    model: str
    loading: tuple[tuple[str, int], ...]
    """Incarnations of loading engines, each with its version."""
    finished: tuple[tuple[str, int], ...]
    """Incarnations of engines that have loaded, each with its version."""
    named: tuple[tuple[int, float], ...] = ()
    """Versions and the store's time (s) of their naming, for nodes that start later."""


def _expected_load(model: str, version: int, now_s: float) -> LoadInProgress:
    """Return what nodes assume of an engine once its load is announced."""
    return LoadInProgress(
        model, version, now_s + LOAD_ANNOUNCEMENT_LIFETIME_S, now_s + ORDER_DELAY_S - REQUEST_STOP_LEAD_S
    )


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
            lambda now_s: state.demand.per_s(now_s, state.node_count),
            state.topology,
        )
        self._valid_s = state.bounds.lease_s * LEASE_VALID_FRACTION
        guard_s = state.bounds.lease_s
        self._lease = LeaseKeeper(LEASE_NAME, state.node, self._valid_s, table, guard_s, state.store_era)
        self._lease_candidate = LeaseTurn(LEASE_NAME, state.node, self._lease, self._valid_s, lambda: state.members)
        self._running_loads: dict[str, LoadTask] = {}
        self._finished_loads: dict[str, tuple[str, int]] = {}
        """Model and version last brought to each engine."""
        self._unpublished_models: set[str] = set()
        """Models whose row in the store is not up to date."""
        self._tasks = BackgroundTasks()

    def on_era(self, _era: int, is_restored: bool) -> None:
        """After a restore, what this node has written is written again."""
        if is_restored:
            self._unpublished_models.update(model for model, _ in self._finished_loads.values())

    # --- rows of other nodes ---------------------------------------------------------------------------

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Apply a row of this product's own table; other kinds than the lease and progress are ignored."""
        self._lease_candidate.observe(row, now_s)
        if row.key.startswith(PROGRESS_PREFIX) and row.value is not None:
            self._on_progress(msgspec.json.decode(row.value, type=LoadProgress), now_s)

    def _on_progress(self, progress: LoadProgress, now_s: float) -> None:
        for version, store_s in progress.named:
            self._state.weights.set_recorded_naming_time(progress.model, version, self._clock.to_local_s(store_s))
        for incarnation, version in progress.finished:
            backend = self._state.backends.get(incarnation)
            if backend is not None and backend.believed_version(progress.model) < version:
                backend.learn_version(progress.model, version)
        for incarnation, version in progress.loading:
            backend = self._state.backends.get(incarnation)
            if backend is not None:
                backend.expect_load(_expected_load(progress.model, version, now_s), now_s)

    # --- loop ------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Drive weights rolls until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Start the loads that are due, if this node holds the lease; publish loads that have ended."""
        now_s = boot_time_s()
        engines = self._loadable_engines()
        is_work_pending = bool(self._tasks or self._unpublished_models) or self._planner.is_any_load_due(
            engines, now_s
        )
        self._lease_candidate.set_due(is_work_pending, now_s)
        if not is_work_pending or not await self._lease_candidate.hold(now_s):
            return
        started = [
            task
            for group in self._group_by_rollout_version(engines)
            for task in self._planner.begin_due_loads(group, boot_time_s())
        ]
        if started:
            await self._start_loads(started)
        elif self._unpublished_models:
            await self._publish_progress(next(iter(self._unpublished_models)))

    def _loadable_engines(self) -> list[Backend]:
        """Return the engines to load: those of models with named versions that a rollout has not excluded."""
        targets, rollouts = self._state.weights, self._state.rollouts
        return [
            engine
            for engine in self._state.backends.all()
            if any(targets.newest_version(model) for model in engine.record.versions)
            and not rollouts.is_excluded(engine.record.service, engine.record.software)
        ]

    def _group_by_rollout_version(self, engines: list[Backend]) -> list[list[Backend]]:
        """Return the engines in groups, those of current versions and those of versions that are rolled out.

        While requests are shared between both, engines of one group cannot serve for those of the other.
        """
        current: list[Backend] = []
        target: list[Backend] = []
        for engine in engines:
            is_target = self._state.rollouts.is_target_of_active(engine.record.service, engine.record.software)
            (target if is_target else current).append(engine)
        return [group for group in (current, target) if group]

    # --- loads -----------------------------------------------------------------------------------------

    async def _start_loads(self, tasks: list[LoadTask]) -> None:
        for task in tasks:
            self._running_loads[task.backend.incarnation] = task
            now_s = boot_time_s()
            task.backend.expect_load(_expected_load(task.model, task.version, now_s), now_s)
        await self._publish_progress(tasks[0].model)
        for task in tasks:
            self._tasks.begin(self._run_load(task))

    async def _publish_progress(self, model: str) -> None:
        """Write the progress row; without an answer from the store the weights roll goes on all the same."""
        self._unpublished_models.discard(model)
        listed = self._state.backends
        self._finished_loads = {
            incarnation: loaded
            for incarnation, loaded in self._finished_loads.items()
            if listed.get(incarnation) is not None
        }
        loading = tuple(
            (incarnation, task.version)
            for incarnation, task in sorted(self._running_loads.items())
            if task.model == model
        )
        finished = tuple(
            (incarnation, loaded[1])
            for incarnation, loaded in sorted(self._finished_loads.items())
            if loaded[0] == model
        )
        versions = self._state.weights.versions_of_known_age(model)
        named = tuple((named.version, self._clock.to_store_s(named.named_at_s)) for named in versions)
        body = msgspec.json.encode(LoadProgress(model, loading, finished, named[-MAX_RECORDED_VERSIONS:])).decode()
        try:
            async with bounded(self._valid_s * PUBLISH_TIMEOUT_FRACTION):
                await self._table.transact(Transaction((), (Put(PROGRESS_PREFIX + model, body),)))
        except (PlatformUnavailableError, TableConflictError, TimeoutError) as error:
            # Logged each time, since a load publishes twice at most. The next write holds everything that this one
            # did.
            emit(Event.WEIGHTS_PROGRESS_LOST, model=model, reason=f"{type(error).__name__}: {error}")

    async def _run_load(self, task: LoadTask) -> None:
        succeeded = False
        try:
            succeeded = await self._order_and_wait(task)
        finally:
            now_s = boot_time_s()
            incarnation = task.backend.incarnation
            self._running_loads.pop(incarnation, None)
            task.backend.loading = None
            self._planner.end_load(task, succeeded, now_s)
        if not succeeded:
            return
        emit(Event.WEIGHTS_IN_PLACE, backend=incarnation, model=task.model, version=task.version)
        self._finished_loads[incarnation] = (task.model, task.version)
        self._unpublished_models.add(task.model)

    async def _order_and_wait(self, task: LoadTask) -> bool:
        """Send the order and wait until the engine reports the version; returns whether it did."""
        record = task.backend.record
        await asyncio.sleep(ORDER_DELAY_S)
        give_up_at_s = boot_time_s() + LOAD_TIMEOUT_S
        is_order_accepted = False
        unanswered_reports = 0
        while (
            boot_time_s() < give_up_at_s and not task.backend.gone and unanswered_reports < MAX_UNANSWERED_REPORTS
        ):
            report = await self._control.fetch_report(record)
            unanswered_reports = unanswered_reports + 1 if report is None else 0
            if report is not None and report.versions.get(task.model, 0) >= task.version:
                return True
            if not is_order_accepted and report is not None and not report.busy:
                reply = await self._send_order(task, report)
                if reply in (OrderReply.FENCED, OrderReply.REFUSED):
                    return False
                if reply is OrderReply.ALREADY_LOADED:
                    return True
                # Without an answer the order is sent again: with the same precondition at most one is accepted.
                is_order_accepted = reply is OrderReply.ACCEPTED
            await asyncio.sleep(REPORT_INTERVAL_S)
        return False

    async def _send_order(self, task: LoadTask, report: EngineReport) -> OrderReply:
        try:
            fence = self._lease.check(boot_time_s())
        except LeaseLostError:
            # No order without a lease, as if the engine had refused it. The lease turn logs what became of it.
            return OrderReply.FENCED
        order = WeightsOrder(task.model, task.version, self._state.node, fence, report.accepted_orders)
        reply = await self._control.send_order(task.backend.record, order)
        emit(
            Event.ORDER_SENT,
            backend=task.backend.incarnation,
            model=task.model,
            version=task.version,
            fence=fence,
            expected_orders=report.accepted_orders,
            reply=reply.value,
        )
        return reply

    def drain(self) -> None:
        """Finish what this node holds the lease for, and take no new lease."""
        self._lease_candidate.drain()

    def stop(self) -> None:
        """Send no further orders."""
        for task in self._tasks:
            task.cancel()
