"""Detects crashes of back ends and records in the store which requests, on which parts of prompts, they ran.

:mod:`wallwell.node.crash_probe` decides whether a back end has crashed. For each request or part and crash one row
is written to the store, unconditionally, since writing it twice changes nothing. Every node counts the rows, and a
starting node reads them.

Owns the probes in progress and the rows that the store has not accepted yet. The counts are in
``NodeState.quarantine`` and ``NodeState.part_quarantine``, which decide which requests are refused. Relies on
reports of attempts, as their :class:`~wallwell.serving.messages.CrashObserver`, and on the rows of the nodes' own
table.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import islice

import msgspec

from wallwell.background import BackgroundTasks
from wallwell.clock import boot_time_s, ends_within
from wallwell.cluster.crash_count import count_crash
from wallwell.cluster.crash_reports import Crash
from wallwell.cluster.unexpected_errors import UnexpectedErrors
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.node.crash_probe import CrashEvidence, CrashProbe
from wallwell.node.crash_rows import (
    CRASH_PREFIX,
    PartCrashRow,
    crash_key,
    parse_crash_key,
    part_of,
    part_subject,
)
from wallwell.node.state import NodeState
from wallwell.routing.admission.part_trials import NodeTurn, QuarantinedPart
from wallwell.routing.health.backend import Backend
from wallwell.routing.rendezvous import owner, owners, rendezvous_key
from wallwell.routing.selection.candidates import LEAVING_GRACE_S
from wallwell.storage.feed import FeedRow
from wallwell.storage.row_isolation import ReportedRows, shown_key, shown_reason
from wallwell.storage.row_values import decode_value
from wallwell.storage.table import Put, TableService, Transaction

MAX_TRANSACTION_ROWS = 100
"""Most rows of one transaction; a limit of the store."""
MAX_UNWRITTEN_ROWS = 4096
"""Most rows that wait while the store accepts no writes: as many as suspects are remembered. The oldest are dropped
first; the store then lacks a crash that this node counts, or keeps an expired one until nodes expire it again."""
WRITE_RETRY_S = 0.4
"""Mean seconds between a failed write and its retry."""
WRITE_RETRY_JITTER = (0.5, 1.5)
"""Range of random factors on ``WRITE_RETRY_S``, so that nodes do not write together once the store is back."""
REWRITE_WINDOW_S = 60.0
"""Seconds for which a written row is remembered, to write it again if the store is restored from an older copy,
which lacks the last seconds of writes."""
MAX_RECENT_WRITES = 1000
"""Most rows remembered for rewriting, far more than are written in ``REWRITE_WINDOW_S``."""
SWEEP_INTERVAL_S = 5.0
"""Seconds between two removals of expired crashes: short compared with the minutes for which a crash counts."""


@dataclass
class BrokenRuns:
    """What a start of a back end was running when it may have crashed."""

    backend: Backend
    sent_s: float
    """When the first of these runs was sent."""
    since_s: float
    """When the first run broke, on the store's clock."""
    content_digests: set[str] = field(default_factory=set)
    part_digests: set[str] = field(default_factory=set)
    """Parts of prompts on which it may have begun an answer just then."""

    def subjects(self) -> Iterable[str]:
        """Yield the subjects of the crash rows."""
        yield from self.content_digests
        for digest in self.part_digests:
            yield part_subject(digest)


