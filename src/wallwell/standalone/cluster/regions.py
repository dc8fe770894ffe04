"""Exchange of region summaries between a few delegates of each region.

Delegates are chosen by rendezvous hash over the live members of the region, so that no node has to be dedicated to
the task, and the next node replaces a failed delegate at once. Other nodes exchange no summaries; members of their
own region inform them of a new configuration revision.

Owns the latest summary of each region. Does no I/O: the caller provides random numbers and times.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from wallwell.routing.rendezvous import owners, rendezvous_key
from wallwell.standalone.cluster.messages import Action, FetchConfig, RegionExchange, RegionSummary, Send

DELEGATE_COUNT = 2
"""Nodes of a region that exchange summaries with other regions: two, in case one fails."""
CONTACT_COUNT = 3
"""Node addresses in a region's summary, by which other regions contact it: several, in case one fails."""
REGION_INTERVAL_JITTER = (0.8, 1.2)
"""Range of random multiples of the interval, so that delegates do not send at the same time."""
REGION_INTERVAL_S = 1.0
"""Mean seconds between two exchanges of a delegate, each of which is with one other region."""


@dataclass
class RegionDelegate:
    """Exchanges region summaries on behalf of one node."""

    node: str
    region: str
    rng: random.Random
    summaries: dict[str, RegionSummary] = field(default_factory=dict)
    _next_exchange_s: float = 0.0

    def is_delegate(self, alive: list[str]) -> bool:
        """Return whether this node exchanges summaries for its region; ``alive`` are its live members."""
        return self.node in owners(alive, rendezvous_key(f"delegate/{self.region}"), DELEGATE_COUNT)

    def update_own_summary(self, config_head: int, contacts: tuple[str, ...], now_ms: int) -> None:
        """Rebuild the summary of this node's region."""
        self.summaries[self.region] = RegionSummary(self.region, now_ms, config_head, contacts)

    def is_due(self, now_s: float) -> bool:
        """Return whether the next exchange is due."""
        return now_s >= self._next_exchange_s

    def tick(self, now_s: float, alive: list[str], seeds: tuple[str, ...]) -> list[Action]:
        """Exchange summaries with one other region, if this node is a delegate."""
        self._next_exchange_s = now_s + REGION_INTERVAL_S * self.rng.uniform(*REGION_INTERVAL_JITTER)
        if not self.is_delegate(alive):
            return []
        others = [summary for name, summary in self.summaries.items() if name != self.region]
        if others:
            # The contact may have failed; later rounds pick other contacts of the region.
            address = self.rng.choice(self.rng.choice(others).contacts)
        elif seeds:
            address = self.rng.choice(seeds)
        else:
            return []
        return [Send(address, self._make_exchange(wants_answer=True))]

    def _make_exchange(self, wants_answer: bool) -> RegionExchange:
        return RegionExchange(tuple(self.summaries.values()), wants_answer)

    def on_region_exchange(self, message: RegionExchange, sender_address: str, config_head: int) -> list[Action]:
        """Merge summaries; fetch the configuration if another region has a higher revision."""
        actions: list[Action] = []
        for summary in message.summaries:
            if not summary.contacts:
                continue  # Nothing could be sent to that region, nor would a newer summary come from it.
            stored = self.summaries.get(summary.region)
            if summary.region != self.region and (stored is None or summary.stamp_ms > stored.stamp_ms):
                self.summaries[summary.region] = summary
        highest = max((summary.config_head for summary in message.summaries), default=0)
        if highest > config_head:
            actions.append(FetchConfig(sender_address, highest))
        if message.wants_answer and self.region in self.summaries:
            actions.append(Send(sender_address, self._make_exchange(wants_answer=False)))
        return actions
