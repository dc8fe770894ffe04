"""Counts and logs what back ends sent that answers no request in flight.

Owns the counts of one pool of connections. A back end may repeat every answer, so that only some of its discarded
answers are logged; the counts include all.
"""

from __future__ import annotations

import enum
from collections import Counter

import msgspec

from wallwell.clock import boot_time_s
from wallwell.events import Event, emit

LOG_INTERVAL_S = 1.0
"""Shortest time between two lines on the same back end."""
MAX_ADDRESSES = 1000
"""Back ends whose last line is remembered; the one that was logged first is forgotten first."""


class DiscardReason(enum.StrEnum):
    """Why received bytes answer no request in flight."""

    OUTSIDE_A_ROUND_TRIP = "bytes outside a round trip"
    SECOND_ANSWER = "second answer in a round trip"
    ANOTHER_REQUEST = "answer to another request"
    NOT_AN_ANSWER = "not an HTTP answer"


class Discarded(msgspec.Struct, frozen=True):
    """Bytes that were discarded, and where they came."""

    reason: DiscardReason
    connection: int
    """Number of the connection in this process; 0 if it has none."""
    round_trip: int
    """How many requests had been sent on the connection; 0 if that is not counted."""
    expected_id: str = ""
    """Id of the request that waited for its answer; empty if none waited or it has no id."""
    answer_id: str = ""
    """Id that the discarded answer carried; empty if it carried none or was no answer."""
    status: int = 0
    """Status of the discarded answer; 0 if the bytes were not read as an answer."""
    detail: str = ""
    """Why the bytes are no answer, and the first of them with escapes; empty for answers."""


class DiscardedAnswers:
    """Discarded answers of all back ends of one pool."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        """By the value of the reason."""
        self._logged_at_s: dict[str, float] = {}
        """When the last line on each address was logged, ordered by its first line."""
        self._unlogged: Counter[str] = Counter()
        """By address, how many were discarded without a line since the last one."""

    def add(self, address: str, discarded: Discarded) -> None:
        """Count one, and log it unless another of the same back end was logged shortly before."""
        self.counts[discarded.reason.value] += 1
        now_s = boot_time_s()
        if now_s - self._logged_at_s.get(address, float("-inf")) < LOG_INTERVAL_S:
            self._unlogged[address] += 1
            return
        self._remember_line(address, now_s)
        emit(
            Event.ANSWER_DISCARDED,
            address=address,
            reason=discarded.reason.value,
            connection=discarded.connection,
            round_trip=discarded.round_trip,
            expected_id=discarded.expected_id,
            answer_id=discarded.answer_id,
            status=discarded.status,
            detail=discarded.detail,
            more=self._unlogged.pop(address, 0),
        )

    def _remember_line(self, address: str, now_s: float) -> None:
        self._logged_at_s[address] = now_s
        if len(self._logged_at_s) > MAX_ADDRESSES:
            forgotten = next(iter(self._logged_at_s))
            del self._logged_at_s[forgotten]
            self._unlogged.pop(forgotten, None)
