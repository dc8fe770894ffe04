"""One node's state of rollouts: operators' orders, records of the lease holder, listed versions. No I/O.

Inputs: orders from the operators' table, records from this product's table, versions from the back ends' table;
each table has its own feed, and rows of different tables arrive in any order. Owns this node's
:class:`ServiceRollout` objects, by which requests are routed, and its counts of requests.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from wallwell.deployment.store_era import StorePosition, era_to_send
from wallwell.rollout.model import Phase, RolloutBounds, RolloutOrder, RolloutRecord
from wallwell.rollout.service_rollout import RECORD_VALID_FRACTION, ServiceRollout
from wallwell.rollout.tally import RolloutTally

UNANNOUNCED_WAIT_S = 2.0
"""Seconds from its first listing for which a version that no order has named gets no requests. Back ends and orders
arrive on different feeds, and one may lag by the time of its own long poll and a relay's (0.8 s each)."""
MAX_EXCLUDED = 16
"""Largest number of excluded versions in a record, which bounds the row; back ends of older ones are long gone."""


def opening_record(
    order: RolloutOrder, previous: RolloutRecord | None, ordered_at_s: float, written_at_s: float = 0.0
) -> RolloutRecord:
    """Return the first record of an order. The target version of the ``previous`` rollout is excluded unless that
    rollout is complete."""
    excluded = list(previous.barred) if previous is not None else []
    if previous is not None and previous.phase is not Phase.COMPLETE:
        excluded.append(previous.target_version)
    return RolloutRecord(
        service=order.service,
        target_version=order.target_version,
        order=order.store_version,
        ordered_at_s=ordered_at_s,
        duration_s=order.duration_s,
        phase=Phase.CANARY,
        reason="ordered",
        barred=_without_target(excluded, order.target_version),
        written_at_s=written_at_s,
        era=era_to_send(order.era),
    )


def _without_target(versions: Iterable[str], target: str) -> tuple[str, ...]:
    return tuple(dict.fromkeys(version for version in versions if version != target))[-MAX_EXCLUDED:]


def exclude_replaced(record: RolloutRecord, listed_versions: Iterable[str]) -> tuple[str, ...]:
    """Return the versions that are excluded once the rollout is complete: all that the target version replaces."""
    return _without_target((*record.barred, *sorted(listed_versions)), record.target_version)


