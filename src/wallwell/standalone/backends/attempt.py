"""The exception by which the clients for engines and services report a failed attempt.

:mod:`wallwell.routing.retry.attempt_outcome` decides from its transport event whether the attempt may have run.
"""

from __future__ import annotations

from wallwell.routing.retry.attempt_outcome import TransportEvent


class AttemptFailed(Exception):
    """An attempt failed: there was no complete answer, or the answer is an error or belongs to another request.

    ``status`` and ``body`` are those of an error answer, or 0 and empty if there was none.
    """

    def __init__(
        self, event: TransportEvent, detail: str = "", status: int = 0, body: bytes = b"", backoff_s: float = 0.0
    ) -> None:
        """``backoff_s`` is the back-off in seconds that the back end requested of this router, 0 if none."""
        super().__init__(f"{event.value}: {detail}")
        self.backoff_s = backoff_s
        self.event = event
        self.detail = detail
        self.status = status
        self.body = body
