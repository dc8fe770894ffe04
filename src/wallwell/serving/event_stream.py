"""Framing and order of event streams: whole events only, each number once, in order. Pure.

An event ends with an empty line. Its ``id:`` line numbers it. A stream that breaks off in the middle of an event
leaves a remainder that is never passed on; the next run continues after the last whole event.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from wallwell.errors import StreamOrderError

MAX_EVENT_BYTES = 256 * 1024
"""Bytes of one unfinished event beyond which the stream counts as broken, so that a back end that never ends an
event cannot fill this node's memory."""
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = b"id:"


def split_events(buffer: bytes) -> tuple[list[bytes], bytes]:
    """Return the whole events at the start of ``buffer`` and the remainder."""
    events: list[bytes] = []
    start = 0
    for match in _EVENT_END.finditer(buffer):
        events.append(buffer[start : match.end()])
        start = match.end()
    return events, buffer[start:]


def event_number(event: bytes) -> int | None:
    """Return the number on the event's ``id:`` line, None if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None


@dataclass
class StreamPosition:
    """How far an answer has come, over all of its runs."""

    last_event_number: int | None = None
    """Number of the last event passed on; the next run resumes after it."""
    events_forwarded: int = 0
    _partial_event: bytes = field(default=b"")

    def discard_partial_event(self) -> None:
        """A run starts; whatever was left of the one before is dropped."""
        self._partial_event = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes of the current run and return the events to pass on.

        Raises :class:`StreamOrderError` if numbers do not rise or an event grows out of bounds. Nothing of ``data``
        is then passed on, and the position stays where it was, so that the next run sends it again.
        """
        events, self._partial_event = split_events(self._partial_event + data)
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise StreamOrderError("an event exceeds its bound")
        last_event_number = self.last_event_number
        for event in events:
            number = event_number(event)
            if number is not None:
                if last_event_number is not None and number <= last_event_number:
                    raise StreamOrderError(f"event {number} after {last_event_number}")
                last_event_number = number
        self.last_event_number = last_event_number
        self.events_forwarded += len(events)
        return events

    @property
    def has_partial_event(self) -> bool:
        """Whether the run stands in the middle of an event."""
        return bool(self._partial_event.strip())
