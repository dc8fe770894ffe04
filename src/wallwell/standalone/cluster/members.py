"""What a node keeps of each member of its region, and the intervals of membership. Owns no state; used by the
modules of membership."""

from __future__ import annotations

from dataclasses import dataclass

from wallwell.standalone.cluster.messages import DigestEntry, LoadRecord, MemberRecord, MemberStatus


@dataclass(frozen=True)
class MembershipTimings:
    """Intervals in seconds."""

    sync_interval_s: float = 1.0
    """Mean time between two rounds; each round probes one member and reconciles with it."""
    probe_timeout_s: float = 0.5
    """How long a direct probe is waited for before others are asked to probe."""
    suspicion_timeout_s: float = 3.0
    """How long a suspect may take to refute; in groups of more than ten, times log10 of the group's size."""
    dead_retention_s: float = 7200.0
    """How long failed and departed members are remembered, so that old news does not bring them back."""
    rejoin_interval_s: float = 5.0
    """Mean time between two tries to reach unknown seeds and members considered dead."""


@dataclass
class GossipMember:
    """One member as this node knows it."""

    record: MemberRecord
    load: LoadRecord
    status: MemberStatus = MemberStatus.ALIVE
    incarnation: int = 0
    status_since_s: float = 0.0

    @property
    def is_alive(self) -> bool:
        """Whether the member is not considered failed: a suspect still counts as alive."""
        return self.status <= MemberStatus.SUSPECT

    def digest_entry(self) -> DigestEntry:
        """Return the member's versions, without its state."""
        return DigestEntry(
            self.record.node, self.incarnation, int(self.status), self.record.version, self.load.version
        )


@dataclass(frozen=True)
class MemberChange:
    """A member's status changed."""

    node: str
    status: MemberStatus
