"""Which rate all nodes keep for a back end that states how many requests a second it takes. Pure.

Input is what the back end states. Amounts are thousandths of requests, since nodes report what is left of a rate as
whole numbers, and a back end may take less than one request a second. :mod:`.fleet_limits` keeps the rate.
"""

from __future__ import annotations

from wallwell.deployment.routes import FleetRate

UNITS_PER_REQUEST = 1000
"""What a request costs."""
BURST_S = 0.5
"""Seconds of the rate that may be saved up: the back end asks for relief, so little."""
MAX_DEBT_S = 4.5
"""Most seconds of the rate that earlier requests may be ahead of it. A back end may count over four seconds: what
reached it before anybody knew has to be out of that span before more follows. It gets nothing for so long at most,
since somebody must hear when it takes more again."""
LOW_RATE_DEBT_REQUESTS = 3
"""The same in requests where that is more: so many may be sent at low rates before nodes know of each other's."""
MIN_RATE_PER_S = 0.1
"""Least rate in requests a second: a back end that states 0 must be asked now and then, or nobody would learn that
it takes requests again."""
MAX_RATE_PER_S = 1e6
"""Most requests a second that are counted for one back end."""
_BACKEND_KEY_PREFIX = "\n"
"""Sets the names of back ends apart from tenants': those are sent as a header, so none has a line break."""


def backend_limit_key(incarnation: str) -> str:
    """Return the name under which the rate of a back end is kept and reported."""
    return _BACKEND_KEY_PREFIX + incarnation


def backend_rate(per_s: float) -> FleetRate:
    """Return the rate to keep for a back end that states ``per_s`` requests a second."""
    rate_per_s = min(MAX_RATE_PER_S, max(MIN_RATE_PER_S, per_s)) * UNITS_PER_REQUEST
    return FleetRate(rate_per_s, rate_per_s * BURST_S)


def max_backend_debt(rate: FleetRate) -> float:
    """Return how far requests may be ahead of a back end's rate; what is beyond that is not made up for."""
    return max(rate.rate_per_s * MAX_DEBT_S, LOW_RATE_DEBT_REQUESTS * UNITS_PER_REQUEST)
