"""Waiting for a task with a time-out that an event loop short of processor time does not shorten.

On a busy node a timer and the bytes that it waits for become due in the same turn of the loop, and the timer's task
runs first, since what the bytes lead to takes a few turns more. A back end that answered in time would then count
as unresponsive, get no requests for a while, and its request be retried, which makes the node busier still.
"""

from __future__ import annotations

import asyncio
from typing import Any

from wallwell.clock import ends_within

GRACE_ITERATIONS = 8
"""Turns of the loop that a task is given beyond the time-out: for reading, waking the reader, and the tasks
between it and the one that waits. Microseconds on an idle loop."""


async def is_done_within(task: asyncio.Future[Any], seconds: float) -> bool:
    """Wait for a task for at most ``seconds`` plus ``GRACE_ITERATIONS``; return whether it has ended.

    The task is never cancelled."""
    if await ends_within(asyncio.wait({task}), seconds):
        return True
    for _ in range(GRACE_ITERATIONS):
        await asyncio.sleep(0)
        if task.done():
            return True
    return False
