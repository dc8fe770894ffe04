"""Waiting for a task with a time-out that tolerates an event loop that is short of processor time.

On a busy node, a time-out can expire in the same iteration of the event loop in which the awaited bytes arrive. The
time-out then fires first, since the bytes need a few more iterations to complete the task. A back end that answered
in time would count as unresponsive and get no requests for a while, and the retry of its request would add to the
node's load.
"""

from __future__ import annotations

import asyncio
from typing import Any

from wallwell.clock import ends_within

GRACE_ITERATIONS = 8
"""Event loop iterations that a task gets after the time-out: for reading the socket, waking the reader, and the
tasks between the reader and the waiting task. They take microseconds on an idle loop."""


async def is_done_within(task: asyncio.Future[Any], seconds: float) -> bool:
    """Return whether a task ends within ``seconds`` plus ``GRACE_ITERATIONS``; the task is never cancelled."""
    if await ends_within(asyncio.wait({task}), seconds):
        return True
    for _ in range(GRACE_ITERATIONS):
        await asyncio.sleep(0)
        if task.done():
            return True
    return False


async def cancel_and_wait(task: asyncio.Future[Any]) -> None:
    """Cancel a task unless it has ended, and wait for its end; its result or exception is dropped."""
    if task.done():
        if not task.cancelled():
            task.exception()  # Marks it as seen.
        return
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
