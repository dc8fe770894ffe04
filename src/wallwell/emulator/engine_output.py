"""Output of an emulated engine: tokens, stream events, cache events and snapshot entries.
Does no I/O; the formats are those of :mod:`wallwell.standalone.backends.engine_protocol`.
"""

from __future__ import annotations

import msgspec
import xxhash

from wallwell.emulator.engine_model import BlockPosition, CacheEvent
from wallwell.standalone.backends import engine_protocol as wire

FOREIGN_REQUEST_ID = "foreign-request"
"""Request id sent when a fault makes a response carry another request's id."""
_WORDS = ("take", "with", "food", "daily", "dose", "check", "hut", "trail", "ridge", "permit", "bed", "safe")


def generated_word(prompt: bytes, index: int) -> str:
    """Return the token at ``index`` that every emulated engine generates for ``prompt``."""
    return _WORDS[xxhash.xxh3_64_intdigest(prompt, index) % len(_WORDS)] + " "


def stream_event(request_id: str, index: int, payload: bytes) -> bytes:
    """Return the server-sent event of one output token."""
    return b"id: %s/%d\ndata: %s\n\n" % (request_id.encode(), index, payload)


def snapshot_entry(block: int, position: BlockPosition) -> wire.SnapshotEntry:
    """Return the snapshot entry of a cached block."""
    return wire.SnapshotEntry(wire.format_hash(position.root), position.depth, wire.pack_hashes([block]))


def cache_event_line(event: CacheEvent) -> wire.CacheLine:
    """Return the wire format of a cache event."""
    return wire.CacheLine(
        sequence=event.sequence,
        stored=event.stored,
        root=wire.format_hash(event.root),
        depth=event.depth,
        blocks=wire.pack_hashes(event.blocks),
    )


def completion_chunk(model: str, request_id: str, text: str, chat: bool, last: bool) -> bytes:
    """Return one token as a JSON chunk of OpenAI's chat or text completion format."""
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop" if last else None}
    choice |= {"delta": {"content": text}} if chat else {"text": text}
    kind = "chat.completion.chunk" if chat else "text_completion"
    return msgspec.json.encode({"id": request_id, "object": kind, "model": model, "choices": [choice]})
