"""Reads and writes a rollout's rows in the platform's store: the router's record, and the status for operators.

Both rows of a service are written in one transaction, on condition that the writer holds the rollout lease. Uses
:class:`wallwell.platform.store.PlatformStore`; :mod:`wallwell.platform.rows` encodes the status row.
"""

from __future__ import annotations

import asyncio

import msgspec

from wallwell.cluster.leases import LEASE_PREFIX
from wallwell.events import Event, emit
from wallwell.platform import names
from wallwell.platform.rows import encode_rollout_status
from wallwell.platform.store import PlatformStore
from wallwell.platform.store_wire import TransactBody, condition_entry, put_entry
from wallwell.rollout.model import RolloutRecord
from wallwell.rollout.store import LEASE_NAME, RECORD_PREFIX, StoredRollout
from wallwell.storage.row_values import decode_value


class PlatformRolloutStore:
    """Implements :class:`wallwell.rollout.store.RolloutStore` with the platform's store."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def read(self, service: str) -> StoredRollout:
        """See :class:`RolloutStore`. An undecodable record is logged and treated as missing; writes replace it."""
        record_row, status_row = await asyncio.gather(
            self._store.get_row(names.ROUTER_TABLE, RECORD_PREFIX + service),
            self._store.get_row(names.STATUS_TABLE, names.ROLLOUT_KEY_PREFIX + service),
        )
        return StoredRollout(
            record=_decode_record(record_row.value) if record_row is not None else None,
            record_version=record_row.version if record_row is not None else 0,
            status=status_row.value if status_row is not None else "",
            status_version=status_row.version if status_row is not None else 0,
        )

    async def write(self, record: RolloutRecord, seen: StoredRollout, lease_version: int) -> StoredRollout:
        """See :class:`RolloutStore`. Conditions on the lease and both rows prevent writes by a former holder."""
        record_key = RECORD_PREFIX + record.service
        status_key = names.ROLLOUT_KEY_PREFIX + record.service
        status = encode_rollout_status(record)
        status_changed = status != seen.status
        puts = [put_entry(names.ROUTER_TABLE, record_key, msgspec.json.encode(record).decode())]
        if status_changed:
            puts.append(put_entry(names.STATUS_TABLE, status_key, status))
        conditions = (
            condition_entry(names.ROUTER_TABLE, LEASE_PREFIX + LEASE_NAME, lease_version),
            condition_entry(names.ROUTER_TABLE, record_key, seen.record_version),
            condition_entry(names.STATUS_TABLE, status_key, seen.status_version),
        )
        version = await self._store.transact_rows(TransactBody(conditions, tuple(puts), ()))
        return StoredRollout(record, version, status, version if status_changed else seen.status_version)


def _decode_record(text: str) -> RolloutRecord | None:
    try:
        return decode_value(text, RolloutRecord)
    except msgspec.MsgspecError as error:
        emit(Event.ROLLOUT_REFUSED, row="record", error=str(error))
        return None
