"""The store of a run: an address for each node, and entries of workers that heartbeats keep.

Relies on :class:`wallwell.emulator.platform_store.PlatformStoreEmulator` for the store's calls and faults.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
from collections import deque
from dataclasses import fields
from pathlib import Path

import msgspec

from wallwell.background import BackgroundTasks
from wallwell.cluster.peer_link import PeerServer
from wallwell.emulator.platform_store import PlatformStoreEmulator, StoreCopy, StoreSwitches
from wallwell.platform import names
from wallwell.soak.control import (
    Announcement,
    Done,
    Farewell,
    ForgetHistory,
    Heartbeat,
    PutOddRow,
    PutRow,
    ReadRow,
    RestoreStore,
    RowText,
    SpoilEntry,
    SwitchStore,
    announce,
)
from wallwell.soak.history import HistoryWriter, WorkerState

UNREADABLE_ENTRY = base64.b64encode(b"{").decode()
"""What another writer leaves in an entry if nothing else is asked for, as it stands on the wire."""
SILENT_HEARTBEATS = 3
"""Heartbeats without which an entry goes."""
COPY_PERIOD_S = 0.25
"""Seconds between two copies of the store."""
COPIES_KEPT = 40
"""Newest copies kept: ten seconds of them, more than any restore goes back."""
WRITTEN_AGAIN_S = (0.0, 0.6)
"""Range of seconds after a restore in which the operator writes each row again that the copy lacks."""
SWITCHES = frozenset(field.name for field in fields(StoreSwitches))


class StoreSettings(msgspec.Struct, frozen=True):
    """Settings of the store's process: an address of its own for each node, so that it knows who calls."""

    history: str
    hosts: tuple[str, ...]
    heartbeat_s: float


class StoreWithOddRows(PlatformStoreEmulator):
    """A store that keeps whatever another writer leaves there."""

    def put_on_wire(self, table: str, key: str, value: str) -> None:
        """Write a row whose value goes to readers as it is."""
        self.put(table, key, "")
        self.rows[(table, key)] = (value, self.version)


