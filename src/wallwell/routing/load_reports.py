"""How busy back ends are with the requests of all nodes, from what nodes tell each other. Pure.

Members of a zone report to the node that follows the store for them; these nodes tell each other the sums of their
members. Each load is a count of requests under way, long prompts counted several times, by back end.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

REPORT_LIFETIME_S = 1.5
"""How long a report counts; a node that has gone silent may be gone with its requests."""

Loads = Mapping[str, int]


@dataclass
class LoadReports:
    """The newest report of each sender, with the local time of its arrival."""

    _reports: dict[str, tuple[Loads, float]] = field(default_factory=dict)

    def take(self, sender: str, loads: Loads, now_s: float) -> None:
        """Replace a sender's report."""
        self._reports[sender] = (loads, now_s)

    def total(self, now_s: float, without: str = "") -> Counter[str]:
        """Return the sum of the recent reports, but for one sender's; old ones are dropped."""
        self._reports = {
            sender: (loads, at_s)
            for sender, (loads, at_s) in self._reports.items()
            if now_s - at_s < REPORT_LIFETIME_S
        }
        total: Counter[str] = Counter()
        for sender, (loads, _) in self._reports.items():
            if sender != without:
                total.update(loads)
        return total
