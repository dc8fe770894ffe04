"""Table of the members of a node's region: their records, loads and statuses, merged from all messages.

Defines which of two statuses of a member wins: the one with the higher incarnation, and within an incarnation the
higher status. Has no I/O and no timers; :mod:`.membership` and :mod:`.probing` update it.
"""

from __future__ import annotations

import math

import msgspec

from wallwell.routing.rendezvous import rendezvous_key
from wallwell.standalone.cluster.members import GossipMember, MemberChange, MembershipTimings
from wallwell.standalone.cluster.messages import DigestEntry, EngineRecord, LoadRecord, MemberRecord, MemberStatus


class MemberTable:
    """This node and the other members of its region. Times are on the caller's clock, in seconds."""

    def __init__(self, own: GossipMember, timings: MembershipTimings) -> None:
        self.own = own
        self.others: dict[str, GossipMember] = {}
        self._timings = timings
        self._changes: list[MemberChange] = []
        self._refutation_pending = False
        self._alive: list[str] | None = None
        """Cached result of :meth:`alive`, None after a status change."""

    @property
    def node(self) -> str:
        """This node's name."""
        return self.own.record.node

    # --- queries ---------------------------------------------------------------------------------------

    def alive(self) -> list[str]:
        """Return the sorted names of this node and of live or suspect members. Callers must not modify the list."""
        if self._alive is None:
            names = [name for name, member in self.others.items() if member.is_alive]
            names.append(self.node)
            names.sort()
            self._alive = names
        return self._alive

    def member(self, name: str) -> GossipMember | None:
        """Return a member or this node by name, None if it is unknown."""
        return self.own if name == self.node else self.others.get(name)

    def address_of(self, name: str) -> str:
        """Return a member's cluster address, empty if the member is unknown."""
        member = self.member(name)
        return member.record.address if member else ""

    def roster_hash(self) -> int:
        """Return a hash of the set of live members."""
        roster = 0
        for name in self.alive():
            roster ^= rendezvous_key(name)
        return roster

    def pop_changes(self) -> list[MemberChange]:
        """Return and clear the status changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def pop_refutation(self) -> bool:
        """Return whether this node refuted a suspicion since the last call, and reset the flag."""
        refuted, self._refutation_pending = self._refutation_pending, False
        return refuted

    # --- own state -------------------------------------------------------------------------------------

    def update_own_record(self, engines: tuple[EngineRecord, ...], leaving: tuple[str, ...]) -> bool:
        """Update this node's member record, which gossip spreads; return whether it changed."""
        record = self.own.record
        if record.engines == engines and record.leaving == leaving:
            return False
        self.own.record = msgspec.structs.replace(
            record, version=record.version + 1, engines=engines, leaving=leaving
        )
        return True

    def update_own_load(self, config_head: int, waiting_ms: tuple[tuple[int, int], ...]) -> bool:
        """Update this node's load record, which gossip spreads; return whether it changed."""
        load = self.own.load
        version = self.own.record.version
        if (load.config_head, load.waiting_ms, load.record_version) == (config_head, waiting_ms, version):
            return False
        self.own.load = LoadRecord(
            self.node, self.own.record.incarnation, load.version + 1, config_head, version, waiting_ms
        )
        return True

    # --- merging ---------------------------------------------------------------------------------------

    def merge_record(self, record: MemberRecord, now_s: float) -> bool:
        """Store a record if it is newer; return whether its member was unknown."""
        if record.node == self.node:
            return False
        member = self.others.get(record.node)
        if member is None:
            self._add(record, now_s)
            return True
        if (record.incarnation, record.version) > (member.record.incarnation, member.record.version):
            if record.incarnation > member.record.incarnation:
                member.load = LoadRecord(record.node, record.incarnation, 0, member.load.config_head)
            member.record = record
        return False

    def _add(self, record: MemberRecord, now_s: float) -> None:
        load = LoadRecord(record.node, record.incarnation, 0, 0)
        self.others[record.node] = GossipMember(record, load, MemberStatus.ALIVE, record.incarnation, now_s)
        self._changes.append(MemberChange(record.node, MemberStatus.ALIVE))
        self._alive = None

    def merge_load(self, load: LoadRecord) -> None:
        """Store a load record of a known member if it is newer."""
        member = self.others.get(load.node)
        if member is None:
            return
        if (load.incarnation, load.version) > (member.load.incarnation, member.load.version):
            member.load = load

    def merge_status(self, entry: DigestEntry, now_s: float) -> None:
        """Store a newer status of a known member. A suspicion of this node is refuted instead."""
        if entry.node == self.node:
            self._refute(entry)
            return
        member = self.others.get(entry.node)
        if member is None:
            return
        if (entry.incarnation, entry.status) > (member.incarnation, int(member.status)):
            self._set_status(entry.node, MemberStatus(entry.status), entry.incarnation, now_s)

    def _refute(self, entry: DigestEntry) -> None:
        """Raise this node's incarnation above that of a suspicion or death report about it."""
        if self.own.status is MemberStatus.LEFT:
            return
        if entry.incarnation >= self.own.incarnation and entry.status != MemberStatus.ALIVE:
            self.own.incarnation = entry.incarnation + 1
            self._refutation_pending = True

    # --- failures --------------------------------------------------------------------------------------

    def mark_suspect(self, name: str, now_s: float) -> GossipMember | None:
        """Mark a live member that answered no probe as suspect; return it, or None if it was not alive."""
        member = self.others.get(name)
        if member is None or member.status is not MemberStatus.ALIVE:
            return None
        self._set_status(name, MemberStatus.SUSPECT, member.incarnation, now_s)
        return member

    def expire(self, now_s: float) -> None:
        """Mark suspects dead after the suspicion timeout; remove dead and departed members after the retention."""
        suspicion_s = self._suspicion_timeout_s()
        for name, member in list(self.others.items()):
            elapsed_s = now_s - member.status_since_s
            if member.status is MemberStatus.SUSPECT and elapsed_s >= suspicion_s:
                self._set_status(name, MemberStatus.DEAD, member.incarnation, now_s)
            elif member.status >= MemberStatus.DEAD and elapsed_s >= self._timings.dead_retention_s:
                del self.others[name]

    def _suspicion_timeout_s(self) -> float:
        """Return the seconds to refute a suspicion; gossip needs rounds that grow with the group's logarithm."""
        return self._timings.suspicion_timeout_s * max(1.0, math.log10(len(self.others) + 1))

    def _set_status(self, name: str, status: MemberStatus, incarnation: int, now_s: float) -> None:
        member = self.others[name]
        if status is not member.status:
            self._changes.append(MemberChange(name, status))
            self._alive = None
        # Also set by a refutation that leaves the status unchanged, so that digests carry recent refutations.
        member.status_since_s = now_s
        member.status = status
        member.incarnation = incarnation
