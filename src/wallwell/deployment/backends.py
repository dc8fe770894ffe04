"""What the store's listing says of a back end. Pure.

Decoded from the store's rows in ``platform/``; what a node observes of the same back end is in
:mod:`wallwell.routing.health.backend`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


def is_later_start(started_unix_ms: int | None, other_unix_ms: int | None) -> bool:
    """Whether the first of two starts of a back end is the later one; False where one of them is not known."""
    return started_unix_ms is not None and other_unix_ms is not None and started_unix_ms > other_unix_ms


@dataclass(frozen=True)
class BackendRecord:
    """One incarnation of a back end as the store lists it. ``versions`` maps models to weights versions.

    ``software`` is the version of the service that it runs. ``slow_for_s`` is how much longer it stays slow after
    its start, as of the entry's writing.
    """

    incarnation: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    versions: Mapping[str, int] = field(default_factory=dict)
    software: str = ""
    slow_for_s: float = field(default=0.0, compare=False)
    """Seconds. Falls with each heartbeat, and so is left out when entries are compared to log a change."""
    started_unix_ms: int | None = None
    """When it started, by its own clock, as it may start again under its identity; None if its entry does not
    say."""

    def is_later_start_than(self, other: BackendRecord) -> bool:
        """Whether it speaks of a later start of the same back end; False where one of them does not say when."""
        return is_later_start(self.started_unix_ms, other.started_unix_ms)
