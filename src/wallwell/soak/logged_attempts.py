"""Finds in the routers' logs when configurations came in force, and by which one attempts shared cache."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

import msgspec

from wallwell.events import Event
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.soak.history import AttemptLogged, ConfigurationRead
from wallwell.soak.log_records import write_records

CONFIGURATION_EVENT = Event.CONFIG_ADVANCED.value[0]
PEER_EVENT = Event.ATTEMPT_FOR_PEER.value[0]
ATTEMPT_EVENTS = frozenset((Event.REQUEST_ENDED.value[0], Event.REQUEST_RETRIED.value[0], PEER_EVENT))
"""Numbers of events that report an attempt; one that its caller ended has none."""
NOT_SENT = frozenset(("declined", TransportEvent.WITHDRAWN.value))
"""Results of attempts for peers in which nothing was sent."""


class _Line(msgspec.Struct, frozen=True):
    time: datetime
    event: int
    version: int = 0
    """Version that came in force."""
    request_id: str = ""
    backend: str = ""
    result: str = ""
    """Result of an attempt for a peer."""
    config: int = 0
    """Version of an attempt; 0 in lines of calls and of attempts by peers, and in those of builds without it."""


def record_attempts_logged(folder: Path, nodes: Iterable[str]) -> None:
    """Write a history of configurations and attempts in the logs of a run that has just ended."""
    write_records(folder, "attempts", nodes, records_in)


def records_in(log: bytes, node: str, steady_from_unix_s: float) -> Iterator[AttemptLogged | ConfigurationRead]:
    """Yield the configurations and attempts in a log."""
    for line in log.splitlines():
        try:
            fields = msgspec.json.decode(line, type=_Line)
        except msgspec.MsgspecError:
            continue  # No event, or one that a kill cut short.
        at_s = fields.time.timestamp() + steady_from_unix_s
        if fields.event == CONFIGURATION_EVENT:
            yield ConfigurationRead(at_s, node, fields.version)
        elif fields.event in ATTEMPT_EVENTS and (fields.config or fields.event == PEER_EVENT):
            is_for_peer = fields.event == PEER_EVENT
            if is_for_peer and fields.result in NOT_SENT:
                continue
            yield AttemptLogged(at_s, node, fields.request_id, fields.backend, fields.config, is_for_peer)
