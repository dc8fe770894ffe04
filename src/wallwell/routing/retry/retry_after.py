"""The wait stated in Retry-After, by the cause of the refusal. Pure.

A refused caller retries once or a few times, on a new connection and so mostly at another node. It waits at most
``HONOURED_WAIT_FRACTION`` of its remaining time and then retries, even if the answer states a longer wait. A caller
that is refused again costs more than a late answer. So if the cause of a refusal holds at other nodes as well, the
wait is the time after which the cause has probably ended; if it holds at this node only, the wait is close to zero.

:func:`retry_after_s` is for requests that could not be sent or did not run, :func:`overload_retry_after_s` for
generations refused while engines have more work than they can finish in time.

Two more refusals state a wait that is computed elsewhere: a tenant over its limit waits until the limit allows the
request (:mod:`wallwell.routing.admission.fleet_limits`), and a quarantined request waits for the rest of its
quarantine (:mod:`wallwell.routing.admission.quarantine`).
"""

from __future__ import annotations

import enum
import random

import msgspec

from wallwell.routing.admission.overload import REFUSAL_BEGIN_LOAD, Occupancy, rank_steps

HONOURED_WAIT_FRACTION = 1 / 3
"""Largest fraction of its remaining time that a caller waits by the callers' protocol; longer waits are cut."""
MIN_RETRY_AFTER_S = 0.01
"""Shortest wait that is stated, in seconds: a caller should not retry faster than it can open a connection."""
OTHER_NODE_WAIT_S = 0.04
"""Wait in seconds if any other node can be expected to serve the request: just long enough that the callers of one
node do not all arrive at the others at the same moment."""
STORE_SILENCE_FRACTION = 0.5
"""Fraction of the store's silence so far for which the silence is expected to continue. Of outages observed at a
random moment, half have ended after another half of their age."""
MAX_STORE_WAIT_S = 2.0
"""Longest wait in seconds for a silent store, so that callers retry soon after its return."""
NO_BACKEND_WAIT_S = 1.0
"""Wait in seconds if no back end is listed: about the time until a started back end is listed and known to all
nodes."""
NODE_RETURN_WAIT_S = 1.0
"""Wait in seconds for a node that would know the caller's stream: about the time in which one that was frozen or
short of processor time answers again."""
WAIT_JITTER = (0.75, 1.25)
"""Lowest and highest random factor of a wait, so that callers do not all retry at once."""
CAPPED_WAIT_JITTER = 0.5
"""A wait that is cut to the longest one that callers honour is shortened at random by up to this fraction."""
SUSPENSION_MARGIN_S = 0.005
"""Seconds added to the end of a suspension, so that a caller does not arrive just before it."""
BACKOFF_JITTER = (1.0, 1.25)
"""Lowest and highest random factor of the time until a back-off ends: a back end that was full should not get all
callers at once. None should arrive before the end, since it would be refused."""
SLOT_RELEASE_FRACTION = 0.5
"""Fraction of a request's usual duration after which slots of a full service are free again: requests in flight at
a random moment have on average half of their duration left."""

OVERLOAD_SLOT_RELEASE_FRACTION = 0.5
"""Fraction of a generation's usual duration after which the first slots are free, as ``SLOT_RELEASE_FRACTION``."""
OVERLOAD_JITTER = (0.75, 1.75)
"""Lowest and highest random factor of a generation's wait, so that refused callers do not all return at once."""
OVERLOAD_RANK_DELAY_FRACTION = 0.25
"""The wait grows by this fraction for each step to a less urgent rank."""


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
    STREAM_VERSION_UNKNOWN = "version that began the stream unknown"


class RefusalCircumstances(msgspec.Struct, frozen=True):
    """State of a node that decides on the wait of a refused request. Times in seconds."""

    remaining_s: float
    """The caller's remaining time."""
    store_silence_s: float = 0.0
    """Time since the store last answered, or since the node's start if it never has."""
    receives_peer_loads: bool = False
    """Whether other nodes report their loads to this one, so that the store may be silent for them as well."""
    suspension_ends_in_s: float = 0.0
    """Time until the first suspended back end may be tried again; 0 if one may be tried now."""
    backoff_ends_in_s: float = 0.0
    """Time until the first back-off ends."""
    limit_wait_s: float = 0.0
    """Time until a back end's limit is first expected to allow the request; includes random jitter already."""
    usual_duration_s: float = 0.0
    """Usual duration of a request of this kind at its back end."""


def retry_after_s(cause: RefusalCause, circumstances: RefusalCircumstances, rng: random.Random) -> float:
    """Return the wait in seconds; 0 if a retry within the caller's remaining time is pointless."""
    if cause is RefusalCause.TOO_LITTLE_TIME:
        return 0.0
    max_wait_s = max(MIN_RETRY_AFTER_S, circumstances.remaining_s * HONOURED_WAIT_FRACTION)
    if cause is RefusalCause.ALL_SUSPENDED:
        # The end of the suspension is known, so the jitter is added after it.
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
    """Return after how many seconds the cause of the refusal has probably ended for the caller."""
    match cause:
        case RefusalCause.NO_CONFIGURATION | RefusalCause.STALE_CONFIGURATION:
            if not circumstances.receives_peer_loads:
                return OTHER_NODE_WAIT_S
            expected_s = STORE_SILENCE_FRACTION * circumstances.store_silence_s
            return max(OTHER_NODE_WAIT_S, min(MAX_STORE_WAIT_S, expected_s))
        case RefusalCause.NO_BACKEND_LISTED | RefusalCause.WEIGHTS_TOO_OLD:
            return NO_BACKEND_WAIT_S
        case RefusalCause.STREAM_VERSION_UNKNOWN:
            return NODE_RETURN_WAIT_S
        case RefusalCause.REFUSED_BY_BACKENDS:
            return max(OTHER_NODE_WAIT_S, SLOT_RELEASE_FRACTION * circumstances.usual_duration_s)
        case _:
            # This node's retry budget is exhausted; the caller's own retry is a new request, which needs none.
            return OTHER_NODE_WAIT_S


def overload_retry_after_s(occupancy: Occupancy, rank: int, generation_s: float, rng: random.Random) -> float:
    """Return the wait in seconds after which a generation refused in an overload can expect to be served.

    ``generation_s`` is a generation's usual duration. The engines need this long for each unit of load per slot
    above the threshold. Waits vary at random around the expected time and are shortest for the urgent rank 0.
    """
    excess_load = max(0.0, occupancy.load_per_slot - REFUSAL_BEGIN_LOAD)
    rank_factor = 1.0 + OVERLOAD_RANK_DELAY_FRACTION * rank_steps(rank)
    return (
        generation_s * rank_factor * (OVERLOAD_SLOT_RELEASE_FRACTION + excess_load) * rng.uniform(*OVERLOAD_JITTER)
    )
