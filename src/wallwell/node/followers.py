"""The three tables that a node follows, each through a peer or from the store itself, and passes on to peers.

Owns the node's copies of the rows (:class:`RelayedRows`) and their followers. Relies on :class:`UpstreamOrder` for
the choice of a peer.
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
    """How a table is read. Seconds."""

    wait_s: float
    """How long one reading is held open for the first change."""
    pause_s: float
    """Pause after a change before the next reading, so that changes that come close together cost one call."""


OPERATORS_TIMING = FeedTiming(wait_s=0.8, pause_s=0.0)
"""A relayed row is passed on up to 0.7 s beyond one reading (``relay.STALE_MARGIN_S``): 1.5 s in all, below the 2 s
within which a configuration has to be applied and a stopping back end to be left. A longer wait would cost fewer
calls to the store. No pause: each change counts at once."""
BACKENDS_TIMING = FeedTiming(wait_s=0.8, pause_s=0.1)
"""The same wait for the same bound. The pause joins the entries of back ends that change together."""
OWN_TIMING = FeedTiming(wait_s=2.0, pause_s=0.2)
"""A change ends a reading at once, so a longer wait delays nothing while the store answers, and costs fewer calls.
A relay that has lost the store is noticed after 2.7 s instead of 1.5 s (``relay.STALE_MARGIN_S``)."""


class TableFollowers:
    """Builds the followers of tables and closes their connections to peers."""

    def __init__(self, state: NodeState, order: UpstreamOrder, clock: StoreClock) -> None:
        self._state = state
        self._order = order
        self._clock = clock
        self.relayed_tables: dict[str, RelayedRows] = {}
        """Copies of the rows by table; peers' requests are answered from them."""
        self.followers: list[RowFollower] = []

    def add(self, name: str, store: RowSource, apply: Callable[[FollowedPage], None], timing: FeedTiming) -> None:
        """Follow a table. ``name`` is its name between nodes; ``apply`` receives every page in order."""
        era = self._state.store_era
        rows = RelayedRows(name, store, self._order, self._clock, timing.wait_s, timing.pause_s, era)
        self.relayed_tables[name] = rows
        self.followers.append(RowFollower(name, rows, apply, timing.wait_s, self._clock, self._state.rng))

    def close(self) -> None:
        """Close the connections to peers."""
        for rows in self.relayed_tables.values():
            rows.close()
