"""What other relays report as spent through them, and how much of it is new. Pure.

Relays report totals since their start, so a lost report does no harm: the next one includes its amounts. Only the
difference between a total and the previous one of the same incarnation of the relay counts.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

RELAY_SILENCE_S = 1.5
"""Seconds after which a relay's last totals are no longer used: the lifetime of the loads that it reports.

During a longer silence, the limit refilled as well. Counting all that was spent meanwhile at once would refuse all
requests for as long as the silence."""


class _RelayReport(msgspec.Struct, frozen=True):
    """The totals that one incarnation of a relay reported, and when this node received them."""

    node_incarnation: int
    totals: Mapping[str, int]
    received_s: float


class RelaySpending:
    """The last reported totals of every relay."""

    def __init__(self) -> None:
        self._reports: dict[str, _RelayReport] = {}

    def __len__(self) -> int:
        return len(self._reports)

    def on_report(
        self, relay: str, node_incarnation: int, totals: Mapping[str, int], now_s: float
    ) -> dict[str, int]:
        """Store a relay's totals by limit key; returns what they add to its last report.

        The result is empty for the first report of a relay, after its restart and after a silence. Refunds are
        negative.
        """
        last = self._reports.get(relay)
        if last is None:
            self._forget_silent_relays(now_s)
        self._reports[relay] = _RelayReport(node_incarnation, totals, now_s)
        if last is None or last.node_incarnation != node_incarnation or now_s - last.received_s > RELAY_SILENCE_S:
            return {}
        return {limit_key: total - last.totals.get(limit_key, 0) for limit_key, total in totals.items()}

    def _forget_silent_relays(self, now_s: float) -> None:
        """Remove expired reports: nodes are replaced under new names, and each report lists all limits in use."""
        self._reports = {
            name: report for name, report in self._reports.items() if now_s - report.received_s <= RELAY_SILENCE_S
        }
