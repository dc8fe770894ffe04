"""A compact hash table from 64-bit keys to 64-bit values.

Uses open addressing with linear probing over two ``array('Q')``: 16 bytes per slot, against about 107 bytes per
entry of a dict of ints. Deletion shifts later entries back, so there are no tombstones and probes stay short.
Key 0 marks an empty slot; a real key 0, one of 2**64, is stored as key 1.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator

_INITIAL_SLOTS = 256
"""Slots of an empty table (4 KiB). The number of slots is always a power of two."""
_MAX_LOAD_NUMERATOR = 2
"""Numerator of the maximum load factor, 2/3, above which probe sequences would become much longer."""
_MAX_LOAD_DENOMINATOR = 3
"""Denominator of the maximum load factor, which is a fraction of integers to avoid rounding."""
_SLOT_BYTES = 16
"""Bytes of a slot: a key and a value of 64 bits each."""


class CompactTable:
    """Maps ``int`` keys in ``[0, 2**64)`` to ``int`` values in ``[1, 2**64)``; the value 0 means absent."""

    __slots__ = ("_entry_count", "_keys", "_mask", "_values")

    def __init__(self) -> None:
        self._allocate(_INITIAL_SLOTS)

    def _allocate(self, slots: int) -> None:
        self._keys = array("Q", bytes(8 * slots))
        self._values = array("Q", bytes(8 * slots))
        self._mask = slots - 1
        self._entry_count = 0

    def __len__(self) -> int:
        return self._entry_count

    @property
    def nbytes(self) -> int:
        """Bytes allocated for the two arrays."""
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
        """Insert or replace the value of ``key``; a value of 0 deletes the entry."""
        if value == 0:
            self.delete(key)
            return
        key = key or 1
        keys, mask = self._keys, self._mask
        slot = key & mask
        while (found := keys[slot]) != key:
            if found == 0:
                keys[slot] = key
                self._entry_count += 1
                break
            slot = (slot + 1) & mask
        self._values[slot] = value
        if self._entry_count * _MAX_LOAD_DENOMINATOR > (mask + 1) * _MAX_LOAD_NUMERATOR:
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
        self._entry_count -= 1

    def _close_gap(self, gap: int) -> None:
        """Fill ``gap`` with later entries of the probe sequence whose home slot allows the move."""
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
        """Yield every ``(key, value)`` pair. The table must not be modified during the iteration."""
        for key, value in zip(self._keys, self._values, strict=True):
            if key:
                yield key, value

    def shrink(self) -> None:
        """Reallocate to the smallest size that fits the entries."""
        slots = _INITIAL_SLOTS
        while self._entry_count * _MAX_LOAD_DENOMINATOR > slots * _MAX_LOAD_NUMERATOR:
            slots *= 2
        if slots < self._mask + 1:
            self._resize(slots)
