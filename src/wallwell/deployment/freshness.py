"""How recent this node's knowledge of the store is, without comparing machines' clocks. Pure.

Owns the bounds of the offset between the store's clock and this node's, and the last confirmation of the
configuration. Relies on steady clocks that also count the time in which a machine is suspended.

The store sends its own steady clock with each answer. An answer was made between the call's start and its arrival
here, so the store's clock plus an offset between two bounds is this node's clock. The bounds tighten over time;
the lower one turns the store's time of an answer into the latest local time at which it certainly was current.
"""

from __future__ import annotations

from dataclasses import dataclass

from wallwell.deployment.store_era import UNKNOWN_ERA

MAX_CLOCK_DRIFT_PER_S = 200e-6
"""Seconds by which two steady clocks drift apart in a second, at most; the bounds are relaxed by it."""


@dataclass
class StoreClock:
    """Bounds on ``local time - store time`` from the calls observed in the newest era of the store.

    A store that has come back from a copy may run on another machine, with another clock.
    """

    _min_offset_s: float | None = None
    _min_offset_observed_at_s: float = 0.0
    _era: int = UNKNOWN_ERA

    def is_calibrated_for_other_era(self, era: int) -> bool:
        """Whether the calls observed so far say nothing of the store's clock in ``era``."""
        return self._min_offset_s is not None and era != self._era

    def confirmed_s(self, sent_s: float, store_s: float, era: int = UNKNOWN_ERA) -> float:
        """Return the local time at which an answer was certainly current; minus infinity for an earlier era.

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
        """Return the local time at which an answer that a peer passed on was certainly current.

        The peer may have kept it for any time, so the call through it says nothing of the offset of the clocks;
        only this node's own calls to the store say something of that. Minus infinity without any.
        """
        if era != self._era:
            return float("-inf")
        return store_s + self._min_offset_with_drift_s(now_s)

    def _min_offset_with_drift_s(self, now_s: float) -> float:
        if self._min_offset_s is None:
            return float("-inf")
        return self._min_offset_s - MAX_CLOCK_DRIFT_PER_S * max(0.0, now_s - self._min_offset_observed_at_s)

    def to_store_s(self, local_s: float) -> float:
        """Return the store's time at a local time, at most a call's duration off."""
        return local_s - (self._min_offset_s or 0.0)

    def to_local_s(self, store_s: float) -> float:
        """Return the local time at a store's time, never later than it was."""
        return store_s + (self._min_offset_s or 0.0)


@dataclass
class ConfigurationFreshness:
    """The latest time at which the node's configuration was the newest in the store."""

    confirmed_at_s: float = float("-inf")

    def confirm(self, at_s: float) -> None:
        """Note a confirmation; an older one changes nothing."""
        self.confirmed_at_s = max(self.confirmed_at_s, at_s)

    def is_within_bound(self, arrival_s: float, bound_s: float) -> bool:
        """Whether a request that arrived at ``arrival_s`` may rely on credentials known here.

        A credential taken away after the last confirmation may be accepted for ``bound_s``; a request that came
        within ``bound_s`` of the confirmation was sent before that ran out, however late it is handled.
        """
        return arrival_s - self.confirmed_at_s <= bound_s
