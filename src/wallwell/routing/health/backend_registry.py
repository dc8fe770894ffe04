"""Registry of the back ends of every service, reconciled with the rows of the store. Pure.

Owns which incarnations are listed, superseded or lapsed; observations of each are in :mod:`.backend`. Relies on
``node/backend_rows.py`` to apply rows in the order of the store. A back end whose entry is missing stays registered
for some time, since a single missed heartbeat removes an entry and the next one restores it.
"""

from __future__ import annotations

import bisect
import dataclasses
from collections.abc import Iterable, Mapping
from typing import TypeVar

from wallwell.address import Address
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import MAX_UNLISTED_STARTS, UNLISTED_SEPARATOR, Backend

Key = TypeVar("Key", str, Address)
"""Key of an index of back ends: a service or an address."""

MAX_SUPERSEDED_REMEMBERED = 1000
"""Superseded incarnations remembered. Entries of ended ones remain for seconds, in which far fewer end."""
MAX_LEAVING_REMEMBERED = 1000
"""Leaving back ends remembered, listed or not. A lapsed entry may return some seconds later, and far fewer leave in
that time."""
NEXT_START_LISTED_S = 6.0
"""Seconds after a crash within which the next start of a back end is listed, or its entry has gone: three
heartbeats, and those until the entry of a start that began last is written."""
MAX_GONE_REMEMBERED = 1000
"""Removed back ends remembered. A store restored from a copy some seconds old may list back ends that were removed
since the copy; far fewer are removed in that time."""


