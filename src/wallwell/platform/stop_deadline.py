"""Ends the process before the grace period of a planned stop is over, whatever still runs in it.

The platform kills a process that exceeds its grace period, and counts that as a crash. A task that ignores its
cancellation, a host name lookup in a thread, or an event loop that gets no CPU time can each delay the exit for
that long. So a separate thread ends the process in time.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable, Collection

from wallwell.clock import boot_time_s
from wallwell.events import Event, emit, flush_log

EXIT_MARGIN_S = 0.25
"""Seconds before the end of the grace period at which the process exits, so that the system has time to release its
memory and sockets."""
MAX_NAMED_REQUESTS = 50
"""Requests that are named at most in the line about a forced exit: a line of two kilobytes."""
LOG_FLUSH_S = 0.1
"""Maximum seconds for which an exit waits for a slow reader of the log."""
CLOCK_CHECK_INTERVAL_S = 0.1
"""Maximum seconds between two readings of the clock. A wait does not count the time while the machine is suspended,
so the timer fires at most this much late."""


class BootClockTimer(threading.Thread):
    """Calls a function at a deadline on the boot clock, unless it is cancelled before."""

    def __init__(self, deadline_s: float, callback: Callable[[], object]) -> None:
        super().__init__(daemon=True)
        self.deadline_s = deadline_s
        self._callback = callback
        self._cancelled = threading.Event()

    def cancel(self) -> None:
        """Do not call the function, unless the call has already begun."""
        self._cancelled.set()

    def run(self) -> None:
        """Wait until the deadline, then call the function."""
        while (remaining_s := self.deadline_s - boot_time_s()) > 0:
            if self._cancelled.wait(min(remaining_s, CLOCK_CHECK_INTERVAL_S)):
                return
        if not self._cancelled.is_set():
            self._callback()


def exit_within(
    requested_s: float,
    grace_s: float,
    open_requests: Callable[[], Collection[str]],
    exit_process: Callable[[int], object] = os._exit,
) -> BootClockTimer:
    """Exit the process with status 0 just before ``grace_s`` seconds from ``requested_s`` on are over.

    ``open_requests`` returns the ids of the requests that this ends, which are logged. Returns the timer.
    """

    def end() -> None:
        try:
            requests = sorted(open_requests())
            named = ",".join(requests[:MAX_NAMED_REQUESTS])
            emit(Event.NODE_STOP_FORCED, grace_s=grace_s, in_flight=len(requests), requests=named)
        finally:
            exit_process(0)

    timer = BootClockTimer(requested_s + grace_s - EXIT_MARGIN_S, end)
    timer.start()
    return timer


def exit_now(exit_process: Callable[[int], object] = os._exit) -> None:
    """Exit the process with status 0 once its log is written, without the interpreter's cleanup.

    The cleanup takes up to a second on a busy machine, and first stops other threads, also the one that would end
    the process in time.
    """
    flush_log(LOG_FLUSH_S)
    exit_process(0)
