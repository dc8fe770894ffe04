"""Keeps a node's registry of back ends in step with their entries in the store, also across a store outage.

Owns the time at which the store last came back. Relies on a follower that delivers every row in order
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
from wallwell.storage.row_isolation import MAX_ERROR_CHARS, ReportedRows, RowErrors, shown_key

LAPSE_GRACE_S = 1.7
"""Seconds after the store comes back during which a back end whose entry is missing still gets requests.

Live back ends rewrite their entries within 2 s of the store's return. A missing entry may also mean that the back
end has left, so the value is below the 2 s after which such a back end must get no requests (``drain_ms``)."""
RESTORED_ENTRY_HOLD_S = 5.0
"""Seconds after a restore of the store from an older copy during which a restored entry does not bring back a back
end that was removed. By then the entry of an ended back end has been removed again, after three missed
heartbeats."""
MAX_UNREADABLE_LOGGED = 10
"""Entries of one page that have become unreadable and are logged; the last line states how many more there are."""


class BackendRows:
    """Updates the registry of back ends from their entries in the store.

    Entries lapse while the store is unavailable, and live back ends rewrite them soon after it comes back. A back
    end without an entry still gets requests for ``LAPSE_GRACE_S`` after that. A restore from an older copy may
    bring back the entry of a back end that has ended, so it is applied only after ``RESTORED_ENTRY_HOLD_S``.
    """

    def __init__(self, state: NodeState, sources: NodeSources, pool: ConnectionPool) -> None:
        self._state = state
        self._decode = sources.decode_backend
        self._pool = pool
        self._errors = RowErrors("backends", state.row_errors)
        self._unreadable = ReportedRows()
        self._store_returned_s = float("-inf")
        self._held_entries: dict[str, bytes] = {}
        """Restored entries of back ends that this node had removed, by incarnation; not applied yet."""

    def apply(self, followed: FollowedPage) -> None:
        """Apply a page of rows. If one cannot be decoded or applied, the back end listed under its key counts as
        gone; all others are applied."""
        now_s = boot_time_s()
        is_outage = now_s - followed.previous_confirmed_at_s > STORE_OUTAGE_S and self._state.backends_known
        if is_outage or followed.is_store_restored:
            self._store_returned_s = now_s
        if followed.is_snapshot:
            self._held_entries.clear()
            listed = {row.key for row in followed.page.rows}
            self._unreadable.keep(listed)
            for backend in self._state.backends.missing_from(listed):
                self._on_missing_entry(backend, now_s)
        may_be_stale = followed.is_snapshot and now_s < self._entry_hold_ends_s()
        unreadable: list[tuple[str, str]] = []
        # Of two incarnations at one address, the one whose entry was written last is the live one.
        for row in sorted(followed.page.rows, key=lambda row: row.version):
            reason = self._apply_row(row, may_be_stale, now_s)
            if reason and self._unreadable.is_news(row.key, reason):
                unreadable.append((row.key, reason))
        _log_unreadable(unreadable)
        self.drop_lapsed(now_s)
        self._state.backends_known = True
        self._state.software_history.on_confirmed(followed.confirmed_at_s, now_s)
        self._state.backends.on_listing_confirmed(followed.confirmed_at_s)

    def _apply_row(self, row: FeedRow, may_be_stale: bool, now_s: float) -> str:
        """Apply a row. Returns the decoding error, or an empty string."""
        self._held_entries.pop(row.key, None)
        if row.value is not None:
            return self._apply_entry(row.key, row.value, may_be_stale, now_s)
        self._unreadable.forget(row.key)
        listed = self._state.backends.get(row.key)
        if listed is not None:
            self._on_missing_entry(listed, now_s)
        return ""

    def _apply_entry(self, incarnation: str, value: bytes, may_be_stale: bool, now_s: float) -> str:
        """Apply an entry. Returns the decoding error, or an empty string."""
        try:
            self._on_entry(incarnation, value, may_be_stale)
        except msgspec.MsgspecError as error:
            self._on_unreadable_entry(incarnation, now_s)
            return str(error)
        except Exception as error:
            self._on_unreadable_entry(incarnation, now_s)
            self._errors.on_error(incarnation, error)
        else:
            self._errors.on_applied(incarnation)
            self._unreadable.forget(incarnation)
        return ""

    def _on_unreadable_entry(self, incarnation: str, now_s: float) -> None:
        backend = self._state.backends.get(incarnation)
        if backend is not None:
            backend.is_entry_unreadable = True
        self._state.backends.lapse(incarnation, now_s)

    def drop_lapsed(self, now_s: float) -> None:
        """Remove back ends whose entries were not rewritten in time; apply held entries that are due."""
        if self._held_entries and now_s >= self._entry_hold_ends_s():
            self._apply_held_entries(now_s)
        for backend in self._state.backends.remove_lapsed(now_s):
            try:
                self._on_removed(backend, now_s)
            except Exception as error:
                self._errors.on_error(backend.incarnation, error)

    def _apply_held_entries(self, now_s: float) -> None:
        held_entries, self._held_entries = self._held_entries, {}
        reasons = [
            (incarnation, self._apply_entry(incarnation, value, may_be_stale=False, now_s=now_s))
            for incarnation, value in held_entries.items()
        ]
        _log_unreadable([(key, reason) for key, reason in reasons if reason])

    def _on_removed(self, backend: Backend, now_s: float) -> None:
        emit(Event.BACKEND_GONE, backend=backend.incarnation)
        self._state.software_history.on_unlisted(backend.record.service, backend.record.software, now_s)
        self._pool.close_idle(backend.record.address)

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
        backend.is_entry_unreadable = False
        if backend.record.is_later_start_than(record):
            return  # The entry is of an earlier start of the same back end and arrived late.
        if previous is not None and backend is not previous:
            # A later start. After a network cut, old connections may stay open although nothing answers on them.
            self._pool.close_idle(previous.record.address)
        is_changed = previous_record != record
        if previous_record is not None and previous_record.software != backend.record.software:
            self._state.software_history.on_unlisted(
                previous_record.service, previous_record.software, boot_time_s()
            )
        if is_changed:
            emit(
                Event.BACKEND_LISTED,
                backend=incarnation,
                service=record.service,
                address=str(record.address),
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
        """Handle a missing entry: the back end has left, or its entry lapsed while the store was unavailable."""
        grace_ends_s = now_s if backend.has_announced_leave else self._store_returned_s + LAPSE_GRACE_S
        self._state.backends.lapse(backend.incarnation, max(now_s, grace_ends_s))


def _log_unreadable(entries: list[tuple[str, str]]) -> None:
    """Log entries that cannot be decoded, given as pairs of key and decoding error."""
    logged = entries[:MAX_UNREADABLE_LOGGED]
    for number, (key, reason) in enumerate(logged, start=1):
        further_count = len(entries) - len(logged) if number == len(logged) else 0
        emit(
            Event.BACKEND_ENTRY_UNREADABLE,
            backend=shown_key(key),
            reason=reason[:MAX_ERROR_CHARS],
            further=further_count,
        )
