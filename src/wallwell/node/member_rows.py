"""Knows the fleet's nodes from this product's own table, and registers this node there.

Owns the version of this node's row. Other rows of the table (leases, progress of weights rolls, records of
rollouts, crashes) go to their listeners. Relies on a follower that hands on every row in order
(:mod:`wallwell.storage.feed`) and on :meth:`MemberRows.register` being called again after a failure.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from wallwell.clock import boot_time_s
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.storage.feed import FeedRow, FollowedPage
from wallwell.storage.table import Condition, Put, TableService, Transaction

MEMBER_PREFIX = "member/"
"""Keys of members' rows, before the node's name."""


class OwnRowListener(Protocol):
    """Receives the rows of this product's own table, and acts on those of its kind."""

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Apply a row; rows of other kinds are ignored."""
        ...

    def on_era(self, era: int, is_restored: bool) -> None:
        """The rows that follow are of this era of the store: at the start, and after each return from a copy."""
        ...


class MemberRows:
    """Knows the other nodes from this product's own rows, and makes this node known to them."""

    def __init__(
        self,
        state: NodeState,
        table: TableService,
        order: UpstreamOrder,
        listeners: Sequence[OwnRowListener],
    ) -> None:
        """``listeners`` receive every row that is not a member's."""
        self._state = state
        self._table = table
        self._order = order
        self._listeners = listeners
        self._era: int | None = None
        self._own_version: int | None = None
        """Version of this node's own row, 0 if there is none, None before the rows were read."""
        self._is_registration_failing = False
        self._delivered_keys: set[str] = set()
        """Keys of the rows that the listeners have and that were not deleted."""

    @property
    def has_been_read(self) -> bool:
        """Whether the rows have been read."""
        return self._own_version is not None

    def apply(self, followed: FollowedPage) -> None:
        """Apply a page of this product's own table."""
        now_s = boot_time_s()
        if followed.page.era != self._era:
            self._era = followed.page.era
            for listener in self._listeners:
                listener.on_era(self._era, followed.is_store_restored)
        members = {} if followed.is_snapshot else dict(self._order.members)
        if followed.is_snapshot:
            self._own_version = 0
            self._report_missing_rows(followed, now_s)
        for row in followed.page.rows:
            if row.key.startswith(MEMBER_PREFIX):
                self._on_member(members, row)
            else:
                self._on_other_row(row, now_s)
        self._order.members = members
        self._state.members = set(members)

    def _report_missing_rows(self, followed: FollowedPage, now_s: float) -> None:
        """Tell the listeners of rows that were deleted in a part of the history that was not read.

        After a return from a copy a missing row may be one that the copy lacks; those are written again.
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
        for listener in self._listeners:
            try:
                listener.on_row(row, now_s)
            except msgspec.MsgspecError as error:
                # The other rows of the page hold all the same.
                emit(Event.OWN_ROW_UNREADABLE, row=row.key, error=str(error))

    def _on_member(self, members: dict[str, NodeRecord], row: FeedRow) -> None:
        name = row.key[len(MEMBER_PREFIX) :]
        if name == self._state.node:
            self._own_version = row.version if row.value is not None else 0
        if row.value is None:
            members.pop(name, None)
            return
        try:
            members[name] = msgspec.json.decode(row.value, type=NodeRecord)
        except msgspec.MsgspecError as error:
            # It shares the fleet's budgets all the same; without a zone and an address nobody follows it.
            members[name] = NodeRecord(zone="")
            emit(Event.MEMBER_ROW_UNREADABLE, row=row.key, error=str(error))

    async def register(self, own: NodeRecord) -> None:
        """Write this node's row unless it stands there: peers find it by that row and share budgets with it."""
        if self._own_version is None or self._order.members.get(self._state.node) == own:
            return
        key = MEMBER_PREFIX + self._state.node
        put = Put(key, msgspec.json.encode(own).decode())
        try:
            await self._table.transact(Transaction((Condition(key, self._own_version),), (put,)))
        except (PlatformUnavailableError, TableConflictError) as error:
            # The caller tries again each second. Logged once, so that an outage of the store is no flood.
            if not self._is_registration_failing:
                emit(
                    Event.MEMBER_NOT_REGISTERED, member=self._state.node, reason=f"{type(error).__name__}: {error}"
                )
            self._is_registration_failing = True
            return
        self._is_registration_failing = False
