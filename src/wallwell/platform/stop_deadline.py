"""The end of a planned stop that nothing can put off.

Whatever hangs at the end of a process keeps it past its grace time: a task that ignores its cancellation, a name
being looked up in a thread, a loop that gets no processor time. So a thread of its own ends the process in time.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable

from wallwell.clock import boot_time_s
from wallwell.events import Event, emit

EXIT_MARGIN_S = 0.25
"""How long before the end of the grace time the process is ended: what the system needs to take it down."""
LOOK_S = 0.1
"""Longest wait between two looks at the clock: a wait that a suspension lengthens ends at most so much too late."""


class StopTimer(threading.Thread):
    """Calls a function at a time of the boot clock, unless it is cancelled before."""

    def __init__(self, due_s: float, call: Callable[[], object]) -> None:
        super().__init__(daemon=True)
        self.due_s = due_s
        self._call = call
        self._cancelled = threading.Event()

    def cancel(self) -> None:
        """Never call."""
        self._cancelled.set()

    def run(self) -> None:
        """Wait and call."""
        while (left_s := self.due_s - boot_time_s()) > 0:
            if self._cancelled.wait(min(left_s, LOOK_S)):
                return
        if not self._cancelled.is_set():
            self._call()


def end_process_after(grace_s: float, exit_process: Callable[[int], object] = os._exit) -> StopTimer:
    """End the process with status 0 just before ``grace_s`` are over, unless the timer is cancelled."""

    def end() -> None:
        try:
            emit(Event.NODE_STOP_FORCED, grace_s=grace_s)
        finally:
            exit_process(0)

    timer = StopTimer(boot_time_s() + grace_s - EXIT_MARGIN_S, end)
    timer.start()
    return timer
