"""The boot clock, which continues while the machine is suspended, and time-outs that follow it.

The monotonic clock and the event loop's timers stop during a suspension. After waking, a node that used them would
treat a credential as recently confirmed, a lease as held and a caller as waiting, for as long as the suspension
lasted. So times are read from the boot clock, and time-outs are opened here. :class:`SuspensionWatch` detects a
suspension by the drift between the two clocks and reschedules the open time-outs.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from types import TracebackType

from wallwell.events import Event, emit

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The clock that includes suspensions. Systems without CLOCK_BOOTTIME lack one and do not run the service."""
MIN_SUSPENSION_S = 0.05
"""Minimum drift between the clocks, in seconds, that counts as a suspension. The clocks are read one after the
other, and the thread may be preempted for some milliseconds between the two reads."""
SUSPENSION_CHECK_S = 0.25
"""Seconds between two checks for a suspension: the maximum delay of a time-out that expired during a suspension."""

_open_timeouts: dict[asyncio.Timeout, float] = {}
"""The open time-outs of this process, with the boot time at which each expires."""


def boot_time_s() -> float:
    """Return the seconds since the machine started, including time spent suspended."""
    return time.clock_gettime(_BOOT_CLOCK)


class TimeLimit:
    """A time-out as a context manager. Not a generator, which is slower: streams open one time-out per chunk."""

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
    """Like :func:`asyncio.timeout`, but time spent suspended counts. None means no limit."""
    return TimeLimit(seconds)


async def ends_within(work: Awaitable[object], seconds: float) -> bool:
    """Await ``work`` for at most ``seconds``, including time spent suspended; return whether it ended in time."""
    try:
        async with time_limit(seconds):
            await work
    except TimeoutError:
        return False
    return True


def _reschedule_timeouts() -> None:
    """Reschedule every open time-out to its end on the boot clock. One opened after the wake-up keeps its end."""
    loop_s, boot_s = asyncio.get_running_loop().time(), boot_time_s()
    for timeout, end_s in list(_open_timeouts.items()):
        if not timeout.expired():
            timeout.reschedule(loop_s + max(0.0, end_s - boot_s))


class SuspensionWatch:
    """Detects that the machine was suspended, and shortens open time-outs by the length of the suspension."""

    def __init__(self) -> None:
        self._drift_s = self._read_drift()

    def _read_drift(self) -> float:
        return boot_time_s() - time.monotonic()

    def check(self) -> None:
        """Compare the clocks and log a suspension. Call every ``SUSPENSION_CHECK_S`` from the event loop."""
        drift_s = self._read_drift()
        suspended_s = drift_s - self._drift_s
        self._drift_s = drift_s
        if suspended_s < MIN_SUSPENSION_S:
            return
        _reschedule_timeouts()
        emit(Event.MACHINE_WOKEN, suspended_ms=round(suspended_s * 1000))
