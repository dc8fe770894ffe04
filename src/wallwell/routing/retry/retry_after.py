"""When a refused caller is told to come back, by the cause of the refusal. Pure.

A caller comes back once or a few times, on a new connection and so mostly at another node. It honours a wait up
to ``HONOURED_FRACTION`` of its remaining time and comes back then, whatever it was told. A caller that is refused
again costs more than a late answer, so the wait is the time in which the cause has probably ended where it holds
for other nodes as well, and next to nothing where it holds for this node alone.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

HONOURED_FRACTION = 1 / 3
"""Part of its remaining time up to which a caller waits (the users' protocol); longer waits are cut to it."""
SHORTEST_S = 0.01
"""Shortest wait that is told: a refused caller must not come back faster than its connection is made."""
ELSEWHERE_S = 0.04
"""Wait where any other node can be expected to serve: only long enough that callers of one node do not arrive there
in one moment."""
FLEET_SILENCE_FRACTION = 0.5
"""Part of a silence of the store so far for which it is expected to last on: of outages seen in the middle, as many
have ended after half of their age again as have not."""
LONGEST_SILENCE_S = 2.0
NONE_LISTED_S = 1.0
"""Wait where no back end is listed: about the time in which a started one is listed and known to all nodes."""
SPREAD = (0.75, 1.25)
"""Multiples of a wait over which callers are spread, so that they do not come back together."""
CUT_SPREAD = 0.5
"""Part of the longest wait a caller honours over which those are spread who would have to wait longer."""
MARGIN_S = 0.005
"""Added to the end of a suspension, so that a caller does not come just before it."""
FREE_FRACTION = 0.5
"""Part of a request's usual time after which places of a full service are free again."""


class RefusalCause(enum.Enum):
    """Why a request was refused before it ran."""

    NO_CONFIGURATION = "no configuration"
    STALE_CONFIGURATION = "stale configuration"
    NONE_LISTED = "no back end listed"
    SUSPENDED = "all back ends suspended"
    REFUSED = "back ends refused"
    WEIGHTS_TOO_OLD = "no back end has due weights"
    BUDGET_USED = "retry budget used up"
    OUT_OF_TIME = "too little time left"


@dataclass(frozen=True)
class RefusalCircumstances:
    """What a node knows when it refuses. Times in seconds."""

    remaining_s: float
    """What is left of the caller's time."""
    store_silence_s: float = 0.0
    """Time since the store's last word; since the node's start if there was none."""
    hears_fleet: bool = False
    """Whether other nodes tell this one their loads, so that the store may be silent for them as well."""
    open_in_s: float = 0.0
    """Time until the first suspended back end may be tried."""
    service_s: float = 0.0
    """Usual time of a request of this kind at its back end."""


def retry_after_s(cause: RefusalCause, known: RefusalCircumstances, rng: random.Random) -> float:
    """Return the wait to tell; 0 if there is nothing to come back for in the caller's time."""
    if cause is RefusalCause.OUT_OF_TIME:
        return 0.0
    longest_s = max(SHORTEST_S, known.remaining_s * HONOURED_FRACTION)
    if cause is RefusalCause.SUSPENDED:
        # The end of the suspension is known, so the spread begins there.
        low_s = known.open_in_s + MARGIN_S
        wait_s = low_s + rng.uniform(0.0, ELSEWHERE_S)
    else:
        wait_s = _expected_s(cause, known) * rng.uniform(*SPREAD)
    if wait_s > longest_s:
        wait_s = longest_s * rng.uniform(1.0 - CUT_SPREAD, 1.0)
    return max(SHORTEST_S, wait_s)


def _expected_s(cause: RefusalCause, known: RefusalCircumstances) -> float:
    """Return the time in which the cause has probably ended for the caller."""
    match cause:
        case RefusalCause.NO_CONFIGURATION | RefusalCause.STALE_CONFIGURATION:
            if not known.hears_fleet:
                return ELSEWHERE_S
            return max(ELSEWHERE_S, min(LONGEST_SILENCE_S, FLEET_SILENCE_FRACTION * known.store_silence_s))
        case RefusalCause.NONE_LISTED | RefusalCause.WEIGHTS_TOO_OLD:
            return NONE_LISTED_S
        case RefusalCause.REFUSED:
            return max(ELSEWHERE_S, FREE_FRACTION * known.service_s)
        case _:
            # Repeats of this node are used up; a caller's own return is a new request, and no repeat.
            return ELSEWHERE_S
