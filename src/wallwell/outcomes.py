"""The four ways a request can end, as they stand in answers, log lines and metrics."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """What became of a request, over all of its attempts."""

    COMPLETED = "completed"
    """It ran and its whole answer was delivered."""
    NOT_RUN = "not_run"
    """It provably never ran on any back end."""
    FAILED = "failed"
    """It ran and ended with an error."""
    UNKNOWN = "unknown"
    """It was sent and there is no proof whether it ran."""
