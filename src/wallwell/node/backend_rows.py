"""Keeps a node's registry of back ends as the store lists them, also over an outage of the store.

Owns the time of the store's last return. Relies on a follower that hands on every row in order
(:mod:`wallwell.storage.feed`) and on :meth:`BackendRows.drop_lapsed` being called once a second.
"""

from __future__ import annotations

import msgspec

from wallwell.clock import boot_time_s
from wallwell.events import Event, emit
from wallwell.http_connection import ConnectionPool
from wallwell.node.adapter import NodeSources
from wallwell.node.state import NodeState
from wallwell.node.store_outage import STORE_OUTAGE_S
from wallwell.routing.health.backend import Backend
from wallwell.storage.feed import FeedRow, FollowedPage

LAPSE_GRACE_S = 1.7
"""Seconds from the store's return for which a back end whose entry is missing still gets requests.

Entries of living back ends are written again within 2 s of the store's return. The figure is below the 2 s within
which a back end that has left must get nothing more (``drain_ms``), since a missing entry may mean either."""
RESTORED_ENTRY_HOLD_S = 5.0
"""Seconds from the store's return from a copy for which an entry in the copy does not bring a back end back that
has gone: by then the entry of one that lives no more has gone again, after three missed heartbeats."""
MAX_UNREADABLE_LOGGED = 10
"""Entries of one page that are logged one by one; the last of these lines says how many more there are."""
MAX_REASON_CHARS = 200
"""Characters of a reason that are logged: it may quote the entry."""


class BackendRows:
    """Keeps the registry of back ends as the store lists them.

    Entries lapse while the store is unavailable, and living back ends list themselves again soon after its return.
    One that is missing then goes on getting requests for ``LAPSE_GRACE_S`` from the return. After a return from a
    copy, an entry may also be there again though its back end has gone: it is held back for a while.
    """

    def __init__(self, state: NodeState, sources: NodeSources, pool: ConnectionPool) -> None:
        self._state = state
        self._decode = sources.decode_backend
        self._pool = pool
        self._store_returned_s = float("-inf")
        self._held_entries: dict[str, bytes] = {}
        """Entries of a copy whose back ends have gone as far as this node knows."""

    def apply(self, followed: FollowedPage) -> None:
        """Apply a page. A row that cannot be decoded names no back end: one known under its key counts as gone."""
        now_s = boot_time_s()
        is_outage = now_s - followed.previous_confirmed_at_s > STORE_OUTAGE_S and self._state.backends_known
        if is_outage or followed.is_store_restored:
            self._store_returned_s = now_s
        if followed.is_snapshot:
            self._held_entries.clear()
            for backend in self._state.backends.missing_from({row.key for row in followed.page.rows}):
                self._on_missing_entry(backend, now_s)
        may_be_stale = followed.is_snapshot and now_s < self._entry_hold_ends_s()
        unreadable: list[tuple[str, str]] = []
        # Of two incarnations at one address the one that was written last is the one that lives.
        for row in sorted(followed.page.rows, key=lambda row: row.version):
            reason = self._apply_row(row, may_be_stale, now_s)
            if reason:
                unreadable.append((row.key, reason))
        _log_unreadable(unreadable)
        self.drop_lapsed(now_s)
        self._state.backends_known = True

    def _apply_row(self, row: FeedRow, may_be_stale: bool, now_s: float) -> str:
        """Apply a row; returns why it cannot be decoded, empty if it can."""
        self._held_entries.pop(row.key, None)
        if row.value is None:
            listed = self._state.backends.get(row.key)
            if listed is not None:
                self._on_missing_entry(listed, now_s)
            return ""
        try:
            self._on_entry(row.key, row.value, may_be_stale)
        except msgspec.MsgspecError as error:
            self._state.backends.lapse(row.key, now_s)
            return str(error)
        return ""

    def drop_lapsed(self, now_s: float) -> None:
        """Forget the back ends that have not listed themselves again in time; take the entries held back until
        now."""
        if self._held_entries and now_s >= self._entry_hold_ends_s():
            held_entries, self._held_entries = self._held_entries, {}
            for incarnation, value in held_entries.items():
                self._on_entry(incarnation, value, may_be_stale=False)
        for backend in self._state.backends.remove_lapsed(now_s):
            emit(Event.BACKEND_GONE, backend=backend.incarnation)
            self._pool.forget(backend.record.address)

    def _entry_hold_ends_s(self) -> float:
        return self._state.store_era.observed_since_s + RESTORED_ENTRY_HOLD_S

    def _on_entry(self, incarnation: str, value: bytes, may_be_stale: bool) -> None:
        record = self._decode(incarnation, value)
        if may_be_stale and self._state.backends.is_gone(record):
            self._held_entries[incarnation] = value
            return
        previous = self._state.backends.get(incarnation)
        previous_record = None if previous is None else previous.record
        backend = self._state.backends.upsert(record)
        if backend.record.is_later_start_than(record):
            return  # Late news of an earlier start of the same back end.
        if previous is not None and backend is not previous:
            # Another start. Behind a cut old connections may stay open, and nobody answers on them any more.
            self._pool.forget(previous.record.address)
        is_changed = previous_record != record
        if is_changed:
            emit(
                Event.BACKEND_LISTED,
                backend=incarnation,
                service=record.service,
                address=record.address,
                draining=record.draining,
                versions=dict(record.versions),
                software=record.software,
            )
        now_s = boot_time_s()
        is_start = not self._state.backends_known
        self._state.rollouts.on_backend_listed(record.service, record.software, now_s, is_start)
        if record.draining:
            self._state.backends.on_leaving(backend, now_s)
        if is_changed:
            backend.slow_until_s = now_s + record.slow_for_s

    def _on_missing_entry(self, backend: Backend, now_s: float) -> None:
        """An entry is missing: the back end has left, or the entry lapsed while the store was unavailable."""
        grace_ends_s = now_s if backend.has_announced_leave else self._store_returned_s + LAPSE_GRACE_S
        self._state.backends.lapse(backend.incarnation, max(now_s, grace_ends_s))


def _log_unreadable(entries: list[tuple[str, str]]) -> None:
    """Log entries that name no back end, each with its key and the reason."""
    logged = entries[:MAX_UNREADABLE_LOGGED]
    for number, (key, reason) in enumerate(logged, start=1):
        further_count = len(entries) - len(logged) if number == len(logged) else 0
        emit(Event.BACKEND_ENTRY_UNREADABLE, backend=key, reason=reason[:MAX_REASON_CHARS], further=further_count)
