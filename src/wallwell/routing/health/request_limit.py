"""How many requests a second a back end takes from all nodes together, by its own word. Pure.

Inputs are the headers of its answers to this node, and what other nodes report of those that they read. A back end
in need names a limit in each answer for as long as the limit holds, so an answer to a later request that names none
ends it. Times are on this node's clock.

Answers overtake each other. A lower limit holds at once. A higher one, or none, holds only if the answer belongs to
a request that was sent after the limit in force was last read: an earlier one may have been answered before that.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

NO_LIMIT_PER_S = math.inf
"""Limit of a back end that names none."""


class LimitStatement(msgspec.Struct, frozen=True):
    """What one answer of a back end says of its limit."""

    per_s: float
    """Requests a second from all nodes together; ``NO_LIMIT_PER_S`` if it names no limit."""
    request_sent_s: float = -math.inf
    """When the request was sent that it answers, on this node's clock. Minus infinity for other calls, whose order
    with requests is not known."""


def parse_limit_headers(headers: Sequence[str]) -> float | None:
    """Return the lowest limit that an answer's headers name; None if one of them is no decimal number.

    ``NO_LIMIT_PER_S`` if there is no such header.
    """
    lowest_per_s = NO_LIMIT_PER_S
    for header in headers:
        try:
            per_s = float(header)
        except ValueError:
            return None
        if not 0.0 <= per_s < math.inf:
            return None
        lowest_per_s = min(lowest_per_s, per_s)
    return lowest_per_s


@dataclass(slots=True)
class RequestLimit:
    """The limit of one back end: the newest that any node has read, and the last that this node read itself."""

    per_s: float = NO_LIMIT_PER_S
    """In force."""
    read_at_s: float = -math.inf
    """When a node last read the one in force in an answer."""
    own_per_s: float = NO_LIMIT_PER_S
    own_read_at_s: float = -math.inf
    """When this node last read one, or that there is none."""

    def on_answer(self, statement: LimitStatement, now_s: float) -> None:
        """Take what an answer to this node says."""
        if statement.per_s > self.per_s and statement.request_sent_s <= self.read_at_s:
            return
        self.per_s = self.own_per_s = statement.per_s
        self.read_at_s = self.own_read_at_s = now_s

    def on_reported(self, per_s: float, read_at_s: float) -> None:
        """Take what another node read, unless something newer is known."""
        if read_at_s > self.read_at_s:
            self.per_s = per_s
            self.read_at_s = read_at_s
