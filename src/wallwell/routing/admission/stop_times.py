"""The timeline of a node's planned stop: until when it takes requests, and when it ends what is still open. Pure.

A request that is passed on late in a stop may still run when the node ends, and is cut then. Its caller cannot
know: the head of an answer that began before the stop does not say that its connection closes. So a request that
has been read whole too late is refused, however it came, and its caller asks another node at once.

Times are in seconds on the node's clock. ``node/planned_stop.py`` performs the stop, ``serving/admission.py``
refuses requests.
"""

from __future__ import annotations

from typing import NamedTuple

READ_TOO_LATE = "the node is stopping and takes no more requests"
"""Why a request is refused that has been read too late, for its error."""
LAME_DUCK_S = 2.6
"""Seconds for which a stopping node still accepts requests although it reports not ready. Load balancers check each
second and remove a node after two failed checks, so after 2 s at most."""
MAX_LAME_DUCK_FRACTION = 0.5
"""Greatest fraction of the grace period that the lame-duck phase may take; open requests get the rest."""
LATE_REQUEST_S = 0.15
"""Seconds after the closing begins in which requests are still taken that were on their way then. A request sent
3 s after the signal or later must not be cut; a quarter of a second is left for a signal that reaches a process
late which gets no CPU time."""
STOP_RESERVE_FRACTION = 0.125
"""Fraction of the grace period reserved for closing connections. Requests that still run in the last sixth of the
period may be cut, and an eighth is less than that."""


class StopTimes(NamedTuple):
    """The steps of one planned stop."""

    requested_s: float
    """When the process got the signal."""
    closing_s: float
    """When the node stops accepting connections, and begins to close them."""
    last_request_s: float
    """Until when a request that has been read whole is served."""
    cut_s: float
    """When it ends what is still open."""


def plan_stop(requested_s: float, grace_s: float) -> StopTimes:
    """Return the steps of a stop that was requested at ``requested_s`` and must be over ``grace_s`` later."""
    closing_s = requested_s + min(LAME_DUCK_S, grace_s * MAX_LAME_DUCK_FRACTION)
    cut_s = requested_s + grace_s * (1.0 - STOP_RESERVE_FRACTION)
    return StopTimes(requested_s, closing_s, closing_s + LATE_REQUEST_S, cut_s)


def is_read_too_late(stop: StopTimes | None, read_s: float) -> bool:
    """Whether a request that had been read whole at ``read_s`` is refused, since the stop might cut it."""
    return stop is not None and read_s > stop.last_request_s
