"""Ranges of the numbers in messages between nodes, checked where a message is decoded. Pure.

JSON has whole numbers of any size, and Python computes with them until one meets a fraction: the division of a
number of 400 digits raises OverflowError, wherever that happens. Within these ranges no sum or quotient of a
message's numbers overflows. Senders limit their own sums to the same ranges (:func:`limit_counts`,
:func:`limit_amounts`), so that a large number which a relay has believed does not make its reports undecodable.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated

import msgspec

MAX_COUNT = 1 << 48
"""Largest count that is believed. Sums of thousands of such counts are exact as fractions, too."""
MAX_AMOUNT = (1 << 63) - 1
"""Largest amount and version that is believed: a signed number of 64 bits."""
MAX_ERA = 1 << 31
"""Largest era of the store that is believed; it rises by one at each restore."""
MAX_DURATION_S = 1e9
"""Longest duration in seconds that is believed: 30 years."""
MAX_HOLD_S = 60.0
"""Longest time in seconds for which a peer may ask a node to hold its request."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""Number of things, as decoded."""
Amount = Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
"""Amount that may be refunded or owed, and so negative, as decoded."""
Version = Annotated[int, msgspec.Meta(ge=-1, le=MAX_AMOUNT)]
"""Version of the store or of a row in it, -1 for none, as decoded."""
Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]
"""Era of the store, as decoded."""
Duration = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_S)]
"""Age or time span in seconds, as decoded."""
HoldTime = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_HOLD_S)]
"""Time in seconds for which a request may be held, as decoded."""


def limit_counts(counts: Mapping[str, int]) -> dict[str, int]:
    """Return counts of which none is below 0 or exceeds ``MAX_COUNT``."""
    return {key: max(0, min(count, MAX_COUNT)) for key, count in counts.items()}


def limit_amounts(amounts: Mapping[str, int]) -> dict[str, int]:
    """Return amounts that are within ``MAX_AMOUNT`` on both sides of zero."""
    return {key: max(-MAX_AMOUNT, min(amount, MAX_AMOUNT)) for key, amount in amounts.items()}
