"""Interface of the store for rollouts: two rows per service, written by the lease holder and read by every node."""

from __future__ import annotations

from typing import Protocol

import msgspec

from wallwell.rollout.model import RolloutRecord

LEASE_NAME = "software"
"""Name of the lease whose holder writes the rows of rollouts."""
RECORD_PREFIX = "software/"
"""Key prefix of records in this product's own table; the service's name follows."""


class StoredRollout(msgspec.Struct, frozen=True):
    """A service's two rows as last read or written. A version of 0 means that the row does not exist."""

    record: RolloutRecord | None = None
    record_version: int = 0
    status: str = ""
    """Text of the status row, for operators."""
    status_version: int = 0


class RolloutStore(Protocol):
    """Reads and writes the two rows of a service's rollout: the record, and the status for operators."""

    async def read(self, service: str) -> StoredRollout:
        """Return both rows. Raises :class:`PlatformUnavailableError`."""
        ...

    async def write(self, record: RolloutRecord, seen: StoredRollout, lease_version: int) -> StoredRollout:
        """Write the record, and the status if it has changed, in one transaction and return the rows then stored.
        Nothing is written unless both rows still have the versions in ``seen`` and the row of the rollout lease has
        ``lease_version``. Raises :class:`TableConflictError` (nothing written) or :class:`PlatformUnavailableError`
        (unknown whether written; read before the next write)."""
        ...
