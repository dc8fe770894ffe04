"""Executes rollouts: acquires the lease, calls the planner, writes the record and the status for operators.

Owns this node's attempts to acquire the lease ``software`` and, while it is held, a copy of each service's rows.
The next phase of a rollout is decided by :mod:`wallwell.rollout.planner`. Relies on every write being conditional
on the lease's row, so that a holder that was paused past the end of its lease changes nothing.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

import msgspec

from wallwell.clock import boot_time_s, time_limit
from wallwell.cluster.lease_candidate import LeaseCandidate
from wallwell.cluster.leases import LeaseKeeper
from wallwell.deployment.freshness import StoreClock
from wallwell.deployment.store_era import UNKNOWN_ERA, StorePosition
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.rollout.model import Capacity, Phase, RolloutCounts, RolloutDecision, RolloutRecord
from wallwell.rollout.records import exclude_replaced, opening_record
from wallwell.rollout.reporter import report_interval_s
from wallwell.rollout.reports import FleetCounts
from wallwell.rollout.store import LEASE_NAME, RECORD_PREFIX, RolloutStore, StoredRollout
from wallwell.storage.feed import FeedRow
from wallwell.storage.row_isolation import ReportedRows, shown_key, shown_reason
from wallwell.storage.row_values import decode_value
from wallwell.storage.table import TableService

STEP_INTERVAL_S = 0.15
"""Seconds between two steps: short compared with ``rollback_s`` (5 s by default)."""
LEASE_VALID_FRACTION = 0.5
"""Fraction of ``lease_s`` for which a renewal of the lease is valid. Another node succeeds a dead holder after this
time plus a candidate's delay; no guard time is needed, since every write is conditional on the lease's row."""
HEARTBEAT_S = 1.0
"""Seconds between two writes of an unchanged record. Nodes send nothing to a target version whose record is older
than half of ``rollback_s`` (2.5 s by default), so one write may be lost."""
REPORT_INTERVALS_TO_WAIT = 2.5
"""Report intervals for which a new holder makes no decision: by then every node's totals have arrived."""
MIN_LEASE_TO_COMPLETE_S = 2.0
"""Seconds for which a node must have held the lease before it completes a rollout.
A new holder lacks the counts of dead nodes, and no node compared answers while there was no holder; so it first
waits for some seconds of answers. A late completion costs little."""


class Planner(Protocol):
    """Decides the next phase of a rollout; see :mod:`wallwell.rollout.planner`."""

    def decide(
        self, record: RolloutRecord, counts: RolloutCounts, capacity: Capacity, now_s: float
    ) -> RolloutDecision:
        """Return the decision at ``now_s`` of the store's clock."""
        ...


@dataclass
class _StoredRows:
    """A service's rows as last read or written by this node. Times are on this node's clock."""

    stored: StoredRollout
    written_s: float = float("-inf")


