"""Periodic work, once a second: registers the node, closes idle connections, drops lapsed back ends.

Owns only the period; the state belongs to the objects that it calls. Relies on the nodes' own table being followed,
since a node registers only after reading it.
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
"""Mean seconds between two runs; a lapsed back end is dropped at most about one period late."""
HOUSEKEEPING_JITTER = (0.8, 1.2)
"""Range of random factors on the period, so that nodes started together do not write to the store together."""
OWN_ROWS_CHECK_INTERVAL_S = 0.1
"""Seconds between two checks whether the nodes' own table has been read. It is short because a node that is not
registered cannot follow a peer, so that each of its reads is a call to the store."""


class Housekeeping:
    """Runs one node's periodic work."""

    def __init__(
        self,
        member_rows: MemberRows,
        own_record: Callable[[], NodeRecord],
        backend_rows: BackendRows,
        pool: ConnectionPool,
        rng: random.Random,
    ) -> None:
        """``own_record`` returns the current content of this node's member row."""
        self._member_rows = member_rows
        self._own_record = own_record
        self._backend_rows = backend_rows
        self._pool = pool
        self._rng = rng

    async def run(self) -> None:
        """Register once the rows have been read, then repeat the periodic work until cancelled."""
        while not self._member_rows.has_been_read:
            await asyncio.sleep(OWN_ROWS_CHECK_INTERVAL_S)
        while True:
            await self._member_rows.register(self._own_record())
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S * self._rng.uniform(*HOUSEKEEPING_JITTER))
            self._pool.close_expired(boot_time_s())
            self._backend_rows.drop_lapsed(boot_time_s())
