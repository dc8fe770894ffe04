"""Back ends as the store lists them. Pure.

Decoded from the store's rows in ``platform/``; a node's own observations of a back end are in
:mod:`wallwell.routing.health.backend`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from wallwell.address import Address


def is_later_start(started_unix_ms: int | None, other_unix_ms: int | None) -> bool:
    """Whether the first of two start times of a back end is later; False if either is unknown."""
    return started_unix_ms is not None and other_unix_ms is not None and started_unix_ms > other_unix_ms


@dataclass(frozen=True)
class BackendRecord:
    """One incarnation of a back end as the store lists it. ``versions`` maps models to weights versions.

    ``software`` is the version of the service that the back end runs. ``slow_for_s`` is the remaining time for
    which it is slow after its start, as of the time when the entry was written.
    """

    incarnation: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool = False
    versions: Mapping[str, int] = field(default_factory=dict)
    software: str = ""
    slow_for_s: float = field(default=0.0, compare=False)
    """Seconds. Decreases with each heartbeat, so it is excluded when entries are compared to log changes."""
    started_unix_ms: int | None = None
    """Start time on the back end's clock, as it may restart as the same incarnation; None if not in its entry."""

    def is_later_start_than(self, other: BackendRecord) -> bool:
        """Whether this record is of a later start than ``other``; False if either has no start time."""
        return is_later_start(self.started_unix_ms, other.started_unix_ms)
