"""Framing and ordering of event streams: forwards complete events only, each number once and in order. Pure.

An event ends with an empty line and carries its number in an ``id:`` line. If a stream breaks off within an event,
the partial event is discarded; the next attempt resumes after the last complete event.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import NamedTuple

from wallwell.answer_head import parse_header_number
from wallwell.errors import StreamOrderError

MAX_EVENT_BYTES = 256 * 1024
"""Largest size of an unfinished event in bytes. A larger one ends the attempt, so that a back end that never ends
an event cannot fill this node's memory."""
EVENT_COST_BYTES = 64
"""What the handling of an event costs, in bytes: the smallest ones cost more than their bytes say."""
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = b"id:"


def split_events(buffer: bytes) -> tuple[list[bytes], bytes]:
    """Return the complete events at the start of ``buffer`` and the remaining bytes."""
    events: list[bytes] = []
    start = 0
    for match in _EVENT_END.finditer(buffer):
        events.append(buffer[start : match.end()])
        start = match.end()
    return events, buffer[start:]


def event_number(event: bytes) -> int | None:
    """Return the number in the event's ``id:`` line; None if there is no such line or number."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return parse_header_number(line[len(_ID_FIELD) :].strip().decode("latin-1"))
    return None


class EventBatch(NamedTuple):
    """Complete events to forward together, and the position behind them."""

    events: list[bytes]
    last_event_number: int | None
    unnumbered_bytes: int


@dataclass
class StreamPosition:
    """Position in a streamed answer, over all attempts of the request."""

    last_event_number: int | None = None
    """Number of the last event forwarded, None if no numbered event was; the next attempt resumes after it."""
    events_forwarded: int = 0
    _unnumbered_bytes: int = 0
    """Bytes of events without a number since the last one with a number."""
    _partial_event: bytes = field(default=b"")

    def begin_attempt(self) -> None:
        """Discard the partial event of the previous attempt; called when a new attempt's stream starts."""
        self._partial_event = b""

    def feed(self, data: bytes) -> EventBatch:
        """Add bytes of the current attempt and return the events to forward.

        The position changes with :meth:`on_forwarded` alone: if the attempt ends before its events are sent, the
        next one resumes before them. Raises :class:`StreamOrderError` if event numbers do not increase, or if an
        event, or what comes without a number, exceeds ``MAX_EVENT_BYTES``.
        """
        events, self._partial_event = split_events(self._partial_event + data)
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise StreamOrderError("an event exceeds the size limit")
        last_event_number = self.last_event_number
        unnumbered_bytes = self._unnumbered_bytes
        for event in events:
            number = event_number(event)
            unnumbered_bytes = unnumbered_bytes + len(event) + EVENT_COST_BYTES if number is None else 0
            if unnumbered_bytes > MAX_EVENT_BYTES:
                raise StreamOrderError("events without a number exceed the size limit")
            if number is not None:
                if last_event_number is not None and number <= last_event_number:
                    raise StreamOrderError(f"event {number} after {last_event_number}")
                last_event_number = number
        return EventBatch(events, last_event_number, unnumbered_bytes)

    def on_forwarded(self, batch: EventBatch) -> None:
        """Record that the events that :meth:`feed` returned last are being sent to the caller."""
        self.last_event_number = batch.last_event_number
        self._unnumbered_bytes = batch.unnumbered_bytes
        self.events_forwarded += len(batch.events)

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._partial_event.strip())
