"""Claims that make a call with an idempotency key run at most once.

Before a router sends such a call, it inserts a claim row under (tenant, key), on condition that no row exists.
Other routers never take over an open claim, however long its holder is silent, so the call of a paused or dead
router does not run a second time. Only the holder releases a claim, and only if the call provably did not run.

Defines the format of claim rows; relies on the table service for conditional writes.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Annotated

import msgspec

from wallwell.errors import (
    ClaimUnavailableError,
    KeyReusedError,
    PlatformUnavailableError,
    TableConflictError,
)
from wallwell.events import Event, emit
from wallwell.standalone.unreadable import UnreadableEntries
from wallwell.storage.table import Condition, Put, Row, TableService, Transaction

CLAIM_PREFIX = "claim/"
_MAX_TRIES = 3
"""Attempts to write a claim row. After a lost answer, the next attempt reads the row to learn the outcome."""
MAX_RECORDED_BODY_CHARS = 64 * 1024
"""Maximum characters of an answer recorded with a claim, to bound the row. A longer body is recorded as empty, so a
resend does not receive it."""
MIN_STATUS, MAX_STATUS = 200, 599
"""Range of the status of an answer that a claim records."""
RETRY_AFTER_MS = 1000
"""Retry-After in milliseconds when the table service did not confirm the claim."""


class ClaimState(enum.StrEnum):
    """State of a claim row."""

    OPEN = "open"
    RELEASED = "released"
    DONE = "done"


class ClaimBody(msgspec.Struct, frozen=True):
    """Value of a claim row, stored as JSON."""

    claim_id: str
    digest: str
    state: ClaimState
    status: Annotated[int, msgspec.Meta(ge=0, le=MAX_STATUS)] = 0
    body: str = ""


class UnreadableClaimError(ValueError):
    """A row holds no claim."""


def _decode_claim(text: str) -> ClaimBody:
    """Return the claim in a row's value. Raises :class:`UnreadableClaimError`."""
    try:
        claim = msgspec.json.decode(text, type=ClaimBody)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise UnreadableClaimError(str(error)) from error
    if claim.state is ClaimState.DONE and claim.status < MIN_STATUS:
        raise UnreadableClaimError(f"an answer with the status {claim.status}")
    return claim


class ClaimResult(enum.Enum):
    """Outcome of :meth:`ClaimTable.claim`."""

    GRANTED = "granted"
    RECORDED = "recorded"
    OPEN_ELSEWHERE = "open_elsewhere"


@dataclass(frozen=True)
class Claim:
    """Outcome of claiming a key, with the recorded status and body if the call has been answered."""

    result: ClaimResult
    row_key: str
    claim_id: str
    content_digest: str
    version: int = 0
    status: int = 0
    body: str = ""


class ClaimTable:
    """Creates and settles one router's claims in the table service."""

    def __init__(self, table: TableService) -> None:
        self._table = table
        self._unreadable = UnreadableEntries("claims")

    async def claim(self, tenant: str, key: str, content_digest: str, claim_id: str) -> Claim:
        """Insert a claim and return it; if the key is already claimed, return its state or its recorded answer.

        Raises :class:`KeyReusedError` if the key was used with another body, and
        :class:`ClaimUnavailableError` if the table service did not confirm the claim; the call was not sent.
        """
        row_key = f"{CLAIM_PREFIX}{tenant}/{key}"
        for _ in range(_MAX_TRIES):
            try:
                return await self._claim_once(row_key, content_digest, claim_id)
            except PlatformUnavailableError as error:
                # The insert may have succeeded; the next attempt then finds its own claim id in the row.
                emit(Event.CLAIM_RETRIED, claim=claim_id, reason=str(error))
            except TableConflictError as error:
                # Another router wrote the row after it was read: the next attempt reads the new row.
                emit(Event.CLAIM_RETRIED, claim=claim_id, reason=str(error))
        raise ClaimUnavailableError("the table service did not confirm the claim", retry_after_ms=RETRY_AFTER_MS)

    async def _claim_once(self, row_key: str, content_digest: str, claim_id: str) -> Claim:
        row = await self._table.get(row_key)
        if row is not None:
            try:
                body = _decode_claim(row.value)
            except UnreadableClaimError as error:
                # Whether the call ran is unknown, so it must not run now.
                self._unreadable.report(row_key, error)
                return Claim(ClaimResult.OPEN_ELSEWHERE, row_key, claim_id, content_digest, row.version)
            if body.digest != content_digest:
                raise KeyReusedError(f"idempotency key was used with another body: {row_key}")
            if body.state is ClaimState.DONE:
                return Claim(
                    ClaimResult.RECORDED, row_key, claim_id, content_digest, row.version, body.status, body.body
                )
            if body.state is ClaimState.OPEN and body.claim_id == claim_id:
                return Claim(ClaimResult.GRANTED, row_key, claim_id, content_digest, row.version)
            if body.state is ClaimState.OPEN:
                return Claim(ClaimResult.OPEN_ELSEWHERE, row_key, claim_id, content_digest, row.version)
        version = await self._write_row(row_key, row, ClaimBody(claim_id, content_digest, ClaimState.OPEN))
        return Claim(ClaimResult.GRANTED, row_key, claim_id, content_digest, version)

    async def _write_row(self, row_key: str, row: Row | None, body: ClaimBody) -> int:
        condition = Condition(row_key, row.version if row else 0)
        put = Put(row_key, msgspec.json.encode(body).decode())
        return await self._table.transact(Transaction((condition,), (put,)))

    async def record(self, claim: Claim, status: int, body: str) -> bool:
        """Record the answer of a granted claim; return False if the claim may still be open."""
        stored = body if len(body) <= MAX_RECORDED_BODY_CHARS else ""
        return await self._settle(
            claim, ClaimBody(claim.claim_id, claim.content_digest, ClaimState.DONE, status, stored)
        )

    async def release(self, claim: Claim) -> bool:
        """Release a claim whose call provably did not run; return False if it may still be open."""
        return await self._settle(claim, ClaimBody(claim.claim_id, claim.content_digest, ClaimState.RELEASED))

    async def _settle(self, claim: Claim, body: ClaimBody) -> bool:
        for _ in range(_MAX_TRIES):
            try:
                row = await self._table.get(claim.row_key)
                if row is None:
                    return True
                try:
                    current = _decode_claim(row.value)
                except UnreadableClaimError as error:
                    self._unreadable.report(claim.row_key, error)
                    return True  # Overwritten by another writer: it is no longer this router's claim.
                if current.claim_id != claim.claim_id or current.state is not ClaimState.OPEN:
                    return True  # Settled by an earlier attempt, or claimed by another after a release.
                await self._write_row(claim.row_key, row, body)
                return True
            except (PlatformUnavailableError, TableConflictError) as error:
                emit(Event.CLAIM_RETRIED, claim=claim.claim_id, reason=str(error))
        return False
