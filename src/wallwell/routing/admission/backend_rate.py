"""The rate that all nodes together keep to for a back end that states how many requests per second it takes. Pure.

Input is the stated rate. Amounts are thousandths of requests, since nodes report levels as whole numbers and a back
end may take less than one request per second. :mod:`.fleet_limits` enforces the rate.
"""

from __future__ import annotations

from wallwell.deployment.tenants import FleetRate

UNITS_PER_REQUEST = 1000
"""Thousandths that one request costs."""
BURST_S = 0.5
"""Seconds of the rate that may be saved for a burst: few, since the back end asks for relief."""
MAX_DEBT_S = 4.5
"""Largest debt that is worked off, in seconds of the rate. A back end may count requests over four seconds: those
that reached it before nodes knew of its limit must have left this span before more follow. The debt is bounded
since the back end gets no requests meanwhile, and only an answer shows that it takes more again."""
LOW_RATE_DEBT_REQUESTS = 3
"""Largest debt in requests where this is more than ``MAX_DEBT_S``: at low rates, nodes may send this many before
they know of each other's requests."""
MIN_RATE_PER_S = 0.1
"""Lowest rate in requests per second: a back end that states 0 still gets a request now and then, since only its
answer shows that it takes requests again."""
MAX_RATE_PER_S = 1e6
"""Highest rate in requests per second; a higher stated rate counts as this one."""
_BACKEND_KEY_PREFIX = "\n"
"""Distinguishes keys of back ends from tenants' names, which are sent in a header and so contain no line break."""


def backend_limit_key(incarnation: str) -> str:
    """Return the limit key of a back end, under which nodes store and report its rate."""
    return _BACKEND_KEY_PREFIX + incarnation


def backend_rate(per_s: float) -> FleetRate:
    """Return the rate to enforce for a back end that states ``per_s`` requests per second."""
    rate_per_s = min(MAX_RATE_PER_S, max(MIN_RATE_PER_S, per_s)) * UNITS_PER_REQUEST
    return FleetRate(rate_per_s, rate_per_s * BURST_S)


def max_debt(rate: FleetRate) -> float:
    """Return the largest debt of a back end's bucket; anything sent beyond that is not worked off."""
    return max(rate.rate_per_s * MAX_DEBT_S, LOW_RATE_DEBT_REQUESTS * UNITS_PER_REQUEST)
