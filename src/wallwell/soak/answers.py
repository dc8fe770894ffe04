"""Bodies of answers that name their request, so that a caller finds foreign, doubled and missing events or
lines."""

from __future__ import annotations

import re
from typing import NamedTuple

CALL_LINES = 20
"""Lines of a call's answer: an answer that is cut off shows at most places."""
HARMLESS_BODY = b"x" * 64
"""Body of any other request."""
CRASHING_BODY = b"c" * 64
"""Body of a request under which each worker that begins to run it crashes."""
CRASH_STATUS = 70
"""Exit status of such a worker, so that the run distinguishes it from any other end."""
_PACE = re.compile(r"/pace-(\d+)/")
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)(?: (\S+))?\Z")


def paced_path(path: str, pace_s: float, request: str) -> str:
    """Return the path of a request that tells its worker how long an event or a call takes."""
    return f"{path}pace-{round(pace_s * 1000)}/{request}"


def pace_of(path: str) -> float | None:
    """Return how many seconds an event or a call of a path takes; None if the path does not say."""
    match = _PACE.search(path)
    return int(match[1]) / 1000 if match else None


def call_body(request: str) -> bytes:
    """Return the body of a call's answer."""
    return "".join(f"{request} {line}\n" for line in range(CALL_LINES)).encode()


class StreamBody(NamedTuple):
    """The events of a stream's body."""

    numbers: tuple[int, ...]
    is_own: bool
    """Whether all of it belongs to the request."""
    versions: tuple[str, ...]
    """Software versions of the workers that wrote the events, in order, without repetition."""


def event_text(request: str, number: int, software: str = "") -> bytes:
    """Return one event of a stream, written by a worker of a software version."""
    version = f" {software}" if software else ""
    return f"id: {number}\ndata: {request} {number}{version}\n\n".encode()


def events_of(request: str, body: bytes) -> StreamBody:
    """Return the whole events of a body that should belong to ``request``."""
    *events, _ = body.split(b"\n\n")
    numbers: list[int] = []
    versions: dict[str, None] = {}
    for event in events:
        match = _EVENT.match(event.strip(b"\n"))
        if match is None or match[2] != request.encode() or match[1] != match[3]:
            return StreamBody(tuple(numbers), False, tuple(versions))
        numbers.append(int(match[1]))
        if match[4]:
            versions[match[4].decode()] = None
    return StreamBody(tuple(numbers), True, tuple(versions))
