"""Carries out weights rolls: acquires the lease, publishes loads, sends fenced orders, and waits for their effect.

Owns this node's candidacy for the lease ``weights``, the loads that it has started, and their published progress.
:mod:`wallwell.placement.weights_roll` decides what to load and when. Relies on the rows of wallwell's own table
(:meth:`WeightsRollDriver.on_row`) and on engines refusing an order with an old fence or a precondition that does
not hold, so that two lease holders cannot both change an engine.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from wallwell.background import BackgroundTasks
from wallwell.clock import boot_time_s, time_limit
from wallwell.cluster.lease_candidate import LeaseCandidate
from wallwell.cluster.leases import LeaseKeeper
from wallwell.cluster.unexpected_errors import UnexpectedErrors
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.freshness import StoreClock
from wallwell.errors import LeaseLostError, PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.placement.weights_roll import EngineReport, LoadTask, OrderReply, WeightsOrder, WeightsRollPlanner
from wallwell.routing.health.backend import Backend, ExpectedWeightsLoad
from wallwell.storage.feed import FeedRow
from wallwell.storage.row_values import Seconds, Version, decode_value
from wallwell.storage.table import Put, TableService, Transaction

LEASE_NAME = "weights"
PROGRESS_PREFIX = "weights/"
STEP_INTERVAL_S = 0.15
"""Seconds between two steps, and so the longest delay of a load that is due."""
LEASE_VALID_FRACTION = 0.4
"""Fraction of the lease time for which one renewal is valid to its holder. Other nodes wait for that time plus a
whole lease time, so that the last order of one holder and the first of the next are at least a lease time apart."""
REPORT_INTERVAL_S = 0.3
"""Seconds between two requests for the report of a loading engine."""
LOAD_TIMEOUT_S = 6.0
"""Seconds after the order delay (:data:`ORDER_DELAY_S`) within which a load must end; otherwise it has failed."""
MAX_UNANSWERED_REPORTS = 2
"""Consecutive unanswered report requests after which the load counts as failed and another engine may load."""
MAX_RECORDED_VERSIONS = 16
"""Versions per row whose naming time is recorded; limits the size of the row. Older versions are long overdue."""
LOADING_ASSUMED_S = 4.0
"""Seconds after an announcement for which nodes assume that the engine is loading, unless its end is announced
earlier: if that announcement is lost, the engine is out of use no longer than this."""
ORDER_DELAY_S = 0.25
"""Seconds between the announcement of a load and its order. KV cache that an engine computes while it changes
weights must not be saved: no cache of requests sent after the announcement is saved, and requests sent before it
have been prefilled by the end of this time."""
REQUEST_STOP_LEAD_S = 0.03
"""Seconds before the order at which the engine stops getting new requests: the engine would refuse a request that
has not begun by the order."""
PUBLISH_TIMEOUT_FRACTION = 0.25
"""Timeout of a progress write as a fraction of a renewal's validity: a silent store uses up little of the lease."""


class EngineControl(Protocol):
    """Sends orders to engines and requests their reports."""

    async def fetch_report(self, backend: BackendRecord) -> EngineReport | None:
        """Return the engine's report, or None if it did not answer."""
        ...

    async def send_order(self, backend: BackendRecord, order: WeightsOrder) -> OrderReply:
        """Send an order and return the reply, :attr:`OrderReply.UNKNOWN` if the engine did not answer."""
        ...


class LoadProgress(msgspec.Struct, frozen=True):
    """Row that tells all nodes which engines are loading a model's weights and which have finished."""

    model: str
    loading: tuple[tuple[str, Version], ...]
    """Incarnations of loading engines, each with its version."""
    finished: tuple[tuple[str, Version], ...]
    """Incarnations of engines that have loaded, each with its version."""
    named: tuple[tuple[Version, Seconds], ...] = ()
    """Versions, each with its naming time on the store's clock in seconds, for nodes that start later."""


