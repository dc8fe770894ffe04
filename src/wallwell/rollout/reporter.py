"""Sends this node's counts of rollouts to the node that decides them."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Mapping

from wallwell.cluster.peer_link import PeerLinks
from wallwell.cluster.upstream import NodeRecord
from wallwell.errors import PeerUnavailableError
from wallwell.rollout.reports import CountsReport, CountsTaken, FleetCounts, TakenCounts
from wallwell.rollout.tally import RolloutTally

REPORT_INTERVAL_S = 0.3
"""Time between two reports of a node in a fleet of up to :data:`NODES_AT_FULL_PACE`.

Larger fleets report less often, so that the node that decides takes some 330 reports a second at most."""
NODES_AT_FULL_PACE = 100
ANSWER_TIMEOUT_S = 0.3
LIFE_BITS = 63
"""Length of the random number that tells a node's life from its earlier ones; a positive JSON integer."""


def report_interval_s(nodes: int) -> float:
    """Return the time between two reports of a node."""
    return REPORT_INTERVAL_S * max(1.0, nodes / NODES_AT_FULL_PACE)


class CountsReporter:
    """One node's reports; nothing is sent while no rollout is on."""

    def __init__(
        self,
        node: str,
        tally: RolloutTally,
        fleet: FleetCounts,
        holder: Callable[[], str],
        members: Callable[[], Mapping[str, NodeRecord]],
    ) -> None:
        """``fleet`` is what this node decides by when it holds the lease, ``holder`` names who does."""
        self._node = node
        self._life = secrets.randbits(LIFE_BITS)
        self._tally = tally
        self._fleet = fleet
        self._holder = holder
        self._members = members
        self._links = PeerLinks()
        self._taken = TakenCounts()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(report_interval_s(len(self._members())))
            await self.step()

    async def step(self) -> None:
        """Report once."""
        if not self._tally.by_service:
            self._links.keep(set())
            self._taken.clear()
            return
        counts = self._tally.counts()
        self._fleet.take(CountsReport(self._node, self._life, counts))
        holder = self._holder()
        member = self._members().get(holder)
        if holder == self._node or member is None or not member.relay:
            return
        self._links.keep({holder})
        unsaid = self._taken.unsaid(counts) if self._taken.holder[0] == holder else counts
        report = CountsReport(self._node, self._life, unsaid)
        try:
            reply = await self._links.to(holder, member.relay).ask(report, CountsTaken, ANSWER_TIMEOUT_S)
        except PeerUnavailableError:
            return  # The next report holds all that this one did, and may go to another holder.
        self._taken.on_taken((holder, reply.life), unsaid)

    async def on_report(self, report: CountsReport) -> CountsTaken:
        """Take another node's report. It counts whoever holds the lease: its row may be on its way here."""
        self._fleet.take(report)
        return CountsTaken(self._life)

    def close(self) -> None:
        """Close the connection to the holder."""
        self._links.keep(set())
