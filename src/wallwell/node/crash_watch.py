"""Finds back ends that have crashed, and keeps in the store which requests they were running.

Whether a back end has crashed is found out by :mod:`wallwell.node.crash_probe`. One row for each request and crash
goes to the store, without a condition: writing it twice changes nothing, every node counts the rows, and a node
that starts reads them.

Owns the examinations in progress and the rows that the store has not taken yet. The counts are in
``NodeState.quarantine``, which decides what is refused. Relies on attempts being reported
(:meth:`CrashWatch.on_broken_run`, :meth:`CrashWatch.on_answered`) and on the followed rows of this product's table.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from itertools import islice

from wallwell.background import BackgroundTasks
from wallwell.clock import boot_time_s, ends_within
from wallwell.cluster.crash_count import count_crash
from wallwell.cluster.crash_reports import Crash
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.node.crash_probe import CrashCheck, CrashProbe
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.rendezvous import owner, rendezvous_key
from wallwell.storage.feed import FeedRow
from wallwell.storage.table import Put, TableService, Transaction

CRASH_PREFIX = "crash/"
"""Rows ``crash/CONTENT/START``, by :attr:`Backend.start_id`; the value names the node that saw it."""
MAX_TRANSACTION_ROWS = 100
"""Entries of one transaction (the store's bound)."""
MAX_UNWRITTEN_ROWS = 4096
"""Rows that wait for a store that takes no writes: as many as suspects are remembered. The oldest are dropped
first; the store then lacks a crash that this node knows, or keeps an expired one until nodes expire it again."""
WRITE_RETRY_S = 0.4
"""Mean seconds from a failed write to the next."""
WRITE_RETRY_JITTER = (0.5, 1.5)
"""Range of factors on that time, so that nodes do not write together once the store is back."""
REWRITE_WINDOW_S = 60.0
"""Seconds for which a row that was written is kept to be written again: a store that comes back from a copy has
lost the last seconds before it."""
MAX_RECENT_WRITES = 1000
"""Rows kept for that, far more than are written in that time."""
SWEEP_INTERVAL_S = 5.0
"""Seconds between two removals of expired crashes: small beside the minutes they count for."""


class CrashWatch:
    """One node's part: probes back ends, counts crashes, writes them to the store and removes expired ones."""

    def __init__(
        self, state: NodeState, check: CrashCheck, table: TableService, member_names: Callable[[], Iterable[str]]
    ) -> None:
        """``members`` names the nodes that share the removal of old rows."""
        self._state = state
        self._probe = CrashProbe(check)
        self._table = table
        self._member_names = member_names
        self._broken_digests: dict[str, set[str]] = {}
        """Contents of broken attempts, by the start of a back end that is being probed."""
        self._probes = BackgroundTasks()
        self._unwritten: dict[str, bool] = {}
        """Keys to write (True) or to delete (False)."""
        self._recent_writes: dict[str, tuple[bool, float]] = {}
        """Keys written or deleted of late, and when, in that order."""
        self._has_work = asyncio.Event()
        self._is_write_failing = False
        """Whether the store did not take the last write, so that an outage is logged once."""
        self._has_dropped_rows = False
        """Whether rows were dropped since the store took the last write, which is logged once too."""

    # --- attempts --------------------------------------------------------------------------------------

    def on_broken_run(self, content_digest: str, backend: Backend) -> None:
        """The connection of an attempt ended before its answer was whole."""
        if backend.has_announced_leave or (backend.is_leaving(boot_time_s()) and not backend.superseded):
            return  # The end of a planned stop.
        probed_digests = self._broken_digests.get(backend.start_id)
        if probed_digests is not None:
            probed_digests.add(content_digest)
            return
        self._broken_digests[backend.start_id] = {content_digest}
        self._probes.begin(self._probe_backend(backend))

    def on_answered(self, content_digest: str) -> None:
        """A request was answered with success: whatever crashed beside it, it was not the cause."""
        crashes = self._state.quarantine.on_answered(content_digest, boot_time_s())
        self._write({_crash_key(content_digest, incarnation): False for incarnation in crashes})

    async def _probe_backend(self, backend: Backend) -> None:
        start_id = backend.start_id
        try:
            has_crashed = await self._probe.has_crashed(backend)
        finally:
            # Attempts that break from now on start probes of their own.
            content_digests = self._broken_digests.pop(start_id)
        if not has_crashed:
            has_crashed = await self._probe.wait_for_successor(backend)
        if has_crashed:
            emit(Event.BACKEND_CRASHED, backend=backend.incarnation, runs=len(content_digests))
            for content_digest in content_digests:
                self._record_crash(content_digest, start_id)

    def _record_crash(self, content_digest: str, incarnation: str) -> None:
        if count_crash(self._state.quarantine, content_digest, incarnation, boot_time_s()):
            self._write({_crash_key(content_digest, incarnation): True})

    # --- rows and reports of other nodes ---------------------------------------------------------------

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Apply a row of this product's own table; other kinds than crashes are ignored."""
        if not row.key.startswith(CRASH_PREFIX):
            return
        content_digest, incarnation = _parse_key(row.key)
        if row.value is None:
            self._state.quarantine.forget_crash(content_digest, incarnation)
        elif self._state.quarantine.is_cleared(content_digest, now_s):
            self._write({row.key: False})
        else:
            count_crash(self._state.quarantine, content_digest, incarnation, now_s)

    def on_peer_report(self, crash: Crash) -> None:
        """Count a crash that a peer reports, since the store has not taken it yet; the peer that saw it writes
        it."""
        count_crash(self._state.quarantine, *crash, boot_time_s())

    def unwritten_crashes(self) -> Sequence[Crash]:
        """Return the crashes that the store has not taken, newest first; nothing while it takes writes."""
        if not self._is_write_failing:
            return ()
        return [_parse_key(key) for key, is_put in reversed(self._unwritten.items()) if is_put]

    def on_era(self, _era: int, is_restored: bool) -> None:
        """After a restore, what the store may have lost is written again."""
        if is_restored:
            since_s = boot_time_s() - REWRITE_WINDOW_S
            self._write({key: is_put for key, (is_put, at_s) in self._recent_writes.items() if at_s > since_s})

    # --- the store -------------------------------------------------------------------------------------

    def _write(self, changes: dict[str, bool]) -> None:
        if not changes:
            return
        self._unwritten.update(changes)
        self._has_work.set()
        excess = len(self._unwritten) - MAX_UNWRITTEN_ROWS
        if excess <= 0:
            return
        for key in list(islice(self._unwritten, excess)):
            del self._unwritten[key]
        if not self._has_dropped_rows:
            emit(Event.CRASHES_NOT_WRITTEN, rows=excess, reason=f"dropped: more than {MAX_UNWRITTEN_ROWS} wait")
        self._has_dropped_rows = True

    async def run(self) -> None:
        """Write crashes and remove expired ones until cancelled."""
        last_sweep_s = boot_time_s()
        while True:
            await ends_within(self._has_work.wait(), SWEEP_INTERVAL_S)
            now_s = boot_time_s()
            if now_s - last_sweep_s >= SWEEP_INTERVAL_S:
                self._sweep(now_s)
                last_sweep_s = now_s
            if self._unwritten and not await self.write_batch():
                await asyncio.sleep(WRITE_RETRY_S * self._state.rng.uniform(*WRITE_RETRY_JITTER))

    async def write_batch(self) -> bool:
        """Write as much as one transaction takes; returns False if the store did not take it."""
        batch = dict(list(self._unwritten.items())[:MAX_TRANSACTION_ROWS])
        puts = tuple(Put(key, self._state.node) for key, is_put in batch.items() if is_put)
        deletes = tuple(key for key, is_put in batch.items() if not is_put)
        try:
            await self._table.transact(Transaction((), puts, deletes))
        except (PlatformUnavailableError, TableConflictError) as error:
            if not self._is_write_failing:
                emit(Event.CRASHES_NOT_WRITTEN, rows=len(batch), reason=str(error))
            self._is_write_failing = True
            return False
        self._is_write_failing = self._has_dropped_rows = False
        now_s = boot_time_s()
        for key, is_put in batch.items():
            self._recent_writes.pop(key, None)
            self._recent_writes[key] = (is_put, now_s)
            if self._unwritten.get(key) is is_put:
                del self._unwritten[key]
        while len(self._recent_writes) > MAX_RECENT_WRITES:
            del self._recent_writes[next(iter(self._recent_writes))]
        if not self._unwritten:
            self._has_work.clear()
        return True

    def _sweep(self, now_s: float) -> None:
        """Forget expired crashes; one node removes each row."""
        members = {*self._member_names(), self._state.node}
        for content_digest, incarnation in self._state.quarantine.remove_expired(now_s):
            key = _crash_key(content_digest, incarnation)
            if owner(members, rendezvous_key(content_digest)) == self._state.node:
                self._write({key: False})
            else:
                self._unwritten.pop(key, None)  # Written now, it would count anew at every node.


def _parse_key(key: str) -> Crash:
    content_digest, _, incarnation = key[len(CRASH_PREFIX) :].partition("/")
    return content_digest, incarnation


def _crash_key(content_digest: str, incarnation: str) -> str:
    return f"{CRASH_PREFIX}{content_digest}/{incarnation}"
