"""Which life of the store this node knows: the store may come back from an older copy of itself. Pure.

A store that comes back from a copy has lost what was written after the copy was made, and gives out the versions of
that time again. So a version means something only beside its era: eras are counted by the store, and everything of
a later one is newer than everything of an earlier one.

Owns the newest era met and the time at which this node met it. Relies on being told the era of every answer of the
store, and of every page that a peer passes on.
"""

from __future__ import annotations

from wallwell.events import Event, emit

UNKNOWN_ERA = 0
"""Era of a store that counts none."""


class StoreEra:
    """The newest era of the store that one node has met."""

    def __init__(self) -> None:
        self.number: int | None = None
        """None before the first answer."""
        self.since_s = float("-inf")
        """When it was met first, on this node's clock; the store has been in it for longer."""

    def observe(self, number: int, now_s: float) -> None:
        """Take the era of an answer; that of a late answer from before changes nothing."""
        if self.number is not None and number <= self.number:
            return
        if self.number is not None:
            emit(Event.STORE_RESTORED, era=number, before=self.number)
        self.number = number
        self.since_s = now_s
