"""Tracks the era of the store, which the store increments when it is restored from an older copy. Pure.

A restored store has lost all writes made after the copy and assigns their version numbers again. A version is
therefore only meaningful together with its era: everything of a later era is newer than all of an earlier one.

Owns the newest era observed and the time of its first observation. Relies on callers to pass in the era of every
answer of the store, and of every page forwarded by a peer.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import UNSET, UnsetType

UNKNOWN_ERA = 0
"""Era of a store that does not count eras."""


def era_to_send(era: int) -> int | UnsetType:
    """Return an era as encoded in messages and rows: the field is omitted while the store does not count eras."""
    return UNSET if era == UNKNOWN_ERA else era


def era_received(era: int | UnsetType) -> int:
    """Return the era of a message or row; builds without support for eras omit the field."""
    return UNKNOWN_ERA if era is UNSET else era


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """A position in the store's history. All positions of a later era come after those of earlier eras."""

    era: int
    version: int
    """Commit number of a transaction in the era."""


class StoreEra:
    """The newest era of the store that this node has observed."""

    def __init__(self, on_restored: Callable[[int, int], None] | None = None) -> None:
        """``on_restored`` is called for each era after the first, with the new era and the previous one."""
        self._on_restored = on_restored
        self.observed_era: int | None = None
        """The newest era; None before the first answer of the store."""
        self.observed_since_s = float("-inf")
        """When this node first observed the newest era, on its own clock; the era itself began earlier."""

    @property
    def current(self) -> int:
        """The newest era; :data:`UNKNOWN_ERA` before the first answer of the store."""
        return UNKNOWN_ERA if self.observed_era is None else self.observed_era

    def is_after(self, era: int) -> bool:
        """Whether the newest era is later than ``era``: the store has been restored since then."""
        return self.observed_era is not None and self.observed_era > era

    def observe(self, era: int, now_s: float) -> None:
        """Record the era of an answer; an earlier era, from a delayed answer, is ignored."""
        if self.observed_era is not None and era <= self.observed_era:
            return
        if self.observed_era is not None and self._on_restored is not None:
            self._on_restored(era, self.observed_era)
        self.observed_era = era
        self.observed_since_s = now_s
