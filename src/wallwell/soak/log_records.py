"""Writes what the routers' logs of a run say as records of its history."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from pathlib import Path

from wallwell.soak.history import HISTORY_SUFFIX, HistoryWriter, Record

RecordsIn = Callable[[bytes, str, float], Iterable[Record]]
"""Returns the records in a log, of the node that wrote it; the last argument is what the steady clock is ahead of
Unix time, in seconds."""


def write_records(folder: Path, name: str, nodes: Iterable[str], records_in: RecordsIn) -> None:
    """Write a history of this name with the records in the logs of a run that has just ended."""
    history = HistoryWriter(folder / f"{name}{HISTORY_SUFFIX}")
    steady_from_unix_s = time.monotonic() - time.time()
    for node in nodes:
        for record in records_in((folder / f"{node}.log").read_bytes(), node, steady_from_unix_s):
            history.add(record)
    history.close()
