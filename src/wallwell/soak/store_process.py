"""The store of a run: an address for each node, and entries of workers that heartbeats keep.

Relies on :class:`wallwell.emulator.platform_store.PlatformStoreEmulator` for the store's calls and faults.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import fields
from pathlib import Path

import msgspec

from wallwell.cluster.peer_link import PeerServer
from wallwell.emulator.platform_store import PlatformStoreEmulator, StoreSwitches
from wallwell.platform import names
from wallwell.soak.control import (
    Announcement,
    Done,
    Farewell,
    ForgetHistory,
    Heartbeat,
    PutRow,
    ReadRow,
    RowText,
    SpoilEntry,
    SwitchStore,
    announce,
)
from wallwell.soak.history import HistoryWriter, WorkerState

UNREADABLE_ENTRY = "{"
"""What another writer leaves in an entry."""
SILENT_HEARTBEATS = 3
"""Heartbeats without which an entry goes."""
SWITCHES = frozenset(field.name for field in fields(StoreSwitches))


class StoreSettings(msgspec.Struct, frozen=True):
    """Settings of the store's process: an address of its own for each node, so that it knows who calls."""

    history: str
    hosts: tuple[str, ...]
    heartbeat_s: float


class StoreProcess:
    """The emulated store, with messages of the run and of workers."""

    def __init__(self, settings: StoreSettings) -> None:
        self._settings = settings
        self._history = HistoryWriter(Path(settings.history))
        self.store = PlatformStoreEmulator(closed_tables=frozenset((names.BACKENDS_TABLE, names.OPERATOR_TABLE)))
        self._entries: dict[str, dict[str, object]] = {}
        self._last_heartbeat_s: dict[str, float] = {}
        self._control = PeerServer(
            {
                SwitchStore: self._switch,
                ForgetHistory: self._forget,
                PutRow: self._put,
                ReadRow: self._read,
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
        self.store.put(request.table, request.key, request.text)
        return Done()

    async def _read(self, request: ReadRow) -> RowText:
        return RowText(self.store.value(request.table, request.key))

    async def _spoil(self, request: SpoilEntry) -> Done:
        """Write an entry that names no worker, or the worker's own again, unless that has gone meanwhile."""
        entry = self._entries.get(request.worker)
        if entry is not None:
            text = UNREADABLE_ENTRY if request.is_spoilt else json.dumps(entry)
            self.store.put(names.BACKENDS_TABLE, request.worker, text)
            self._record(request.worker, "gone" if request.is_spoilt else str(entry["state"]))
        return Done()

    async def _heartbeat(self, request: Heartbeat) -> Done:
        if self.store.refuse_status or self.store.silent:
            return Done()  # A store that is down takes no heartbeat.
        worker, entry = request.worker, request.entry
        self._last_heartbeat_s[worker] = asyncio.get_running_loop().time()
        known = self._entries.get(worker)
        if known is None or {**known, "seq": 0} != {**entry, "seq": 0}:
            self._entries[worker] = entry
            self.store.put(names.BACKENDS_TABLE, worker, json.dumps(entry))
            self._record(worker, str(entry["state"]))
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
        if self._entries.get(worker) is None:
            return
        self.store.put(names.BACKENDS_TABLE, worker, None)
        self._record(worker, "gone")
        del self._entries[worker], self._last_heartbeat_s[worker]

    def _record(self, worker: str, state: str) -> None:
        entry = self._entries[worker]
        now_s = asyncio.get_running_loop().time()
        software = str(entry.get("version", ""))
        self._history.add(WorkerState(now_s, worker, str(entry["service"]), software, state))
