"""What one router of the own deployment remembers of requests under which back ends crashed.

A crash is a run whose connection broke at an address that then refuses connections. Routers do not tell each other:
each of them can lose ``CRASHES_TO_QUARANTINE`` back ends to one request before it refuses it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from wallwell.clock import boot_time_s, bounded
from wallwell.errors import RequestQuarantinedError
from wallwell.events import Event, emit
from wallwell.routing.outcome import TransportEvent
from wallwell.routing.quarantine import Quarantine

LOOK_TIMEOUT_S = 0.25
"""How long a machine is given to answer a connection's first packet; one of another region takes 0.1 s."""
SAME_CRASH_S = 1.0
"""Time in which runs that break at one back end count as one crash: less than any process takes to be back."""


async def is_refused(address: str) -> bool:
    """Whether a machine says that nothing listens at ``IP:port``."""
    host, _, port = address.rpartition(":")
    try:
        async with bounded(LOOK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False  # Silence and unknown ways say nothing of the process.
    writer.close()
    return False


@dataclass
class CrashMemory:
    """Crashes by what requests hold, and the lives of back ends as this router has seen them end."""

    quarantine: Quarantine = field(default_factory=Quarantine)
    _lives: dict[str, tuple[int, float]] = field(default_factory=dict)
    """By back end, how many crashes of it were seen, and when the last one was."""

    def refuse_if_quarantined(self, content: str) -> None:
        """Raise :class:`RequestQuarantinedError` for a request that crashes back ends."""
        left_s = self.quarantine.left_s(content, boot_time_s())
        if left_s:
            raise RequestQuarantinedError(
                "back ends crashed under this request", retry_after_ms=round(left_s * 1000)
            )

    async def on_failure(self, content: str, event: TransportEvent, backend: str, address: str) -> None:
        """Take a failed attempt of a request at a back end."""
        if event is not TransportEvent.RESET_AFTER_SEND or not await is_refused(address):
            return
        now_s = boot_time_s()
        for expired in list(self.quarantine.expired(now_s)):
            self.quarantine.forget(*expired)
        life = self._ended_life(backend, now_s)
        if self.quarantine.on_crash(content, f"{backend}/{life}", now_s):
            emit(Event.BACKEND_CRASHED, backend=backend, runs=1)
        if self.quarantine.left_s(content, now_s):
            emit(Event.REQUEST_QUARANTINED, content=content, last_crashed=backend)

    def on_answered(self, content: str) -> None:
        """A request was answered with success."""
        self.quarantine.on_answered(content, boot_time_s())

    def _ended_life(self, backend: str, now_s: float) -> int:
        """Return the number of the life of a back end that has just ended."""
        number, ended_s = self._lives.get(backend, (0, float("-inf")))
        if now_s - ended_s > SAME_CRASH_S:
            number += 1
        self._lives[backend] = (number, now_s)
        return number
