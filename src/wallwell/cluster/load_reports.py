"""The load of all nodes together, summed from their reports. Pure.

Members of a zone report to the relay that follows the store for them; relays report the sums of their members to
each other. Owns the newest report of each sender, and how long a report counts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from wallwell.cluster.stated_limits import ReportedLimit, newest_limits
from wallwell.number_ranges import MAX_COUNT, Amount, Count, limit_amounts, limit_counts
from wallwell.routing.retry.first_token import DelayCounts, sum_delay_counts

REPORT_LIFETIME_S = 1.5
"""Seconds for which a report counts. A node that is silent for longer may be gone, and its requests with it. Long
enough for a report by the third delegate of a region, which arrives after 1.45 s."""


class Load(msgspec.Struct, frozen=True):
    """The load of one node, or of several together; ``nodes`` is their number.

    ``requests`` counts requests in flight by back end, long prompts several times. ``generations`` counts those
    requested in the last ``RATE_WINDOW_S`` of :mod:`wallwell.cluster.demand`. ``delays`` counts late first tokens.
    ``asked`` counts the tokens that tenants with a limit asked for in the last ``DEMAND_WINDOW_S`` of
    :mod:`wallwell.routing.admission.fleet_limits`. ``stated_limits`` has the limits stated by back ends that these
    nodes have read; it is omitted if there is none, and nodes of older versions neither send nor read it.
    ``configuration`` is the newest version of the operators' configuration in force on these nodes; it is omitted
    while the store counts no eras, and older versions neither send nor read it.
    """

    requests: dict[str, Count] = {}
    generations: Count = 0
    delays: DelayCounts = DelayCounts()
    asked: dict[str, Amount] = {}
    nodes: Count = 0
    stated_limits: dict[str, ReportedLimit] | msgspec.UnsetType = msgspec.UNSET
    configuration: Amount | msgspec.UnsetType = msgspec.UNSET

    def aged_by(self, seconds: float) -> Load:
        """Return the load as it is forwarded ``seconds`` after it was received, with older ``stated_limits``."""
        if self.stated_limits is msgspec.UNSET:
            return self
        aged = {incarnation: limit.aged_by(seconds) for incarnation, limit in self.stated_limits.items()}
        return msgspec.structs.replace(self, stated_limits=aged)


def sum_loads(loads: Collection[Load]) -> Load:
    """Return the sum of several loads, with the newest of their stated limits and configuration versions."""
    requests: Counter[str] = Counter()
    asked: Counter[str] = Counter()
    for load in loads:
        requests.update(load.requests)
        asked.update(load.asked)
    return Load(
        requests=limit_counts(requests),
        generations=min(MAX_COUNT, sum(load.generations for load in loads)),
        delays=sum_delay_counts(load.delays for load in loads),
        asked=limit_amounts(asked),
        nodes=min(MAX_COUNT, sum(load.nodes for load in loads)),
        stated_limits=newest_limits(
            [load.stated_limits for load in loads if load.stated_limits is not msgspec.UNSET]
        ),
        configuration=max(
            (load.configuration for load in loads if load.configuration is not msgspec.UNSET),
            default=msgspec.UNSET,
        ),
    )


@dataclass
class LoadReports:
    """The newest report of each sender, with the local time of its arrival."""

    _reports: dict[str, tuple[Load, float]] = field(default_factory=dict)

    def record(self, sender: str, load: Load, now_s: float) -> None:
        """Store a report in place of the sender's previous one."""
        self._reports[sender] = (load, now_s)

    def recent(self, now_s: float, excluding: str = "") -> list[Load]:
        """Drop expired reports, and return the others except the one of the sender ``excluding``."""
        self._reports = {
            sender: (load, at_s)
            for sender, (load, at_s) in self._reports.items()
            if now_s - at_s < REPORT_LIFETIME_S
        }
        return [load.aged_by(now_s - at_s) for sender, (load, at_s) in self._reports.items() if sender != excluding]