@dataclass
class RolloutRegistry:
    """Rollouts by service. ``active`` contains those that affect routing; most services have no entry."""

    bounds: RolloutBounds = field(default_factory=RolloutBounds)
    active: dict[str, ServiceRollout] = field(default_factory=dict)
    tally: RolloutTally = field(default_factory=RolloutTally)
    orders: dict[str, RolloutOrder] = field(default_factory=dict)
    ordered_at_s: dict[str, float] = field(default_factory=dict)
    """When this node first saw the order of a service, on its own clock."""
    _records: dict[str, RolloutRecord] = field(default_factory=dict)
    _positions: dict[str, StorePosition] = field(default_factory=dict)
    """Era and version of the row of each record."""
    _order_positions: dict[str, StorePosition] = field(default_factory=dict)
    """Era and version of the row of each order as last read: an order may be written again in a later era."""
    _deferred_orders: dict[str, tuple[RolloutOrder, float]] = field(default_factory=dict)
    """Orders that may be older than the accepted ones, and when they take effect, on this node's clock."""
    _unconfirmed: set[str] = field(default_factory=set)
    """Services whose record the store may have lost: it was restored from a copy after the record was read."""
    _listed_versions: dict[str, set[str]] = field(default_factory=dict)
    """Versions that back ends have listed, by service."""
    _unannounced: dict[str, dict[str, float]] = field(default_factory=dict)
    """Versions that no order has named, by service, and until when they get no requests, on this node's clock."""

    def on_order(self, order: RolloutOrder, seen_at_s: float, effective_from_s: float = float("-inf")) -> bool:
        """Apply an operator's order; return False if it is not newer than the accepted one or takes effect later.
        An order of a later era with other parameters may be older than the accepted one, if the copy from which the
        store was restored lacks the accepted one. Such an order takes effect at ``effective_from_s``."""
        accepted = self.orders.get(order.service)
        position = self._order_positions.get(order.service)
        if accepted is not None and position is not None:
            if order.position <= position:
                return False
            if order.era != position.era and order.parameters == accepted.parameters:
                self._order_positions[order.service] = order.position
                self._deferred_orders.pop(order.service, None)
                return False
            if order.era != position.era and seen_at_s < effective_from_s:
                self._deferred_orders[order.service] = (order, effective_from_s)
                return False
        self._accept(order, seen_at_s)
        return True

    def _accept(self, order: RolloutOrder, seen_at_s: float) -> None:
        self._deferred_orders.pop(order.service, None)
        self._order_positions[order.service] = order.position
        self.orders[order.service] = order
        self.ordered_at_s[order.service] = seen_at_s
        self._rebuild(order.service)

    def accept_deferred_orders(self, now_s: float) -> None:
        """Accept the deferred orders that are due and that no other order has replaced."""
        for order, effective_from_s in list(self._deferred_orders.values()):
            if now_s >= effective_from_s:
                self._accept(order, now_s)

    def on_store_restored(self) -> None:
        """Mark all records as unconfirmed: the store was restored from a copy, in which they may be older."""
        self._unconfirmed.update(self._records)

    def on_record(self, record: RolloutRecord, position: StorePosition, record_written_s: float) -> bool:
        """Apply a record that was read from the store; return whether the phase or order has changed. ``position``
        is the era and version of its row; a record older than the applied one is ignored. ``record_written_s`` is
        when it was written, on this node's clock."""
        applied = self._records.get(record.service)
        applied_position = self._positions.get(record.service, position)
        if position < applied_position:
            return False
        if applied is not None and position.era > applied_position.era and _is_outdated(record, applied):
            return False  # From the copy: the applied record is written again.
        self._unconfirmed.discard(record.service)
        self._records[record.service] = record
        self._positions[record.service] = position
        rollout = self.active.get(record.service)
        if applied is not None and rollout is not None and _has_same_routing(applied, record):
            rollout.record_written_s = max(rollout.record_written_s, record_written_s)
            return False
        self._rebuild(record.service, record_written_s)
        return applied is None or (applied.order, applied.phase) != (record.order, record.phase)

    def record_to_restore(self, service: str, stored: RolloutRecord | None) -> RolloutRecord | None:
        """Return the record that must be written over the ``stored`` one; None if the stored one is as new."""
        applied = self._records.get(service)
        if applied is None or service not in self._unconfirmed:
            return None
        return applied if stored is None or _is_outdated(stored, applied) else None

    def record(self, service: str) -> RolloutRecord | None:
        """Return the newest record read from the store; None if there is none."""
        return self._records.get(service)

    def effective_record(self, service: str) -> RolloutRecord | None:
        """Return the record that applies to requests: the newest, or the first one of an order without any."""
        order, record = self.orders.get(service), self._records.get(service)
        if order is None or (record is not None and record.covers(order)):
            return record
        return opening_record(order, record, ordered_at_s=0.0)

    def is_excluded(self, service: str, software: str) -> bool:
        """Whether a version gets no requests because a rollout replaced it or rolled it back."""
        rollout = self.active.get(service)
        record = rollout.record if rollout is not None else None
        if record is None:
            return False
        is_rolled_back = record.phase is Phase.ROLLED_BACK and software == record.target_version
        return is_rolled_back or software in record.barred

    def is_target_of_active(self, service: str, software: str) -> bool:
        """Whether a version is the target of a rollout that has not ended."""
        rollout = self.active.get(service)
        record = rollout.record if rollout is not None else None
        return record is not None and not record.phase.is_final and software == record.target_version

    def is_due(self, service: str) -> bool:
        """Whether the rollout has not ended, or its record may have to be written again."""
        record = self.effective_record(service)
        return record is not None and (not record.phase.is_final or service in self._unconfirmed)

    def due_services(self) -> list[str]:
        """Return the services for which :meth:`is_due` is true."""
        return [service for service in self.active if self.is_due(service)]

    def _rebuild(self, service: str, record_written_s: float = float("-inf")) -> None:
        record = self.effective_record(service)
        previous = self.active.get(service)
        unannounced = self._unannounced.get(service, {})
        if record is None and not unannounced:
            self.active.pop(service, None)
            return
        record_written_s = max(
            record_written_s, previous.record_written_s if previous is not None else record_written_s
        )
        record_valid_s = self.bounds.rollback_s * RECORD_VALID_FRACTION
        self.active[service] = ServiceRollout(service, record, unannounced, record_written_s, record_valid_s)
        if record is None or record.phase.is_final:
            self.tally.end(service)
        else:
            self.tally.begin(service, record.order)

    # --- versions of back ends -------------------------------------------------------------------------

    def on_backend_listed(self, service: str, version: str, now_s: float, at_start: bool) -> None:
        """Register the version of a listed back end. If no order has named it and the service has other versions,
        it gets no requests for :data:`UNANNOUNCED_WAIT_S`, except ``at_start`` of this node."""
        listed = self._listed_versions.setdefault(service, set())
        if version in listed:
            return
        is_first = not listed
        listed.add(version)
        if is_first or at_start or self._is_named(service, version):
            return
        self._unannounced.setdefault(service, {})[version] = now_s + UNANNOUNCED_WAIT_S
        self._rebuild(service)

    def _is_named(self, service: str, version: str) -> bool:
        record = self.effective_record(service)
        return record is not None and (version == record.target_version or version in record.barred)

    def announced_versions(self, service: str) -> set[str]:
        """Return all versions that were listed for a service, except unannounced ones."""
        return self._listed_versions.get(service, set()) - set(self._unannounced.get(service, {}))

    def release_unannounced_versions(self, now_s: float) -> None:
        """Allow requests to unannounced versions whose waiting time has ended."""
        for service, waits in list(self._unannounced.items()):
            still_waiting = {version: until_s for version, until_s in waits.items() if now_s < until_s}
            if len(still_waiting) == len(waits):
                continue
            if still_waiting:
                self._unannounced[service] = still_waiting
            else:
                del self._unannounced[service]
            self._rebuild(service)


def _is_outdated(record: RolloutRecord, applied: RolloutRecord) -> bool:
    """Whether a record read after the store was restored from a copy is older than the applied one. It is older if
    it was written earlier by the store's steady clock. An ended rollout stays ended, even if a lease holder that
    has only the copy's record continues it: a version that was rolled back is not tried again."""
    if record.written_at_s < applied.written_at_s:
        return True
    return applied.phase.is_final and not record.phase.is_final and record.parameters == applied.parameters


def _has_same_routing(one: RolloutRecord, other: RolloutRecord) -> bool:
    """Whether two records have the same effect on the routing of requests."""
    return (one.order, one.target_version, one.phase, one.share, one.barred) == (
        other.order,
        other.target_version,
        other.phase,
        other.share,
        other.barred,
    )