class StoreProcess:
    """The emulated store, with messages of the run and of workers."""

    def __init__(self, settings: StoreSettings) -> None:
        self._settings = settings
        self._history = HistoryWriter(Path(settings.history))
        self.store = StoreWithOddRows(read_only_tables=frozenset((names.BACKENDS_TABLE, names.OPERATOR_TABLE)))
        self._entries: dict[str, dict[str, object]] = {}
        self._last_heartbeat_s: dict[str, float] = {}
        self._operators_rows: dict[tuple[str, str], str] = {}
        self._odd_keys: set[str] = set()
        """Keys of entries that no heartbeat keeps."""
        self._copies: deque[tuple[float, StoreCopy]] = deque(maxlen=COPIES_KEPT)
        self._unconfirmed: set[str] = set()
        """Workers that have not been heard since the last restore: their entries may be older or missing."""
        self._writing_again = BackgroundTasks()
        self._control = PeerServer(
            {
                SwitchStore: self._switch,
                ForgetHistory: self._forget,
                PutRow: self._put,
                PutOddRow: self._put_odd,
                ReadRow: self._read,
                RestoreStore: self._restore,
                SpoilEntry: self._spoil,
                Heartbeat: self._heartbeat,
                Farewell: self._farewell,
            }
        )

    async def start(self) -> None:
        """Listen, and let entries go whose workers are silent."""
        await self.store.start(self._settings.hosts)
        await self._control.start("127.0.0.1", 0)
        self._expiry = asyncio.create_task(self._expire())
        self._copying = asyncio.create_task(self._copy())
        announce(Announcement(self.store.addresses, self._control.address))

    async def _switch(self, request: SwitchStore) -> Done:
        for name, value in request.changes.items():
            if name not in SWITCHES:
                raise ValueError(f"no switch {name}")
            setattr(self.store, name, tuple(value) if isinstance(value, list) else value)
        return Done()

    async def _forget(self, _request: ForgetHistory) -> Done:
        self.store.forget_history()
        return Done()

    async def _put(self, request: PutRow) -> Done:
        self._operators_rows[request.table, request.key] = request.text
        self.store.put(request.table, request.key, request.text)
        return Done()

    async def _put_odd(self, request: PutOddRow) -> Done:
        if request.table == names.BACKENDS_TABLE:
            self._odd_keys.add(request.key)
        self.store.put_on_wire(request.table, request.key, request.value)
        return Done()

    async def _read(self, request: ReadRow) -> RowText:
        return RowText(self.store.value(request.table, request.key))

    async def _copy(self) -> None:
        while True:
            if not self.store.refuse_status:
                self._copies.append((asyncio.get_running_loop().time(), self.store.copy()))
            await asyncio.sleep(COPY_PERIOD_S)

    async def _restore(self, request: RestoreStore) -> Done:
        made_s = asyncio.get_running_loop().time() - request.age_s
        older = [copy for at_s, copy in self._copies if at_s <= made_s]
        self.store.restore(older[-1] if older else self._copies[0][1])
        self._copies.clear()
        self._copies.append((asyncio.get_running_loop().time(), self.store.copy()))
        listed = {key for table, key in self.store.rows if table == names.BACKENDS_TABLE}
        self._unconfirmed = listed | set(self._entries)
        now_s = asyncio.get_running_loop().time()
        for worker in listed - self._odd_keys:
            self._last_heartbeat_s.setdefault(worker, now_s)
        for table, key in self._operators_rows:
            self._writing_again.start(self._write_again(table, key))
        return Done()

    async def _write_again(self, table: str, key: str) -> None:
        await asyncio.sleep(random.uniform(*WRITTEN_AGAIN_S))
        text = self._operators_rows[table, key]
        if self.store.value(table, key) != text:
            self.store.put(table, key, text)

    async def _spoil(self, request: SpoilEntry) -> Done:
        """Write an entry that names no worker, or the worker's own again, unless that has gone meanwhile."""
        entry = self._entries.get(request.worker)
        if entry is not None:
            if request.is_spoilt:
                self.store.put_on_wire(names.BACKENDS_TABLE, request.worker, request.value or UNREADABLE_ENTRY)
            else:
                self.store.put(names.BACKENDS_TABLE, request.worker, json.dumps(entry))
            self._record(request.worker, "gone" if request.is_spoilt else str(entry["state"]))
        return Done()

    async def _heartbeat(self, request: Heartbeat) -> Done:
        if self.store.refuse_status or self.store.silent:
            return Done()  # A store that is down takes no heartbeat.
        worker, entry = request.worker, request.entry
        self._last_heartbeat_s[worker] = asyncio.get_running_loop().time()
        known = self._entries.get(worker)
        is_changed = known is None or {**known, "seq": 0} != {**entry, "seq": 0}
        if is_changed or worker in self._unconfirmed:
            self.store.put(names.BACKENDS_TABLE, worker, json.dumps(entry))
        if is_changed:
            self._entries[worker] = entry
            self._record(worker, str(entry["state"]))
        self._unconfirmed.discard(worker)
        return Done()

    async def _farewell(self, request: Farewell) -> Done:
        self._remove(request.worker)
        return Done()

    async def _expire(self) -> None:
        bound_s = SILENT_HEARTBEATS * self._settings.heartbeat_s
        while True:
            await asyncio.sleep(self._settings.heartbeat_s / 2)
            now_s = asyncio.get_running_loop().time()
            for worker in [
                worker for worker, beaten_s in self._last_heartbeat_s.items() if now_s - beaten_s > bound_s
            ]:
                self._remove(worker)

    def _remove(self, worker: str) -> None:
        self._unconfirmed.discard(worker)
        self._last_heartbeat_s.pop(worker, None)
        if (names.BACKENDS_TABLE, worker) in self.store.rows:
            self.store.put(names.BACKENDS_TABLE, worker, None)
        if worker in self._entries:
            self._record(worker, "gone")
            del self._entries[worker]

    def _record(self, worker: str, state: str) -> None:
        entry = self._entries[worker]
        now_s = asyncio.get_running_loop().time()
        software = str(entry.get("version", ""))
        self._history.add(WorkerState(now_s, worker, str(entry["service"]), software, state))
