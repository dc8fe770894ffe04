"""The end of a planned stop that nothing can delay.

The platform kills a process that outlives its grace time, and counts that as a crash. A task that ignores its
cancellation, a host name being resolved in a thread, or an event loop without processor time can each keep a
process that long. So a thread of its own ends the process in time.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable

from wallwell.clock import boot_time_s
from wallwell.events import Event, emit

EXIT_MARGIN_S = 0.25
"""Seconds before the end of the grace time at which the process is ended: time for the system to release its memory
and sockets."""
CLOCK_CHECK_INTERVAL_S = 0.1
"""Longest wait, in seconds, between two readings of the clock. A suspension of the machine lengthens a wait,
which so ends at most this much too late."""


class BootClockTimer(threading.Thread):
    """Calls a function at a time of the boot clock, unless it is cancelled before."""

    def __init__(self, deadline_s: float, callback: Callable[[], object]) -> None:
        super().__init__(daemon=True)
        self.deadline_s = deadline_s
        self._callback = callback
        self._cancelled = threading.Event()

    def cancel(self) -> None:
        """Never call."""
        self._cancelled.set()

    def run(self) -> None:
        """Wait and call."""
        while (remaining_s := self.deadline_s - boot_time_s()) > 0:
            if self._cancelled.wait(min(remaining_s, CLOCK_CHECK_INTERVAL_S)):
                return
        if not self._cancelled.is_set():
            self._callback()


def exit_within(grace_s: float, exit_process: Callable[[int], object] = os._exit) -> BootClockTimer:
    """End the process with status 0 just before ``grace_s`` are over, unless the timer is cancelled."""

    def end() -> None:
        try:
            emit(Event.NODE_STOP_FORCED, grace_s=grace_s)
        finally:
            exit_process(0)

    timer = BootClockTimer(boot_time_s() + grace_s - EXIT_MARGIN_S, end)
    timer.start()
    return timer


def exit_now(exit_process: Callable[[int], object] = os._exit) -> None:
    """End the process with status 0, now.

    Python takes apart what a process holds before it ends, for up to a second on a busy machine, and stops other
    threads before that, the one that ends the process in time among them. Log lines have been written by then.
    """
    exit_process(0)
