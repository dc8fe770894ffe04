"""Emulator of the platform's store over HTTP: rows, conditional transactions, a change feed and fault switches.

Uses the names and the transaction format of :mod:`wallwell.platform`, but stores and orders rows itself.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

from wallwell.background import BackgroundTasks
from wallwell.clock import ends_within
from wallwell.emulator.faults import reset_connection
from wallwell.platform import names
from wallwell.platform.store_wire import TransactBody

MAX_PAGE_ROWS = 500
"""Maximum number of rows per response that the store's protocol allows."""
MS_PER_S = 1000
"""The store's protocol states times in milliseconds."""
CONFLICT = HTTPStatus.PRECONDITION_FAILED.value
HISTORY_GONE = HTTPStatus.GONE.value
FORBIDDEN = HTTPStatus.FORBIDDEN.value
UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE.value
SHUTDOWN_TIMEOUT_S = 0.01
"""Seconds to wait for handlers at shutdown: short, since an emulator has nothing to finish."""
_SILENCE_S = 3600.0
"""Seconds for which a silent store delays each call: longer than any caller waits."""


@dataclass
class StoreSwitches:
    """Fault switches of a store. All are off at start."""

    refuse_status: int = 0
    """Answer every call with this status without carrying it out; 0 disables the fault."""
    silent: bool = False
    """Accept calls and never answer them."""
    slow_s: float = 0.0
    """Seconds to wait before handling a call."""
    lose_writes: int = 0
    """Number of writes to carry out and then answer with a connection reset."""
    late_writes: int = 0
    """Number of writes to answer with a reset and carry out ``late_s`` later if their conditions still hold."""
    late_s: float = 1.0
    refused_listeners: tuple[str, ...] = ()
    """Local addresses at which every call gets 503; each caller connects to an address of its own."""


class StoreCopy(NamedTuple):
    """Contents of a store at one point in time."""

    rows: dict[tuple[str, str], tuple[str, int]]
    version: int


