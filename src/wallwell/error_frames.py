"""Releases what an error that has been handled keeps in memory.

An error refers to the frames that it passed through, and these to all that they worked on: the request, and what
had been read of its answer. Where one of the frames refers to the error in turn, for instance through a task that
ended with it, only a full garbage collection frees them, and the collector counts objects and not bytes.
"""

from __future__ import annotations


def release_frames(error: BaseException) -> None:
    """Forget where an error and those that led to it were raised. Call once the error has been handled."""
    pending: list[BaseException | None] = [error]
    seen: set[int] = set()
    while pending:
        each = pending.pop()
        if each is None or id(each) in seen:
            continue
        seen.add(id(each))
        each.__traceback__ = None
        pending += [each.__cause__, each.__context__]
