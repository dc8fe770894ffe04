"""The clock of every decision: it goes on while the machine is suspended, as the world outside does.

The steady clock stands still then, and so do the event loop's timers. A machine that wakes would take a
credential for confirmed a moment ago, a lease for held and a caller for waiting, each for as long as it was
suspended. So times are read here, time-outs are opened here, and :class:`SuspensionWatch`, which sees the two
clocks drift apart, brings open time-outs forward.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from types import TracebackType

from wallwell.events import Event, emit

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The clock that counts suspensions. Systems without it have no clock that does, and do not run the service."""
MIN_SUSPENSION_S = 0.05
"""Seconds by which the clocks must drift apart to count as a suspension; they are read one after the other, and a
thread may lose the processor in between for some milliseconds."""
SUSPENSION_CHECK_S = 0.25
"""Seconds between two checks for a suspension, and so the longest by which a time-out ends too late after one."""

_open_timeouts: dict[asyncio.Timeout, float] = {}
"""Time-outs of this process that are open, with their ends on the boot clock."""


def boot_time_s() -> float:
    """Return the seconds since the machine started, including those in which it was suspended."""
    return time.clock_gettime(_BOOT_CLOCK)


class TimeLimit:
    """An open time-out. Not a generator, which would cost more: streams open one for each chunk."""

    __slots__ = ("_seconds", "_timeout")

    def __init__(self, seconds: float | None) -> None:
        self._seconds = seconds
        self._timeout = asyncio.timeout(seconds)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        if self._seconds is not None:
            _open_timeouts[self._timeout] = boot_time_s() + self._seconds

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        _open_timeouts.pop(self._timeout, None)
        await self._timeout.__aexit__(kind, error, trace)


def time_limit(seconds: float | None) -> TimeLimit:
    """Bound a wait as :func:`asyncio.timeout` does, None for no bound; time of a suspension counts."""
    return TimeLimit(seconds)


async def ends_within(work: Awaitable[object], seconds: float) -> bool:
    """Await ``work`` for at most ``seconds``, time of a suspension included; returns whether it ended in time."""
    try:
        async with time_limit(seconds):
            await work
    except TimeoutError:
        return False
    return True


def _reschedule_timeouts() -> None:
    """Give every open time-out the end that it has on the boot clock; one opened after the wake keeps its own."""
    loop_s, boot_s = asyncio.get_running_loop().time(), boot_time_s()
    for timeout, end_s in list(_open_timeouts.items()):
        if not timeout.expired():
            timeout.reschedule(loop_s + max(0.0, end_s - boot_s))


class SuspensionWatch:
    """Notices that the machine was suspended, and brings open time-outs forward by as long as that lasted."""

    def __init__(self) -> None:
        self._drift_s = self._read_drift()

    def _read_drift(self) -> float:
        return boot_time_s() - time.monotonic()

    def check(self) -> None:
        """Compare the clocks; to be called every ``SUSPENSION_CHECK_S`` in the event loop."""
        drift_s = self._read_drift()
        suspended_s = drift_s - self._drift_s
        self._drift_s = drift_s
        if suspended_s < MIN_SUSPENSION_S:
            return
        _reschedule_timeouts()
        emit(Event.MACHINE_WOKEN, suspended_ms=round(suspended_s * 1000))
