"""Gossip membership of one region: SWIM probing joined with reconciliation by digest.

Sans-I/O. Each round the node picks a member and sends a :class:`Sync` that carries a sample of what it knows.
The answer acknowledges the probe and carries what the sender lacked. A member that answers neither directly
nor through others becomes suspect, and dead unless it refutes with a higher incarnation. Only members of the
same region share state; regions exchange summaries through delegates (see ``regions``).
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from wallwell.routing.rendezvous import key_of
from wallwell.standalone.cluster.members import GossipMember, MemberChange, MembershipTimings
from wallwell.standalone.cluster.messages import (
    Ack,
    Action,
    DigestEntry,
    EngineNews,
    IndirectProbe,
    LoadRecord,
    MemberRecord,
    MemberStatus,
    Ping,
    Send,
    Sync,
    SyncReply,
)
from wallwell.standalone.cluster.reconcile import ReplyContent, is_newer

DIGEST_SAMPLE = 20
"""Members in one digest, so that a datagram does not grow with the fleet."""
DIGEST_RECENT = 6
"""Of these, members that changed last, so that news travels in each digest."""
ROSTER_SAMPLE = 12
"""Members listed in full to a node whose view differs; the rest follows in its next syncs."""
SYNC_SPREAD = (0.9, 1.1)
"""Multiples of the sync interval, so that nodes which started together drift apart."""
REJOIN_SPREAD = (0.8, 1.2)
"""The same for tries to reach seeds again."""
CATCH_UP_FACTOR = 0.25
"""Fraction of the sync interval after which a node whose view differed syncs again."""
EXPIRY_INTERVAL_S = 0.5
"""Seconds between two looks for suspects and departed members whose time is over."""
INDIRECT_PROBES = 3
"""Members asked to probe one that did not answer, as in SWIM: a single lossy path must not make a member
suspect."""


@dataclass
class _Probe:
    target: str
    address: str
    deadline_s: float
    indirect: bool = False


@dataclass
class _Relay:
    requester: str
    sequence: int
    deadline_s: float


@dataclass
class Membership:
    """The members of this node's region."""

    own: GossipMember
    region: str
    timings: MembershipTimings
    rng: random.Random
    members: dict[str, GossipMember] = field(default_factory=dict)
    changes: list[MemberChange] = field(default_factory=list)
    seeds: tuple[str, ...] = ()
    _probes: dict[int, _Probe] = field(default_factory=dict)
    _relays: dict[int, _Relay] = field(default_factory=dict)
    _round: list[str] = field(default_factory=list)
    _refuted: bool = False
    _alive: list[str] | None = None
    _next_expiry_s: float = 0.0
    _sequence: int = 0
    _next_sync_s: float = 0.0
    _next_rejoin_s: float = 0.0

    @property
    def node(self) -> str:
        """This node's name."""
        return self.own.record.node

    def alive(self) -> list[str]:
        """Names of this node and of members not considered failed, sorted. The list must not be changed."""
        if self._alive is None:
            names = [name for name, member in self.members.items() if member.status <= MemberStatus.SUSPECT]
            names.append(self.node)
            names.sort()
            self._alive = names
        return self._alive

    def member(self, name: str) -> GossipMember | None:
        """Return a member, this node included."""
        return self.own if name == self.node else self.members.get(name)

    def address_of(self, name: str) -> str:
        """Return a member's cluster address."""
        member = self.member(name)
        return member.record.address if member else ""

    # --- own state -------------------------------------------------------------------------------------

    def update_own_record(self, engines: tuple[EngineNews, ...], leaving: tuple[str, ...]) -> bool:
        """Publish this node's slow state; returns whether it changed."""
        record = self.own.record
        if record.engines == engines and record.leaving == leaving:
            return False
        self.own.record = msgspec.structs.replace(
            record, version=record.version + 1, engines=engines, leaving=leaving
        )
        return True

    def update_own_load(self, config_head: int, waiting_ms: tuple[tuple[int, int], ...]) -> bool:
        """Publish this node's fast state; returns whether it changed."""
        load = self.own.load
        version = self.own.record.version
        if (load.config_head, load.waiting_ms, load.record_version) == (config_head, waiting_ms, version):
            return False
        self.own.load = LoadRecord(
            self.node, self.own.record.incarnation, load.version + 1, config_head, version, waiting_ms
        )
        return True

    # --- rounds ----------------------------------------------------------------------------------------

    def tick(self, now_s: float, config_head: int) -> list[Action]:
        """Advance timers; returns what to send."""
        actions = self._expire_probes(now_s)
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
            self._expire_members(now_s)
        if self._refuted:
            self._refuted = False
            actions.extend(self._tell_few(self.own.digest()))
        if now_s >= self._next_sync_s:
            self._next_sync_s = now_s + self.timings.sync_interval_s * self.rng.uniform(*SYNC_SPREAD)
            actions.extend(self._start_round(now_s, config_head))
        if now_s >= self._next_rejoin_s:
            self._next_rejoin_s = now_s + self.timings.rejoin_interval_s * self.rng.uniform(*REJOIN_SPREAD)
            actions.extend(self._try_rejoin(config_head))
        return actions

    def _start_round(self, now_s: float, config_head: int) -> list[Action]:
        target = self._next_target()
        if target is None:
            return self.join(config_head)
        address = self.members[target].record.address
        self._sequence += 1
        deadline = now_s + self.timings.probe_timeout_s
        self._probes[self._sequence] = _Probe(target, address, deadline)
        return [Send(address, self._sync(self._sequence, config_head, target))]

    def _next_target(self) -> str | None:
        """Round robin over a shuffled list, so that each member is probed within a bounded time."""
        while True:
            if not self._round:
                self._round = [name for name in self.alive() if name != self.node]
                self.rng.shuffle(self._round)
                if not self._round:
                    return None
            name = self._round.pop()
            member = self.members.get(name)
            if member is not None and member.status <= MemberStatus.SUSPECT:
                return name

    def _try_rejoin(self, config_head: int) -> list[Action]:
        """Contact a seed or a member considered dead, so that a healed partition is noticed."""
        known = {member.record.address for member in self.members.values() if member.status <= MemberStatus.SUSPECT}
        known.add(self.own.record.address)
        lost = [m.record.address for m in self.members.values() if m.status is MemberStatus.DEAD]
        targets = [address for address in (*self.seeds, *lost) if address not in known]
        if not targets:
            return []
        return [Send(self.rng.choice(targets), self._sync(0, config_head, ""))]

    def join(self, config_head: int) -> list[Action]:
        """Greet every seed at once; used at start and while no other member is known."""
        return self.greet(self.seeds, config_head)

    def greet(self, addresses: Iterable[str], config_head: int) -> list[Action]:
        """Start an exchange with nodes known only by address."""
        own = self.own.record.address
        return [Send(address, self._sync(0, config_head, "")) for address in addresses if address != own]

    def _sync(self, sequence: int, config_head: int, target: str) -> Sync:
        digest = tuple(self._digest_sample(target))
        return Sync(sequence, self.region, self.node, config_head, self.roster_hash(), digest)

    def roster_hash(self) -> int:
        """Return a hash of the set of live members, whatever their order."""
        roster = 0
        for name in self.alive():
            roster ^= key_of(name)
        return roster

    def _digest_sample(self, target: str) -> list[DigestEntry]:
        """Return this node, the target, the latest changes of status, and a random sample of the rest.

        A change back to alive counts as a change: a refutation must outrun the suspicion it answers.
        """
        entries = [self.own.digest()]
        others = [member for name, member in self.members.items() if name != target]
        if target in self.members:
            entries.append(self.members[target].digest())
        latest = heapq.nlargest(DIGEST_RECENT, others, key=lambda member: member.status_since_s)
        usual = [member for member in others if member.status <= MemberStatus.SUSPECT and member not in latest]
        sample = latest + self.rng.sample(usual, min(len(usual), DIGEST_SAMPLE - len(latest)))
        entries.extend(member.digest() for member in sample)
        return entries

    # --- messages --------------------------------------------------------------------------------------

    def on_sync(self, message: Sync, sender_address: str, now_s: float, config_head: int) -> list[Action]:
        """Answer a digest with what the sender lacks and ask for what this node lacks."""
        reply = self._reply_to(message, now_s, config_head)
        return [Send(sender_address, reply)]

    def _reply_to(self, message: Sync, now_s: float, config_head: int) -> SyncReply:
        entries: list[DigestEntry] = []
        newer: list[str] = [self.node]
        wanted: list[str] = []
        listed = set()
        for entry in message.digest:
            listed.add(entry.node)
            self._merge_status(entry, now_s)
            mine = self.member(entry.node)
            if mine is None:
                if entry.status <= MemberStatus.SUSPECT:
                    wanted.append(entry.node)
                continue
            if is_newer(mine.digest(), entry):
                newer.append(entry.node)
            if is_newer(entry, mine.digest()):
                wanted.append(entry.node)
        if message.roster != self.roster_hash():
            unlisted = [name for name in self.members if name not in listed]
            sample = self.rng.sample(unlisted, min(len(unlisted), ROSTER_SAMPLE))
            entries.extend(self.members[name].digest() for name in sample)
        known = {entry.node: entry for entry in message.digest}
        return self._reply(message.sequence, config_head, newer, known, entries, wanted)

    def _reply(
        self,
        sequence: int,
        config_head: int,
        names: Iterable[str],
        known: Mapping[str, DigestEntry],
        entries: Sequence[DigestEntry],
        wanted: Sequence[str],
    ) -> SyncReply:
        found = [member for member in map(self.member, dict.fromkeys(names)) if member is not None]
        content = ReplyContent(list(entries), wanted)
        content.collect(found, known)
        return content.message(sequence, self.node, config_head)

    def on_sync_reply(
        self, message: SyncReply, sender_address: str, now_s: float, config_head: int
    ) -> list[Action]:
        """Merge an answer; send the third leg if the peer asked for records."""
        self._probes.pop(message.sequence, None)
        for record in message.records:
            self._merge_record(record, now_s)
        for load in message.loads:
            self._merge_load(load)
        for entry in message.entries:
            self._merge_status(entry, now_s)
        unknown = [
            entry.node
            for entry in message.entries
            if entry.status <= MemberStatus.SUSPECT and self.member(entry.node) is None
        ]
        if not message.wanted and not unknown:
            return []
        third = self._reply(0, config_head, message.wanted, {}, [], unknown)
        return [Send(sender_address, third)]

    def on_ping(self, message: Ping, sender_address: str) -> list[Action]:
        """Acknowledge."""
        return [Send(sender_address, Ack(message.sequence))]

    def on_indirect_probe(self, message: IndirectProbe, sender_address: str, now_s: float) -> list[Action]:
        """Probe the target for the sender."""
        self._sequence += 1
        deadline = now_s + 2 * self.timings.probe_timeout_s
        self._relays[self._sequence] = _Relay(sender_address, message.sequence, deadline)
        return [Send(message.address, Ping(self._sequence))]

    def on_ack(self, message: Ack) -> list[Action]:
        """Complete a probe, or relay the acknowledgement to who asked."""
        self._probes.pop(message.sequence, None)
        relay = self._relays.pop(message.sequence, None)
        return [Send(relay.requester, Ack(relay.sequence))] if relay else []

    # --- merging ---------------------------------------------------------------------------------------

    def _merge_record(self, record: MemberRecord, now_s: float) -> None:
        if record.node == self.node:
            return
        member = self.members.get(record.node)
        if member is None:
            load = LoadRecord(record.node, record.incarnation, 0, 0)
            self.members[record.node] = GossipMember(record, load, MemberStatus.ALIVE, record.incarnation, now_s)
            self.changes.append(MemberChange(record.node, MemberStatus.ALIVE))
            self._alive = None
            # Where one member was unknown others may be: the next round comes sooner.
            self._next_sync_s = min(self._next_sync_s, now_s + self.timings.sync_interval_s * CATCH_UP_FACTOR)
            return
        if (record.incarnation, record.version) > (member.record.incarnation, member.record.version):
            if record.incarnation > member.record.incarnation:
                member.load = LoadRecord(record.node, record.incarnation, 0, member.load.config_head)
            member.record = record

    def _merge_load(self, load: LoadRecord) -> None:
        member = self.members.get(load.node)
        if member is None:
            return
        if (load.incarnation, load.version) > (member.load.incarnation, member.load.version):
            member.load = load

    def _merge_status(self, entry: DigestEntry, now_s: float) -> None:
        if entry.node == self.node:
            self._refute(entry)
            return
        member = self.members.get(entry.node)
        if member is None:
            return
        if (entry.incarnation, entry.status) > (member.incarnation, int(member.status)):
            self._set_status(entry.node, MemberStatus(entry.status), entry.incarnation, now_s)

    def _refute(self, entry: DigestEntry) -> None:
        """Answer a suspicion about this node with a higher incarnation."""
        if self.own.status is MemberStatus.LEFT:
            return
        if entry.incarnation >= self.own.incarnation and entry.status != MemberStatus.ALIVE:
            self.own.incarnation = entry.incarnation + 1
            self._refuted = True

    def _set_status(self, name: str, status: MemberStatus, incarnation: int, now_s: float) -> None:
        member = self.members[name]
        if status is not member.status:
            self.changes.append(MemberChange(name, status))
            self._alive = None
        # Refutations count as changes too, so that digests carry them first.
        member.status_since_s = now_s
        member.status = status
        member.incarnation = incarnation

    def leave(self) -> list[Action]:
        """Announce a planned stop to a few members."""
        self.own.status = MemberStatus.LEFT
        return self._tell_few(self.own.digest())

    # --- failure detection -----------------------------------------------------------------------------

    def _expire_probes(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for sequence, probe in list(self._probes.items()):
            if now_s < probe.deadline_s:
                continue
            if not probe.indirect:
                probe.indirect = True
                probe.deadline_s = now_s + 2 * self.timings.probe_timeout_s
                actions.extend(self._probe_indirectly(sequence, probe))
                continue
            del self._probes[sequence]
            member = self.members.get(probe.target)
            if member is not None and member.status is MemberStatus.ALIVE:
                self._set_status(probe.target, MemberStatus.SUSPECT, member.incarnation, now_s)
                actions.extend(self._tell_few(member.digest(), also=probe.address))
        for sequence, relay in list(self._relays.items()):
            if now_s >= relay.deadline_s:
                del self._relays[sequence]
        return actions

    def _tell_few(self, entry: DigestEntry, also: str = "") -> list[Action]:
        """Send one status to a few members at once, without waiting for the next round."""
        names = [name for name in self.alive() if name not in (self.node, entry.node)]
        chosen = self.rng.sample(names, min(len(names), INDIRECT_PROBES))
        addresses = [self.members[name].record.address for name in chosen]
        notice = SyncReply(0, self.node, 0, (entry,))
        return [Send(address, notice) for address in dict.fromkeys((*addresses, also)) if address]

    def _probe_indirectly(self, sequence: int, probe: _Probe) -> list[Action]:
        helpers = [name for name in self.alive() if name not in (self.node, probe.target)]
        chosen = self.rng.sample(helpers, min(len(helpers), INDIRECT_PROBES))
        actions: list[Action] = [
            Send(self.members[name].record.address, IndirectProbe(sequence, probe.address)) for name in chosen
        ]
        actions.append(Send(probe.address, Ping(sequence)))
        return actions

    def _expire_members(self, now_s: float) -> None:
        # A refutation takes rounds that grow with the logarithm of the group.
        suspicion_s = self.timings.suspicion_timeout_s * max(1.0, math.log10(len(self.members) + 1))
        for name, member in list(self.members.items()):
            elapsed = now_s - member.status_since_s
            if member.status is MemberStatus.SUSPECT and elapsed >= suspicion_s:
                self._set_status(name, MemberStatus.DEAD, member.incarnation, now_s)
            elif member.status >= MemberStatus.DEAD and elapsed >= self.timings.dead_retention_s:
                del self.members[name]

    def take_changes(self) -> list[MemberChange]:
        """Return and clear the status changes since the last call."""
        changes, self.changes = self.changes, []
        return changes
