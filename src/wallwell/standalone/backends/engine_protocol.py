"""Wire format between routers and model engines.

A generation is an OpenAI-style completion with extra headers. Each server-sent event has the line
``id: <request id>/<token index>``, so that the router checks order and ownership without parsing the payload.
Every answer, refusals included, repeats the request's ``X-Request-Id``: a faulty engine may send an answer a second
time where the next one is due, and the router must not take it for that.
Engines send status, load and cache events as JSON lines on one long-lived response. The standalone router and the
emulated engines share these names of headers and fields.
"""

from __future__ import annotations

import base64
import enum
import re
from array import array
from collections.abc import Iterable
from typing import Annotated, NamedTuple, TypeVar

import msgspec

T = TypeVar("T")
REQUEST_ID = "X-Request-Id"
CACHE_SALT = "X-Cache-Salt"
EXPECT_INCARNATION = "X-Expect-Incarnation"
EXPECT_WEIGHTS = "X-Expect-Weights"
PRIORITY_RANK = "X-Priority-Rank"
INCARNATION = "X-Engine-Incarnation"
CACHED_TOKENS = "X-Cached-Tokens"
PROMPT_TOKENS = "X-Prompt-Tokens"
DONE_EVENT = b"data: [DONE]"
MAX_NUMBER = 2**53
"""Largest number that an engine may state: any number up to it is a float too."""
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A count, a sequence number or a depth."""
MAX_LABEL_CHARS = 256
Label = Annotated[str, msgspec.Meta(pattern=r"^[\x20-\x7e]*\Z", max_length=MAX_LABEL_CHARS)]
"""Text that requests repeat in a header: an incarnation or a weights version."""
_COUNT = re.compile(r"[0-9]{1,9}")
_HASH = re.compile(r"[0-9a-fA-F]{1,16}")


class EngineDataError(msgspec.DecodeError, ValueError):
    """An engine's event, list of blocks, answer or header is not of the form that this module defines."""


class EngineState(enum.StrEnum):
    """Readiness that an engine reports."""

    SERVING = "serving"
    LOADING = "loading"
    LEAVING = "leaving"


class RefusalReason(enum.StrEnum):
    """Why an engine refused a request without running any of it (status 412 or 503)."""

    INCARNATION = "incarnation"
    WEIGHTS = "weights"
    LEAVING = "leaving"
    LOADING = "loading"
    OVERLOADED = "overloaded"


class Refusal(msgspec.Struct, frozen=True):
    """Body of a refusal. The engine ran no part of the request."""

    reason: RefusalReason


class StatusLine(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """Identity and readiness of an engine: first line of an event stream, sent again whenever a field changes."""

    engine: str
    incarnation: Label
    state: EngineState
    weights: dict[Label, Label]
    block_bytes: Number
    block_tokens: Number
    cache_blocks: Number


class LoadLine(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Periodic load, measured ``age_s`` before the line was sent, and the newest cache event's sequence number.

    ``waiting_prefill_tokens`` pairs each priority rank with its prompt tokens that are still to be computed.
    """

    sequence: Number
    running: Number
    waiting: Number
    waiting_prefill_tokens: tuple[tuple[Number, Number], ...]
    cache_used_blocks: Number
    age_s: float


class CacheLine(msgspec.Struct, frozen=True, array_like=True, tag="cache"):
    """Blocks stored or removed. ``blocks`` holds little-endian 64-bit hashes as base64 (10.7 bytes per block)."""

    sequence: Number
    stored: bool
    root: str
    depth: Number
    blocks: str


EventLine = StatusLine | LoadLine | CacheLine


class SnapshotEntry(msgspec.Struct, frozen=True, array_like=True):
    """One block, or several consecutive blocks, of one chain in a cache snapshot."""

    root: str
    depth: Number
    blocks: str


class CacheSnapshot(msgspec.Struct, frozen=True):
    """All blocks an engine has cached after the cache event numbered ``sequence``."""

    incarnation: str
    sequence: Number
    entries: tuple[SnapshotEntry, ...]


class Resume(msgspec.Struct, frozen=True):
    """Where to continue a generation: the text generated so far and the index of the next token."""

    next_index: int
    text: str


class CancelRequest(msgspec.Struct, frozen=True):
    """Request to cancel a generation."""

    request_id: str


class CancelState(enum.StrEnum):
    """State of a generation when its cancellation arrived."""

    NEVER_STARTED = "never_started"
    STOPPED = "stopped"
    UNKNOWN_REQUEST = "unknown_request"


class CancelAnswer(msgspec.Struct, frozen=True):
    """Answer to a :class:`CancelRequest`."""

    state: CancelState


class EngineLoadOrder(msgspec.Struct, frozen=True):
    """Order to load weights; an engine that has accepted an order with a higher fence refuses it."""

    fence: int
    model: str
    weights_version: str


class EventId(NamedTuple):
    """Request and token index of one streamed event."""

    request_id: str
    token_index: int


def pack_hashes(hashes: Iterable[int]) -> str:
    """Return 64-bit hashes as base64 text."""
    return base64.b64encode(array("Q", hashes).tobytes()).decode()


def unpack_hashes(text: str) -> list[int]:
    """Return the hashes of a text made by :func:`pack_hashes`. Raises :class:`EngineDataError` for any other."""
    values = array("Q")
    try:
        values.frombytes(base64.b64decode(text, validate=True))
    except ValueError as error:
        raise EngineDataError(f"unreadable hashes: {error}") from error
    return values.tolist()


def format_hash(value: int) -> str:
    """Return a 64-bit hash as 16 hexadecimal digits."""
    return f"{value:016x}"


def parse_hash(text: str) -> int:
    """Return the hash that :func:`format_hash` wrote. Raises :class:`EngineDataError`."""
    if not _HASH.fullmatch(text):
        raise EngineDataError("a hash has up to 16 hexadecimal digits")
    return int(text, 16)


def parse_count(text: str) -> int:
    """Return the number of tokens that a header states. Raises :class:`EngineDataError`."""
    if not _COUNT.fullmatch(text):
        raise EngineDataError("a count has up to 9 digits")
    return int(text)


def decode(payload: bytes, kind: type[T]) -> T:
    """Return an engine's answer. Raises :class:`EngineDataError`."""
    return decode_with(msgspec.json.Decoder(kind), payload)


def decode_with(decoder: msgspec.json.Decoder[T], payload: bytes) -> T:
    """Return what an engine sent. Raises :class:`EngineDataError`."""
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise EngineDataError(str(error)) from error


def parse_event_id(event: bytes) -> EventId | None:
    """Return the id of a server-sent event, None if there is no ``id:`` line.

    Raises :class:`EngineDataError` if it is malformed.
    """
    if not event.startswith(b"id: "):
        return None
    line, _, _ = event[4:].partition(b"\n")
    request_id, _, index = line.decode("latin-1").rpartition("/")
    return EventId(request_id, parse_count(index))
