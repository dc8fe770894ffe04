"""Writes the odd rows of a schedule into the run's store, once or again and again, and records each writing.

Relies on :class:`wallwell.soak.fleet.RunProcesses` for the store.
"""

from __future__ import annotations

import asyncio
import time

from wallwell.background import BackgroundTasks
from wallwell.errors import PeerUnavailableError, SoakError
from wallwell.soak.control import PutOddRow
from wallwell.soak.fleet import RunProcesses
from wallwell.soak.history import OddRowWritten
from wallwell.soak.schedule import PlannedOddRow


class OddWriter:
    """Another writer of the store. Rows of time 0 are there before the first router starts."""

    def __init__(self, fleet: RunProcesses) -> None:
        self._fleet = fleet
        rows = fleet.schedule.odd_rows
        self._early = [row for row in rows if not row.at_s]
        self._later = [row for row in rows if row.at_s]
        self._writing = BackgroundTasks()
        self._start_s = float("inf")
        """When the first request is sent; unknown while routers start."""

    async def begin(self) -> None:
        """Write what is there before the routers start, and go on with what is written again."""
        for row in self._early:
            await self._write(row)
        for row in self._early:
            if row.lasts_s:
                self._writing.start(self._write_again(row))

    async def run(self, start_s: float) -> None:
        """Write the rows at their times. Raises :class:`SoakError` where that fails."""
        self._start_s = start_s
        await asyncio.gather(*self._writing, *(self._write_at(row) for row in self._later))

    async def _write_at(self, row: PlannedOddRow) -> None:
        await asyncio.sleep(self._start_s + row.at_s - time.monotonic())
        await self._write(row)
        await self._write_again(row)

    async def _write_again(self, row: PlannedOddRow) -> None:
        while time.monotonic() + row.period_s < self._start_s + row.at_s + row.lasts_s:
            await asyncio.sleep(row.period_s)
            await self._write(row)

    async def _write(self, row: PlannedOddRow) -> None:
        try:
            await self._fleet.control_store(PutOddRow(row.table, row.key, row.value))
        except PeerUnavailableError as error:
            raise SoakError(f"odd row {row.key!r}: {error}") from error
        self._fleet.history.add(OddRowWritten(time.monotonic(), row.table, row.key, row.form))