class RolloutDriver:
    """One node's driver of rollouts; the lease ensures that at most one node's driver writes at a time."""

    def __init__(
        self,
        state: NodeState,
        table: TableService,
        store: RolloutStore,
        planner: Planner,
        counts: FleetCounts,
        clock: StoreClock,
    ) -> None:
        self._state = state
        self._registry = state.rollouts
        self._store = store
        self._planner = planner
        self._counts = counts
        self._clock = clock
        self._lease_valid_s = state.bounds.lease_s * LEASE_VALID_FRACTION
        self._lease = LeaseKeeper(LEASE_NAME, state.node, self._lease_valid_s, table, era=state.store_era)
        self._turn = LeaseCandidate(LEASE_NAME, state.node, self._lease, self._lease_valid_s, lambda: state.members)
        self._rows: dict[str, _StoredRows] = {}
        self._lease_since_s: float | None = None
        self._feed_era = UNKNOWN_ERA
        self._last_era: int | None = None
        self._unreadable = ReportedRows()

    @property
    def holder(self) -> str:
        """Name of the lease holder as far as this node knows; empty if there is none."""
        return self._state.node if self._turn.is_held() else self._turn.holder

    def on_era(self, era: int, _is_restored: bool) -> None:
        """Record the store's era to which the following rows belong."""
        self._feed_era = era
        self._check_store_era()

    def _check_store_era(self) -> None:
        """Mark all records as unconfirmed if the store's era has changed: it was restored from a copy."""
        era = self._state.store_era.observed_era
        if self._last_era is not None and era != self._last_era:
            self._registry.on_store_restored()
        self._last_era = era

    # --- rows of other nodes ---------------------------------------------------------------------------

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Apply a row of this product's own table, received at ``now_s``; only the lease and records are used."""
        self._turn.observe(row, now_s)
        if not row.key.startswith(RECORD_PREFIX):
            return
        if row.value is None:
            self._unreadable.forget(row.key)
            return
        try:
            record = decode_value(row.value, RolloutRecord)
        except msgspec.MsgspecError as error:
            if self._unreadable.is_news(row.key, str(error)):
                emit(Event.ROLLOUT_REFUSED, row=shown_key(row.key), error=shown_reason(error))
            return
        self._unreadable.forget(row.key)
        record_written_s = min(now_s, self._clock.to_local_s(record.written_at_s))
        if self._registry.on_record(record, StorePosition(self._feed_era, row.version), record_written_s):
            emit(
                Event.ROLLOUT_FOLLOWED,
                service=record.service,
                target=record.target_version,
                phase=record.phase.value,
                reason=record.reason,
                order=record.order,
            )

    # --- loop ------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Call :meth:`step` at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Acquire or renew the lease if a rollout has not ended and, as its holder, advance every such rollout."""
        now_s = boot_time_s()
        self._check_store_era()
        self._registry.release_unannounced_versions(now_s)
        self._registry.accept_deferred_orders(now_s)
        due = [service for service in self._registry.due_services() if self._state.knows_service(service)]
        self._counts.forget_other_services(due)
        self._turn.set_work_pending(bool(due), now_s)
        if not due or not await self._turn.acquire_or_renew(now_s):
            self._rows.clear()
            self._lease_since_s = None
            return
        if self._lease_since_s is None:
            self._lease_since_s = now_s
        for service in due:
            try:
                async with time_limit(self._lease_valid_s):
                    await self._advance(service)
            except (TableConflictError, PlatformUnavailableError, TimeoutError) as error:
                self._on_write_failed(service, error)

    def _on_write_failed(self, service: str, error: Exception) -> None:
        """Discard the copy of the rows, whose stored contents are now unknown: the next step reads them again."""
        self._rows.pop(service, None)
        emit(Event.ROLLOUT_WRITE_FAILED, service=service, reason=f"{type(error).__name__} {error}")

    async def _advance(self, service: str) -> None:
        """Read, decide and write once for a service. Raises errors of :class:`RolloutStore`, or TimeoutError."""
        rows = self._rows.get(service)
        if rows is None:
            rows = self._rows[service] = _StoredRows(await self._store.read(service))
        record_to_restore = self._registry.record_to_restore(service, rows.stored.record)
        if record_to_restore is not None:
            await self._write(rows, record_to_restore, {"written_again": 1.0})
        record = rows.stored.record
        order = self._registry.orders.get(service)
        if order is not None and (record is None or not record.covers(order)):
            ordered_at_s = self._clock.to_store_s(self._registry.ordered_at_s[service])
            opened = opening_record(order, record, ordered_at_s)
            await self._write(rows, opened, {"ordered_ago_s": boot_time_s() - self._registry.ordered_at_s[service]})
        elif record is not None and not record.phase.is_final:
            await self._decide(rows, record)
        elif record is not None:
            self._apply_stored(rows.stored)  # Ended by another holder, or by a write whose answer was lost.

    async def _decide(self, rows: _StoredRows, record: RolloutRecord) -> None:
        now_s = boot_time_s()
        self._apply_stored(rows.stored)
        if self._is_new_holder(now_s):
            if now_s - rows.written_s >= HEARTBEAT_S:
                await self._write(rows, record, {})
            return
        counts = self._counts.total(record)
        capacity = self._capacity(record.service, now_s)
        decision = self._planner.decide(record, counts, capacity, self._clock.to_store_s(now_s))
        if decision.phase is Phase.COMPLETE and now_s - (self._lease_since_s or now_s) < MIN_LEASE_TO_COMPLETE_S:
            decision = RolloutDecision(
                record.phase, record.share, "the lease was taken a moment ago", decision.inputs
            )
        decided = self._new_record(record, counts, decision)
        if _is_written_at_once(record, decided) or now_s - rows.written_s >= HEARTBEAT_S:
            await self._write(rows, decided, dict(decision.inputs))

    def _is_new_holder(self, now_s: float) -> bool:
        """Whether other nodes' reports may not have arrived yet; never true of a node without peers."""
        if self._lease_since_s is None or self._state.node_count == 1:
            return False
        return now_s - self._lease_since_s < REPORT_INTERVALS_TO_WAIT * report_interval_s(self._state.node_count)

    def _new_record(self, record: RolloutRecord, counts: RolloutCounts, decision: RolloutDecision) -> RolloutRecord:
        excluded = record.barred
        if decision.phase is Phase.COMPLETE:
            excluded = exclude_replaced(record, self._registry.announced_versions(record.service))
        return msgspec.structs.replace(
            record,
            phase=decision.phase,
            share=decision.share,
            reason=decision.reason,
            current_requests=counts.current_requests,
            target_requests=counts.target_requests,
            barred=excluded,
        )

    async def _write(self, rows: _StoredRows, record: RolloutRecord, inputs: dict[str, float]) -> None:
        """Write a record and log its changes. Raises the errors of :meth:`RolloutStore.write`."""
        lease = self._lease.held
        assert lease is not None  # Held when this step began; the store checks whether it still is.
        now_s = boot_time_s()
        record = msgspec.structs.replace(record, written_at_s=self._clock.to_store_s(now_s))
        before = rows.stored
        rows.stored = await self._store.write(record, before, lease.version)
        rows.written_s = now_s
        self._apply_stored(rows.stored)
        self._log_changes(before, rows.stored, record, inputs)

    def _apply_stored(self, stored: StoredRollout) -> None:
        """Apply a stored record to this node's registry at once, without waiting for the feed."""
        if stored.record is not None:
            record_written_s = self._clock.to_local_s(stored.record.written_at_s)
            position = StorePosition(self._state.store_era.current, stored.record_version)
            self._registry.on_record(stored.record, position, record_written_s)

    def _log_changes(
        self, before: StoredRollout, after: StoredRollout, record: RolloutRecord, inputs: dict[str, float]
    ) -> None:
        previous = before.record
        if previous is None or previous.order != record.order or _is_written_at_once(previous, record):
            emit(
                Event.ROLLOUT_DECIDED,
                service=record.service,
                target=record.target_version,
                phase=record.phase.value,
                share=round(record.share, 4),
                reason=record.reason,
                order=record.order,
                inputs=inputs,
            )
        if before.status != after.status:
            emit(Event.ROLLOUT_STATUS_WRITTEN, service=record.service, status=after.status)

    def _capacity(self, service: str, now_s: float) -> Capacity:
        groups = self._registry.active[service].groups(self._state.backends.backends_of_service(service), now_s)
        current = [each for each in groups.current if not each.is_leaving(now_s)]
        target = [each for each in groups.target if each.is_open(now_s)]
        is_load_known = self._state.node_count == 1 or all(each.peers_load is not None for each in groups.current)
        return Capacity(
            current_slots=sum(each.record.slots for each in current),
            target_slots=sum(each.record.slots for each in target),
            target_backends=len(target),
            current_in_flight=sum(each.fleet_load() for each in groups.current) if is_load_known else -1,
        )

    def drain(self) -> None:
        """Finish the rollouts for which this node holds the lease, and acquire no new lease."""
        self._turn.drain()


def _is_written_at_once(before: RolloutRecord, after: RolloutRecord) -> bool:
    """Whether a change is written at once. A share that only grows is written with the next heartbeat."""
    if before.phase is not after.phase or after.share < before.share:
        return True
    return after.share > 0 and before.share == 0