class PlatformStoreEmulator(StoreSwitches):
    """One store. ``page_rows`` limits the rows of one response; callers cannot write ``read_only_tables``."""

    def __init__(self, page_rows: int = MAX_PAGE_ROWS, read_only_tables: frozenset[str] = frozenset()) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, str, str, bool]] = []
        self.version = 0
        self.forgotten_version = 0
        """Feed requests from an older version get 410."""
        self.era = 0
        """Incremented by each :meth:`restore`; 0 is not sent to callers."""
        self.calls = 0
        self.addresses: tuple[str, ...] = ()
        self._page_rows = page_rows
        self._read_only_tables = read_only_tables
        self._changed = asyncio.Event()
        self._late_tasks = BackgroundTasks()

    @property
    def address(self) -> str:
        """``IP:port`` of the first listener."""
        return self.addresses[0]

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era_header)
        app.router.add_post(names.ROWS_TRANSACT_PATH, self._handle_transact)
        app.router.add_get(names.ROWS_READ_PATH, self._handle_read)
        app.router.add_get(names.ROWS_FEED_PATH, self._handle_feed)
        return app

    async def start(self, hosts: Iterable[str] = ("127.0.0.1",)) -> None:
        """Listen at every host, each on a port that the operating system chooses."""
        self._runner = web.AppRunner(self.app(), shutdown_timeout=SHUTDOWN_TIMEOUT_S, access_log=None)
        await self._runner.setup()
        for host in hosts:
            await web.TCPSite(self._runner, host, 0).start()
        self.addresses = tuple(f"{address[0]}:{address[1]}" for address in self._runner.addresses)

    async def stop(self) -> None:
        """Close the listeners."""
        await self._runner.cleanup()

    # --- rows ------------------------------------------------------------------------------------------

    def put(self, table: str, key: str, value: object | None) -> None:
        """Write a row, or delete it if ``value`` is None. A value that is not a string is JSON-encoded."""
        self.version += 1
        self._write_row(table, key, value)

    def _write_row(self, table: str, key: str, value: object | None) -> None:
        if value is None:
            self.rows.pop((table, key), None)
        else:
            text = value if isinstance(value, str) else json.dumps(value)
            self.rows[(table, key)] = (base64.b64encode(text.encode()).decode(), self.version)
        self.history.append((self.version, table, key, value is None))
        self._changed.set()
        self._changed = asyncio.Event()

    def value(self, table: str, key: str) -> str | None:
        """Return a row's text, or None if there is no such row."""
        stored = self.rows.get((table, key))
        return base64.b64decode(stored[0]).decode() if stored else None

    def forget_history(self) -> None:
        """Discard the change history; feed requests from before the current version get 410."""
        self.forgotten_version = self.version
        self.history.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of the current contents for :meth:`restore`."""
        return StoreCopy(dict(self.rows), self.version)

    def restore(self, copy: StoreCopy) -> None:
        """Restore a copy: later writes are lost, and their version numbers are assigned again."""
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.era += 1
        self.forget_history()
        self._changed.set()
        self._changed = asyncio.Event()

    # --- calls -----------------------------------------------------------------------------------------

    async def _add_era_header(self, request: web.Request, response: web.StreamResponse) -> None:
        if self.era:
            response.headers[names.STORE_ERA] = str(self.era)

    async def _apply_call_faults(self, request: web.Request) -> web.Response | None:
        """Count a call and apply the faults common to all calls; return the response if the call is refused."""
        self.calls += 1
        if self.silent:
            await asyncio.sleep(_SILENCE_S)
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.refuse_status:
            return web.Response(status=self.refuse_status)
        if self.refused_listeners and _local_address(request) in self.refused_listeners:
            return web.Response(status=UNAVAILABLE)
        return None

    def _rows_response(
        self, rows: Iterable[dict[str, Any]] = (), status: int = 200, **more: object
    ) -> web.Response:
        now_ms = asyncio.get_running_loop().time() * MS_PER_S
        return web.json_response({"rows": list(rows), "ver": self.version, "now_ms": now_ms, **more}, status=status)

    def _row_body(self, table: str, key: str) -> dict[str, Any]:
        value, version = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    async def _handle_transact(self, request: web.Request) -> web.Response:
        refused = await self._apply_call_faults(request)
        if refused is not None:
            return refused
        body = msgspec.json.decode(await request.read(), type=TransactBody)
        written = {entry.table for entry in body.put} | {entry.table for entry in body.delete}
        if written & self._read_only_tables:
            return web.Response(status=FORBIDDEN)
        if self.late_writes:
            self.late_writes -= 1
            self._late_tasks.start(self._apply_late(body))
            return reset_connection(request)
        if not self._apply(body):
            return self._conflict_response(body)
        if self.lose_writes:
            self.lose_writes -= 1
            return reset_connection(request)
        return self._rows_response()

    def _conflict_response(self, body: TransactBody) -> web.Response:
        found = [(each.table, each.key) for each in body.expect_rev if (each.table, each.key) in self.rows]
        return self._rows_response([self._row_body(table, key) for table, key in found], status=CONFLICT)

    def _apply(self, body: TransactBody) -> bool:
        """Apply the whole transaction if its conditions hold; return whether they did."""
        for condition in body.expect_rev:
            if self.rows.get((condition.table, condition.key), ("", 0))[1] != condition.ver:
                return False
        self.version += 1  # One version for all rows of a transaction.
        for entry in body.put:
            self._write_row(entry.table, entry.key, base64.b64decode(entry.value).decode())
        for deleted in body.delete:
            self._write_row(deleted.table, deleted.key, None)
        return True

    async def _apply_late(self, body: TransactBody) -> None:
        await asyncio.sleep(self.late_s)
        self._apply(body)

    async def _handle_read(self, request: web.Request) -> web.Response:
        refused = await self._apply_call_faults(request)
        if refused is not None:
            return refused
        table, start = request.query["table"], request.query.get("from", "")
        limit = min(int(request.query.get("limit", MAX_PAGE_ROWS)), self._page_rows)
        keys = sorted(key for each, key in self.rows if each == table and key >= start)
        rows = [self._row_body(table, key) for key in keys[:limit]]
        return self._rows_response(rows, more=len(keys) > limit)

    async def _handle_feed(self, request: web.Request) -> web.Response:
        refused = await self._apply_call_faults(request)
        if refused is not None:
            return refused
        table, after = request.query["table"], int(request.query["after"])
        changed = await self._wait_for_changes(table, after, int(request.query["wait_ms"]) / MS_PER_S)
        if changed is None:
            return web.Response(status=HISTORY_GONE)
        return self._rows_response(self._changed_row_body(table, key, gone) for key, gone in changed.items())

    def _changed_row_body(self, table: str, key: str, gone: bool) -> dict[str, Any]:
        return {"key": key, "gone": True, "ver": self.version} if gone else self._row_body(table, key)

    async def _wait_for_changes(self, table: str, after: int, wait_s: float) -> dict[str, bool] | None:
        """Return the keys changed since version ``after`` and whether each was deleted; empty after ``wait_s``.

        Returns None if the history since ``after`` was discarded or ``after`` is above the store's version.
        """
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while self.forgotten_version <= after <= self.version:
            changed = {key: gone for version, each, key, gone in self.history if each == table and version > after}
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if changed or remaining_s <= 0:
                return changed
            await ends_within(self._changed.wait(), remaining_s)
        return None


def _local_address(request: web.Request) -> str:
    """Return the local address at which a call arrived."""
    if request.transport is None:
        return ""
    return str(request.transport.get_extra_info("sockname")[0])
