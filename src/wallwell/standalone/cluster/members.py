"""What a node keeps of each member of its region."""

from __future__ import annotations

from dataclasses import dataclass

from wallwell.standalone.cluster.messages import DigestEntry, LoadRecord, MemberRecord, MemberStatus


@dataclass(frozen=True)
class MembershipTimings:
    """Intervals in seconds."""

    sync_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    suspicion_timeout_s: float = 3.0
    dead_retention_s: float = 7200.0
    rejoin_interval_s: float = 5.0


@dataclass
class GossipMember:
    """One member as this node knows it."""

    record: MemberRecord
    load: LoadRecord
    status: MemberStatus = MemberStatus.ALIVE
    incarnation: int = 0
    status_since_s: float = 0.0

    def digest(self) -> DigestEntry:
        """Return the digest entry."""
        return DigestEntry(
            self.record.node, self.incarnation, int(self.status), self.record.version, self.load.version
        )


@dataclass(frozen=True)
class MemberChange:
    """A member's status changed."""

    node: str
    status: MemberStatus
