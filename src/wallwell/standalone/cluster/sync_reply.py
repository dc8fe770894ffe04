"""Builds the reply to a digest: the state that the peer lacks, as far as it fits into one datagram. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from wallwell.standalone.cluster.members import GossipMember
from wallwell.standalone.cluster.messages import (
    MAX_DATAGRAM_BYTES,
    DigestEntry,
    LoadRecord,
    MemberRecord,
    MemberStatus,
    SyncReply,
)

_RESERVED_BYTES = 160
"""Bytes of a datagram reserved for the message header and the authentication code, which takes 17."""
_JSON_STRING_OVERHEAD_BYTES = 3
"""Bytes of a string in JSON in addition to its text: two quotes and a comma."""
_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - _RESERVED_BYTES


class SyncReplyBuilder:
    """Collects statuses, records and loads for a reply until the datagram is full."""

    def __init__(self, entries: list[DigestEntry], wanted: Sequence[str]) -> None:
        self._entries = entries
        self._wanted = tuple(wanted)
        self._records: list[MemberRecord] = []
        self._loads: list[LoadRecord] = []
        self._size = sum(len(name) + _JSON_STRING_OVERHEAD_BYTES for name in wanted) + _encoded_size(entries)

    def add_members(self, members: Iterable[GossipMember], peer_digest: Mapping[str, DigestEntry]) -> None:
        """Add state of ``members`` that is newer than in ``peer_digest``, until the datagram is full."""
        for member in members:
            peer = peer_digest.get(member.record.node)
            if member.status is MemberStatus.LEFT and peer is None:
                continue
            if not self._add(member, peer):
                return

    def _add(self, member: GossipMember, peer: DigestEntry | None) -> bool:
        own = member.digest_entry()
        status = [own] if _status_is_newer(own, peer) else []
        record = [member.record] if _record_is_newer(own, peer) else []
        load = [member.load] if _load_is_newer(own, peer) else []
        size = _encoded_size([*status, *record, *load])
        if self._size + size > _PAYLOAD_BYTES:
            return False
        self._size += size
        self._entries.extend(status)
        self._records.extend(record)
        self._loads.extend(load)
        return True

    def build(self, sequence: int, sender: str, config_head: int) -> SyncReply:
        """Return the reply with the collected state."""
        return SyncReply(
            sequence,
            sender,
            config_head,
            tuple(self._entries),
            tuple(self._records),
            tuple(self._loads),
            self._wanted,
        )


def _encoded_size(parts: Iterable[DigestEntry | MemberRecord | LoadRecord]) -> int:
    return sum(len(msgspec.json.encode(part)) + 1 for part in parts)


def is_newer(first: DigestEntry, second: DigestEntry) -> bool:
    """Whether any version in ``first`` is newer than in ``second``."""
    if first.incarnation != second.incarnation:
        return first.incarnation > second.incarnation
    return (
        first.status > second.status or first.version > second.version or first.load_version > second.load_version
    )


def _status_is_newer(own: DigestEntry, peer: DigestEntry | None) -> bool:
    return peer is None or (own.incarnation, own.status) > (peer.incarnation, peer.status)


def _record_is_newer(own: DigestEntry, peer: DigestEntry | None) -> bool:
    return peer is None or own.incarnation > peer.incarnation or own.version > peer.version


def _load_is_newer(own: DigestEntry, peer: DigestEntry | None) -> bool:
    return peer is None or own.incarnation > peer.incarnation or own.load_version > peer.load_version
