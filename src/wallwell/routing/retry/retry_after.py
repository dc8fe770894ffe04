"""What Retry-After says, by the cause of the refusal. Pure.

A refused caller retries once or a few times, on a new connection and so mostly at another node. It honours a
wait of up to ``HONOURED_FRACTION`` of its remaining time and retries then, whatever the answer said. A caller
that is refused again costs more than a late answer. So the wait is the time after which the cause has probably
ended where it holds for other nodes as well, and next to nothing where it holds for this node alone.

Two functions: :func:`retry_after_s` for refusals of requests that could not be sent or did not run, and
:func:`overload_retry_after_s` for generations refused while engines have more to do than they can serve in time.

Two further causes have a wait that is known where they are decided, and is sent as it is: a tenant beyond its limit
(:mod:`wallwell.routing.admission.fleet_limits`: the time until its limit allows the request) and a request in
quarantine (:mod:`wallwell.routing.admission.quarantine`: what is left of it).
"""

from __future__ import annotations

import enum
import random

import msgspec

from wallwell.routing.admission.overload import REFUSAL_BEGIN_LOAD, Occupancy, rank_steps

HONOURED_WAIT_FRACTION = 1 / 3
"""Fraction of its remaining time up to which a caller waits; longer waits are cut to it. A bound of the callers'
protocol."""
MIN_RETRY_AFTER_S = 0.01
"""Shortest wait that is sent, in seconds: a refused caller must not retry faster than its connection is made."""
OTHER_NODE_WAIT_S = 0.04
"""Wait in seconds where any other node can be expected to serve: only long enough that the callers of one node do
not arrive at the others in one moment."""
STORE_SILENCE_FRACTION = 0.5
"""Fraction of the store's silence so far for which it is expected to last on. Arithmetic: of outages seen at a
random moment, as many have ended after half of their age again as have not."""
MAX_STORE_WAIT_S = 2.0
"""Longest wait in seconds for a silent store, so that callers notice its return soon."""
NO_BACKEND_WAIT_S = 1.0
"""Wait in seconds where no back end is listed: about the time in which a started one is listed and known to all
nodes."""
WAIT_JITTER = (0.75, 1.25)
"""Multiples of a wait over which callers are spread, so that they do not retry together."""
CAPPED_WAIT_JITTER = 0.5
"""Fraction of the longest wait a caller honours over which callers are spread who would have to wait longer."""
SUSPENSION_MARGIN_S = 0.005
"""Added in seconds to the end of a suspension, so that a caller does not arrive just before it."""
BACKOFF_JITTER = (1.0, 1.25)
"""Multiples of the time until a back-off ends over which callers are spread: a back end that was full should not
get all of them at once. None comes before the end, when it would be refused."""
SLOT_RELEASE_FRACTION = 0.5
"""Fraction of a request's usual duration after which slots of a full service are free again: requests in flight at
a random moment have on average half of their duration left."""

OVERLOAD_SLOT_RELEASE_FRACTION = 0.5
"""Fraction of a generation's usual duration after which the first slots are free again: as
``FREE_SLOTS_FRACTION``."""
OVERLOAD_JITTER = (0.75, 1.75)
"""Multiples of the expected time over which retries of generations are spread, so that they do not arrive at
once."""
OVERLOAD_RANK_DELAY_FRACTION = 0.25
"""Fraction of that time by which each less urgent rank retries later."""


class RefusalCause(enum.Enum):
    """Why a request was refused before it ran."""

    NO_CONFIGURATION = "no configuration received yet"
    STALE_CONFIGURATION = "configuration not confirmed lately"
    NO_BACKEND_LISTED = "no back end is listed"
    ALL_SUSPENDED = "all back ends are suspended"
    ALL_BACKING_OFF = "all back ends asked for back-off"
    ALL_LIMITED = "limits of all back ends are used up"
    REFUSED_BY_BACKENDS = "back ends refused"
    WEIGHTS_TOO_OLD = "no back end has new enough weights"
    RETRY_BUDGET_EXHAUSTED = "retry budget exhausted"
    TOO_LITTLE_TIME = "too little time left"


