"""Tasks that run beside their creator, which does not wait for them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class BackgroundTasks(set[asyncio.Task[Any]]):
    """Running tasks, held until they end: the event loop itself holds its tasks by weak references only."""

    def start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run work beside its caller. An error in it is the task's own; asyncio logs it if nobody awaits the
        task."""
        task = asyncio.create_task(work)
        self.add(task)
        task.add_done_callback(self.discard)
        return task
