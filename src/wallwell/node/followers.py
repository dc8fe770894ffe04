"""Follows the store's three tables, through a peer or from the store itself, and relays their rows to peers.

Owns the node's copies of the rows (:class:`RelayedRows`) and their followers. Relies on :class:`UpstreamOrder` to
choose a peer.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from wallwell.cluster.relay import RelayedRows
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.deployment.freshness import StoreClock
from wallwell.node.state import NodeState
from wallwell.storage.feed import FollowedPage, RowFollower, RowSource


class FeedTiming(msgspec.Struct, frozen=True):
    """Timing of the calls that read a table, in seconds."""

    wait_s: float
    """How long a call is held open until there is a change."""
    pause_s: float
    """Pause after a change before the next call, so that changes in quick succession cost one call."""


OPERATORS_TIMING = FeedTiming(wait_s=0.8, pause_s=0.0)
"""A peer may relay rows that are up to 0.7 s older than one held call (``relay.STALE_MARGIN_S``). The sum, 1.5 s,
is below the 2 s within which a configuration must be applied and a stopping back end must get no more requests. A
longer wait would need fewer calls to the store. There is no pause, so that each change is applied at once."""
BACKENDS_TIMING = FeedTiming(wait_s=0.8, pause_s=0.1)
"""The wait follows from the same bound of 2 s. With the pause, entries that change together arrive in one page."""
OWN_TIMING = FeedTiming(wait_s=2.0, pause_s=0.2)
"""A change ends a held call at once, so the longer wait delays nothing while the store answers, and needs fewer
calls. A relay that has lost the store is noticed after 2.7 s instead of 1.5 s (``relay.STALE_MARGIN_S``)."""


class TableFollowers:
    """Builds the followers of tables and closes their connections to peers."""

    def __init__(self, state: NodeState, order: UpstreamOrder, clock: StoreClock) -> None:
        self._state = state
        self._order = order
        self._clock = clock
        self.relayed_tables: dict[str, RelayedRows] = {}
        """This node's copies of the rows, by table; requests of peers are answered from them."""
        self.followers: list[RowFollower] = []

    def add(self, name: str, store: RowSource, apply: Callable[[FollowedPage], None], timing: FeedTiming) -> None:
        """Add a follower of a table. Peers know the table by ``name``; ``apply`` receives every page in order."""
        era = self._state.store_era
        rows = RelayedRows(name, store, self._order, self._clock, timing.wait_s, timing.pause_s, era)
        self.relayed_tables[name] = rows
        self.followers.append(RowFollower(name, rows, apply, timing.wait_s, self._clock, self._state.rng))

    def close(self) -> None:
        """Close the connections to peers."""
        for rows in self.relayed_tables.values():
            rows.close()