class RefusalCircumstances(msgspec.Struct, frozen=True):
    """What a node knows when it refuses a request. Times in seconds."""

    remaining_s: float
    """What is left of the caller's time."""
    store_silence_s: float = 0.0
    """Time since the store was last heard; since the node's start if it never was."""
    receives_peer_loads: bool = False
    """Whether other nodes report their loads to this one, so that the store may be silent for them as well."""
    suspension_ends_in_s: float = 0.0
    """Time until the first suspended back end may be tried; 0 if one may be now."""
    backoff_ends_in_s: float = 0.0
    """Time until the first back end that asked for back-off may be tried."""
    limit_wait_s: float = 0.0
    """Time until the limit of the first back end probably allows the request; spread over callers already."""
    usual_duration_s: float = 0.0
    """Usual duration of a request of this kind at its back end."""


def retry_after_s(cause: RefusalCause, circumstances: RefusalCircumstances, rng: random.Random) -> float:
    """Return the wait in seconds; 0 if a retry within the caller's time is no use."""
    if cause is RefusalCause.TOO_LITTLE_TIME:
        return 0.0
    max_wait_s = max(MIN_RETRY_AFTER_S, circumstances.remaining_s * HONOURED_WAIT_FRACTION)
    if cause is RefusalCause.ALL_SUSPENDED:
        # The end of the suspension is known, so the spread begins there.
        earliest_s = circumstances.suspension_ends_in_s + SUSPENSION_MARGIN_S
        wait_s = earliest_s + rng.uniform(0.0, OTHER_NODE_WAIT_S)
    elif cause is RefusalCause.ALL_BACKING_OFF:
        wait_s = circumstances.backoff_ends_in_s * rng.uniform(*BACKOFF_JITTER)
    elif cause is RefusalCause.ALL_LIMITED:
        wait_s = circumstances.limit_wait_s
    else:
        wait_s = _expected_wait_s(cause, circumstances) * rng.uniform(*WAIT_JITTER)
    if wait_s > max_wait_s:
        wait_s = max_wait_s * rng.uniform(1.0 - CAPPED_WAIT_JITTER, 1.0)
    return max(MIN_RETRY_AFTER_S, wait_s)


def _expected_wait_s(cause: RefusalCause, circumstances: RefusalCircumstances) -> float:
    """Return the time in which the cause has probably ended for the caller."""
    match cause:
        case RefusalCause.NO_CONFIGURATION | RefusalCause.STALE_CONFIGURATION:
            if not circumstances.receives_peer_loads:
                return OTHER_NODE_WAIT_S
            expected_s = STORE_SILENCE_FRACTION * circumstances.store_silence_s
            return max(OTHER_NODE_WAIT_S, min(MAX_STORE_WAIT_S, expected_s))
        case RefusalCause.NO_BACKEND_LISTED | RefusalCause.WEIGHTS_TOO_OLD:
            return NO_BACKEND_WAIT_S
        case RefusalCause.REFUSED_BY_BACKENDS:
            return max(OTHER_NODE_WAIT_S, SLOT_RELEASE_FRACTION * circumstances.usual_duration_s)
        case _:
            # This node's retries are used up; a caller's own retry is a new request, which needs no budget.
            return OTHER_NODE_WAIT_S


def overload_retry_after_s(occupancy: Occupancy, rank: int, generation_s: float, rng: random.Random) -> float:
    """Return the wait in seconds after which a generation refused in an overload can expect to be served.

    ``generation_s`` is a generation's usual duration. The load beyond the threshold is served in as many of
    these as it is larger, by slot. Callers are spread around that, the urgent ones (rank 0) first.
    """
    excess_load = max(0.0, occupancy.load_per_slot - REFUSAL_BEGIN_LOAD)
    rank_factor = 1.0 + OVERLOAD_RANK_DELAY_FRACTION * rank_steps(rank)
    return (
        generation_s * rank_factor * (OVERLOAD_SLOT_RELEASE_FRACTION + excess_load) * rng.uniform(*OVERLOAD_JITTER)
    )
