"""The back ends of every service as the store lists them, with what this node has observed of each. Pure."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from wallwell.routing.health.silence import Silence

FIRST_SUSPENSION_S = 0.6
MAX_SUSPENSION_S = 4.0
FAILURES_TO_SUSPEND = 2
MAX_SUPERSEDED_KNOWN = 1000
"""Superseded incarnations remembered; entries of ended ones stay for seconds only."""
ANSWERING_S = 1.5
"""How long an answer shows that a back end works."""


@dataclass(frozen=True)
class BackendRecord:
    """One incarnation of a back end as the store lists it. ``versions`` maps models to weights versions.

    ``software`` is the version of the service that it runs. ``slow_for_s`` is how much longer it stays slow after
    its start, as of the entry's writing.
    """

    incarnation: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    versions: Mapping[str, int] = field(default_factory=dict)
    software: str = ""
    slow_for_s: float = field(default=0.0, compare=False)
    """Falls with each heartbeat; a back end is not logged as changed for that."""


@dataclass(frozen=True)
class LoadInProgress:
    """Weights to be loaded, believed until the version is seen in place or ``until_s`` has passed.

    The engine takes requests until ``from_s``, when its order is given.
    """

    model: str
    version: int
    until_s: float
    from_s: float = float("-inf")


@dataclass(eq=False)
class Backend:
    """A listed back end and this node's own observations of it. Times are on this node's clock.

    Compared by identity: each choice of an engine looks some thousand times whether one is in a list.
    """

    record: BackendRecord
    in_flight: int = 0
    load: int = 0
    """This node's requests under way, long prompts counted several times."""
    peers_load: int | None = None
    """The same of all other nodes as they told lately; None if they are not heard."""
    consecutive_failures: int = 0
    suspended_until_s: float = 0.0
    last_success_s: float = float("-inf")
    slow_until_s: float = float("-inf")
    """Until when it is slow from its start."""
    versions: dict[str, int] = field(default_factory=dict)
    """Weights version believed to be in place, per model."""
    loading: LoadInProgress | None = None
    gone: bool = False
    superseded: bool = False
    """Whether a later incarnation has been listed at its address, so that this one has ended."""
    lapses_at_s: float | None = None
    """When it counts as gone unless it is listed again; None if it is listed."""
    silence: Silence = field(default_factory=Silence)

    @property
    def incarnation(self) -> str:
        """The identity of this life of the back end."""
        return self.record.incarnation

    def fleet_load(self, nodes: int = 1) -> int:
        """Return the requests of all nodes under way; unheard nodes are taken to send as much as this one."""
        return self.load * nodes if self.peers_load is None else self.load + self.peers_load

    def is_open(self, now_s: float) -> bool:
        """Whether the back end may get new requests."""
        return not (self.is_leaving(now_s) or now_s < self.suspended_until_s)

    def is_leaving(self, now_s: float) -> bool:
        """Whether it is draining, gone or superseded."""
        has_lapsed = self.lapses_at_s is not None and now_s >= self.lapses_at_s
        return self.gone or self.superseded or self.record.draining or has_lapsed

    def is_loading(self, now_s: float) -> bool:
        """Whether an order to load weights is believed to be under way."""
        return self.loading is not None and now_s >= self.loading.from_s and self.is_about_to_load(now_s)

    def expect_load(self, load: LoadInProgress, now_s: float) -> None:
        """Believe in a load to come; word of the same one again does not put its beginning off."""
        known = self.loading
        if (
            known is not None
            and now_s < known.until_s
            and (known.model, known.version) == (load.model, load.version)
        ):
            load = replace(load, from_s=min(load.from_s, known.from_s))
        self.loading = load

    def is_about_to_load(self, now_s: float) -> bool:
        """Whether an order to load weights is believed to be under way or to come at any moment."""
        load = self.loading
        return load is not None and now_s < load.until_s and self.believed_version(load.model) < load.version

    def on_success(self, now_s: float) -> None:
        """The back end answered."""
        self.consecutive_failures = 0
        self.last_success_s = now_s

    def is_answering(self, now_s: float) -> bool:
        """Whether it has answered this node lately, so that a silence means that it is busy."""
        return now_s - self.last_success_s < ANSWERING_S

    def on_failure(self, now_s: float, unreachable: bool) -> bool:
        """Note a failure; returns True if the back end is now suspended.

        An unreachable back end is suspended at once, with a pause that doubles; another one after consecutive
        failures only, since some of its requests still succeed.
        """
        self.consecutive_failures += 1
        threshold = 1 if unreachable else FAILURES_TO_SUSPEND
        if self.consecutive_failures < threshold:
            return False
        doublings = min(self.consecutive_failures - threshold, 6)
        pause_s = min(MAX_SUSPENSION_S, FIRST_SUSPENSION_S * (1 << doublings))
        self.suspended_until_s = now_s + pause_s
        return True

    def believed_version(self, model: str) -> int:
        """Weights version to expect; 0 if nothing is known of the model."""
        return self.versions.get(model, 0)

    def learn_version(self, model: str, version: int) -> None:
        """Take a version that the back end itself has told."""
        self.versions[model] = version


