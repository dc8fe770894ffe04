"""Gossip membership of one region: SWIM failure detection combined with anti-entropy. Does no I/O.

In each round the node sends one member a :class:`Sync` with a digest of a sample of member versions. The reply
acknowledges the probe and carries the state that the sender lacked. A member that answers neither a direct nor an
indirect probe becomes suspect, and dead unless it refutes with a higher incarnation. Only members of one region
share state; regions exchange summaries through delegates (see ``regions``).

Owns the timers of the rounds. :mod:`.member_table` stores the members, :mod:`.probing` the probes in flight;
:mod:`.anti_entropy` builds and merges the messages of a round.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from wallwell.standalone.cluster.anti_entropy import AntiEntropy
from wallwell.standalone.cluster.member_table import MemberTable
from wallwell.standalone.cluster.members import GossipMember, MembershipTimings
from wallwell.standalone.cluster.messages import Action, MemberStatus, Send, Sync, SyncReply
from wallwell.standalone.cluster.probing import FailureDetector

SYNC_INTERVAL_JITTER = (0.9, 1.1)
"""Range of random multiples of the sync interval, so that nodes that started together do not sync in step."""
REJOIN_INTERVAL_JITTER = (0.8, 1.2)
"""Range of random multiples of the rejoin interval, so that nodes do not rejoin in step."""
CATCH_UP_FRACTION = 0.25
"""Fraction of the sync interval after which a node syncs again when a reply contained an unknown member."""
EXPIRY_INTERVAL_S = 0.5
"""Seconds between two checks for expired suspects and departed members: a suspect is marked dead at most this
much later than its timeout."""


class Membership:
    """Membership protocol of this node's region. Times are on the caller's clock, in seconds."""

    def __init__(
        self,
        own: GossipMember,
        region: str,
        timings: MembershipTimings,
        rng: random.Random,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.seeds = seeds
        self.table = MemberTable(own, timings)
        self.detector = FailureDetector(self.table, timings, rng)
        self._anti_entropy = AntiEntropy(self.table, region, rng)
        self._timings = timings
        self._rng = rng
        self._next_expiry_s = 0.0
        self._next_sync_s = 0.0
        self._next_rejoin_s = 0.0

    # --- members ---------------------------------------------------------------------------------------

    @property
    def own(self) -> GossipMember:
        """This node's own entry."""
        return self.table.own

    @property
    def members(self) -> Mapping[str, GossipMember]:
        """All other members by name, including dead and departed ones."""
        return self.table.others

    def alive(self) -> list[str]:
        """See :meth:`MemberTable.alive`."""
        return self.table.alive()

    def member(self, name: str) -> GossipMember | None:
        """See :meth:`MemberTable.member`."""
        return self.table.member(name)

    def address_of(self, name: str) -> str:
        """See :meth:`MemberTable.address_of`."""
        return self.table.address_of(name)

    def roster_hash(self) -> int:
        """See :meth:`MemberTable.roster_hash`."""
        return self.table.roster_hash()

    # --- rounds ----------------------------------------------------------------------------------------

    def tick(self, now_s: float, config_head: int) -> list[Action]:
        """Process expired timers and start due rounds; return the messages to send."""
        actions = self.detector.expire(now_s)
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
            self.table.expire(now_s)
        if self.table.pop_refutation():
            actions.extend(self.detector.announce(self.own.digest_entry()))
        if now_s >= self._next_sync_s:
            self._next_sync_s = now_s + self._timings.sync_interval_s * self._rng.uniform(*SYNC_INTERVAL_JITTER)
            actions.extend(self._start_round(now_s, config_head))
        if now_s >= self._next_rejoin_s:
            self._next_rejoin_s = now_s + self._timings.rejoin_interval_s * self._rng.uniform(
                *REJOIN_INTERVAL_JITTER
            )
            actions.extend(self._try_rejoin(config_head))
        return actions

    def _start_round(self, now_s: float, config_head: int) -> list[Action]:
        target = self.detector.next_target()
        if target is None:
            return self.join(config_head)
        address = self.members[target].record.address
        sequence = self.detector.begin_probe(target, address, now_s)
        return [Send(address, self._anti_entropy.make_sync(sequence, config_head, target))]

    def _try_rejoin(self, config_head: int) -> list[Action]:
        """Contact one seed or dead member, to detect that a partition has healed."""
        known = {member.record.address for member in self.members.values() if member.is_alive}
        known.add(self.own.record.address)
        lost = [m.record.address for m in self.members.values() if m.status is MemberStatus.DEAD]
        targets = [address for address in (*self.seeds, *lost) if address not in known]
        if not targets:
            return []
        return self.start_sync([self._rng.choice(targets)], config_head)

    def join(self, config_head: int) -> list[Action]:
        """Start a sync with every seed; used at start and while no other member is known."""
        return self.start_sync(self.seeds, config_head)

    def start_sync(self, addresses: Iterable[str], config_head: int) -> list[Action]:
        """Start a sync with nodes of which only the addresses are known."""
        own = self.own.record.address
        return [
            Send(address, self._anti_entropy.make_sync(0, config_head, ""))
            for address in addresses
            if address != own
        ]

    def leave(self) -> list[Action]:
        """Mark this node as departed and announce its planned stop to a few members."""
        self.own.status = MemberStatus.LEFT
        return self.detector.announce(self.own.digest_entry())

    # --- messages --------------------------------------------------------------------------------------

    def on_sync(self, message: Sync, sender_address: str, now_s: float, config_head: int) -> list[Action]:
        """Reply to a digest with state that the sender lacks and a request for state that this node lacks."""
        return [Send(sender_address, self._anti_entropy.reply_to(message, now_s, config_head))]

    def on_sync_reply(
        self, message: SyncReply, sender_address: str, now_s: float, config_head: int
    ) -> list[Action]:
        """Merge a reply; send a follow-up if it requests records or names members unknown to this node."""
        self.detector.acknowledge(message.sequence)
        if self._anti_entropy.merge_reply(message, now_s):
            # If one member was unknown, others may be too: start the next round sooner.
            soon_s = now_s + self._timings.sync_interval_s * CATCH_UP_FRACTION
            self._next_sync_s = min(self._next_sync_s, soon_s)
        answer = self._anti_entropy.follow_up_to(message, config_head)
        return [Send(sender_address, answer)] if answer is not None else []
