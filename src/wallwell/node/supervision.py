"""Keeps a node's background loops running for its whole life.

Owns nothing; the caller holds the tasks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from wallwell.events import Event, emit

LoopFunction = Callable[[], Coroutine[Any, Any, None]]

RESTART_PAUSE_S = 1.0
"""Seconds before a loop that ended starts again: long enough that an error that persists logs one line a second."""


async def run_supervised(loop: LoopFunction) -> None:
    """Run a loop until cancelled; an unexpected error is logged and the loop starts again."""
    while True:
        try:
            await loop()
        except Exception as error:
            emit(Event.INTERNAL_ERROR, error=f"{type(error).__name__}: {error}", where=loop.__qualname__)
        await asyncio.sleep(RESTART_PAUSE_S)