class BackendRegistry:
    """The listed back ends, indexed by incarnation, service and address."""

    def __init__(self) -> None:
        self._superseded: dict[str, None] = {}
        """Superseded incarnations, oldest first; their entries may lapse and be listed again."""
        self._leaving_since_s: dict[tuple[str, int | None], float] = {}
        """When this node learned that a start of a back end is leaving, oldest first. Kept after the entry is
        removed: one that lapsed while the store was unavailable may be listed again without the announcement."""
        self._gone: dict[tuple[str, int | None], None] = {}
        """Starts of back ends that were removed and not listed again, oldest first."""
        self._crashed: dict[str, Backend] = {}
        """Listed back ends by incarnation whose start has crashed, until the next one is listed."""
        self._by_incarnation: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._by_address: dict[Address, list[Backend]] = {}

    def __len__(self) -> int:
        return len(self._by_incarnation)

    def get(self, incarnation: str) -> Backend | None:
        """Return a listed back end; None if the incarnation is not listed."""
        return self._by_incarnation.get(incarnation)

    def all_backends(self) -> Iterable[Backend]:
        """Return every listed back end."""
        return self._by_incarnation.values()

    def backends_of_service(self, service: str) -> list[Backend]:
        """Return the listed back ends of a service, sorted by incarnation."""
        return self._by_service.get(service, [])

    def services(self) -> list[str]:
        """Return the services that have listed back ends."""
        return list(self._by_service)

    def own_loads(self) -> dict[str, int]:
        """Return this node's load on each back end by incarnation, in load units, without idle ones."""
        return {incarnation: each.load for incarnation, each in self._by_incarnation.items() if each.load}

    def on_peer_loads(self, loads: Mapping[str, int]) -> None:
        """Set the load of all other nodes by incarnation; a back end that is not named has none."""
        for incarnation, backend in self._by_incarnation.items():
            backend.peers_load = loads.get(incarnation, 0)

    def forget_peer_loads(self) -> None:
        """Discard the loads of other nodes because the last report is too old."""
        for backend in self._by_incarnation.values():
            backend.peers_load = None

    def upsert(self, record: BackendRecord) -> Backend:
        """Apply a new or changed entry and return its back end; observations of the same start are kept. A later
        start under the same incarnation is a new back end without observations. An entry of an earlier start is
        ignored."""
        backend = self._by_incarnation.get(record.incarnation)
        if backend is not None and backend.record.is_later_start_than(record):
            return backend
        if backend is None or record.is_later_start_than(backend.record):
            backend = self._add_start(record, backend)
        else:
            record = _fill_from_previous(record, backend.record)
        if record.versions != backend.record.versions or not backend.versions:
            backend.versions = _newest_versions(record.versions, backend.versions)
        if (record.service, record.address) != (backend.record.service, backend.record.address):
            self._remove_from_indices(backend)
            backend.record = record
            self._add_to_indices(backend)
        backend.record = record
        backend.lapses_at_s = None
        return backend

    def _add_start(self, record: BackendRecord, earlier: Backend | None) -> Backend:
        """Add a start of a back end; ``earlier`` is the previous start under the same incarnation."""
        leaving_since_s = self._leaving_since_s.get(_start_key(record))
        if earlier is not None:
            self._remove_from_indices(earlier)
            earlier.gone = earlier.superseded = True
            if record.draining and leaving_since_s is None:
                # Its answers may have announced that it is leaving while the listed entry was the earlier start's.
                leaving_since_s = earlier.leaving_since_s
        is_superseded = record.incarnation in self._superseded
        backend = Backend(record, superseded=is_superseded, leaving_since_s=leaving_since_s)
        if not is_superseded:
            self._supersede_at(record.address)
        self._gone.pop(_start_key(record), None)
        self._add_to_indices(backend)
        return backend

    def on_leaving(self, backend: Backend, now_s: float) -> bool:
        """Record that a back end announced, by entry or answer, that it is leaving; False if known before. Its
        service gets a new list, as after any change of an entry, so that rollouts form their groups again."""
        if backend.leaving_since_s is not None:
            return False
        backend.leaving_since_s = now_s
        self._leaving_since_s[_start_key(backend.record)] = now_s
        if len(self._leaving_since_s) > MAX_LEAVING_REMEMBERED:
            del self._leaving_since_s[next(iter(self._leaving_since_s))]
        service = backend.record.service
        self._by_service[service] = list(self._by_service[service])
        return True

    def on_crashed(self, start_id: str, now_s: float) -> None:
        """Record that a start of a back end has crashed, unless a later one is listed or none."""
        backend, number = self._listed_start(start_id)
        if backend is None:
            return
        backend.on_crashed(number, now_s)
        self._crashed[backend.incarnation] = backend

    def _listed_start(self, start_id: str) -> tuple[Backend | None, int]:
        """Return the listed start with an identity and 0, or the one before it and its number if it is unlisted."""
        backend = self._with_start_id(start_id)
        if backend is not None:
            return backend, 0
        listed_id, _, number = start_id.rpartition(UNLISTED_SEPARATOR)
        if not (number.isascii() and number.isdecimal() and len(number) < len(str(MAX_UNLISTED_STARTS))):
            return None, 0
        return self._with_start_id(listed_id), int(number)

    def _with_start_id(self, start_id: str) -> Backend | None:
        # A start's identity is the incarnation, followed by its time if it states one.
        backend = self.get(start_id) or self.get(start_id.rpartition("@")[0])
        return backend if backend is not None and backend.start_id == start_id else None

    def on_listing_confirmed(self, confirmed_at_s: float) -> None:
        """Believe the entries of crashed back ends again for which no later start was listed in time: the process
        of an entry that stays goes on sending heartbeats. ``confirmed_at_s`` is when the store confirmed the
        listing."""
        for incarnation, backend in list(self._crashed.items()):
            if self.get(incarnation) is not backend:
                del self._crashed[incarnation]
            elif backend.crashed_at_s is None or confirmed_at_s >= backend.crashed_at_s + NEXT_START_LISTED_S:
                backend.crash_times_s.clear()
                del self._crashed[incarnation]

    def _supersede_at(self, address: Address) -> None:
        """Mark the back ends listed at an address as superseded, because a new incarnation is listed there. The
        entry of a crashed back end remains for some heartbeats, and its successor refuses requests for it."""
        for each in self._by_address.get(address, ()):
            if not each.superseded:
                each.superseded = True
                self._superseded[each.incarnation] = None
        while len(self._superseded) > MAX_SUPERSEDED_REMEMBERED:
            del self._superseded[next(iter(self._superseded))]

    def _restore_superseded_at(self, address: Address) -> None:
        """After the removal of an entry, restore those at its address if all of them are superseded. The removed
        back end did not succeed them after all. A node that starts can order two incarnations only by the times at
        which their entries were written."""
        remaining = self._by_address.get(address, [])
        if all(each.superseded for each in remaining):
            for each in remaining:
                each.superseded = False
                self._superseded.pop(each.incarnation, None)

    def lapse(self, incarnation: str, at_s: float) -> None:
        """Record that an entry is missing and counts as gone from ``at_s`` on; an earlier time stays in force."""
        backend = self._by_incarnation.get(incarnation)
        if backend is not None and (backend.lapses_at_s is None or at_s < backend.lapses_at_s):
            backend.lapses_at_s = at_s

    def remove_lapsed(self, now_s: float) -> list[Backend]:
        """Remove and return the back ends whose entries were not listed again in time."""
        lapsed = [
            each
            for each in self._by_incarnation.values()
            if each.lapses_at_s is not None and now_s >= each.lapses_at_s
        ]
        for each in lapsed:
            self.remove(each.incarnation)
        return lapsed

    def remove(self, incarnation: str) -> None:
        """Remove a back end whose entry was removed; it gets no new requests."""
        backend = self._by_incarnation.get(incarnation)
        if backend is not None:
            self._remove_from_indices(backend)
            backend.gone = True
            self._gone[_start_key(backend.record)] = None
            if len(self._gone) > MAX_GONE_REMEMBERED:
                del self._gone[next(iter(self._gone))]
            self._restore_superseded_at(backend.record.address)

    def is_gone(self, record: BackendRecord) -> bool:
        """Whether this start of a back end was listed and has been removed since."""
        return _start_key(record) in self._gone

    def missing_from(self, incarnations: set[str]) -> list[Backend]:
        """Return the back ends whose incarnations are not in a whole listing."""
        return [each for incarnation, each in self._by_incarnation.items() if incarnation not in incarnations]

    # --- indices, updated incrementally: the entry of a starting back end changes with every heartbeat ------------

    def _add_to_indices(self, backend: Backend) -> None:
        self._by_incarnation[backend.incarnation] = backend
        bisect.insort(self._by_service.setdefault(backend.record.service, []), backend, key=_incarnation_of)
        self._by_address.setdefault(backend.record.address, []).append(backend)

    def _remove_from_indices(self, backend: Backend) -> None:
        del self._by_incarnation[backend.incarnation]
        _remove_from_index(self._by_service, backend.record.service, backend)
        _remove_from_index(self._by_address, backend.record.address, backend)


def _remove_from_index(index: dict[Key, list[Backend]], key: Key, backend: Backend) -> None:
    """Remove a back end from the list under a key; the key goes with the last one."""
    remaining = [each for each in index[key] if each is not backend]
    if remaining:
        index[key] = remaining
    else:
        del index[key]


def _fill_from_previous(record: BackendRecord, previous: BackendRecord) -> BackendRecord:
    """Return an entry with the fields that it omits filled from the previous entry."""
    versions = record.versions or previous.versions
    started = previous.started_unix_ms if record.started_unix_ms is None else record.started_unix_ms
    if versions is record.versions and started == record.started_unix_ms:
        return record
    return dataclasses.replace(record, versions=versions, started_unix_ms=started)


def _newest_versions(listed: Mapping[str, int], believed: Mapping[str, int]) -> dict[str, int]:
    """Return the newest weights version of each listed model. Versions of one start never decrease, so a lower one
    is out of date."""
    return {model: max(version, believed.get(model, 0)) for model, version in listed.items()}


def _start_key(record: BackendRecord) -> tuple[str, int | None]:
    return record.incarnation, record.started_unix_ms


def _incarnation_of(backend: Backend) -> str:
    return backend.incarnation
