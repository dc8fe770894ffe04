"""Wire format between routers and model engines.

Generation is an OpenAI-style completion with extra headers; each server-sent event carries
``id: <request id>/<token index>``, so that order and ownership are checked without parsing the payload. Cache
events and status come as JSON lines on one long-lived response. Owns the names of headers and fields; the
standalone router and the emulated engines import it.
"""

from __future__ import annotations

import base64
import enum
from array import array
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

REQUEST_ID = "X-Request-Id"
CACHE_SALT = "X-Cache-Salt"
EXPECT_INCARNATION = "X-Expect-Incarnation"
EXPECT_WEIGHTS = "X-Expect-Weights"
PRIORITY_RANK = "X-Priority-Rank"
INCARNATION = "X-Engine-Incarnation"
CACHED_TOKENS = "X-Cached-Tokens"
PROMPT_TOKENS = "X-Prompt-Tokens"
DONE_EVENT = b"data: [DONE]"


class EngineState(enum.StrEnum):
    """What an engine reports of its own readiness."""

    SERVING = "serving"
    LOADING = "loading"
    LEAVING = "leaving"


class RefusalReason(enum.StrEnum):
    """Why an engine refused before running anything (status 412 or 503)."""

    INCARNATION = "incarnation"
    WEIGHTS = "weights"
    LEAVING = "leaving"
    LOADING = "loading"
    OVERLOADED = "overloaded"


class Refusal(msgspec.Struct, frozen=True):
    """Body of a refusal; the engine ran nothing."""

    reason: RefusalReason


class StatusLine(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """Identity and readiness; the first line of a stream, and sent again when anything in it changes."""

    engine: str
    incarnation: str
    state: EngineState
    weights: dict[str, str]
    block_bytes: int
    block_tokens: int
    cache_blocks: int


class LoadLine(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Periodic load, taken ``age_s`` before the line was sent, and the newest event's sequence number.

    ``waiting_prefill_tokens`` pairs priority ranks with tokens waiting to be computed.
    """

    sequence: int
    running: int
    waiting: int
    waiting_prefill_tokens: tuple[tuple[int, int], ...]
    cache_used_blocks: int
    age_s: float


class CacheLine(msgspec.Struct, frozen=True, array_like=True, tag="cache"):
    """One cache event. ``blocks`` is base64 of little-endian 64-bit hashes (10.7 bytes a block)."""

    sequence: int
    stored: bool
    root: str
    depth: int
    blocks: str


EventLine = StatusLine | LoadLine | CacheLine


class SnapshotEntry(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive or single blocks of one chain in a cache snapshot."""

    root: str
    depth: int
    blocks: str


class CacheSnapshot(msgspec.Struct, frozen=True):
    """Everything cached at one event sequence number."""

    incarnation: str
    sequence: int
    entries: tuple[SnapshotEntry, ...]


class Resume(msgspec.Struct, frozen=True):
    """Continue a generation: the text so far and the index of the next token."""

    next_index: int
    text: str


class CancelRequest(msgspec.Struct, frozen=True):
    """Stop a generation."""

    request_id: str


class CancelState(enum.StrEnum):
    """What a cancel found."""

    NEVER_STARTED = "never_started"
    STOPPED = "stopped"
    UNKNOWN_REQUEST = "unknown_request"


class CancelAnswer(msgspec.Struct, frozen=True):
    """Answer to a cancel."""

    state: CancelState


class EngineLoadOrder(msgspec.Struct, frozen=True):
    """Fenced order to load weights; refused when a higher fence was seen."""

    fence: int
    model: str
    weights_version: str


class EventId(NamedTuple):
    """Identity of one streamed event."""

    request_id: str
    token_index: int


def pack_hashes(hashes: Iterable[int]) -> str:
    """Encode 64-bit hashes."""
    return base64.b64encode(array("Q", hashes).tobytes()).decode()


def unpack_hashes(text: str) -> list[int]:
    """Inverse of :func:`pack_hashes`. Raises ValueError."""
    values = array("Q")
    values.frombytes(base64.b64decode(text, validate=True))
    return values.tolist()


def format_hash(value: int) -> str:
    """Return a 64-bit hash as hexadecimal text."""
    return f"{value:016x}"


def parse_event_id(event: bytes) -> EventId | None:
    """Read the ``id:`` line of a server-sent event; None if it has none. Raises ValueError."""
    if not event.startswith(b"id: "):
        return None
    line, _, _ = event[4:].partition(b"\n")
    request_id, _, index = line.decode("ascii").rpartition("/")
    return EventId(request_id, int(index))
