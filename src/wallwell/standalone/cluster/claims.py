"""Claims that make a call with an idempotency key run at most once.

Before it sends such a call, a router inserts a claim row under (tenant, key), conditional on there being none.
An open claim is never taken over, however long its holder is silent: that is what keeps a paused or dead
router's call from running a second time. A claim is only released by its own holder, and only with proof
that nothing ran.

Owns the form of claim rows; relies on the table service for their conditional writes.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import msgspec

from wallwell.errors import (
    ClaimUnavailableError,
    KeyReusedError,
    PlatformUnavailableError,
    TableConflictError,
)
from wallwell.events import Event, emit
from wallwell.storage.table import Condition, Put, Row, TableService, Transaction

CLAIM_PREFIX = "claim/"
_MAX_TRIES = 3
"""Tries to write a claim. Each lost answer costs one and is settled by reading the row."""
MAX_RECORDED_BODY_CHARS = 64 * 1024
"""Largest answer recorded with a claim, in characters; a larger one is not replayed to a resend. Bounds rows of the
table."""
RETRY_AFTER_MS = 1000
"""When a caller may ask again after the table gave no certain answer."""


class ClaimState(enum.StrEnum):
    """Where a claim stands."""

    OPEN = "open"
    RELEASED = "released"
    DONE = "done"


class ClaimBody(msgspec.Struct, frozen=True):
    """Contents of a claim row."""

    claim_id: str
    digest: str
    state: ClaimState
    status: int = 0
    body: str = ""


class ClaimResult(enum.Enum):
    """What :func:`ClaimTable.claim` found."""

    GRANTED = "granted"
    RECORDED = "recorded"
    OPEN_ELSEWHERE = "open_elsewhere"


@dataclass(frozen=True)
class Claim:
    """Result of claiming, with the recorded answer if there is one."""

    result: ClaimResult
    row_key: str
    claim_id: str
    content_digest: str
    version: int = 0
    status: int = 0
    body: str = ""


class ClaimTable:
    """Claims of one router in the table service."""

    def __init__(self, table: TableService) -> None:
        self._table = table

    async def claim(self, tenant: str, key: str, content_digest: str, claim_id: str) -> Claim:
        """Insert a claim, or find out who has it.

        Raises :class:`KeyReusedError` when the key was used with another body, and
        :class:`ClaimUnavailableError` when the table service gave no certain answer; the call was not sent.
        """
        row_key = f"{CLAIM_PREFIX}{tenant}/{key}"
        for _ in range(_MAX_TRIES):
            try:
                return await self._claim_once(row_key, content_digest, claim_id)
            except PlatformUnavailableError as error:
                # The insert may have taken effect; the next try then finds its own claim id.
                emit(Event.CLAIM_RETRIED, claim=claim_id, reason=str(error))
            except TableConflictError as error:
                # Somebody wrote in between: the next try reads what stands there now.
                emit(Event.CLAIM_RETRIED, claim=claim_id, reason=str(error))
        raise ClaimUnavailableError("the table service did not confirm the claim", retry_after_ms=RETRY_AFTER_MS)

    async def _claim_once(self, row_key: str, content_digest: str, claim_id: str) -> Claim:
        row = await self._table.get(row_key)
        if row is not None:
            body = msgspec.json.decode(row.value, type=ClaimBody)
            if body.digest != content_digest:
                raise KeyReusedError(f"key was used with another body: {row_key}")
            if body.state is ClaimState.DONE:
                return Claim(
                    ClaimResult.RECORDED, row_key, claim_id, content_digest, row.version, body.status, body.body
                )
            if body.state is ClaimState.OPEN and body.claim_id == claim_id:
                return Claim(ClaimResult.GRANTED, row_key, claim_id, content_digest, row.version)
            if body.state is ClaimState.OPEN:
                return Claim(ClaimResult.OPEN_ELSEWHERE, row_key, claim_id, content_digest, row.version)
        version = await self._write(row_key, row, ClaimBody(claim_id, content_digest, ClaimState.OPEN))
        return Claim(ClaimResult.GRANTED, row_key, claim_id, content_digest, version)

    async def _write(self, row_key: str, row: Row | None, body: ClaimBody) -> int:
        condition = Condition(row_key, row.version if row else 0)
        put = Put(row_key, msgspec.json.encode(body).decode())
        return await self._table.transact(Transaction((condition,), (put,)))

    async def record(self, claim: Claim, status: int, body: str) -> bool:
        """Record the answer of a granted claim; returns whether it is certainly recorded."""
        stored = body if len(body) <= MAX_RECORDED_BODY_CHARS else ""
        return await self._settle(
            claim, ClaimBody(claim.claim_id, claim.content_digest, ClaimState.DONE, status, stored)
        )

    async def release(self, claim: Claim) -> bool:
        """Release a claim whose call provably never ran."""
        return await self._settle(claim, ClaimBody(claim.claim_id, claim.content_digest, ClaimState.RELEASED))

    async def _settle(self, claim: Claim, body: ClaimBody) -> bool:
        for _ in range(_MAX_TRIES):
            try:
                row = await self._table.get(claim.row_key)
                if row is None:
                    return True
                current = msgspec.json.decode(row.value, type=ClaimBody)
                if current.claim_id != claim.claim_id or current.state is not ClaimState.OPEN:
                    return True  # Settled by an earlier try, or taken over after a release.
                await self._write(claim.row_key, row, body)
                return True
            except (PlatformUnavailableError, TableConflictError) as error:
                emit(Event.CLAIM_RETRIED, claim=claim.claim_id, reason=str(error))
        return False
