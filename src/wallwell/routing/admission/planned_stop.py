"""The timeline of a node's planned stop: until when it takes requests, and when it ends what is still open. Pure.

Times are in seconds on the node's clock. ``node/planned_stop.py`` performs the stop.
"""

from __future__ import annotations

from typing import NamedTuple

LAME_DUCK_S = 2.6
"""Seconds for which a stopping node still accepts requests although it reports not ready. Load balancers check each
second and remove a node after two failed checks, so after 2 s at most."""
MAX_LAME_DUCK_FRACTION = 0.5
"""Greatest fraction of the grace period that the lame-duck phase may take; open requests get the rest."""
STOP_RESERVE_FRACTION = 0.125
"""Fraction of the grace period reserved for closing connections. Requests that still run in the last sixth of the
period may be cut, and an eighth is less than that."""


class StopTimes(NamedTuple):
    """The steps of one planned stop."""

    requested_s: float
    closing_s: float
    """When the node stops accepting connections, and begins to close them."""
    cut_s: float
    """When it ends what is still open."""


def plan_stop(requested_s: float, grace_s: float) -> StopTimes:
    """Return the steps of a stop that was requested at ``requested_s`` and must be over ``grace_s`` later."""
    closing_s = requested_s + min(LAME_DUCK_S, grace_s * MAX_LAME_DUCK_FRACTION)
    cut_s = requested_s + grace_s * (1.0 - STOP_RESERVE_FRACTION)
    return StopTimes(requested_s, closing_s, cut_s)


def is_cut_by_stop(stop: StopTimes | None, now_s: float) -> bool:
    """Whether a request that is cancelled now is cut by the stop, and not by its caller."""
    return stop is not None and now_s >= stop.cut_s
