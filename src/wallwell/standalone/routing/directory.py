"""Directory of the engine incarnations that hold each checkpoint of a hash chain, stored in a compact table. Pure.

An engine incarnation that has the block of a checkpoint in its cache is a *holder* of the checkpoint.

An entry refers to an engine incarnation by a 16-bit slot number; up to four slot numbers are packed into one 64-bit
value. When an engine reports a new incarnation, the slot of the previous one is retired: entries that refer to the
slot stop matching at once, and the next sweep removes its number before the slot is assigned again. A lookup
therefore never returns an engine because of the cache of a dead incarnation.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from wallwell.standalone.routing.blocks import checkpoint_depths
from wallwell.standalone.routing.table import CompactTable

_SLOT_BITS = 16
"""Bits of a slot number in an entry: at most 65,535 engine incarnations."""
_SLOT_MASK = (1 << _SLOT_BITS) - 1
EVICT_TO_FRACTION = 0.9
"""Fraction of the maximum down to which entries are evicted, so that not every insertion evicts."""
MAX_HOLDERS = 4
"""Maximum number of holders recorded for a checkpoint: as many slot numbers as fit into a 64-bit entry."""
DEFAULT_MAX_ENTRIES = 200_000
"""Default maximum number of entries of a directory."""
_SHIFTS = tuple(range(0, _SLOT_BITS * MAX_HOLDERS, _SLOT_BITS))


class EngineIncarnation(NamedTuple):
    """One run of an engine; each run starts with an empty cache."""

    engine: str
    incarnation: str


class HeldPrefix(NamedTuple):
    """An engine that holds the first ``blocks`` blocks of a chain."""

    holder: EngineIncarnation
    blocks: int


class PrefixDirectory:
    """Maps a checkpoint's hash to its holders. The owner of the directory decides what to record."""

    def __init__(self, max_entries: int = DEFAULT_MAX_ENTRIES) -> None:
        self._table = CompactTable()
        self._max_entries = max_entries
        self._slots: dict[EngineIncarnation, int] = {}
        self._incarnation_of_slot: dict[int, EngineIncarnation] = {}
        self._current_incarnations: dict[str, EngineIncarnation] = {}
        self._retired_slots: set[int] = set()
        self._next_slot = 1
        self._free_slots: list[int] = []

    def __len__(self) -> int:
        return len(self._table)

    @property
    def nbytes(self) -> int:
        """Bytes allocated for the table of entries."""
        return self._table.nbytes

    def observe_incarnation(self, engine: str, incarnation: str) -> bool:
        """Record an engine's current incarnation; return True if it replaced another one."""
        holder = EngineIncarnation(engine, incarnation)
        previous = self._current_incarnations.get(engine)
        if previous == holder:
            return False
        if previous is not None:
            self._retire(previous)
        self._current_incarnations[engine] = holder
        return previous is not None

    def forget_engine(self, engine: str) -> None:
        """Invalidate every entry of ``engine``."""
        previous = self._current_incarnations.pop(engine, None)
        if previous is not None:
            self._retire(previous)

    def _retire(self, holder: EngineIncarnation) -> None:
        slot = self._slots.pop(holder, None)
        if slot is not None:
            del self._incarnation_of_slot[slot]
            self._retired_slots.add(slot)

    def _get_or_assign_slot(self, holder: EngineIncarnation) -> int:
        slot = self._slots.get(holder)
        if slot is None:
            slot = self._free_slots.pop() if self._free_slots else self._next_slot
            if slot == self._next_slot:
                self._next_slot += 1
            self._slots[holder] = slot
            self._incarnation_of_slot[slot] = holder
        return slot

    def add(self, holder: EngineIncarnation, hashes: Iterable[int], rng: random.Random) -> None:
        """Record ``holder`` for the checkpoints ``hashes``. A late report of a dead incarnation is ignored."""
        if self._current_incarnations.get(holder.engine, holder) != holder:
            return
        self._current_incarnations[holder.engine] = holder
        slot = self._get_or_assign_slot(holder)
        for key in hashes:
            self._table.set(key, self._with_slot(self._table.get(key), slot, rng))
        if len(self._table) > self._max_entries:
            self._evict(rng)

    def _with_slot(self, value: int, slot: int, rng: random.Random) -> int:
        free_shift = -1
        for shift in _SHIFTS:
            present = (value >> shift) & _SLOT_MASK
            if present == slot:
                return value
            if free_shift < 0 and (present == 0 or present not in self._incarnation_of_slot):
                free_shift = shift
        if free_shift < 0:
            free_shift = rng.choice(_SHIFTS)
        return (value & ~(_SLOT_MASK << free_shift)) | (slot << free_shift)

    def remove(self, holder: EngineIncarnation, hashes: Iterable[int]) -> None:
        """Record that ``holder`` evicted the checkpoints ``hashes``; hashes not recorded for it are ignored."""
        slot = self._slots.get(holder)
        if slot is None:
            return
        for key in hashes:
            value = self._table.get(key)
            if value:
                self._table.set(key, _without_slot(value, slot))

    def holders(self, key: int) -> list[EngineIncarnation]:
        """Return the live incarnations recorded for one checkpoint."""
        value = self._table.get(key)
        found = []
        while value:
            holder = self._incarnation_of_slot.get(value & _SLOT_MASK)
            if holder is not None:
                found.append(holder)
            value >>= _SLOT_BITS
        return found

    def lookup(self, checkpoints: Sequence[int], depths: Sequence[int]) -> list[HeldPrefix]:
        """Return every holder of the first checkpoint with its longest contiguous prefix.

        ``checkpoints[i]`` is the hash of the block at index ``depths[i]``; the indexes ascend.
        """
        held_blocks: dict[EngineIncarnation, int] = {}
        previous: set[EngineIncarnation] | None = None
        for key, depth in zip(checkpoints, depths, strict=True):
            holding = set(self.holders(key))
            if previous is not None:
                holding &= previous
            if not holding:
                break
            for holder in holding:
                held_blocks[holder] = depth + 1
            previous = holding
        return [HeldPrefix(holder, blocks) for holder, blocks in held_blocks.items()]

    def lookup_chain(self, chain: Sequence[int]) -> list[HeldPrefix]:
        """Return the result of :meth:`lookup` for all checkpoints of ``chain``."""
        depths = checkpoint_depths(len(chain))
        return self.lookup([chain[depth] for depth in depths], depths)

    def sweep(self) -> int:
        """Remove retired slot numbers from all entries and free the slots; return the number of removed entries."""
        if not self._retired_slots:
            return 0
        removed = 0
        for key, value in list(self._table.items()):
            remaining = value
            for shift in _SHIFTS:
                if (value >> shift) & _SLOT_MASK in self._retired_slots:
                    remaining &= ~(_SLOT_MASK << shift)
            if remaining != value:
                self._table.set(key, remaining)
                removed += remaining == 0
        self._free_slots.extend(self._retired_slots)
        self._retired_slots.clear()
        self._table.shrink()
        return removed

    def _evict(self, rng: random.Random) -> None:
        """Evict random entries down to a fraction of the maximum.

        Losing an entry costs only cache hits, and the next dispatch or report records an entry in use again.
        """
        excess = 1.0 - EVICT_TO_FRACTION * self._max_entries / len(self._table)
        evicted = [key for key, _ in self._table.items() if rng.random() < excess]
        for key in evicted:
            self._table.delete(key)


def _without_slot(value: int, slot: int) -> int:
    for shift in _SHIFTS:
        if (value >> shift) & _SLOT_MASK == slot:
            value &= ~(_SLOT_MASK << shift)
    return value
