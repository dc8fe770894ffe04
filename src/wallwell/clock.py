"""The clock of every decision: it goes on while the machine is suspended, as the world outside does.

The steady clock stands still then, and so do the event loop's timers. A machine that wakes would take a credential
for confirmed a moment ago, a lease for held and a caller for waiting, each by as long as it was away. So times are
read here, and bounds on waiting are brought forward by :class:`SuspensionWatch`, which sees the two clocks part.
"""

from __future__ import annotations

import asyncio
import time
from types import TracebackType

from wallwell.events import Event, emit

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Systems without this clock count a suspension in none, and are not suspended in service."""
NOTICED_S = 0.05
"""How far the clocks must part to count as a suspension; they are read one after the other, and a thread may lose
the processor in between for some milliseconds."""
TICK_S = 0.25
"""Time between two looks for a suspension; what a bound may end too late after one."""

_open_bounds: dict[asyncio.Timeout, float] = {}
"""Bounds of this process that have neither ended nor been left, with their ends by the boot clock."""


def boot_time_s() -> float:
    """Return the seconds since the machine started, those in which it was suspended among them."""
    return time.clock_gettime(_BOOT_CLOCK)


class Bounded:
    """An open bound. Not a generator, since streams open one for each piece."""

    __slots__ = ("_seconds", "_timeout")

    def __init__(self, seconds: float | None) -> None:
        self._seconds = seconds
        self._timeout = asyncio.timeout(seconds)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        if self._seconds is not None:
            _open_bounds[self._timeout] = boot_time_s() + self._seconds

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        _open_bounds.pop(self._timeout, None)
        await self._timeout.__aexit__(kind, error, trace)


def bounded(seconds: float | None) -> Bounded:
    """Bound what is waited for as :func:`asyncio.timeout` does; time of a suspension counts."""
    return Bounded(seconds)


def _bring_bounds_forward() -> None:
    """Give every open bound the end that it has by the boot clock; one that began after the wake keeps its own."""
    loop_s, boot_s = asyncio.get_running_loop().time(), boot_time_s()
    for bound, end_s in list(_open_bounds.items()):
        if not bound.expired():
            bound.reschedule(loop_s + max(0.0, end_s - boot_s))


class SuspensionWatch:
    """Notices that the machine was suspended, and brings open bounds forward by as long as that was."""

    def __init__(self) -> None:
        self._apart_s = self._read()

    def _read(self) -> float:
        return boot_time_s() - time.monotonic()

    def look(self) -> None:
        """Compare the clocks; to be called each ``TICK_S`` in the event loop."""
        apart_s = self._read()
        suspended_s = apart_s - self._apart_s
        self._apart_s = apart_s
        if suspended_s < NOTICED_S:
            return
        _bring_bounds_forward()
        emit(Event.MACHINE_WOKEN, suspended_ms=round(suspended_s * 1000))
