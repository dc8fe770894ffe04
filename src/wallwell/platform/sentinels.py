"""Keeps, for each worker that sends answers without a length, a connection that shows when its process ends.

Nothing is sent on such a sentinel. All answers of a worker that are in flight share one; when the last of them has
ended, it goes back to the pool and carries the next request. Owns the sentinels. Relies on the pool to connect.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from wallwell.address import Address
from wallwell.backend_connection import BackendConnection
from wallwell.http_connection import ConnectFailedError, ConnectionPool


class Sentinel:
    """The sentinel of one worker, opened again if the worker closes it."""

    def __init__(self, pool: ConnectionPool, address: Address) -> None:
        self.connection: BackendConnection | None = None
        """The last one that was opened; None if none could be."""
        self.users = 0
        """Answers in flight that it serves."""
        self._pool = pool
        self._address = address
        self._opening = asyncio.Lock()

    async def ensure_open(self) -> BackendConnection | None:
        """Open the sentinel unless it is open; return it, None if the worker accepts no connection."""
        async with self._opening:
            if self.connection is None or self.connection.closed:
                try:
                    self.connection = await self._pool.acquire(self._address, "")
                except ConnectFailedError:
                    self.connection = None  # The end of the answer is then judged without it, and logged.
            return self.connection

    def release(self) -> None:
        """Return the connection to the pool."""
        if self.connection is not None:
            self._pool.put_back(self._address, self.connection)


class Sentinels:
    """The sentinels of all workers."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._by_address: dict[Address, Sentinel] = {}

    @asynccontextmanager
    async def use(self, address: Address) -> AsyncIterator[Sentinel]:
        """Return the sentinel of the worker at an address, which is not opened yet if no other answer uses it."""
        sentinel = self._by_address.get(address)
        if sentinel is None:
            sentinel = self._by_address[address] = Sentinel(self._pool, address)
        sentinel.users += 1
        try:
            yield sentinel
        finally:
            sentinel.users -= 1
            if not sentinel.users:
                del self._by_address[address]
                sentinel.release()
