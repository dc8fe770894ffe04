"""What a KV store holds, from the events that it sends, and which prompts it lacks. Pure.

A store drops the parts that were used least recently. A prompt is therefore saved only if the store lacks a part
that others may share: each save takes the whole prompt there, and its own part displaces parts that are shared.

``node/kv_store_watch.py`` brings the pages, from a store itself or from a peer; ``kv_store_choice`` asks. A copy
with gaps is still used: at worst a fetch finds less than expected, or a prompt is saved twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import msgspec

from wallwell.routing.selection.prefix_home import PromptPart, shared_parts

MAX_JOURNAL_ENTRIES = 4000
"""Changes remembered for peers; a peer that is further behind takes everything anew."""
EXPECTED_SAVE_S = 1.5
"""Seconds that a save is expected to take until the store reports it; this node saves the same again only then."""
MAX_PENDING_SAVES = 1000
"""Saves remembered as under way before those that are over are dropped: it bounds memory."""
BLOCK_TOKENS = 16
"""Tokens of a block of KV cache; a store may hold a part without its last, incomplete block."""


class CachePosition(msgspec.Struct, frozen=True, array_like=True):
    """How far a store's events are known. ``epoch`` changes when the store restarts empty."""

    epoch: int = -1
    number: int = 0


class CacheEntry(msgspec.Struct, frozen=True, array_like=True):
    """Tokens held now of a part under a scope, 0 if it was dropped. ``number`` counts the store's events."""

    number: int
    scope: str
    part: str
    tokens: int


class CachePage(msgspec.Struct, frozen=True):
    """Changes up to ``position``, or everything held if ``whole``."""

    position: CachePosition
    entries: tuple[CacheEntry, ...] = ()
    whole: bool = False


class _PartKey(msgspec.Struct, frozen=True):
    scope: str
    part: str


class KvStoreContents:
    """One store's parts as far as its events are known."""

    def __init__(self) -> None:
        self.position = CachePosition()
        self.reachable = True
        self.has_gaps = False
        """Whether an event is missing, so that the copy may differ from what the store holds."""
        self._tokens_by_part: dict[_PartKey, int] = {}
        self._journal: deque[CacheEntry] = deque(maxlen=MAX_JOURNAL_ENTRIES)
        self._saving_until_s: dict[_PartKey, float] = {}

    @property
    def has_been_read(self) -> bool:
        """Whether what the store holds has been read."""
        return self.position.epoch != -1

    # --- following -------------------------------------------------------------------------------------

    def apply_page(self, page: CachePage) -> None:
        """Apply a page; one that is older than this copy changes nothing."""
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
        """Return what a peer that knows the events up to a position lacks."""
        if position.epoch == self.position.epoch and position.number >= self._journal_floor():
            missing = tuple(entry for entry in self._journal if entry.number > position.number)
            return CachePage(self.position, missing)
        number = self.position.number
        entries = [CacheEntry(number, key.scope, key.part, tokens) for key, tokens in self._tokens_by_part.items()]
        return CachePage(self.position, tuple(entries), whole=True)

    def _journal_floor(self) -> int:
        """Return the number after which every change is in the journal."""
        return self._journal[0].number - 1 if self._journal else self.position.number

    # --- questions -------------------------------------------------------------------------------------

    def holds(self, scope: str, parts: Sequence[PromptPart]) -> bool:
        """Whether every part is held but for an incomplete block."""
        return all(
            self._tokens_by_part.get(_PartKey(scope, part.identity), 0) > part.tokens - BLOCK_TOKENS
            for part in parts
        )

    def held_prefix_tokens(self, scope: str, parts: Sequence[PromptPart]) -> int:
        """Return how many tokens of a prompt are held, from its beginning to the first that are missing."""
        total = 0
        for part in parts:
            held = self._tokens_by_part.get(_PartKey(scope, part.identity), 0)
            total += held
            if held <= part.tokens - BLOCK_TOKENS:
                break
        return total

    def begin_save_if_needed(self, scope: str, parts: Sequence[PromptPart], now_s: float) -> bool:
        """Whether the prompt should be saved now; counts it as being saved if so."""
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
