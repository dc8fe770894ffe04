"""Sends this node's counts of rollouts to the lease holder, which decides, and receives other nodes' counts.

Owns the link to the lease holder and the record of the counts it has acknowledged. Relies on the holder's name in
the lease row. A lost report costs nothing, since the next one contains the newest totals.
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
"""Seconds between two reports of a node in a fleet of up to :data:`MAX_NODES_AT_FULL_RATE` nodes; short compared
with ``rollback_s`` (5 s by default)."""
MAX_NODES_AT_FULL_RATE = 100
"""Largest number of nodes at which each reports at the full rate. Nodes of larger fleets report less often, so that
the lease holder receives at most some 330 reports a second."""
ANSWER_TIMEOUT_S = 0.3
"""Time-out for the reply to a report, in seconds: one interval of a small fleet, when the next report is due."""
NODE_INCARNATION_BITS = 63
"""Bits of a node's incarnation, a random number drawn at its start; a positive JSON integer."""


def report_interval_s(node_count: int) -> float:
    """Return the seconds between two reports of a node, in a fleet of ``node_count`` nodes."""
    return REPORT_INTERVAL_S * max(1.0, node_count / MAX_NODES_AT_FULL_RATE)


class CountsReporter:
    """Sends and receives one node's reports; sends nothing while no rollout is active."""

    def __init__(
        self,
        node: str,
        tally: RolloutTally,
        fleet: FleetCounts,
        holder: Callable[[], str],
        members: Callable[[], Mapping[str, NodeRecord]],
    ) -> None:
        """``fleet`` stores all received counts; ``holder`` returns the lease holder's name, empty if none."""
        self._node = node
        self._node_incarnation = secrets.randbits(NODE_INCARNATION_BITS)
        self._tally = tally
        self._fleet = fleet
        self._holder = holder
        self._members = members
        self._links = PeerLinks()
        self._acknowledged = AcknowledgedCounts()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await asyncio.sleep(report_interval_s(len(self._members())))
            await self.step()

    async def step(self) -> None:
        """Send one report to the lease holder if a rollout is active."""
        if not self._tally.by_service:
            self._links.keep(set())
            self._acknowledged.clear()
            return
        counts = self._tally.snapshot()
        self._fleet.add_report(CountsReport(self._node, self._node_incarnation, counts))
        holder = self._holder()
        member = self._members().get(holder)
        if holder == self._node or member is None or member.address is None:
            return
        self._links.keep({holder})
        unacknowledged = (
            self._acknowledged.unacknowledged(counts) if self._acknowledged.holder[0] == holder else counts
        )
        report = CountsReport(self._node, self._node_incarnation, unacknowledged)
        try:
            reply = await self._links.to(holder, member.address).ask(report, CountsAcknowledged, ANSWER_TIMEOUT_S)
        except PeerUnavailableError:
            return  # Not logged: the next report contains these counts too, and may go to another holder.
        self._acknowledged.on_acknowledged((holder, reply.life), unacknowledged)

    async def on_counts_report(self, report: CountsReport) -> CountsAcknowledged:
        """Add another node's report, whoever holds the lease, and return the acknowledgement: the row of a lease
        that this node has just acquired may arrive later."""
        self._fleet.add_report(report)
        return CountsAcknowledged(self._node_incarnation)

    def close(self) -> None:
        """Close the connection to the lease holder."""
        self._links.keep(set())
