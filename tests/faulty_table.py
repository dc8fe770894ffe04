"""An in-memory table service that fails according to a script."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from wallwell.emulator.platform_server import ConditionFailed, TableModel
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.storage.table import Row, Scan, Transaction

OK = "ok"
REQUEST_LOST = "lost before the effect"
REPLY_LOST = "lost after the effect"
REQUEST_DELAYED = "lost, and takes effect later"


class FaultyTable:
    """Applies one scripted fault per call; calls after the end of the script succeed."""

    def __init__(self, model: TableModel | None = None, faults: Iterable[str] = ()) -> None:
        self.model = model or TableModel()
        self.faults = deque(faults)
        self.down = False
        self.before_transact = lambda: None
        self._delayed_requests: list[Transaction] = []

    def _next_fault(self) -> str:
        if self.down:
            raise PlatformUnavailableError("down")
        return self.faults.popleft() if self.faults else OK

    async def transact(self, transaction: Transaction) -> int:
        self.before_transact()
        fault = self._next_fault()
        if fault == REQUEST_DELAYED:
            self._delayed_requests.append(transaction)
        if fault in (REQUEST_LOST, REQUEST_DELAYED):
            raise PlatformUnavailableError(fault)
        try:
            commit = self.model.transact(transaction)
        except ConditionFailed as failed:
            raise TableConflictError(str(failed)) from failed
        if fault == REPLY_LOST:
            raise PlatformUnavailableError(fault)
        self._apply_delayed_requests()
        return commit

    def _apply_delayed_requests(self) -> None:
        """Commit the delayed transactions whose conditions still hold."""
        delayed, self._delayed_requests = self._delayed_requests, []
        for transaction in delayed:
            try:
                self.model.transact(transaction)
            except ConditionFailed:
                continue

    async def get(self, key: str) -> Row | None:
        if self._next_fault() != OK:
            raise PlatformUnavailableError("lost")
        row = self.model.rows.get(key)
        self._apply_delayed_requests()
        return row

    async def scan(self, prefix: str, after_version: int) -> Scan:
        if self._next_fault() != OK:
            raise PlatformUnavailableError("lost")
        return self.model.scan(prefix, after_version)
