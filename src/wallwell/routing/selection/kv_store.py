"""Replica of the index of a KV store, built from the store's events. Pure.

A store evicts the least recently used parts. A prompt is therefore saved only if the store lacks one of its parts
that others may share: each save transfers the whole prompt, and the request's own part evicts shared parts.

``node/kv_store_watch.py`` applies pages from the store or from a peer; ``kv_store_choice`` queries the replica. A
replica with gaps is still used: at worst a fetch finds less than expected, or a prompt is saved twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Annotated

import msgspec

from wallwell.routing.selection.prefix_home import PromptPart, shared_parts

MAX_JOURNAL_ENTRIES = 4000
"""Changes kept for peers; a peer that is further behind gets the whole index."""
EXPECTED_SAVE_S = 1.5
"""Seconds until the store is expected to report a save; this node does not repeat the save before."""
MAX_PENDING_SAVES = 1000
"""Pending saves from which expired ones are removed, to bound memory."""
BLOCK_TOKENS = 16
"""Tokens in a block of KV cache; a store may hold a part without its last, incomplete block."""


MAX_PART_TOKENS = 1 << 32
"""Largest number of tokens of one part that is believed: above any engine's memory, and exact in arithmetic with
fractions."""
PartTokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_PART_TOKENS)]
"""Tokens held of a part, as decoded from what a store or a peer sent."""
EventNumber = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
"""Position in a store's events, as decoded from what a store or a peer sent: a signed 64-bit number."""


class CachePosition(msgspec.Struct, frozen=True, array_like=True):
    """Position in a store's event sequence. ``epoch`` changes when the store restarts empty."""

    epoch: int = -1
    number: EventNumber = 0


class CacheEntry(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that the store holds of a part in a cache scope, 0 if evicted. ``number`` is the event's number."""

    number: EventNumber
    scope: str
    part: str
    tokens: PartTokens


class CachePage(msgspec.Struct, frozen=True):
    """Changes up to ``position``, or the whole index if ``whole``."""

    position: CachePosition
    entries: tuple[CacheEntry, ...] = ()
    whole: bool = False


class _PartKey(msgspec.Struct, frozen=True):
    scope: str
    part: str


class KvStoreContents:
    """Replica of one store's index: which parts it holds, as of the last event read."""

    def __init__(self) -> None:
        self.position = CachePosition()
        self.reachable = True
        self.has_gaps = False
        """Whether an event was missed, so that the replica may differ from the store."""
        self._tokens_by_part: dict[_PartKey, int] = {}
        self._journal: deque[CacheEntry] = deque(maxlen=MAX_JOURNAL_ENTRIES)
        self._saving_until_s: dict[_PartKey, float] = {}

    @property
    def has_been_read(self) -> bool:
        """Whether the whole index has been read at least once."""
        return self.position.epoch != -1

    # --- replication -----------------------------------------------------------------------------------

    def apply_page(self, page: CachePage) -> None:
        """Apply a page of changes or the whole index. A page older than the replica is ignored."""
        is_older = page.position.epoch == self.position.epoch and page.position.number < self.position.number
        if page.whole and not is_older:
            self._tokens_by_part = {_PartKey(each.scope, each.part): each.tokens for each in page.entries}
            self._journal.clear()
            self.has_gaps = False
            self.position = page.position
            return
        if page.whole or page.position.epoch != self.position.epoch:
            return
        for entry in page.entries:
            if entry.number > self.position.number:
                self._apply(entry)
        if page.position.number > self.position.number:
            self.has_gaps = True
            self.position = page.position

    def _apply(self, entry: CacheEntry) -> None:
        if entry.number != self.position.number + 1:
            self.has_gaps = True
        key = _PartKey(entry.scope, entry.part)
        if entry.tokens:
            self._tokens_by_part[key] = entry.tokens
        else:
            self._tokens_by_part.pop(key, None)
        self._journal.append(entry)
        self.position = CachePosition(self.position.epoch, entry.number)

    def changes_since(self, position: CachePosition) -> CachePage:
        """Return the changes since a peer's position, or the whole index if the journal begins after it."""
        if position.epoch == self.position.epoch and position.number >= self._journal_floor():
            missing = tuple(entry for entry in self._journal if entry.number > position.number)
            return CachePage(self.position, missing)
        number = self.position.number
        entries = [CacheEntry(number, key.scope, key.part, tokens) for key, tokens in self._tokens_by_part.items()]
        return CachePage(self.position, tuple(entries), whole=True)

    def _journal_floor(self) -> int:
        """Return the event number after which every change is in the journal."""
        return self._journal[0].number - 1 if self._journal else self.position.number

    # --- queries ---------------------------------------------------------------------------------------

    def holds(self, scope: str, parts: Sequence[PromptPart]) -> bool:
        """Whether the store holds every part, except perhaps its incomplete last block."""
        return all(
            self._tokens_by_part.get(_PartKey(scope, part.identity), 0) > part.tokens - BLOCK_TOKENS
            for part in parts
        )

    def held_prefix_tokens(self, scope: str, parts: Sequence[PromptPart]) -> int:
        """Return the number of tokens of a prompt that are held, from its beginning to the first gap."""
        total = 0
        for part in parts:
            held = self._tokens_by_part.get(_PartKey(scope, part.identity), 0)
            total += held
            if held <= part.tokens - BLOCK_TOKENS:
                break
        return total

    def begin_save_if_needed(self, scope: str, parts: Sequence[PromptPart], now_s: float) -> bool:
        """Return whether the prompt should be saved now; if so, record its save as pending."""
        shared = shared_parts(parts)
        if not shared or self.holds(scope, shared):
            return False
        key = _PartKey(scope, shared[-1].identity)
        if now_s < self._saving_until_s.get(key, float("-inf")):
            return False
        if len(self._saving_until_s) >= MAX_PENDING_SAVES:
            self._saving_until_s = {
                each: until_s for each, until_s in self._saving_until_s.items() if until_s > now_s
            }
        self._saving_until_s[key] = now_s + EXPECTED_SAVE_S
        return True
