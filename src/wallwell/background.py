"""Background tasks that their creator does not await."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class BackgroundTasks(set[asyncio.Task[Any]]):
    """Strong references to running tasks, kept until each ends: the event loop keeps weak references only."""

    def start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a coroutine as a task and return the task. An exception of the coroutine is stored in the task;
        asyncio logs it if nobody awaits the task."""
        task = asyncio.create_task(work)
        self.add(task)
        task.add_done_callback(self.discard)
        return task
