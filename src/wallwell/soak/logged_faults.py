"""Finds in the routers' logs what tells of a fault of their own, as records of a run."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

import msgspec

from wallwell.events import Event
from wallwell.soak.history import RouterLogged
from wallwell.soak.log_records import write_records

FAULT_EVENTS = frozenset(
    event.value[0]
    for event in (Event.INTERNAL_ERROR, Event.TASK_FAILED, Event.PROCESS_FAILED, Event.PAGE_NOT_APPLIED)
)
"""Numbers of events that no input may cause."""
NO_EVENT = 0
"""Stands for lines that are no events, such as tracebacks."""
MAX_DETAIL_CHARS = 300
"""Characters of a line that are kept."""


def record_faults_logged(folder: Path, nodes: Iterable[str]) -> None:
    """Write a history of the faults in the logs of a run that has just ended."""
    write_records(folder, "logs", nodes, faults_in)


def faults_in(log: bytes, node: str, steady_from_unix_s: float) -> Iterator[RouterLogged]:
    """Yield the faults in a log. Lines that follow each other and are no events are one fault, of the time of the
    event before; an event that a kill cut short is none."""
    at_s, is_inside_text = 0.0, False
    for line in log.splitlines():
        is_event = line.startswith(b"{")
        if not is_event:
            if line.strip() and not is_inside_text:
                yield RouterLogged(at_s, node, NO_EVENT, _shown(line))
            is_inside_text = bool(line.strip()) or is_inside_text
            continue
        is_inside_text = False
        try:
            fields = msgspec.json.decode(line, type=dict[str, object])
        except msgspec.DecodeError:
            continue
        at_s = datetime.fromisoformat(str(fields["time"])).timestamp() + steady_from_unix_s
        number = fields.get("event")
        if isinstance(number, int) and number in FAULT_EVENTS:
            yield RouterLogged(at_s, node, number, _shown(line))


def _shown(line: bytes) -> str:
    return line.decode(errors="backslashreplace")[:MAX_DETAIL_CHARS]
