"""Interface of the store for rollouts: two rows a service, which one node writes and every node follows."""

from __future__ import annotations

from typing import Protocol

import msgspec

from wallwell.rollout.model import RolloutRecord

LEASE_NAME = "software"
"""The lease whose holder writes them."""
RECORD_PREFIX = "software/"
"""Keys of records in this product's own table, before the service's name."""


class StoredRollout(msgspec.Struct, frozen=True):
    """A service's rows as they were read or written. A version of 0 means that there is no such row."""

    record: RolloutRecord | None = None
    record_version: int = 0
    status: str = ""
    """The text that operators read."""
    status_version: int = 0


class RolloutStore(Protocol):
    """Reads and writes the two rows of a service's rollout: the record, and the status for operators."""

    async def read(self, service: str) -> StoredRollout:
        """Return both rows. Raises :class:`PlatformUnavailableError`."""
        ...

    async def write(self, record: RolloutRecord, seen: StoredRollout, lease_version: int) -> StoredRollout:
        """Write the record, and its status if that has changed, together and return what is stored now.

        Nothing is written unless both rows are as they were ``seen`` and the row of the lease on rollouts has
        ``lease_version``. Raises :class:`TableConflictError` (nothing written) or
        :class:`PlatformUnavailableError` (unknown whether written; read before the next write).
        """
        ...
