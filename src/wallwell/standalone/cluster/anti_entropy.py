"""Anti-entropy between two members: one sends a digest of sampled member versions, the other replies with updates.

Stateless: reads and updates :class:`.member_table.MemberTable`. :mod:`.sync_reply` limits a reply to one datagram.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Mapping, Sequence

from wallwell.standalone.cluster.member_table import MemberTable
from wallwell.standalone.cluster.messages import DigestEntry, MemberStatus, Sync, SyncReply
from wallwell.standalone.cluster.sync_reply import SyncReplyBuilder, is_newer

DIGEST_SAMPLE_SIZE = 20
"""Maximum members in a digest, in addition to sender and target; keeps datagrams small in a large fleet."""
DIGEST_RECENT_CHANGES = 6
"""How many of the sampled members are those whose status changed last, so that digests spread recent changes."""
ROSTER_SAMPLE_SIZE = 12
"""Maximum additional member statuses in the reply to a node whose set of live members differs; its next syncs bring
the rest."""


class AntiEntropy:
    """Builds and processes one node's anti-entropy messages."""

    def __init__(self, table: MemberTable, region: str, rng: random.Random) -> None:
        self._table = table
        self._region = region
        self._rng = rng

    # --- sync ------------------------------------------------------------------------------------------

    def make_sync(self, sequence: int, config_head: int, target: str) -> Sync:
        """Return the message that asks ``target`` for newer state; an empty name stands for an unknown node."""
        digest = tuple(self._digest_sample(target))
        return Sync(sequence, self._region, self._table.node, config_head, self._table.roster_hash(), digest)

    def _digest_sample(self, target: str) -> list[DigestEntry]:
        """Return entries of this node, the target, the latest status changes and a random sample of live members.

        A change back to alive counts as a change, since a refutation must spread faster than the suspicion.
        """
        members = self._table.others
        entries = [self._table.own.digest_entry()]
        others = [member for name, member in members.items() if name != target]
        if target in members:
            entries.append(members[target].digest_entry())
        latest = heapq.nlargest(DIGEST_RECENT_CHANGES, others, key=lambda member: member.status_since_s)
        unchanged = [member for member in others if member.is_alive and member not in latest]
        sample = latest + self._rng.sample(unchanged, min(len(unchanged), DIGEST_SAMPLE_SIZE - len(latest)))
        entries.extend(member.digest_entry() for member in sample)
        return entries

    # --- reply to a sync -------------------------------------------------------------------------------

    def reply_to(self, message: Sync, now_s: float, config_head: int) -> SyncReply:
        """Merge a digest; return newer state that its sender lacks and the names of members to request from it."""
        newer: list[str] = [self._table.node]
        wanted: list[str] = []
        for entry in message.digest:
            self._table.merge_status(entry, now_s)
            self._compare_versions(entry, newer, wanted)
        peer_digest = {entry.node: entry for entry in message.digest}
        unlisted = self._unlisted_sample(peer_digest) if message.roster != self._table.roster_hash() else []
        return self._reply(message.sequence, config_head, newer, peer_digest, unlisted, wanted)

    def _compare_versions(self, entry: DigestEntry, newer: list[str], wanted: list[str]) -> None:
        own = self._table.member(entry.node)
        if own is None:
            if entry.status <= MemberStatus.SUSPECT:
                wanted.append(entry.node)
            return
        if is_newer(own.digest_entry(), entry):
            newer.append(entry.node)
        if is_newer(entry, own.digest_entry()):
            wanted.append(entry.node)

    def _unlisted_sample(self, listed: Mapping[str, DigestEntry]) -> list[DigestEntry]:
        members = self._table.others
        unlisted = [name for name in members if name not in listed]
        sample = self._rng.sample(unlisted, min(len(unlisted), ROSTER_SAMPLE_SIZE))
        return [members[name].digest_entry() for name in sample]

    # --- processing of a reply -------------------------------------------------------------------------

    def merge_reply(self, message: SyncReply, now_s: float) -> bool:
        """Merge a reply; return whether it contained a record of a member new to this node."""
        found_new = False
        for record in message.records:
            found_new |= self._table.merge_record(record, now_s)
        for load in message.loads:
            self._table.merge_load(load)
        for entry in message.entries:
            self._table.merge_status(entry, now_s)
        return found_new

    def follow_up_to(self, message: SyncReply, config_head: int) -> SyncReply | None:
        """Return a reply with the requested records and a request for unknown members; None if both are empty."""
        unknown = [
            entry.node
            for entry in message.entries
            if entry.status <= MemberStatus.SUSPECT and self._table.member(entry.node) is None
        ]
        if not message.wanted and not unknown:
            return None
        return self._reply(0, config_head, message.wanted, {}, [], unknown)

    def _reply(
        self,
        sequence: int,
        config_head: int,
        names: Iterable[str],
        peer_digest: Mapping[str, DigestEntry],
        entries: Sequence[DigestEntry],
        wanted: Sequence[str],
    ) -> SyncReply:
        members = [member for member in map(self._table.member, dict.fromkeys(names)) if member is not None]
        builder = SyncReplyBuilder(list(entries), wanted)
        builder.add_members(members, peer_digest)
        return builder.build(sequence, self._table.node, config_head)
