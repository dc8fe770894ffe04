"""Engines of the region as its nodes publish them: their readers, which of them serve, and leaving back ends.

One node reads the events of each engine, chosen by rendezvous hashing over the live members. That node publishes
the engine in its member record and the engine's waiting time in its load record. This module owns what this node
publishes; the published state of other nodes is in :class:`.member_table.MemberTable`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from wallwell.routing.rendezvous import owner, rendezvous_key
from wallwell.standalone.cluster.member_table import MemberTable
from wallwell.standalone.cluster.messages import EngineRecord

WaitingMs = tuple[tuple[int, int], ...]
"""Per published engine: the wait of interactive requests and of requests of any rank, in milliseconds."""


class PeerWaiting(NamedTuple):
    """Waiting times of an engine that another node reads; ``version`` is the version of that node's load record."""

    engine: str
    interactive_ms: int
    all_ranks_ms: int
    version: int


class PublishedEngines:
    """Publishes the engines that this node reads, and lists those of its region."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self.waiting_ms: WaitingMs = ()
        """Waiting times of the engines that this node reads, in the order of its member record."""
        self.leaving_by_machine_list: set[str] = set()
        """Addresses that the platform's machine list declares leaving; only delegates read the list."""
        self.leaving_by_engine_status: set[str] = set()
        """Addresses of engines whose status, as read by this node, is leaving."""
        self._assigned: set[str] = set()
        self._assigned_valid_for: tuple[tuple[str, ...], frozenset[str]] = ((), frozenset())
        """Live members and engines from which ``_assigned`` was computed."""

    def publish(self, engines: tuple[EngineRecord, ...], waiting_ms: WaitingMs) -> None:
        """Publish the engines that this node reads, with their incarnations and waiting times."""
        self._table.update_own_record(engines, tuple(sorted(self.own_leaving_addresses)))
        self.waiting_ms = waiting_ms

    def assigned_engines(self, engines: Iterable[str]) -> set[str]:
        """Return those of ``engines`` whose events this node is to read, by rendezvous hash over the live members.

        Recomputed only when members or engines have changed, since it costs a hash per member and engine.
        """
        alive = tuple(self._table.alive())
        names = frozenset(engines)
        if self._assigned_valid_for != (alive, names):
            self._assigned_valid_for = (alive, names)
            own = self._table.node
            self._assigned = {name for name in names if owner(alive, rendezvous_key(f"reader/{name}")) == own}
        return self._assigned

    def serving_engines(self) -> dict[str, EngineRecord]:
        """Return the serving engines of the region by name, as their readers last published them."""
        found: dict[str, EngineRecord] = {}
        for name in self._table.alive():
            member = self._table.member(name)
            if member is not None:
                found.update({engine.name: engine for engine in member.record.engines})
        return found

    def peer_waiting_ms(self) -> Iterator[PeerWaiting]:
        """Yield the waiting times of engines that other live nodes read, if their load and member records match."""
        for member in self._table.others.values():
            load = member.load
            if load.record_version != member.record.version or not member.is_alive:
                continue
            for engine, (interactive_ms, all_ranks_ms) in zip(member.record.engines, load.waiting_ms, strict=False):
                yield PeerWaiting(engine.name, interactive_ms, all_ranks_ms, load.version)

    @property
    def own_leaving_addresses(self) -> set[str]:
        """Addresses of back ends that are leaving by the machine list or by the status of engines read here."""
        return self.leaving_by_machine_list | self.leaving_by_engine_status

    def leaving_addresses(self) -> set[str]:
        """Return the addresses of back ends that any member, including dead ones, published as leaving."""
        found = set(self.own_leaving_addresses)
        for member in self._table.others.values():
            found.update(member.record.leaving)
        return found
