"""Which requests crash back ends, as one standalone router has seen it or heard of it from others.

A crash is a run whose connection broke at an address that then refuses connections. Owns the quarantine of requests
and the count of each back end's crashes; the rule of the quarantine is
:mod:`wallwell.routing.admission.quarantine`. Routers exchange notices by
:mod:`wallwell.standalone.cluster.crash_notices`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from wallwell.address import InvalidAddressError, parse_address
from wallwell.background import BackgroundTasks
from wallwell.clock import boot_time_s, time_limit
from wallwell.cluster.crash_count import count_crash
from wallwell.errors import RequestQuarantinedError
from wallwell.events import Event, emit
from wallwell.routing.admission.quarantine import Quarantine
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.standalone.cluster.crash_notices import CrashNotices

PROBE_TIMEOUT_S = 0.25
"""Seconds in which a machine must accept or refuse a connection: above a round trip between regions."""
SECOND_PROBE_DELAY_S = 0.3
"""Seconds until an address that accepted a connection is probed again: a process that ends, or a proxy before it,
may accept connections for a moment after those of its runs were reset."""
SAME_CRASH_S = 1.0
"""Seconds after a crash in which further runs that break at the back end count as the same one: assumes that a
process takes longer to start again."""


async def is_refused(address: str) -> bool:
    """Whether a connection to ``IP:port`` is refused: the machine answers, and no process listens there."""
    try:
        target = parse_address(address)
        async with time_limit(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(target.host, target.port)
    except ConnectionRefusedError:
        return True
    except (InvalidAddressError, OSError, TimeoutError):
        # A silent or unreachable machine proves nothing of the process, so nothing is counted or logged.
        return False
    writer.close()
    return False


@dataclass
class CrashMemory:
    """The quarantine of requests by their digest, and how often this router has seen each back end crash."""

    node: str
    notices: CrashNotices
    quarantine: Quarantine = field(default_factory=Quarantine)
    _second_probes: BackgroundTasks = field(default_factory=BackgroundTasks)
    _crashes: dict[str, tuple[int, float]] = field(default_factory=dict)
    """By back end, how many crashes of it were seen, and when the last one was."""

    def __post_init__(self) -> None:
        self.notices.listener = self._on_notice

    def refusal(self, content: str) -> RequestQuarantinedError | None:
        """Return the error of a request that crashes back ends, None for any other one."""
        remaining_s = self.quarantine.remaining_s(content, boot_time_s())
        if not remaining_s:
            return None
        message = "back ends crashed under this request"
        return RequestQuarantinedError(message, retry_after_ms=round(remaining_s * 1000))

    async def on_failure(self, content: str, event: TransportEvent, backend: str, address: str) -> None:
        """Note a failed attempt of a request at a back end. The next attempt may be made once this has returned."""
        if event is not TransportEvent.RESET_AFTER_SEND:
            return
        if await is_refused(address):
            self._on_crash(content, backend)
            return
        self._second_probes.start(self._probe_again(content, backend, address))

    async def _probe_again(self, content: str, backend: str, address: str) -> None:
        await asyncio.sleep(SECOND_PROBE_DELAY_S)
        if await is_refused(address):
            self._on_crash(content, backend)

    def _on_crash(self, content: str, backend: str) -> None:
        """Count and announce that a back end ended under a request."""
        now_s = boot_time_s()
        self.quarantine.remove_expired(now_s)
        life = self._ended_life(backend, now_s)
        if count_crash(self.quarantine, content, life, now_s):
            emit(Event.BACKEND_CRASHED, backend=backend, runs=1)
            self.notices.announce(content, life, now_s)

    def on_answered(self, content: str) -> None:
        """A request was answered with success."""
        now_s = boot_time_s()
        if self.quarantine.on_answered(content, now_s):
            self.notices.announce(content, "", now_s)

    def _on_notice(self, content: str, life: str) -> None:
        """Another router saw a back end crash under a request, or the request answered (``life`` is empty)."""
        now_s = boot_time_s()
        if life:
            count_crash(self.quarantine, content, life, now_s)
        else:
            self.quarantine.on_answered(content, now_s)

    def _ended_life(self, backend: str, now_s: float) -> str:
        """Return a name for the life of a back end that has just ended, as this router has counted its lives.

        Two routers that see the same end name it differently, so that a request in flight at both counts it twice.
        """
        number, ended_s = self._crashes.get(backend, (0, float("-inf")))
        if now_s - ended_s > SAME_CRASH_S:
            number += 1
        self._crashes[backend] = (number, now_s)
        return f"{backend}/{self.node}/{number}"
