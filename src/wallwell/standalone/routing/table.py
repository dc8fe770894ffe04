"""A compact hash table from 64-bit keys to 64-bit values.

Open addressing with linear probing over two ``array('Q')``: 16 bytes a slot, against about 107 bytes an entry
for a dict of ints. Deletion shifts later entries back, so there are no tombstones and probes stay short.
Key 0 marks an empty slot; the one real key 0 in 2**64 is stored as 1.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator

_INITIAL_SLOTS = 256
"""Slots of an empty table: 4 KiB. A power of two, as every size must be."""
_MAX_LOAD_NUMERATOR = 2
"""The table grows when it is more than two thirds full: probe sequences grow steeply beyond."""
_MAX_LOAD_DENOMINATOR = 3
"""See above; a fraction of integers, so that no size is rounded."""
_SLOT_BYTES = 16
"""A key and a value of 64 bits each."""


class CompactTable:
    """Mapping of ``int`` in ``[0, 2**64)`` to ``int`` in ``[1, 2**64)``; 0 means absent."""

    __slots__ = ("_keys", "_mask", "_used", "_values")

    def __init__(self) -> None:
        self._allocate(_INITIAL_SLOTS)

    def _allocate(self, slots: int) -> None:
        self._keys = array("Q", bytes(8 * slots))
        self._values = array("Q", bytes(8 * slots))
        self._mask = slots - 1
        self._used = 0

    def __len__(self) -> int:
        return self._used

    @property
    def nbytes(self) -> int:
        """Bytes held by the two arrays."""
        return _SLOT_BYTES * (self._mask + 1)

    def get(self, key: int) -> int:
        """Return the value of ``key``, or 0."""
        key = key or 1
        keys, mask = self._keys, self._mask
        slot = key & mask
        while (found := keys[slot]) != key:
            if found == 0:
                return 0
            slot = (slot + 1) & mask
        return self._values[slot]

    def set(self, key: int, value: int) -> None:
        """Insert or replace; a value of 0 deletes."""
        if value == 0:
            self.delete(key)
            return
        key = key or 1
        keys, mask = self._keys, self._mask
        slot = key & mask
        while (found := keys[slot]) != key:
            if found == 0:
                keys[slot] = key
                self._used += 1
                break
            slot = (slot + 1) & mask
        self._values[slot] = value
        if self._used * _MAX_LOAD_DENOMINATOR > (mask + 1) * _MAX_LOAD_NUMERATOR:
            self._resize((mask + 1) * 2)

    def delete(self, key: int) -> None:
        """Remove ``key`` if present."""
        key = key or 1
        keys, mask = self._keys, self._mask
        slot = key & mask
        while (found := keys[slot]) != key:
            if found == 0:
                return
            slot = (slot + 1) & mask
        self._close_gap(slot)
        self._used -= 1

    def _close_gap(self, gap: int) -> None:
        """Move later entries of the probe run into ``gap`` where their home slot allows it."""
        keys, values, mask = self._keys, self._values, self._mask
        slot = (gap + 1) & mask
        while keys[slot]:
            home = keys[slot] & mask
            if (slot - home) & mask >= (slot - gap) & mask:
                keys[gap] = keys[slot]
                values[gap] = values[slot]
                gap = slot
            slot = (slot + 1) & mask
        keys[gap] = 0
        values[gap] = 0

    def _resize(self, slots: int) -> None:
        old = list(self.items())
        self._allocate(slots)
        for key, value in old:
            self.set(key, value)

    def items(self) -> Iterator[tuple[int, int]]:
        """Yield every ``(key, value)``. The table must not change meanwhile."""
        for key, value in zip(self._keys, self._values, strict=True):
            if key:
                yield key, value

    def shrink(self) -> None:
        """Reallocate to fit after many deletions."""
        slots = _INITIAL_SLOTS
        while self._used * _MAX_LOAD_DENOMINATOR > slots * _MAX_LOAD_NUMERATOR:
            slots *= 2
        if slots < self._mask + 1:
            self._resize(slots)
