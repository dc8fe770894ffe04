"""How the clients of engines and services report a failed attempt: typed by what the transport saw.

What an event proves of the attempt stands in :mod:`wallwell.routing.retry.attempt_outcome`.
"""

from __future__ import annotations

from wallwell.routing.retry.attempt_outcome import TransportEvent


class AttemptFailed(Exception):
    """An attempt ended without its whole answer.

    ``status`` and ``body`` are those of an error answer, 0 and empty if there was none.
    """

    def __init__(
        self, event: TransportEvent, detail: str = "", status: int = 0, body: bytes = b"", backoff_s: float = 0.0
    ) -> None:
        """``backoff_s`` is for how long the back end wants nothing from this router, 0 if it does not say."""
        super().__init__(f"{event.value}: {detail}")
        self.backoff_s = backoff_s
        self.event = event
        self.detail = detail
        self.status = status
        self.body = body
