"""What a back end states about how many requests a second it takes from all nodes together. Pure.

Inputs are the headers of its answers. A back end in need names a limit in each answer for as long as the limit
holds, so an answer to a later request that names none ends it.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

NO_LIMIT_PER_S = math.inf
"""Limit of a back end that names none."""


class LimitStatement(msgspec.Struct, frozen=True):
    """What one answer of a back end says of its limit."""

    per_s: float
    """Requests a second from all nodes together; ``NO_LIMIT_PER_S`` if it names no limit."""
    sent_s: float = -math.inf
    """When the request was sent that it answers, on this node's clock. Minus infinity for other calls, whose order
    with requests is not known."""


def read_limit(texts: Sequence[str]) -> float | None:
    """Return the lowest limit that an answer's headers name; None if one of them is no decimal number.

    ``NO_LIMIT_PER_S`` if there is no such header.
    """
    lowest_per_s = NO_LIMIT_PER_S
    for text in texts:
        try:
            per_s = float(text)
        except ValueError:
            return None
        if not 0.0 <= per_s < math.inf:
            return None
        lowest_per_s = min(lowest_per_s, per_s)
    return lowest_per_s
