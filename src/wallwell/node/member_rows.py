"""Reads the members of the fleet from the nodes' own table, and registers this node there.

Owns the version of this node's row. Other rows of the table (leases, progress of weights rolls, rollout records,
crashes) go to listeners. Relies on a follower that delivers every row in order (:mod:`wallwell.storage.feed`) and
on :meth:`MemberRows.register` being called again after a failure.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from wallwell.clock import boot_time_s
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.storage.feed import FeedRow, FollowedPage
from wallwell.storage.row_isolation import ReportedRows, RowErrors, shown_key, shown_reason
from wallwell.storage.row_values import decode_value
from wallwell.storage.table import Condition, Put, TableService, Transaction

MEMBER_PREFIX = "member/"
"""Prefix of the keys of member rows; the node's name follows."""


class OwnRowListener(Protocol):
    """Receives the rows of the nodes' own table that are not member rows."""

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Apply a row if it is of the listener's kind."""
        ...

    def on_era(self, era: int, is_restored: bool) -> None:
        """Called before the first row of an era: at the start, and after each restore of the store."""
        ...


@dataclass
class _Delivery:
    """A listener, and what operators have been told about rows that it could not apply."""

    listener: OwnRowListener
    errors: RowErrors
    unreadable: ReportedRows = field(default_factory=ReportedRows)

    def deliver(self, row: FeedRow, now_s: float) -> None:
        """Have the listener apply a row; its errors are logged and keep no other row from being applied."""
        try:
            self.listener.on_row(row, now_s)
        except msgspec.MsgspecError as error:
            if self.unreadable.is_news(row.key, str(error)):
                emit(Event.OWN_ROW_UNREADABLE, row=shown_key(row.key), error=shown_reason(error))
        except Exception as error:
            self.errors.on_error(row.key, error)
        else:
            self.unreadable.forget(row.key)
            self.errors.on_applied(row.key)

    def on_era(self, era: int, is_restored: bool) -> None:
        """Tell the listener of an era; an error is logged."""
        try:
            self.listener.on_era(era, is_restored)
        except Exception as error:
            self.errors.on_error(f"era of {type(self.listener).__name__}", error)


class MemberRows:
    """Keeps the list of the fleet's nodes and registers this node in it."""

    def __init__(
        self,
        state: NodeState,
        table: TableService,
        order: UpstreamOrder,
        listeners: Sequence[OwnRowListener],
    ) -> None:
        """``listeners`` receive every row that is not a member row."""
        self._state = state
        self._table = table
        self._order = order
        self._deliveries = [_Delivery(each, RowErrors("own", state.row_errors)) for each in listeners]
        self._errors = RowErrors("own", state.row_errors)
        self._unreadable = ReportedRows()
        """Member rows that operators have been told about."""
        self._era: int | None = None
        self._own_version: int | None = None
        """Version of this node's own row; 0 if there is none, None until the table has been read."""
        self._is_registration_failing = False
        self._delivered_keys: set[str] = set()
        """Keys of the rows delivered to the listeners, without those that were deleted since."""

    @property
    def has_been_read(self) -> bool:
        """Whether the table has been read once."""
        return self._own_version is not None

    def apply(self, followed: FollowedPage) -> None:
        """Apply a page of the nodes' own table. A row that one listener cannot apply reaches all others."""
        now_s = boot_time_s()
        if followed.page.era != self._era:
            self._era = followed.page.era
            for delivery in self._deliveries:
                delivery.on_era(self._era, followed.is_store_restored)
        members = {} if followed.is_snapshot else dict(self._order.members)
        if followed.is_snapshot:
            self._own_version = 0
            self._report_missing_rows(followed, now_s)
        for row in followed.page.rows:
            if row.key.startswith(MEMBER_PREFIX):
                self._apply_member(members, row)
            else:
                self._on_other_row(row, now_s)
        self._order.members = members
        self._state.members = set(members)

    def _report_missing_rows(self, followed: FollowedPage, now_s: float) -> None:
        """Report to the listeners, as deleted, the rows that are missing from a snapshot.

        After a restore of the store, the older copy may merely lack a missing row, whose writer writes it again.
        """
        missing = self._delivered_keys - {row.key for row in followed.page.rows}
        self._delivered_keys -= missing
        if not followed.is_store_restored:
            for key in sorted(missing):
                self._on_other_row(FeedRow(key, None, followed.page.version), now_s)

    def _on_other_row(self, row: FeedRow, now_s: float) -> None:
        if row.value is None:
            self._delivered_keys.discard(row.key)
        else:
            self._delivered_keys.add(row.key)
        for delivery in self._deliveries:
            delivery.deliver(row, now_s)

    def _apply_member(self, members: dict[str, NodeRecord], row: FeedRow) -> None:
        try:
            self._on_member(members, row)
        except Exception as error:
            self._errors.on_error(row.key, error)
        else:
            self._errors.on_applied(row.key)

    def _on_member(self, members: dict[str, NodeRecord], row: FeedRow) -> None:
        name = row.key[len(MEMBER_PREFIX) :]
        if name == self._state.node:
            self._own_version = row.version if row.value is not None else 0
        if row.value is None:
            members.pop(name, None)
            self._unreadable.forget(row.key)
            return
        try:
            members[name] = decode_value(row.value, NodeRecord)
        except msgspec.MsgspecError as error:
            # The member still shares the fleet's budgets; without a zone and an address no node follows it.
            members[name] = NodeRecord(zone="")
            if self._unreadable.is_news(row.key, str(error)):
                emit(Event.MEMBER_ROW_UNREADABLE, row=shown_key(row.key), error=shown_reason(error))
        else:
            self._unreadable.forget(row.key)

    async def register(self, own: NodeRecord) -> None:
        """Write this node's row unless it is current. Peers find this node by its row and share budgets with it."""
        if self._own_version is None or self._order.members.get(self._state.node) == own:
            return
        key = MEMBER_PREFIX + self._state.node
        put = Put(key, msgspec.json.encode(own).decode())
        try:
            await self._table.transact(Transaction((Condition(key, self._own_version),), (put,)))
        except (PlatformUnavailableError, TableConflictError) as error:
            # The caller retries each second. Logged once, so that a store outage does not flood the log.
            if not self._is_registration_failing:
                emit(
                    Event.MEMBER_NOT_REGISTERED, member=self._state.node, reason=f"{type(error).__name__}: {error}"
                )
            self._is_registration_failing = True
            return
        self._is_registration_failing = False
