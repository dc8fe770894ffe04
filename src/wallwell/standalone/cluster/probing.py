"""SWIM failure detection in a region: probes one member per round, through other members if it does not answer.

Owns the probes in flight, those on behalf of other members, and the order in which members are probed. Statuses are
in :class:`.member_table.MemberTable`; a member that answers neither a direct nor an indirect probe becomes suspect.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from wallwell.standalone.cluster.member_table import MemberTable
from wallwell.standalone.cluster.members import MembershipTimings
from wallwell.standalone.cluster.messages import Ack, Action, DigestEntry, IndirectProbe, Ping, Send, SyncReply

INDIRECT_PROBE_COUNT = 3
"""Members asked to probe a member that did not answer, so that a single lossy path does not make it suspect."""
INDIRECT_TIMEOUT_FACTOR = 2
"""Timeout of an indirect probe, as a multiple of the probe timeout: it takes two round trips."""
STATUS_FANOUT = 3
"""Members that are sent a suspicion, a refutation or a departure at once; digests inform the others."""


@dataclass
class _Probe:
    target: str
    address: str
    deadline_s: float
    indirect: bool = False


@dataclass
class _ForwardedProbe:
    requester: str
    sequence: int
    deadline_s: float


class FailureDetector:
    """Sends and tracks the probes of one node. Times are on the caller's clock, in seconds."""

    def __init__(self, table: MemberTable, timings: MembershipTimings, rng: random.Random) -> None:
        self._table = table
        self._timings = timings
        self._rng = rng
        self._probes: dict[int, _Probe] = {}
        self._forwarded: dict[int, _ForwardedProbe] = {}
        self._probe_order: list[str] = []
        self._sequence = 0

    # --- probes of this node ---------------------------------------------------------------------------

    def next_target(self) -> str | None:
        """Return the next member in a shuffled round robin, which bounds the time between its probes, or None."""
        while True:
            if not self._probe_order:
                self._probe_order = [name for name in self._table.alive() if name != self._table.node]
                self._rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            name = self._probe_order.pop()
            member = self._table.others.get(name)
            if member is not None and member.is_alive:
                return name

    def begin_probe(self, target: str, address: str, now_s: float) -> int:
        """Register a probe of a member; return the sequence number that the probe must carry."""
        self._sequence += 1
        self._probes[self._sequence] = _Probe(target, address, now_s + self._timings.probe_timeout_s)
        return self._sequence

    def acknowledge(self, sequence: int) -> None:
        """End a direct or indirect probe of this node that was answered."""
        self._probes.pop(sequence, None)

    def expire(self, now_s: float) -> list[Action]:
        """Start indirect probes of members that missed the deadline; mark suspect those that missed the second."""
        actions: list[Action] = []
        for sequence, probe in list(self._probes.items()):
            if now_s < probe.deadline_s:
                continue
            if probe.indirect:
                del self._probes[sequence]
                actions.extend(self._suspect(probe, now_s))
            else:
                probe.indirect = True
                probe.deadline_s = now_s + INDIRECT_TIMEOUT_FACTOR * self._timings.probe_timeout_s
                actions.extend(self._probe_indirectly(sequence, probe))
        self._remove_expired_forwarded(now_s)
        return actions

    def _suspect(self, probe: _Probe, now_s: float) -> list[Action]:
        member = self._table.mark_suspect(probe.target, now_s)
        if member is None:
            return []
        return self.announce(member.digest_entry(), extra_address=probe.address)

    def _probe_indirectly(self, sequence: int, probe: _Probe) -> list[Action]:
        helpers = self._sample_addresses(probe.target, INDIRECT_PROBE_COUNT)
        actions: list[Action] = [Send(address, IndirectProbe(sequence, probe.address)) for address in helpers]
        actions.append(Send(probe.address, Ping(sequence)))
        return actions

    def announce(self, entry: DigestEntry, extra_address: str = "") -> list[Action]:
        """Send one status to a few random members and to ``extra_address`` without waiting for the next round."""
        addresses = self._sample_addresses(entry.node, STATUS_FANOUT)
        notice = SyncReply(0, self._table.node, 0, (entry,))
        return [Send(address, notice) for address in dict.fromkeys((*addresses, extra_address)) if address]

    def _sample_addresses(self, excluded: str, count: int) -> list[str]:
        """Return the addresses of up to ``count`` random live members other than this node and ``excluded``."""
        names = [name for name in self._table.alive() if name not in (self._table.node, excluded)]
        chosen = self._rng.sample(names, min(len(names), count))
        return [self._table.others[name].record.address for name in chosen]

    # --- probes on behalf of others --------------------------------------------------------------------

    def on_ping(self, message: Ping, sender_address: str) -> list[Action]:
        """Acknowledge a probe."""
        return [Send(sender_address, Ack(message.sequence))]

    def on_indirect_probe(self, message: IndirectProbe, sender_address: str, now_s: float) -> list[Action]:
        """Probe the target on behalf of the sender."""
        self._sequence += 1
        deadline_s = now_s + INDIRECT_TIMEOUT_FACTOR * self._timings.probe_timeout_s
        self._forwarded[self._sequence] = _ForwardedProbe(sender_address, message.sequence, deadline_s)
        return [Send(message.address, Ping(self._sequence))]

    def on_ack(self, message: Ack) -> list[Action]:
        """End the acknowledged probe; pass the acknowledgement of a forwarded probe on to its requester."""
        self.acknowledge(message.sequence)
        forwarded = self._forwarded.pop(message.sequence, None)
        return [Send(forwarded.requester, Ack(forwarded.sequence))] if forwarded else []

    def _remove_expired_forwarded(self, now_s: float) -> None:
        for sequence, forwarded in list(self._forwarded.items()):
            if now_s >= forwarded.deadline_s:
                del self._forwarded[sequence]
