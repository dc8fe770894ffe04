"""``wallwell explain``: the history of one request, collected from the JSON logs of several nodes.

Relies on the event numbers and fields of :mod:`wallwell.events`. Lines that are not wallwell events are skipped,
since one file often holds the logs of several programs.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from wallwell.errors import RequestQuarantinedError, UnknownRequestError
from wallwell.events import Event

CONTEXT_S = 3.0
"""Seconds before a request's end from which other events of its node are printed."""
REQUEST_EVENTS = frozenset(
    event.number
    for event in (
        Event.REQUEST_ENDED,
        Event.REQUEST_RETRIED,
        Event.STREAM_RESUMED,
        Event.REQUEST_REFUSED,
        Event.CALLER_GONE,
        Event.ATTEMPT_FOR_PEER,
    )
)
"""Numbers of the events that describe a single request."""
CONTEXT_EVENTS = frozenset(
    event.number
    for event in (
        Event.CONFIG_ADVANCED,
        Event.BACKEND_GONE,
        Event.BACKEND_SUSPENDED,
        Event.BACKEND_ANNOUNCED_LEAVING,
        Event.BACKEND_REQUESTED_BACKOFF,
        Event.BACKEND_BACKOFF_ENDED,
        Event.BACKEND_LIMIT_STATED,
        Event.BACKEND_LIMIT_ENDED,
        Event.BACKEND_CRASHED,
        Event.SERVICE_UNREACHABLE,
        Event.SERVICE_REACHABLE,
        Event.REQUEST_QUARANTINED,
        Event.PART_QUARANTINED,
        Event.CONNECTIONS_SHED,
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
"""Numbers of the events that change how a node routes the requests that follow."""
QUARANTINE_EVENTS = frozenset((Event.REQUEST_QUARANTINED.number, Event.PART_QUARANTINED.number))
"""Numbers of the events that say what is refused for the crashes of back ends."""
SLOW_FIRST_TOKEN_MS = 500
"""Milliseconds to the first token above which a request counts as slow: half the default objective of a route."""
LONG_GAP_MS = 450
"""Milliseconds between tokens above which a pause counts as long, just below a route's default maximum pause."""


class LogLine(msgspec.Struct, frozen=True):
    """One parsed log line. ``time`` is text; ``node`` is empty if the line does not name one."""

    time: str
    node: str
    event: int
    message: str
    fields: dict[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Parse a line of the JSON log, optionally preceded by time and node. Returns None for any other line."""
    prefix, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
    except msgspec.MsgspecError:
        return None  # The line was written by another program.
    if not isinstance(fields.get("event"), int):
        return None
    words = prefix.split()
    node = words[-1] if words else ""
    time = words[0] if len(words) > 1 else str(fields.get("time", ""))
    common_names = ("time", "level", "message", "event")
    event_fields = {name: value for name, value in fields.items() if name not in common_names}
    return LogLine(time, node, fields["event"], str(fields.get("message", "")), event_fields)


def find_request_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines about a request, in the order in which they were read."""
    return [line for line in lines if line.fields.get("request_id") == request_id and line.event in REQUEST_EVENTS]


def find_continuation_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines about later requests by which the caller got the rest of this request's stream."""
    return [
        line
        for line in lines
        if line.fields.get("first_request_id") == request_id and line.fields.get("request_id") != request_id
    ]


def find_context_lines(lines: Iterable[LogLine], request_lines: list[LogLine]) -> list[LogLine]:
    """Return events of the request's last node shortly before its end; none if the end is not in seconds."""
    last = request_lines[-1]
    try:
        end_s = float(last.time)
    except ValueError:
        return []  # Textual times are not compared; the request's own lines are still printed.
    context = []
    for line in lines:
        if line.node != last.node or line.event not in CONTEXT_EVENTS:
            continue
        if end_s - CONTEXT_S <= float(line.time) <= end_s:
            context.append(line)
    return context


def find_quarantine_lines(lines: Iterable[LogLine], request_lines: list[LogLine]) -> list[LogLine]:
    """Return the quarantines of the content or part that a refusal names, with the crashes that led to them."""
    last = request_lines[-1]
    if last.fields.get("code") != RequestQuarantinedError.code:
        return []
    named = set(str(last.fields.get("reason", "")).split())
    return [
        line
        for line in lines
        if line.event in QUARANTINE_EVENTS and {line.fields.get("content"), line.fields.get("part")} & named
    ]


def find_discarded_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the answers that were discarded and carried the request's id, or came while it waited for its own."""
    return [
        line
        for line in lines
        if line.event == Event.ANSWER_DISCARDED.number
        and request_id in (line.fields.get("answer_id"), line.fields.get("expected_id"))
    ]


def likely_cause(request_lines: list[LogLine]) -> str:
    """Return one line that states the most likely cause of the request's outcome."""
    last = request_lines[-1]
    retries = [line for line in request_lines if line.event == Event.REQUEST_RETRIED.number]
    failed_attempts = ", ".join(f"{line.fields.get('backend')} {line.fields.get('reason')}" for line in retries)
    if last.event == Event.REQUEST_REFUSED.number:
        code, reason = last.fields.get("code"), last.fields.get("reason")
        execution = "it never ran" if last.fields.get("outcome") == "not_run" else "it may have run"
        return f"refused with {code} ({execution}): {reason}"
    if last.event == Event.CALLER_GONE.number:
        return "the caller disconnected"
    if last.event == Event.STREAM_RESUMED.number:
        return f"the stream went on at {last.fields.get('backend')}; its end is not logged"
    if retries:
        return f"answered after failed attempts: {failed_attempts}"
    if last.fields.get("first_ms", 0) > SLOW_FIRST_TOKEN_MS:
        return f"slow start: {last.fields['first_ms']} ms to the first token at {last.fields.get('backend')}"
    if last.fields.get("max_gap_ms", 0) > LONG_GAP_MS:
        return f"long pause: {last.fields['max_gap_ms']} ms between tokens from {last.fields.get('backend')}"
    return "answered at the first attempt"


def format_line(line: LogLine) -> str:
    """Return a log line as human-readable text."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if name != "request_id")
    return f"{line.time:>12} {line.node} {line.event} {line.message}: {fields}"


def register(commands: Any) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser("explain", help="explain from logs how a request ended")
    parser.add_argument("request_id", help="the request's id")
    parser.add_argument("logs", nargs="*", type=Path, help="log files of any nodes (default: standard input)")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print a request's log lines and its likely cause. Raises :class:`UnknownRequestError` if there are none."""
    lines = [line for text in _read_lines(options.logs) if (line := parse_line(text)) is not None]
    request_lines = find_request_lines(lines, options.request_id)
    if not request_lines:
        raise UnknownRequestError(f"no line about request {options.request_id}")
    for line in find_context_lines(lines, request_lines):
        print("  before", format_line(line))
    for line in request_lines:
        print(format_line(line))
    for line in find_quarantine_lines(lines, request_lines):
        print("  quarantine", format_line(line))
    for line in find_discarded_lines(lines, options.request_id):
        print("  discarded", format_line(line))
    for line in find_continuation_lines(lines, options.request_id):
        print("  resumed by", line.fields.get("request_id"), format_line(line))
    print(f"likely cause: {likely_cause(request_lines)}")
    return 0


def _read_lines(paths: list[Path]) -> Iterable[str]:
    if not paths:
        yield from sys.stdin
        return
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from file
