"""How recent this node's copy of the store's data is, without synchronized clocks. Pure.

Owns the lower bound of the offset between this node's clock and the store's, and the time of the last confirmation
of the configuration. Relies on steady clocks that also count the time during which a machine is suspended.

The store sends its steady clock with each answer. An answer is made between the start of the call and its arrival
at this node, which bounds the offset between the two clocks on both sides. The bounds tighten with further calls;
the store's time of an answer plus the lower bound is the latest local time at which it was certainly current.
"""

from __future__ import annotations

from dataclasses import dataclass

from wallwell.deployment.store_era import UNKNOWN_ERA

MAX_CLOCK_DRIFT_PER_S = 200e-6
"""Maximum drift between two steady clocks, in seconds per second; the bound is relaxed by this rate."""


@dataclass
class StoreClock:
    """Lower bound of ``local time - store time`` from the calls observed in the newest era of the store.

    Each era has its own offset: a store restored from a copy may run on another machine, with another clock.
    """

    _min_offset_s: float | None = None
    _min_offset_observed_at_s: float = 0.0
    _era: int = UNKNOWN_ERA

    def is_for_other_era(self, era: int) -> bool:
        """Whether the offset comes from calls in another era, so that it is not valid in ``era``."""
        return self._min_offset_s is not None and era != self._era

    def confirmed_s(self, sent_s: float, store_s: float, era: int = UNKNOWN_ERA) -> float:
        """Return the latest local time at which an answer was certainly current; minus infinity for an earlier era.

        ``sent_s`` is the local time at which the call was started, ``store_s`` the store's clock in the answer.
        """
        if era < self._era:
            return float("-inf")
        if era > self._era:
            self._era = era
            self._min_offset_s = None
        min_offset_s = max(sent_s - store_s, self._min_offset_with_drift_s(sent_s))
        self._min_offset_s = min_offset_s
        self._min_offset_observed_at_s = sent_s
        return max(sent_s, store_s + min_offset_s)

    def confirmed_by_relay_s(self, now_s: float, store_s: float, era: int = UNKNOWN_ERA) -> float:
        """Return the latest local time at which an answer forwarded by a peer was certainly current.

        The peer may have held the answer for any time, so its call does not bound the offset; only this node's own
        calls to the store do. Minus infinity if there were none in this era.
        """
        if era != self._era:
            return float("-inf")
        return store_s + self._min_offset_with_drift_s(now_s)

    def _min_offset_with_drift_s(self, now_s: float) -> float:
        if self._min_offset_s is None:
            return float("-inf")
        return self._min_offset_s - MAX_CLOCK_DRIFT_PER_S * max(0.0, now_s - self._min_offset_observed_at_s)

    def to_store_s(self, local_s: float) -> float:
        """Return the store's time at a local time; the error is at most the duration of a call."""
        return local_s - (self._min_offset_s or 0.0)

    def to_local_s(self, store_s: float) -> float:
        """Return a lower bound of the local time at a store's time."""
        return store_s + (self._min_offset_s or 0.0)


@dataclass
class ConfigurationFreshness:
    """The latest time (s) at which this node's configuration was confirmed to be the newest in the store."""

    confirmed_at_s: float = float("-inf")

    def confirm(self, at_s: float) -> None:
        """Record the time of a confirmation; an older one is ignored."""
        self.confirmed_at_s = max(self.confirmed_at_s, at_s)

    def is_within_bound(self, arrival_s: float, bound_s: float) -> bool:
        """Whether a request that arrived at ``arrival_s`` may be checked against this node's credentials.

        A credential revoked after the last confirmation may be accepted for ``bound_s`` seconds. The arrival time
        counts, not the time of handling: a request that arrived within ``bound_s`` was sent in time.
        """
        return arrival_s - self.confirmed_at_s <= bound_s
