"""Logs errors that reach the event loop, since nothing awaited the task or callback in which they were raised.

The event loop would print them as text, which no reader of numbered log events finds.
"""

from __future__ import annotations

import asyncio
import traceback
from typing import Any

from wallwell.events import Event, emit


def log_loop_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Log what reaches a loop's exception handler as :attr:`Event.TASK_FAILED`."""
    loop.set_exception_handler(_on_loop_error)


def _on_loop_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log one error; ``context`` is as for :meth:`asyncio.loop.call_exception_handler`."""
    error = context.get("exception")
    if error is None:
        emit(Event.TASK_FAILED, error=str(context.get("message", "")), where="", raised_at="")
        return
    emit(
        Event.TASK_FAILED,
        error=f"{type(error).__name__}: {error}",
        where=_describe_origin(context),
        raised_at=last_frame(error),
    )


def _describe_origin(context: dict[str, Any]) -> str:
    """Return the coroutine of the task that failed, or else the loop's own message."""
    task = context.get("task") or context.get("future")
    if isinstance(task, asyncio.Task):
        # Coroutines of compiled modules may have no name.
        return getattr(task.get_coro(), "__qualname__", None) or task.get_name()
    return str(context.get("message", ""))


def last_frame(error: BaseException) -> str:
    """Return where an error was raised, as ``FUNCTION:LINE``; empty if it was not raised."""
    frames = traceback.extract_tb(error.__traceback__, limit=-1)
    return f"{frames[0].name}:{frames[0].lineno}" if frames else ""
