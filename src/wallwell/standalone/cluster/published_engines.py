"""Engines of the region as its nodes publish them: who reads which, which serve, which back ends are leaving.

Each engine's events are read by one node, found by rendezvous hashing over the live members; that node publishes
the engine in its member record and the engine's waiting time in its load record. Owns what this node publishes;
relies on :class:`.member_table.MemberTable` for what the others published.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from wallwell.routing.rendezvous import owner, rendezvous_key
from wallwell.standalone.cluster.member_table import MemberTable
from wallwell.standalone.cluster.messages import EngineRecord

WaitingMs = tuple[tuple[int, int], ...]
"""Of each published engine the wait of interactive work and that of any work, in milliseconds."""


class PeerWaiting(NamedTuple):
    """Waiting time in ms of one engine that another node reads; ``version`` is that of its load record."""

    engine: str
    interactive_ms: int
    all_ranks_ms: int
    version: int


class PublishedEngines:
    """Engines of this node's region."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self.waiting_ms: WaitingMs = ()
        """Waiting time of the engines this node reads, in the order of its record."""
        self.leaving_by_machine_list: set[str] = set()
        """Addresses that the platform's machine list declares leaving; only delegates read it."""
        self.leaving_by_engine_status: set[str] = set()
        """Addresses of engines that report to this node that they are leaving."""
        self._assigned: set[str] = set()
        self._assigned_valid_for: tuple[tuple[str, ...], frozenset[str]] = ((), frozenset())
        """Live members and engines for which ``_assigned`` holds."""

    def publish(self, engines: tuple[EngineRecord, ...], waiting_ms: WaitingMs) -> None:
        """Publish the engines this node reads, with incarnations and waiting times."""
        self._table.update_own_record(engines, tuple(sorted(self.own_leaving_addresses)))
        self.waiting_ms = waiting_ms

    def assigned_engines(self, engines: Iterable[str]) -> set[str]:
        """Return the engines whose events this node reads, among the live members of its region.

        Recomputed only when the members or the engines changed: it costs a hash per pair of both.
        """
        alive = tuple(self._table.alive())
        names = frozenset(engines)
        if self._assigned_valid_for != (alive, names):
            self._assigned_valid_for = (alive, names)
            own = self._table.node
            self._assigned = {name for name in names if owner(alive, rendezvous_key(f"reader/{name}")) == own}
        return self._assigned

    def serving_engines(self) -> dict[str, EngineRecord]:
        """Return every serving engine of the region as its reader last published it."""
        found: dict[str, EngineRecord] = {}
        for name in self._table.alive():
            member = self._table.member(name)
            if member is not None:
                found.update({engine.name: engine for engine in member.record.engines})
        return found

    def peer_waiting_ms(self) -> Iterator[PeerWaiting]:
        """Yield the waiting times of engines that other nodes read, where load and record belong together."""
        for member in self._table.others.values():
            load = member.load
            if load.record_version != member.record.version or not member.is_alive:
                continue
            for engine, (interactive_ms, all_ranks_ms) in zip(member.record.engines, load.waiting_ms, strict=False):
                yield PeerWaiting(engine.name, interactive_ms, all_ranks_ms, load.version)

    @property
    def own_leaving_addresses(self) -> set[str]:
        """Addresses of back ends this node itself knows to be leaving."""
        return self.leaving_by_machine_list | self.leaving_by_engine_status

    def leaving_addresses(self) -> set[str]:
        """Return the addresses of back ends that any member, failed ones included, knew to be leaving."""
        found = set(self.own_leaving_addresses)
        for member in self._table.others.values():
            found.update(member.record.leaving)
        return found
