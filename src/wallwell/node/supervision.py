"""Restarts a node's background loops when they end unexpectedly.

Owns no state; the caller owns the tasks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from wallwell.events import Event, emit

LoopFunction = Callable[[], Coroutine[Any, Any, None]]

RESTART_PAUSE_S = 1.0
"""Seconds before an ended loop is restarted, so that a persistent error logs at most one line a second."""


async def run_supervised(loop: LoopFunction) -> None:
    """Run a loop until cancelled; restart it whenever it ends, and log the error if it failed."""
    while True:
        try:
            await loop()
        except Exception as error:
            emit(Event.INTERNAL_ERROR, error=f"{type(error).__name__}: {error}", where=loop.__qualname__)
        await asyncio.sleep(RESTART_PAUSE_S)
