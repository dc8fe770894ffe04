"""One failed attempt at a back end, typed by what the transport saw."""

from __future__ import annotations

from wallwell.routing.retry.attempt_outcome import TransportEvent


class AttemptFailed(Exception):
    """An attempt ended without its whole answer."""

    def __init__(self, event: TransportEvent, detail: str = "", status: int = 0, body: bytes = b"") -> None:
        super().__init__(f"{event.value}: {detail}")
        self.event = event
        self.detail = detail
        self.status = status
        self.body = body