def _expected_load(model: str, version: int, now_s: float) -> ExpectedWeightsLoad:
    """Return the load in progress that nodes assume for an engine after its load has been announced."""
    return ExpectedWeightsLoad(
        model, version, now_s + LOADING_ASSUMED_S, now_s + ORDER_DELAY_S - REQUEST_STOP_LEAD_S
    )


class WeightsRollDriver:
    """Runs weights rolls on one node; the lease lets at most one node of the fleet act at a time."""

    def __init__(self, state: NodeState, table: TableService, control: EngineControl, clock: StoreClock) -> None:
        self._state = state
        self._table = table
        self._control = control
        self._clock = clock
        self._planner = WeightsRollPlanner(
            state.weights,
            state.bounds.weights_staleness_s,
            lambda now_s: state.demand.generations_per_s(now_s, state.node_count),
            state.topology,
        )
        self._valid_s = state.bounds.lease_s * LEASE_VALID_FRACTION
        guard_s = state.bounds.lease_s
        self._lease = LeaseKeeper(LEASE_NAME, state.node, self._valid_s, table, guard_s, state.store_era)
        self._lease_candidate = LeaseCandidate(
            LEASE_NAME, state.node, self._lease, self._valid_s, lambda: state.members
        )
        self._loading: dict[str, LoadTask] = {}
        self._finished: dict[str, tuple[str, int]] = {}
        """Model and version of the last load that this node finished on each engine, by incarnation."""
        self._unpublished_models: set[str] = set()
        """Models whose progress row in the store is out of date."""
        self._tasks = BackgroundTasks()
        self._unexpected_errors = UnexpectedErrors("load of weights")

    def on_era(self, _era: int, is_restored: bool) -> None:
        """Republish this node's progress rows if the store has been restored from an older copy."""
        if is_restored:
            self._unpublished_models.update(model for model, _ in self._finished.values())

    # --- rows of other nodes ---------------------------------------------------------------------------

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Apply a row of wallwell's own table; rows other than the lease and load progress are ignored."""
        self._lease_candidate.observe(row, now_s)
        if row.key.startswith(PROGRESS_PREFIX) and row.value is not None:
            self._on_progress(decode_value(row.value, LoadProgress), now_s)

    def _on_progress(self, progress: LoadProgress, now_s: float) -> None:
        for version, store_s in progress.named:
            self._state.weights.set_recorded_naming_time(progress.model, version, self._clock.to_local_s(store_s))
        for incarnation, version in progress.finished:
            backend = self._state.backends.get(incarnation)
            if backend is not None and backend.believed_version(progress.model) < version:
                backend.set_believed_version(progress.model, version)
        for incarnation, version in progress.loading:
            backend = self._state.backends.get(incarnation)
            if backend is not None:
                backend.expect_weights_load(_expected_load(progress.model, version, now_s), now_s)

    # --- loop ------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Drive weights rolls until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Start the loads that are due or publish finished ones, if this node holds the lease."""
        now_s = boot_time_s()
        engines = self._loadable_engines()
        is_pending = bool(self._tasks or self._unpublished_models) or self._planner.is_any_load_due(engines, now_s)
        # A node that reaches no engine leaves the lease to one that does.
        is_pending = is_pending and self._reaches_any(engines)
        self._lease_candidate.set_work_pending(is_pending, now_s)
        if not is_pending or not await self._lease_candidate.acquire_or_renew(now_s):
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

    def _reaches_any(self, engines: list[Backend]) -> bool:
        """Whether this node can connect to engines of at least one service, as far as it knows."""
        services = {engine.record.service for engine in engines}
        return not services or any(not self._state.reachability.is_unreachable(service) for service in services)

    def _loadable_engines(self) -> list[Backend]:
        """Return the engines of models with a named version whose software version no rollout excludes."""
        targets, rollouts = self._state.weights, self._state.rollouts
        return [
            engine
            for engine in self._state.backends.all_backends()
            if any(targets.newest_version(model) for model in engine.record.versions)
            and not rollouts.is_excluded(engine.record.service, engine.record.software)
        ]

    def _group_by_rollout_version(self, engines: list[Backend]) -> list[list[Backend]]:
        """Return the non-empty groups of engines on current software versions and on target versions of a rollout.

        A rollout divides requests between the groups, so engines of one cannot stand in for the other.
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
            self._loading[task.backend.incarnation] = task
            now_s = boot_time_s()
            task.backend.expect_weights_load(_expected_load(task.model, task.version, now_s), now_s)
        await self._publish_progress(tasks[0].model)
        for task in tasks:
            self._tasks.start(self._run_load(task))

    async def _publish_progress(self, model: str) -> None:
        """Write a model's progress row; the weights roll continues if the write fails."""
        self._unpublished_models.discard(model)
        listed = self._state.backends
        self._finished = {name: load for name, load in self._finished.items() if listed.get(name) is not None}
        loading = tuple((name, task.version) for name, task in sorted(self._loading.items()) if task.model == model)
        finished = tuple((name, load[1]) for name, load in sorted(self._finished.items()) if load[0] == model)
        versions = self._state.weights.versions_of_known_age(model)
        named = tuple((each.version, self._clock.to_store_s(each.named_at_s)) for each in versions)
        body = msgspec.json.encode(LoadProgress(model, loading, finished, named[-MAX_RECORDED_VERSIONS:])).decode()
        try:
            async with time_limit(self._valid_s * PUBLISH_TIMEOUT_FRACTION):
                await self._table.transact(Transaction((), (Put(PROGRESS_PREFIX + model, body),)))
        except (PlatformUnavailableError, TableConflictError, TimeoutError) as error:
            # Logged each time, as a load publishes at most twice. The next write includes all data of this one.
            emit(Event.WEIGHTS_PROGRESS_LOST, model=model, reason=f"{type(error).__name__}: {error}")

    async def _run_load(self, task: LoadTask) -> None:
        succeeded = False
        try:
            succeeded = await self._order_and_wait(task)
        except Exception as error:
            self._unexpected_errors.record(task.backend.incarnation, error)
        finally:
            now_s = boot_time_s()
            incarnation = task.backend.incarnation
            self._loading.pop(incarnation, None)
            task.backend.expected_load = None
            self._planner.end_load(task, succeeded, now_s)
        if not succeeded:
            return
        emit(Event.WEIGHTS_IN_PLACE, backend=incarnation, model=task.model, version=task.version)
        self._finished[incarnation] = (task.model, task.version)
        self._unpublished_models.add(task.model)

    async def _order_and_wait(self, task: LoadTask) -> bool:
        """Send the order, wait for the engine to report the version, and return whether it did so in time."""
        record = task.backend.record
        await asyncio.sleep(ORDER_DELAY_S)
        give_up_at_s = boot_time_s() + LOAD_TIMEOUT_S
        is_order_accepted = False
        unanswered = 0
        while boot_time_s() < give_up_at_s and not task.backend.gone and unanswered < MAX_UNANSWERED_REPORTS:
            report = await self._control.fetch_report(record)
            unanswered = unanswered + 1 if report is None else 0
            if report is not None and report.versions.get(task.model, 0) >= task.version:
                return True
            if not is_order_accepted and report is not None and not report.busy:
                reply = await self._send_order(task, report)
                if reply in (OrderReply.FENCED, OrderReply.REFUSED):
                    return False
                if reply is OrderReply.ALREADY_LOADED:
                    return True
                # An unanswered order is sent again; both carry the same precondition, so at most one is accepted.
                is_order_accepted = reply is OrderReply.ACCEPTED
            await asyncio.sleep(REPORT_INTERVAL_S)
        return False

    async def _send_order(self, task: LoadTask, report: EngineReport) -> OrderReply:
        try:
            fence = self._lease.require_held(boot_time_s())
        except LeaseLostError:
            # Without the lease no order is sent; treated as a fenced order. The lease candidate logs the loss.
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
        """Finish the loads begun under a lease that this node holds, and acquire no new lease."""
        self._lease_candidate.drain()

    def stop(self) -> None:
        """Cancel the loads in progress, so that no further orders are sent."""
        for task in self._tasks:
            task.cancel()
