"""Reconciliation between two members: a sample of what one knows, and what the other one answers.

Owns nothing but the figures of a sample. Relies on :class:`.member_table.MemberTable` for what is known, and on
:mod:`.sync_reply` for what fits into a datagram.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Mapping, Sequence

from wallwell.standalone.cluster.member_table import MemberTable
from wallwell.standalone.cluster.messages import DigestEntry, MemberStatus, Sync, SyncReply
from wallwell.standalone.cluster.sync_reply import SyncReplyBuilder, is_newer

DIGEST_SAMPLE_SIZE = 20
"""Members in one digest beside the sender and the target, so that a datagram does not grow with the fleet."""
DIGEST_RECENT_CHANGES = 6
"""Of these, members whose status changed last, so that each digest carries news."""
ROSTER_SAMPLE_SIZE = 12
"""Statuses of further members sent to a node whose set of live members differs; the rest follows in its next
syncs."""


class AntiEntropy:
    """Digests and answers of one node."""

    def __init__(self, table: MemberTable, region: str, rng: random.Random) -> None:
        self._table = table
        self._region = region
        self._rng = rng

    # --- first leg -------------------------------------------------------------------------------------

    def make_sync(self, sequence: int, config_head: int, target: str) -> Sync:
        """Return the message that asks ``target`` (empty: a node known by address only) for what is missing."""
        digest = tuple(self._digest_sample(target))
        return Sync(sequence, self._region, self._table.node, config_head, self._table.roster_hash(), digest)

    def _digest_sample(self, target: str) -> list[DigestEntry]:
        """Return this node, the target, the latest changes of status, and a random sample of the rest.

        A change back to alive counts as a change: a refutation must outrun the suspicion it answers.
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

    # --- second leg ------------------------------------------------------------------------------------

    def reply_to(self, message: Sync, now_s: float, config_head: int) -> SyncReply:
        """Merge a digest; returns what its sender lacks and the names of which this node lacks something."""
        newer: list[str] = [self._table.node]
        wanted: list[str] = []
        for entry in message.digest:
            self._table.merge_status(entry, now_s)
            self._compare_versions(entry, newer, wanted)
        known = {entry.node: entry for entry in message.digest}
        unlisted = self._unlisted_sample(known) if message.roster != self._table.roster_hash() else []
        return self._reply(message.sequence, config_head, newer, known, unlisted, wanted)

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

    # --- third leg -------------------------------------------------------------------------------------

    def merge(self, message: SyncReply, now_s: float) -> bool:
        """Merge an answer; returns whether a member in it was unknown."""
        found_new = False
        for record in message.records:
            found_new |= self._table.merge_record(record, now_s)
        for load in message.loads:
            self._table.merge_load(load)
        for entry in message.entries:
            self._table.merge_status(entry, now_s)
        return found_new

    def follow_up_to(self, message: SyncReply, config_head: int) -> SyncReply | None:
        """Return the records the sender asked for and ask for members still unknown; None if there are neither."""
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
        known: Mapping[str, DigestEntry],
        entries: Sequence[DigestEntry],
        wanted: Sequence[str],
    ) -> SyncReply:
        members = [member for member in map(self._table.member, dict.fromkeys(names)) if member is not None]
        builder = SyncReplyBuilder(list(entries), wanted)
        builder.add_members(members, known)
        return builder.build(sequence, self._table.node, config_head)
