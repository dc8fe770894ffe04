"""Limit that a back end states of the requests per second that it accepts from all nodes together. Pure.

Inputs are the headers of its answers to this node, and the limits that other nodes read and report. An overloaded
back end states a limit in each answer while the limit holds, so an answer without one to a later request ends it.
Times are on this node's clock.

Answers may arrive out of order. A lower limit takes effect at once. A higher limit, or none, takes effect only if
the answered request was sent after the limit in force was last read: the answer to an earlier one may be older.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

NO_LIMIT_PER_S = math.inf
"""Limit of a back end that states none."""


class LimitStatement(msgspec.Struct, frozen=True):
    """Statement of one answer about the limit of its back end."""

    per_s: float
    """Requests per second from all nodes together; ``NO_LIMIT_PER_S`` if the answer states no limit."""
    request_sent_s: float = -math.inf
    """When the answered request was sent, on this node's clock. Minus infinity for answers to other calls, whose
    order relative to requests is unknown."""


def parse_limit_headers(headers: Sequence[str]) -> float | None:
    """Return the lowest limit in an answer's headers, in requests per second; None if one of them is not valid. A
    valid limit is a finite number of at least 0. Returns ``NO_LIMIT_PER_S`` if there are no headers."""
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
    """The limit of one back end: the newest that any node has read, and the last that this node has read itself."""

    per_s: float = NO_LIMIT_PER_S
    """Limit in force, in requests per second."""
    read_at_s: float = -math.inf
    """When a node last read the limit in force in an answer."""
    own_per_s: float = NO_LIMIT_PER_S
    own_read_at_s: float = -math.inf
    """When this node last read a statement that took effect, with or without a limit."""

    def on_answer(self, statement: LimitStatement, now_s: float) -> None:
        """Apply the statement of an answer to this node, unless it may be out of date."""
        if statement.per_s > self.per_s and statement.request_sent_s <= self.read_at_s:
            return
        self.per_s = self.own_per_s = statement.per_s
        self.read_at_s = self.own_read_at_s = now_s

    def on_reported(self, per_s: float, read_at_s: float) -> None:
        """Apply a limit that another node read at ``read_at_s``, unless the limit in force was read later."""
        if read_at_s > self.read_at_s:
            self.per_s = per_s
            self.read_at_s = read_at_s
