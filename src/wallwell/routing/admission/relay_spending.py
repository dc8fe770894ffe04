"""What other relays report to have been spent through them, and what of it is new. Pure.

Relays report totals since their start, so a lost report loses nothing: the next one contains it. A total counts by
its difference to the last one of the same life of the relay.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

RELAY_SILENCE_S = 1.5
"""Seconds after which a relay's last totals count no more: the lifetime of the loads that it reports.

What was spent in a longer silence was earned in it too; counted at once it would refuse everybody for as long."""


class _RelayReport(msgspec.Struct, frozen=True):
    """What a relay reported in one life, and when."""

    incarnation: int
    totals: Mapping[str, int]
    received_s: float


class RelaySpending:
    """The last totals of every relay that is heard, by its name."""

    def __init__(self) -> None:
        self._last_reports: dict[str, _RelayReport] = {}

    def __len__(self) -> int:
        return len(self._last_reports)

    def add_report(self, relay: str, incarnation: int, totals: Mapping[str, int], now_s: float) -> dict[str, int]:
        """Take a relay's totals by tenant; returns what is new since its last report.

        Nothing is new in the first report, after a restart of the relay or after a silence. What was refunded is
        negative.
        """
        previous = self._last_reports.get(relay)
        if previous is None:
            self._remove_silent_relays(now_s)
        self._last_reports[relay] = _RelayReport(incarnation, totals, now_s)
        if previous is None or previous.incarnation != incarnation or now_s - previous.received_s > RELAY_SILENCE_S:
            return {}
        return {tenant: total - previous.totals.get(tenant, 0) for tenant, total in totals.items()}

    def _remove_silent_relays(self, now_s: float) -> None:
        """Drop what counts no more: nodes are replaced under new names, and each reports all tenants that spend."""
        self._last_reports = {
            name: report
            for name, report in self._last_reports.items()
            if now_s - report.received_s <= RELAY_SILENCE_S
        }
