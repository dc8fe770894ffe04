"""What one standalone router remembers of requests under which back ends crashed.

A crash is a run whose connection broke at an address that then refuses connections. Routers exchange notices by
:mod:`wallwell.standalone.cluster.crash_notices`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from wallwell.background import BackgroundTasks
from wallwell.clock import boot_time_s, bounded
from wallwell.cluster.crash_count import count_crash
from wallwell.errors import RequestQuarantinedError
from wallwell.events import Event, emit
from wallwell.routing.admission.quarantine import Quarantine
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.standalone.cluster.crash_notices import CrashNotices

LOOK_TIMEOUT_S = 0.25
"""How long a machine is given to answer a connection's first packet; one of another region takes 0.1 s."""
SECOND_LOOK_S = 0.3
"""Time until the second look at an address that took a connection: a process that ends, or a proxy before it, may
do so after the connections of its runs are reset."""
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
        return (
            False  # A silent or unreachable machine says nothing of the process, so nothing is counted or logged.
        )
    writer.close()
    return False


@dataclass
class CrashMemory:
    """Crashes by what requests hold, and the lives of back ends as this router has seen them end."""

    node: str
    notices: CrashNotices
    quarantine: Quarantine = field(default_factory=Quarantine)
    _looking: BackgroundTasks = field(default_factory=BackgroundTasks)
    _lives: dict[str, tuple[int, float]] = field(default_factory=dict)
    """By back end, how many crashes of it were seen, and when the last one was."""

    def __post_init__(self) -> None:
        self.notices.listener = self._on_notice

    def refusal(self, content: str) -> RequestQuarantinedError | None:
        """Return the error of a request that crashes back ends, None for any other one."""
        left_s = self.quarantine.left_s(content, boot_time_s())
        if not left_s:
            return None
        return RequestQuarantinedError("back ends crashed under this request", retry_after_ms=round(left_s * 1000))

    async def on_failure(self, content: str, event: TransportEvent, backend: str, address: str) -> None:
        """Take a failed attempt of a request at a back end; returns before the next attempt may be made."""
        if event is not TransportEvent.RESET_AFTER_SEND:
            return
        if await is_refused(address):
            self._on_crash(content, backend)
            return
        self._looking.begin(self._look_again(content, backend, address))

    async def _look_again(self, content: str, backend: str, address: str) -> None:
        await asyncio.sleep(SECOND_LOOK_S)
        if await is_refused(address):
            self._on_crash(content, backend)

    def _on_crash(self, content: str, backend: str) -> None:
        """Count and announce that a back end ended under a request."""
        now_s = boot_time_s()
        self.quarantine.expire(now_s)
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
        """Another router saw a back end end under a request, or the request answered."""
        now_s = boot_time_s()
        if life:
            count_crash(self.quarantine, content, life, now_s)
        else:
            self.quarantine.on_answered(content, now_s)

    def _ended_life(self, backend: str, now_s: float) -> str:
        """Return a name for the life of a back end that has just ended, as this router has counted its lives.

        Two routers that see the same end name it differently, so that a request in flight at both counts it twice.
        """
        number, ended_s = self._lives.get(backend, (0, float("-inf")))
        if now_s - ended_s > SAME_CRASH_S:
            number += 1
        self._lives[backend] = (number, now_s)
        return f"{backend}/{self.node}/{number}"
