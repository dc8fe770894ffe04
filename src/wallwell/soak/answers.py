"""Bodies of answers that name their request, so that a caller finds foreign, doubled and missing events or
lines."""

from __future__ import annotations

import re

CALL_LINES = 20
"""Lines of a call's answer: an answer that is cut off shows at most places."""
HARMLESS_BODY = b"x" * 64
"""Body of any other request."""
CRASHING_BODY = b"c" * 64
"""Body of a request under which each worker that begins to run it crashes."""
CRASH_STATUS = 70
"""Exit status of such a worker, so that the run distinguishes it from any other end."""
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\Z")


def call_body(request: str) -> bytes:
    """Return the body of a call's answer."""
    return "".join(f"{request} {line}\n" for line in range(CALL_LINES)).encode()


def event_text(request: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


def events_of(request: str, body: bytes) -> tuple[tuple[int, ...], bool]:
    """Return the numbers of a body's whole events, and whether all of it belongs to ``request``."""
    *events, _ = body.split(b"\n\n")
    numbers: list[int] = []
    for event in events:
        match = _EVENT.match(event.strip(b"\n"))
        if match is None or match[2] != request.encode() or match[1] != match[3]:
            return tuple(numbers), False
        numbers.append(int(match[1]))
    return tuple(numbers), True
