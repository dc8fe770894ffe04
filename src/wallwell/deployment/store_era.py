"""Which life of the store this node knows: the store may come back from an older copy of itself. Pure.

A store that comes back from a copy has lost what was written after the copy was made, and gives out the versions of
that time again. So a version means something only beside its era: eras are counted by the store, and everything of
a later one is newer than everything of an earlier one.

Owns the newest era met and the time at which this node met it. Relies on being told the era of every answer of the
store, and of every page that a peer passes on.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import UNSET, UnsetType

UNKNOWN_ERA = 0
"""Era of a store that counts none."""


def era_to_send(era: int) -> int | UnsetType:
    """Return an era as messages and rows carry it: no byte as long as the store counts none."""
    return UNSET if era == UNKNOWN_ERA else era


def era_received(era: int | UnsetType) -> int:
    """Return the era that a message or row carries; builds that know no eras name none."""
    return UNKNOWN_ERA if era is UNSET else era


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """A moment of the store's history. A later era comes after every version of an earlier one."""

    era: int
    version: int
    """Number of a transaction in that era."""


class StoreEra:
    """The newest era of the store that one node has met."""

    def __init__(self, on_restored: Callable[[int, int], None] | None = None) -> None:
        """``on_restored`` is called with each further era and the one before it."""
        self._on_restored = on_restored
        self.observed_era: int | None = None
        """None before the first answer."""
        self.observed_since_s = float("-inf")
        """When it was met first, on this node's clock; the store has been in it for longer."""

    @property
    def current(self) -> int:
        """The newest era, also before the first answer."""
        return UNKNOWN_ERA if self.observed_era is None else self.observed_era

    def is_after(self, era: int) -> bool:
        """Whether the store has come back from a copy since an era."""
        return self.observed_era is not None and self.observed_era > era

    def observe(self, era: int, now_s: float) -> None:
        """Take the era of an answer; that of a late answer from before changes nothing."""
        if self.observed_era is not None and era <= self.observed_era:
            return
        if self.observed_era is not None and self._on_restored is not None:
            self._on_restored(era, self.observed_era)
        self.observed_era = era
        self.observed_since_s = now_s
