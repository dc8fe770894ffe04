"""What one node knows of rollouts: operators' orders, records of the node that decides, listed versions. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from wallwell.rollout.model import Phase, RolloutBounds, RolloutOrder, RolloutRecord
from wallwell.rollout.sides import UNHEARD_FRACTION, ServiceSides
from wallwell.rollout.tally import RolloutTally

UNKNOWN_HOLD_S = 2.0
"""How long a version that nobody has named gets nothing. Entries and orders come on different feeds, of which one
may be behind by its wait and a relay's (0.8 s each)."""
MAX_BARRED = 16
"""Versions that a record bars; the oldest are long gone."""


def opening_record(
    order: RolloutOrder, previous: RolloutRecord | None, ordered_at_s: float, written_at_s: float = 0.0
) -> RolloutRecord:
    """Return the first record of an order. What an earlier rollout did not end well with gets nothing any more."""
    barred = list(previous.barred) if previous is not None else []
    if previous is not None and previous.phase is not Phase.COMPLETE:
        barred.append(previous.target_version)
    return RolloutRecord(
        service=order.service,
        target_version=order.target_version,
        order=order.store_version,
        ordered_at_s=ordered_at_s,
        duration_s=order.duration_s,
        phase=Phase.CANARY,
        reason="ordered",
        barred=_barred(barred, order.target_version),
        written_at_s=written_at_s,
    )


def _barred(versions: Iterable[str], target: str) -> tuple[str, ...]:
    return tuple(dict.fromkeys(version for version in versions if version != target))[-MAX_BARRED:]


def bar_replaced(record: RolloutRecord, known: Iterable[str]) -> tuple[str, ...]:
    """Return the versions barred once a rollout is complete: all that the target version replaces."""
    return _barred((*record.barred, *sorted(known)), record.target_version)


@dataclass
class RolloutBook:
    """Rollouts by service. ``active`` holds what requests have to look at; a service without an entry has none."""

    bounds: RolloutBounds = field(default_factory=RolloutBounds)
    active: dict[str, ServiceSides] = field(default_factory=dict)
    tally: RolloutTally = field(default_factory=RolloutTally)
    orders: dict[str, RolloutOrder] = field(default_factory=dict)
    ordered_at_s: dict[str, float] = field(default_factory=dict)
    """When this node saw the order of a service first, on its own clock."""
    _records: dict[str, RolloutRecord] = field(default_factory=dict)
    _versions: dict[str, int] = field(default_factory=dict)
    """Versions of the records' rows."""
    _known: dict[str, set[str]] = field(default_factory=dict)
    _held: dict[str, dict[str, float]] = field(default_factory=dict)

    def on_order(self, order: RolloutOrder, seen_at_s: float) -> bool:
        """Take an operator's order; returns False for one that is not newer than the known one."""
        known = self.orders.get(order.service)
        if known is not None and known.store_version >= order.store_version:
            return False
        self.orders[order.service] = order
        self.ordered_at_s[order.service] = seen_at_s
        self._renew(order.service)
        return True

    def on_record(self, record: RolloutRecord, version: int, heard_s: float) -> bool:
        """Take a record as the store keeps it; returns whether the phase or order is another one.

        ``version`` is its row's: one older than the known one changes nothing. ``heard_s`` is when it was
        written, on this node's clock.
        """
        known = self._records.get(record.service)
        if version < self._versions.get(record.service, 0):
            return False
        self._records[record.service] = record
        self._versions[record.service] = version
        sides = self.active.get(record.service)
        if known is not None and sides is not None and _is_same_rollout(known, record):
            sides.heard_s = max(sides.heard_s, heard_s)
            return False
        self._renew(record.service, heard_s)
        return known is None or (known.order, known.phase) != (record.order, record.phase)

    def record(self, service: str) -> RolloutRecord | None:
        """Return the record as the store keeps it."""
        return self._records.get(service)

    def effective(self, service: str) -> RolloutRecord | None:
        """Return what holds for requests: the record, or the beginning of an order that has none yet."""
        order, record = self.orders.get(service), self._records.get(service)
        if order is None or (record is not None and record.order >= order.store_version):
            return record
        return opening_record(order, record, ordered_at_s=0.0)

    def is_excluded(self, service: str, software: str) -> bool:
        """Whether back ends of a version are leaving because of how a rollout ended."""
        sides = self.active.get(service)
        record = sides.record if sides is not None else None
        if record is None:
            return False
        is_rolled_back = record.phase is Phase.ROLLED_BACK and software == record.target_version
        return is_rolled_back or software in record.barred

    def is_target_of_active(self, service: str, software: str) -> bool:
        """Whether back ends of a version run beside the current ones in a rollout that has not ended."""
        sides = self.active.get(service)
        record = sides.record if sides is not None else None
        return record is not None and not record.phase.is_final and software == record.target_version

    def is_due(self, service: str) -> bool:
        """Whether something is left to decide."""
        record = self.effective(service)
        return record is not None and not record.phase.is_final

    def due(self) -> list[str]:
        """Return the services whose rollout has not ended."""
        return [service for service in self.active if self.is_due(service)]

    def _renew(self, service: str, heard_s: float = float("-inf")) -> None:
        record = self.effective(service)
        before = self.active.get(service)
        held = self._held.get(service, {})
        if record is None and not held:
            self.active.pop(service, None)
            return
        heard_s = max(heard_s, before.heard_s if before is not None else heard_s)
        unheard_after_s = self.bounds.rollback_s * UNHEARD_FRACTION
        self.active[service] = ServiceSides(service, record, held, heard_s, unheard_after_s)
        if record is None or record.phase.is_final:
            self.tally.end(service)
        else:
            self.tally.begin(service, record.order)

    # --- versions of back ends -------------------------------------------------------------------------

    def on_listed(self, service: str, version: str, now_s: float, at_start: bool) -> None:
        """A back end is listed. A version that nobody named gets nothing at first if others are known."""
        known = self._known.setdefault(service, set())
        if version in known:
            return
        is_first = not known
        known.add(version)
        if is_first or at_start or self._is_named(service, version):
            return
        self._held.setdefault(service, {})[version] = now_s + UNKNOWN_HOLD_S
        self._renew(service)

    def _is_named(self, service: str, version: str) -> bool:
        record = self.effective(service)
        return record is not None and (version == record.target_version or version in record.barred)

    def known_versions(self, service: str) -> set[str]:
        """Return every version that was listed for a service, without those that wait for an order."""
        return self._known.get(service, set()) - set(self._held.get(service, {}))

    def release_held(self, now_s: float) -> None:
        """Let versions be used whose time without requests is over."""
        for service, held in list(self._held.items()):
            left = {version: until_s for version, until_s in held.items() if now_s < until_s}
            if len(left) == len(held):
                continue
            if left:
                self._held[service] = left
            else:
                del self._held[service]
            self._renew(service)


def _is_same_rollout(one: RolloutRecord, other: RolloutRecord) -> bool:
    """Whether two records mean the same for requests."""
    return (one.order, one.target_version, one.phase, one.share, one.barred) == (
        other.order,
        other.target_version,
        other.phase,
        other.share,
        other.barred,
    )
