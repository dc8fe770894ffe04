"""Types of the membership modules: a node's view of one member of its region, and the protocol's intervals."""

from __future__ import annotations

from dataclasses import dataclass

from wallwell.standalone.cluster.messages import DigestEntry, LoadRecord, MemberRecord, MemberStatus


@dataclass(frozen=True)
class MembershipTimings:
    """Intervals of the membership protocol, in seconds."""

    sync_interval_s: float = 1.0
    """Mean time between two rounds; each round probes one member and exchanges state with it."""
    probe_timeout_s: float = 0.5
    """Time to wait for the answer to a direct probe before other members are asked to probe."""
    suspicion_timeout_s: float = 3.0
    """Time in which a suspect may refute; multiplied by log10 of the group's size if it exceeds ten."""
    dead_retention_s: float = 7200.0
    """Time for which dead and departed members are kept, so that outdated gossip does not add them again."""
    rejoin_interval_s: float = 5.0
    """Mean time between two attempts to contact seeds that are not live members, and dead members."""


@dataclass
class GossipMember:
    """This node's view of one member."""

    record: MemberRecord
    load: LoadRecord
    status: MemberStatus = MemberStatus.ALIVE
    incarnation: int = 0
    status_since_s: float = 0.0

    @property
    def is_alive(self) -> bool:
        """Whether the member is alive or suspect; a suspect still counts as alive."""
        return self.status <= MemberStatus.SUSPECT

    def digest_entry(self) -> DigestEntry:
        """Return the member's status and versions, without its records."""
        return DigestEntry(
            self.record.node, self.incarnation, int(self.status), self.record.version, self.load.version
        )


@dataclass(frozen=True)
class MemberChange:
    """A change of a member's status."""

    node: str
    status: MemberStatus
