"""What a node does once a second: registers itself, closes idle connections, drops lapsed back ends.

Owns the period alone; each step's state is its object's. Relies on the own rows being followed, since a node
registers after it has read them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from wallwell.clock import boot_time_s
from wallwell.cluster.upstream import NodeRecord
from wallwell.http_connection import ConnectionPool
from wallwell.node.backend_rows import BackendRows
from wallwell.node.member_rows import MemberRows

HOUSEKEEPING_INTERVAL_S = 1.0
"""Mean seconds between two rounds: lapsed back ends are dropped at most this much late."""
HOUSEKEEPING_JITTER = (0.8, 1.2)
"""Range of factors on the period, so that nodes that start together do not write to the store together."""
OWN_ROWS_CHECK_INTERVAL_S = 0.1
"""Seconds between two checks whether the own rows are read: until a node is registered it cannot follow a peer, and
each of its readings is a call to the store."""


class Housekeeping:
    """One node's periodic steps."""

    def __init__(
        self,
        member_rows: MemberRows,
        own_record: Callable[[], NodeRecord],
        backend_rows: BackendRows,
        pool: ConnectionPool,
        rng: random.Random,
    ) -> None:
        """``own_record`` returns the row by which peers should know this node now."""
        self._member_rows = member_rows
        self._own_record = own_record
        self._backend_rows = backend_rows
        self._pool = pool
        self._rng = rng

    async def run(self) -> None:
        """Run until cancelled."""
        while not self._member_rows.has_been_read:
            await asyncio.sleep(OWN_ROWS_CHECK_INTERVAL_S)
        while True:
            await self._member_rows.register(self._own_record())
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S * self._rng.uniform(*HOUSEKEEPING_JITTER))
            self._pool.sweep(boot_time_s())
            self._backend_rows.drop_lapsed(boot_time_s())
