"""What all nodes together have in flight, from their reports. Pure.

Members of a zone report to the node that follows the store for them; these nodes report the sums of their members
to each other. Owns the newest report of each sender and for how long it counts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from wallwell.cluster.stated_limits import ReportedLimit, newest_limits
from wallwell.routing.retry.first_token import DelayCounts, sum_delay_counts

REPORT_LIFETIME_S = 1.5
"""Seconds for which a report counts; a node that is silent for longer may be gone with its requests: long enough
for the third delegate of a region to be heard, after 1.45 s."""


class Load(msgspec.Struct, frozen=True):
    """What a node, or several together, have in flight. ``nodes`` says how many they are.

    ``requests`` counts by back end, long prompts several times. ``generations`` counts those that came in the last
    ``RATE_WINDOW_S`` of :mod:`wallwell.cluster.demand`. ``delays`` says how soon answers began. ``asked`` counts
    what tenants with a limit asked for in the last ``DEMAND_WINDOW_S`` of
    :mod:`wallwell.routing.admission.fleet_limits`. ``stated_limits`` has what these nodes have read of limits that
    back ends state; it is left out where none does, and nodes of older versions neither send nor read it.
    ``configuration`` is the newest version of the operators' configuration that these nodes have in force, left out
    while the store counts no eras, and read like that.
    """

    requests: dict[str, int] = {}
    generations: int = 0
    delays: DelayCounts = DelayCounts()
    asked: dict[str, int] = {}
    nodes: int = 0
    stated_limits: dict[str, ReportedLimit] | msgspec.UnsetType = msgspec.UNSET
    configuration: int | msgspec.UnsetType = msgspec.UNSET

    def older_by(self, seconds: float) -> Load:
        """Return it as it is to be passed on ``seconds`` after it was received."""
        if self.stated_limits is msgspec.UNSET:
            return self
        aged = {incarnation: limit.older_by(seconds) for incarnation, limit in self.stated_limits.items()}
        return msgspec.structs.replace(self, stated_limits=aged)


def sum_loads(loads: Collection[Load]) -> Load:
    """Return several loads together."""
    requests: Counter[str] = Counter()
    asked: Counter[str] = Counter()
    for load in loads:
        requests.update(load.requests)
        asked.update(load.asked)
    return Load(
        requests=dict(requests),
        generations=sum(load.generations for load in loads),
        delays=sum_delay_counts(load.delays for load in loads),
        asked=dict(asked),
        nodes=sum(load.nodes for load in loads),
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

    def take(self, sender: str, load: Load, now_s: float) -> None:
        """Replace a sender's report."""
        self._reports[sender] = (load, now_s)

    def recent(self, now_s: float, without: str = "") -> list[Load]:
        """Return the recent reports, but for one sender's; old ones are dropped."""
        self._reports = {
            sender: (load, at_s)
            for sender, (load, at_s) in self._reports.items()
            if now_s - at_s < REPORT_LIFETIME_S
        }
        return [load.older_by(now_s - at_s) for sender, (load, at_s) in self._reports.items() if sender != without]