class CrashWatch:
    """Probes back ends after broken attempts, counts crashes, writes them to the store and removes expired ones."""

    def __init__(
        self,
        state: NodeState,
        probe: CrashProbe,
        table: TableService,
        member_names: Callable[[], Iterable[str]],
        store_time_s: Callable[[], float] = boot_time_s,
    ) -> None:
        """``member_names`` returns the names of the nodes that share the removal of expired rows, ``store_time_s``
        the time on the store's clock, by which nodes compare when back ends crashed."""
        self._store_time_s = store_time_s
        self._state = state
        self._probe = probe
        self._table = table
        self._member_names = member_names
        self._broken: dict[str, BrokenRuns] = {}
        """By the ``start_id`` of a back end that is being probed."""
        self._probes = BackgroundTasks()
        self._unexpected_errors = UnexpectedErrors("probe of a crashed back end")
        self._unwritten: dict[str, bool] = {}
        """Keys of rows to write (True) or to delete (False)."""
        self._unreadable = ReportedRows()
        self._recent_writes: dict[str, tuple[bool, float]] = {}
        """By key: whether a row was last written (True) or deleted (False), and when; oldest first."""
        self._has_work = asyncio.Event()
        self._is_write_failing = False
        """Whether the last write failed, so that an outage is logged once."""
        self._has_dropped_rows = False
        """Whether rows were dropped since the last successful write, which is logged once too."""
        state.part_quarantine.on_quarantined = _log_quarantined_part
        state.part_quarantine.on_released = _log_released_part
        state.part_quarantine.turn_of = self._turn_of

    # --- attempts --------------------------------------------------------------------------------------

    def on_broken_run(
        self, content_digest: str, backend: Backend, parts: Sequence[str] = (), sent_s: float = float("-inf")
    ) -> None:
        """Probe a back end whose connection to an attempt ended before the answer was complete."""
        if _may_have_ended_as_planned(backend, boot_time_s()):
            return
        start_id = backend.start_id_at(sent_s)
        is_probed = start_id in self._broken
        broken = self._broken.setdefault(start_id, BrokenRuns(backend, sent_s, self._store_time_s()))
        broken.content_digests.add(content_digest)
        broken.part_digests.update(parts)
        if not is_probed:
            self._probes.start(self._probe_or_log(start_id))

    def on_worked(self, parts: Sequence[str], began_s: float) -> None:
        """Delete the crashes that these parts cannot have caused, since an answer begun afterwards went on."""
        cleared = self._state.part_quarantine.on_worked(parts, began_s)
        self._write({crash_key(part_subject(part), start_id): False for part, start_id in cleared})

    def on_answered(self, content_digest: str) -> None:
        """Delete the crashes of a request that was answered successfully, since it cannot have caused them."""
        crashes = self._state.quarantine.on_answered(content_digest, boot_time_s())
        self._write({crash_key(content_digest, incarnation): False for incarnation in crashes})

    async def _probe_or_log(self, start_id: str) -> None:
        """Probe a back end; a probe that fails unexpectedly shows no crash, and is logged."""
        try:
            await self._probe_backend(start_id)
        except Exception as error:
            self._unexpected_errors.record(start_id, error)

    async def _probe_backend(self, start_id: str) -> None:
        broken = self._broken[start_id]
        backend = broken.backend
        is_unlisted = backend.runs_unlisted_start(broken.sent_s)
        try:
            evidence = await self._probe.find_crash(backend)
        finally:
            # Attempts that break from now on start a new series of probes.
            del self._broken[start_id]
        if evidence is None and await self._probe.wait_for_successor(backend):
            evidence = CrashEvidence.SUCCESSOR
        if is_unlisted and evidence is CrashEvidence.SUCCESSOR:
            return  # The later start that is listed by now may be the one that had these runs.
        if evidence is not None:
            emit(
                Event.BACKEND_CRASHED,
                backend=backend.incarnation,
                shown_by=evidence,
                runs=len(broken.content_digests),
                parts=",".join(sorted(broken.part_digests)),
            )
            now_s = boot_time_s()
            self._state.backends.on_crashed(start_id, now_s)
            since_s = broken.since_s
            counted = [subject for subject in broken.subjects() if self._count(subject, start_id, now_s, since_s)]
            self._write({crash_key(subject, start_id): True for subject in counted})

    def _count(self, subject: str, start_id: str, now_s: float, happened_s: float) -> bool:
        """Count a crash of one start of a back end; returns False if it is known or does not count."""
        part = part_of(subject)
        if part is not None:
            return self._state.part_quarantine.on_crash(part, start_id, now_s, happened_s)
        return count_crash(self._state.quarantine, subject, start_id, now_s)

    def _forget(self, subject: str, start_id: str) -> None:
        part = part_of(subject)
        if part is not None:
            self._state.part_quarantine.forget_crash(part, start_id)
        else:
            self._state.quarantine.forget_crash(subject, start_id)

    # --- rows and reports of other nodes ---------------------------------------------------------------

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Apply a crash row of the nodes' own table; rows of other kinds are ignored."""
        if not row.key.startswith(CRASH_PREFIX):
            return
        subject, start_id = parse_crash_key(row.key)
        if row.value is None:
            self._unreadable.forget(row.key)
            self._forget(subject, start_id)
            return
        self._state.backends.on_crashed(start_id, now_s)
        if self._state.quarantine.is_cleared(subject, now_s):
            self._write({row.key: False})
        else:
            self._count(subject, start_id, now_s, self._happened_s(row, subject))

    def _happened_s(self, row: FeedRow, subject: str) -> float:
        """Return when the crash in a row happened; now if the row is not of a part, or cannot be read."""
        if part_of(subject) is None:
            return self._store_time_s()
        try:
            return decode_value(row.value or b"", PartCrashRow).happened_s
        except msgspec.MsgspecError as error:
            if self._unreadable.is_news(row.key, str(error)):
                emit(Event.OWN_ROW_UNREADABLE, row=shown_key(row.key), error=shown_reason(error))
            return self._store_time_s()  # The crash itself is known from the key.

    def on_peer_report(self, crash: Crash, age_s: float = 0.0) -> None:
        """Count a crash that happened ``age_s`` seconds ago and that the store has not accepted yet; the peer that
        detected it writes it."""
        subject, start_id = crash
        now_s = boot_time_s()
        self._state.backends.on_crashed(start_id, now_s)
        self._count(subject, start_id, now_s, self._store_time_s() - age_s)

    def age_s(self, crash: Crash) -> float:
        """Return the seconds since a crash under a part happened; 0 if it is not of a part, or not counted."""
        subject, start_id = crash
        part = part_of(subject)
        happened_s = None if part is None else self._state.part_quarantine.happened_s(part, start_id)
        return 0.0 if happened_s is None else max(0.0, self._store_time_s() - happened_s)

    def unwritten_crashes(self) -> Sequence[Crash]:
        """Return the crashes that the store has not accepted, newest first; none while it accepts writes."""
        if not self._is_write_failing:
            return ()
        return [parse_crash_key(key) for key, is_put in reversed(self._unwritten.items()) if is_put]

    def on_era(self, _era: int, is_restored: bool) -> None:
        """Write again what the store may have lost if it was restored: this node's recent writes and deletions, and
        the crashes that this node owns, as the nodes that wrote them may have ended since."""
        if not is_restored:
            return
        counted = {crash_key(subject, start): True for subject, start in self._crashes() if self._is_owner(subject)}
        since_s = boot_time_s() - REWRITE_WINDOW_S
        recent = {key: is_put for key, (is_put, at_s) in self._recent_writes.items() if at_s > since_s}
        self._write(counted | recent)

    def _crashes(self) -> Iterator[Crash]:
        """Yield all crashes that this node counts."""
        yield from self._state.quarantine.crashes()
        for part, start_id in self._state.part_quarantine.crashes():
            yield part_subject(part), start_id

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
        """Write as many rows as one transaction may hold; returns False if the store did not accept it."""
        batch = dict(list(self._unwritten.items())[:MAX_TRANSACTION_ROWS])
        puts = tuple(Put(key, self._row_value(key)) for key, is_put in batch.items() if is_put)
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

    def _row_value(self, key: str) -> str:
        subject, start_id = parse_crash_key(key)
        part = part_of(subject)
        if part is None:
            return self._state.node
        happened_s = self._state.part_quarantine.happened_s(part, start_id)
        row = PartCrashRow(self._state.node, happened_s if happened_s is not None else self._store_time_s())
        return msgspec.json.encode(row).decode()

    def _sweep(self, now_s: float) -> None:
        """Remove expired crashes from the counts; for each row, one node deletes it from the store."""
        expired = self._state.quarantine.remove_expired(now_s)
        for part, start_id in self._state.part_quarantine.remove_expired(now_s):
            expired.append((part_subject(part), start_id))
        for subject, start_id in expired:
            key = crash_key(subject, start_id)
            if self._is_owner(subject):
                self._write({key: False})
            else:
                self._unwritten.pop(key, None)  # Writing an expired crash would make every node count it again.

    def _is_owner(self, name: str) -> bool:
        """Whether this node, of all members, does what one node must do for a subject or part."""
        members = {*self._member_names(), self._state.node}
        return owner(members, rendezvous_key(name)) == self._state.node

    def _turn_of(self, part: str) -> NodeTurn:
        """Return this node's place in the order in which all members try out a part."""
        members = {*self._member_names(), self._state.node}
        order = owners(members, rendezvous_key(part), len(members))
        return NodeTurn(order.index(self._state.node), len(order))


def _may_have_ended_as_planned(backend: Backend, now_s: float) -> bool:
    """Whether a planned stop may have ended the connections of a back end. One that announces that it leaves serves
    on for longer than the grace."""
    if backend.has_announced_leave:
        return not backend.is_within_leaving_grace(LEAVING_GRACE_S, now_s)
    return backend.may_have_left(now_s) and not backend.superseded


def _log_quarantined_part(quarantined: QuarantinedPart) -> None:
    emit(Event.PART_QUARANTINED, part=quarantined.part, crashed=",".join(sorted(quarantined.crashed)))


def _log_released_part(part: str) -> None:
    emit(Event.PART_RELEASED, part=part)
