"""The four outcomes of a request, as written in answers, log lines and metrics."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """The outcome of a request over all of its attempts."""

    COMPLETED = "completed"
    """The request ran and its complete answer was delivered."""
    NOT_RUN = "not_run"
    """The request provably never ran on any back end."""
    FAILED = "failed"
    """The request ran and ended with an error."""
    UNKNOWN = "unknown"
    """The request was sent, and whether it ran cannot be proven."""
