"""Crashes of workers that nobody can know any more. Pure.

What nodes know of a crash is in their memory and in the store. It is lost if the store goes away and comes back
from a copy without it, and all nodes are killed before they can have written it again.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from wallwell.soak.history import Began, FaultBegan
from wallwell.soak.schedule import COPY_AGE_S, FaultKind
from wallwell.soak.timeline import History

WRITTEN_AGAIN_S = 1.0
"""Seconds after the store's return within which nodes that live write again what the copy lacks."""


class _Loss(NamedTuple):
    """What happened in a span of time is known to nobody."""

    from_s: float
    until_s: float


def is_forgotten(history: History, run: Began) -> bool:
    """Whether a crash of the worker of a run was lost with all nodes and the store."""
    return any(loss.from_s <= run.at_s <= loss.until_s for loss in _losses(history))


def _losses(history: History) -> Iterator[_Loss]:
    kills_s = [
        each.at_s
        for each in history.records
        if isinstance(each, FaultBegan) and each.fault == FaultKind.KILL_ALL_NODES.value
    ]
    lacks_from_s, written_again_s = 0.0, float("-inf")
    for restore, returned_s in history.restores_with_ends():
        copied_s = restore.at_s - COPY_AGE_S
        # A copy that was made before nodes wrote again what the one before lacked lacks that as well.
        lacks_from_s = min(lacks_from_s, copied_s) if copied_s < written_again_s else copied_s
        written_again_s = returned_s + WRITTEN_AGAIN_S
        for kill_s in kills_s:
            if restore.at_s <= kill_s <= written_again_s:
                yield _Loss(lacks_from_s, kill_s)
