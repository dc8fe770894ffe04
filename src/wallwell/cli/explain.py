"""``wallwell explain``: the story of one request, put together from the logs of several nodes."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from wallwell.errors import UnknownRequestError
from wallwell.events import Event

CONTEXT_S = 3.0
"""How long before a request what the node believed still counts as context."""
STORY_EVENTS = frozenset(
    event.number for event in (Event.REQUEST_ENDED, Event.REQUEST_RETRIED, Event.REQUEST_REFUSED, Event.CALLER_GONE)
)
BELIEF_EVENTS = frozenset(
    event.number
    for event in (
        Event.CONFIG_ADVANCED,
        Event.BACKEND_GONE,
        Event.BACKEND_SUSPENDED,
        Event.BACKEND_CRASHED,
        Event.REQUEST_QUARANTINED,
        Event.STORE_LOST,
        Event.STORE_REGAINED,
        Event.RELAY_LOST,
        Event.NODE_DRAINING,
        Event.NODE_STARTED,
        Event.ORDER_SENT,
        Event.WEIGHTS_NAMED,
        Event.ROLLOUT_ORDERED,
        Event.ROLLOUT_FOLLOWED,
    )
)
SLOW_FIRST_MS = 500
LONG_GAP_MS = 450


class LogLine(msgspec.Struct, frozen=True):
    """One parsed line: the time as text, a node if the log names one, and the event's fields."""

    at: str
    node: str
    event: int
    message: str
    fields: dict[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Return a line of the JSON log, None for anything else. What stands before the JSON names time and node."""
    prefix, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
    except msgspec.MsgspecError:
        return None
    if not isinstance(fields.get("event"), int):
        return None
    words = prefix.split()
    node = words[-1] if words else ""
    at = words[0] if len(words) > 1 else str(fields.get("time", ""))
    hidden = ("time", "level", "message", "event")
    shown = {name: value for name, value in fields.items() if name not in hidden}
    return LogLine(at, node, fields["event"], str(fields.get("message", "")), shown)


def story_of(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines about a request, in the order in which they were logged."""
    return [line for line in lines if line.fields.get("request_id") == request_id and line.event in STORY_EVENTS]


def context_of(lines: Iterable[LogLine], story: list[LogLine]) -> list[LogLine]:
    """Return what the node of the story came to believe shortly before its end."""
    end = story[-1]
    try:
        end_s = float(end.at)
    except ValueError:
        return []
    found = []
    for line in lines:
        if line.node != end.node or line.event not in BELIEF_EVENTS:
            continue
        if end_s - CONTEXT_S <= float(line.at) <= end_s:
            found.append(line)
    return found


def likely_cause(story: list[LogLine]) -> str:
    """Return the most likely cause of how the request ended, in one line."""
    last = story[-1]
    failures = [line for line in story if line.event == Event.REQUEST_RETRIED.number]
    tried = ", ".join(f"{line.fields.get('backend')} {line.fields.get('reason')}" for line in failures)
    if last.event == Event.REQUEST_REFUSED.number:
        code, reason = last.fields.get("code"), last.fields.get("reason")
        told = "it never ran" if last.fields.get("outcome") == "not_run" else "it may have run"
        return f"refused with {code} ({told}): {reason}"
    if last.event == Event.CALLER_GONE.number:
        return "the caller went away"
    if failures:
        return f"answered after failed attempts: {tried}"
    if last.fields.get("first_ms", 0) > SLOW_FIRST_MS:
        return f"slow start: {last.fields['first_ms']} ms to the first piece at {last.fields.get('backend')}"
    if last.fields.get("max_gap_ms", 0) > LONG_GAP_MS:
        return f"long pause: {last.fields['max_gap_ms']} ms between pieces from {last.fields.get('backend')}"
    return "answered at the first attempt"


def render(line: LogLine) -> str:
    """Return a line for people."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if name != "request_id")
    return f"{line.at:>12} {line.node} {line.event} {line.message}: {fields}"


def register(commands: Any) -> None:
    """Add the command."""
    parser = commands.add_parser("explain", help="tell a request's story from logs")
    parser.add_argument("request_id", help="the request's id")
    parser.add_argument("logs", nargs="*", type=Path, help="log files of any nodes; standard input if none")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the story. Raises :class:`UnknownRequestError`."""
    lines = [line for text in _texts(options.logs) if (line := parse_line(text)) is not None]
    story = story_of(lines, options.request_id)
    if not story:
        raise UnknownRequestError(f"no line about request {options.request_id}")
    for line in context_of(lines, story):
        print("  before", render(line))
    for line in story:
        print(render(line))
    print(f"likely cause: {likely_cause(story)}")
    return 0


def _texts(paths: list[Path]) -> Iterable[str]:
    if not paths:
        yield from sys.stdin
        return
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from file
