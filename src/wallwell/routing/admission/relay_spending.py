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


class _Report(msgspec.Struct, frozen=True):
    """What a relay reported in one life, and when."""

    life: int
    totals: Mapping[str, int]
    at_s: float


class RelaySpending:
    """The last totals of every relay that is heard, by its name."""

    def __init__(self) -> None:
        self._last: dict[str, _Report] = {}

    def __len__(self) -> int:
        return len(self._last)

    def take(self, relay: str, life: int, totals: Mapping[str, int], now_s: float) -> dict[str, int]:
        """Take a relay's totals by tenant; returns what is new since its last report.

        Nothing is new in the first report, after a restart of the relay or after a silence. What was refunded is
        negative.
        """
        last = self._last.get(relay)
        if last is None:
            self._forget_silent(now_s)
        self._last[relay] = _Report(life, totals, now_s)
        if last is None or last.life != life or now_s - last.at_s > RELAY_SILENCE_S:
            return {}
        return {tenant: total - last.totals.get(tenant, 0) for tenant, total in totals.items()}

    def _forget_silent(self, now_s: float) -> None:
        """Drop what counts no more: nodes are replaced under new names, and each reports all tenants that spend."""
        self._last = {name: last for name, last in self._last.items() if now_s - last.at_s <= RELAY_SILENCE_S}
