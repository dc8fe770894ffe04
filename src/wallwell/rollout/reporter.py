"""Sends this node's counts of rollouts to the node that decides them, and receives other nodes' counts.

Owns the link to the holder of the lease and what it has received. Relies on the holder's name from the followed
lease row; a report that is lost costs nothing, since the next one holds the newest totals.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Mapping

from wallwell.cluster.peer_link import PeerLinks
from wallwell.cluster.upstream import NodeRecord
from wallwell.errors import PeerUnavailableError
from wallwell.rollout.reports import AcknowledgedCounts, CountsAcknowledged, CountsReport, FleetCounts
from wallwell.rollout.tally import RolloutTally

REPORT_INTERVAL_S = 0.3
"""Seconds between two reports of a node in a fleet of up to :data:`NODES_AT_FULL_RATE`. A small part of
``rollback_s`` (5 s by default)."""
NODES_AT_FULL_RATE = 100
"""Nodes up to which each reports at the full rate. Larger fleets report less often, so that the deciding node
receives some 330 reports a second at most."""
ANSWER_TIMEOUT_S = 0.3
"""Seconds for which an answer is waited for: one report interval of a small fleet, then the next report is due."""
LIFE_BITS = 63
"""Bits of the random number that distinguishes a node's lives; a positive JSON integer."""


def report_interval_s(nodes: int) -> float:
    """Return the time between two reports of a node."""
    return REPORT_INTERVAL_S * max(1.0, nodes / NODES_AT_FULL_RATE)


class CountsReporter:
    """One node's reports; nothing is sent while no rollout is active."""

    def __init__(
        self,
        node: str,
        tally: RolloutTally,
        fleet: FleetCounts,
        holder: Callable[[], str],
        members: Callable[[], Mapping[str, NodeRecord]],
    ) -> None:
        """``fleet`` holds all counts that this node has received; ``holder`` returns the holder's name, empty if
        none."""
        self._node = node
        self._life = secrets.randbits(LIFE_BITS)
        self._tally = tally
        self._fleet = fleet
        self._holder = holder
        self._members = members
        self._links = PeerLinks()
        self._acknowledged = AcknowledgedCounts()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(report_interval_s(len(self._members())))
            await self.step()

    async def step(self) -> None:
        """Report once."""
        if not self._tally.by_service:
            self._links.keep(set())
            self._acknowledged.clear()
            return
        counts = self._tally.snapshot()
        self._fleet.add_report(CountsReport(self._node, self._life, counts))
        holder = self._holder()
        member = self._members().get(holder)
        if holder == self._node or member is None or not member.relay:
            return
        self._links.keep({holder})
        not_yet_acknowledged = (
            self._acknowledged.not_yet_acknowledged(counts) if self._acknowledged.holder[0] == holder else counts
        )
        report = CountsReport(self._node, self._life, not_yet_acknowledged)
        try:
            reply = await self._links.to(holder, member.relay).ask(report, CountsAcknowledged, ANSWER_TIMEOUT_S)
        except PeerUnavailableError:
            return  # Not logged: the next report holds all that this one did, and may go to another holder.
        self._acknowledged.on_acknowledged((holder, reply.life), not_yet_acknowledged)

    async def on_report(self, report: CountsReport) -> CountsAcknowledged:
        """Add another node's report, whoever holds the lease: its row may still be on its way to this node."""
        self._fleet.add_report(report)
        return CountsAcknowledged(self._life)

    def close(self) -> None:
        """Close the connection to the holder."""
        self._links.keep(set())
