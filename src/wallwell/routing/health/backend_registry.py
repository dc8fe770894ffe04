"""The back ends of every service by incarnation, reconciled with the rows of the store. Pure.

Owns which incarnations are listed, superseded or lapsed; what was observed of each is in :mod:`.backend`. Relies on
rows being applied in the order of the store, by ``node/backend_rows.py``. A back end whose entry is missing stays
for some time, since entries go and return with a single missed heartbeat.
"""

from __future__ import annotations

import bisect
import dataclasses
from collections.abc import Iterable, Mapping

from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import Backend

MAX_SUPERSEDED_REMEMBERED = 1000
"""Superseded incarnations remembered. Entries of ended ones stay for seconds, in which far fewer end."""
MAX_LEAVING_REMEMBERED = 1000
"""Leaving back ends remembered, listed or not. An entry that lapsed may return some seconds later, in which far
fewer leave."""
MAX_GONE_REMEMBERED = 1000
"""Back ends remembered whose entries have gone. A store that comes back from a copy some seconds old may list those
that went meanwhile, and far fewer go in that time."""


class BackendRegistry:
    """Back ends by incarnation, reconciled with the rows of the store."""

    def __init__(self) -> None:
        self._superseded: dict[str, None] = {}
        """Superseded incarnations in the order of their ends; their entries may lapse and be listed again."""
        self._leaving_since_s: dict[tuple[str, int | None], float] = {}
        """When starts of back ends were first known to leave, in that order. Kept beyond their entries: one that
        lapsed while the store was away may be listed again as it was."""
        self._gone: dict[tuple[str, int | None], None] = {}
        """Starts of back ends that were removed and have not been listed again, in that order."""
        self._by_incarnation: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._by_address: dict[str, list[Backend]] = {}

    def __len__(self) -> int:
        return len(self._by_incarnation)

    def get(self, incarnation: str) -> Backend | None:
        """Return a listed back end."""
        return self._by_incarnation.get(incarnation)

    def all_backends(self) -> Iterable[Backend]:
        """Every listed back end."""
        return self._by_incarnation.values()

    def backends_of_service(self, service: str) -> list[Backend]:
        """Listed back ends of a service, in the order of their identities."""
        return self._by_service.get(service, [])

    def own_loads(self) -> dict[str, int]:
        """This node's requests in flight by back end, without the idle ones."""
        return {incarnation: each.load for incarnation, each in self._by_incarnation.items() if each.load}

    def set_peer_loads(self, loads: Mapping[str, int]) -> None:
        """Take what all other nodes have in flight; a back end that they do not name has nothing."""
        for incarnation, backend in self._by_incarnation.items():
            backend.peers_load = loads.get(incarnation, 0)

    def clear_peer_loads(self) -> None:
        """Drop the loads of other nodes: their last report is too old."""
        for backend in self._by_incarnation.values():
            backend.peers_load = None

    def upsert(self, record: BackendRecord) -> Backend:
        """Take a new or changed entry; observations of the same start of a back end are kept.

        A later start under the same identity knows nothing of the one before, and nothing observed of that one
        holds for it. An entry of an earlier start changes nothing.
        """
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
        """Add a start of a back end; ``earlier`` is the one before it under its identity."""
        leaving_since_s = self._leaving_since_s.get(_start_key(record))
        if earlier is not None:
            self._remove_from_indices(earlier)
            earlier.gone = earlier.superseded = True
            if record.draining and leaving_since_s is None:
                # Its answers may have said so while its entry still was that of the earlier start.
                leaving_since_s = earlier.leaving_since_s
        is_superseded = record.incarnation in self._superseded
        backend = Backend(record, superseded=is_superseded, leaving_since_s=leaving_since_s)
        if not is_superseded:
            self._supersede_at(record.address)
        self._gone.pop(_start_key(record), None)
        self._add_to_indices(backend)
        return backend

    def on_leaving(self, backend: Backend, now_s: float) -> bool:
        """A back end is known to leave, by its entry or an answer; returns False if that was known.

        Its service gets a new list, as with any change of its entry: groups of a rollout are formed anew.
        """
        if backend.leaving_since_s is not None:
            return False
        backend.leaving_since_s = now_s
        self._leaving_since_s[_start_key(backend.record)] = now_s
        if len(self._leaving_since_s) > MAX_LEAVING_REMEMBERED:
            del self._leaving_since_s[next(iter(self._leaving_since_s))]
        service = backend.record.service
        self._by_service[service] = list(self._by_service[service])
        return True

    def _supersede_at(self, address: str) -> None:
        """A new incarnation is listed at an address: those listed there before have ended.

        The entry of one that crashed stays for some heartbeats, and requests for it are refused by its successor.
        """
        for each in self._by_address.get(address, ()):
            if not each.superseded:
                each.superseded = True
                self._superseded[each.incarnation] = None
        while len(self._superseded) > MAX_SUPERSEDED_REMEMBERED:
            del self._superseded[next(iter(self._superseded))]

    def _restore_superseded_at(self, address: str) -> None:
        """An entry went: if only superseded ones are left at its address, they have not ended after all.

        A node that starts knows the order of two incarnations only by when their entries were written.
        """
        remaining = self._by_address.get(address, [])
        if all(each.superseded for each in remaining):
            for each in remaining:
                each.superseded = False
                self._superseded.pop(each.incarnation, None)

    def lapse(self, incarnation: str, at_s: float) -> None:
        """The entry is missing, but may be listed again until ``at_s``; the earliest such time counts."""
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
        """The entry is gone: the back end gets nothing new."""
        backend = self._by_incarnation.get(incarnation)
        if backend is not None:
            self._remove_from_indices(backend)
            backend.gone = True
            self._gone[_start_key(backend.record)] = None
            if len(self._gone) > MAX_GONE_REMEMBERED:
                del self._gone[next(iter(self._gone))]
            self._restore_superseded_at(backend.record.address)

    def is_gone(self, record: BackendRecord) -> bool:
        """Whether this start of a back end was listed and its entry has gone since."""
        return _start_key(record) in self._gone

    def missing_from(self, incarnations: set[str]) -> list[Backend]:
        """Return the back ends that a whole listing does not name."""
        return [each for incarnation, each in self._by_incarnation.items() if incarnation not in incarnations]

    # --- indices, kept up with each change: entries change with every heartbeat of a back end that starts ---------

    def _add_to_indices(self, backend: Backend) -> None:
        self._by_incarnation[backend.incarnation] = backend
        bisect.insort(self._by_service.setdefault(backend.record.service, []), backend, key=_incarnation_of)
        self._by_address.setdefault(backend.record.address, []).append(backend)

    def _remove_from_indices(self, backend: Backend) -> None:
        del self._by_incarnation[backend.incarnation]
        for index, key in ((self._by_service, backend.record.service), (self._by_address, backend.record.address)):
            remaining = [each for each in index[key] if each is not backend]
            if remaining:
                index[key] = remaining
            else:
                del index[key]


def _fill_from_previous(record: BackendRecord, previous: BackendRecord) -> BackendRecord:
    """Return an entry with what it leaves out and the one before it said."""
    versions = record.versions or previous.versions
    started = previous.started_unix_ms if record.started_unix_ms is None else record.started_unix_ms
    if versions is record.versions and started == record.started_unix_ms:
        return record
    return dataclasses.replace(record, versions=versions, started_unix_ms=started)


def _newest_versions(listed: Mapping[str, int], believed: Mapping[str, int]) -> dict[str, int]:
    """Return the weights versions of the listed models. Those of one start never fall: a lower one is old news."""
    return {model: max(version, believed.get(model, 0)) for model, version in listed.items()}


def _start_key(record: BackendRecord) -> tuple[str, int | None]:
    return record.incarnation, record.started_unix_ms


def _incarnation_of(backend: Backend) -> str:
    return backend.incarnation
