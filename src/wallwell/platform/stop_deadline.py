"""The end of a planned stop that nothing can put off.

Whatever hangs at the end of a process keeps it past its grace time: a task that ignores its cancellation, a name
being looked up in a thread, a loop that gets no processor time. So a thread of its own ends the process in time.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable

from wallwell.events import Event, emit

EXIT_MARGIN_S = 0.25
"""How long before the end of the grace time the process is ended: what the system needs to take it down."""


def end_process_after(grace_s: float, exit_process: Callable[[int], object] = os._exit) -> threading.Timer:
    """End the process with status 0 just before ``grace_s`` are over, unless the timer is cancelled."""

    def end() -> None:
        try:
            emit(Event.NODE_STOP_FORCED, grace_s=grace_s)
        finally:
            exit_process(0)

    timer = threading.Timer(max(0.0, grace_s - EXIT_MARGIN_S), end)
    timer.daemon = True
    timer.start()
    return timer