class BackendRegistry:
    """Back ends by incarnation, reconciled with the rows of the store."""

    def __init__(self) -> None:
        self._superseded: dict[str, None] = {}
        """Superseded incarnations in the order of their ends; their entries may lapse and come back."""
        self._by_incarnation: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._by_address: dict[str, list[Backend]] = {}

    def __len__(self) -> int:
        return len(self._by_incarnation)

    def get(self, incarnation: str) -> Backend | None:
        """Return a listed back end."""
        return self._by_incarnation.get(incarnation)

    def all(self) -> Iterable[Backend]:
        """Every listed back end."""
        return self._by_incarnation.values()

    def of_service(self, service: str) -> list[Backend]:
        """Listed back ends of a service, in the order of their identities."""
        return self._by_service.get(service, [])

    def own_loads(self) -> dict[str, int]:
        """This node's requests under way by back end, without the idle ones."""
        return {incarnation: each.load for incarnation, each in self._by_incarnation.items() if each.load}

    def learn_peer_loads(self, loads: Mapping[str, int]) -> None:
        """Take what all other nodes have under way."""
        for incarnation, backend in self._by_incarnation.items():
            backend.peers_load = loads.get(incarnation, 0)

    def forget_peer_loads(self) -> None:
        """Other nodes have not been heard for too long."""
        for backend in self._by_incarnation.values():
            backend.peers_load = None

    def upsert(self, record: BackendRecord) -> Backend:
        """Take a new or changed entry; observations of the same incarnation are kept."""
        backend = self._by_incarnation.get(record.incarnation)
        if backend is None:
            backend = Backend(record, superseded=record.incarnation in self._superseded)
            if not backend.superseded:
                self._supersede_at(record.address)
            self._add(backend)
        elif not record.versions:
            record = BackendRecord(**{**record.__dict__, "versions": backend.record.versions})
        if record.versions != backend.record.versions or not backend.versions:
            backend.versions = dict(record.versions)
        if (record.service, record.address) != (backend.record.service, backend.record.address):
            self._drop(backend)
            backend.record = record
            self._add(backend)
        backend.record = record
        backend.lapses_at_s = None
        return backend

    def _supersede_at(self, address: str) -> None:
        """A new incarnation is listed at an address: those listed there before have ended.

        The entry of one that crashed stays for some heartbeats, and requests for it are refused by its successor.
        """
        for each in self._by_address.get(address, ()):
            if not each.superseded:
                each.superseded = True
                self._superseded[each.incarnation] = None
        while len(self._superseded) > MAX_SUPERSEDED_KNOWN:
            del self._superseded[next(iter(self._superseded))]

    def _restore_at(self, address: str) -> None:
        """An entry went: if only superseded ones are left at its address, they have not ended after all.

        A node that starts knows the order of two incarnations only by when their entries were written.
        """
        left = self._by_address.get(address, [])
        if all(each.superseded for each in left):
            for each in left:
                each.superseded = False
                self._superseded.pop(each.incarnation, None)

    def lapse(self, incarnation: str, at_s: float) -> None:
        """The entry is missing, but may come back until ``at_s``; the first such time counts."""
        backend = self._by_incarnation.get(incarnation)
        if backend is not None and backend.lapses_at_s is None:
            backend.lapses_at_s = at_s

    def remove_lapsed(self, now_s: float) -> list[Backend]:
        """Remove and return the back ends whose entries have not come back."""
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
            self._drop(backend)
            backend.gone = True
            self._restore_at(backend.record.address)

    def unnamed(self, incarnations: set[str]) -> list[Backend]:
        """Return the back ends that a whole listing does not name."""
        return [each for known, each in self._by_incarnation.items() if known not in incarnations]

    # --- indices, kept up with each change: entries change with every heartbeat of a back end that starts ---------

    def _add(self, backend: Backend) -> None:
        self._by_incarnation[backend.incarnation] = backend
        bisect.insort(self._by_service.setdefault(backend.record.service, []), backend, key=_identity)
        self._by_address.setdefault(backend.record.address, []).append(backend)

    def _drop(self, backend: Backend) -> None:
        del self._by_incarnation[backend.incarnation]
        for index, key in ((self._by_service, backend.record.service), (self._by_address, backend.record.address)):
            left = [each for each in index[key] if each is not backend]
            if left:
                index[key] = left
            else:
                del index[key]


def _identity(backend: Backend) -> str:
    return backend.incarnation
