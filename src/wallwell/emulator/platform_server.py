"""Emulator of the platform services that a standalone router needs: table, objects, weights, machine list.

Owns rows, objects and the machine list, and keeps them in memory only.
"""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus

import msgspec
from aiohttp import web

from wallwell.emulator.faults import FaultControl
from wallwell.standalone.machines import Machine, MachineState
from wallwell.standalone.routing.token_bucket import TokenBucket
from wallwell.standalone.table_client import Commit
from wallwell.storage.table import Row, Scan, Transaction

CALLS_PER_S = 500.0
"""Calls per second above which calls get 429; far more than three routers make."""
WEIGHT_LOAD_S = 0.2
"""Seconds that one engine needs to load weights."""
WEIGHT_SLOTS = 2
"""Number of engines that can load at the same time without slowing each other down."""
MAX_BODY_BYTES = 64 * 1024 * 1024
"""Maximum size of an object."""


class ConditionFailed(Exception):
    """A condition of a transaction did not hold."""


class TableModel:
    """Versioned rows and the number of the last commit; does no I/O."""

    def __init__(self) -> None:
        self.commit = 0
        self.rows: dict[str, Row] = {}

    def transact(self, transaction: Transaction) -> int:
        """Apply a transaction; return its commit number. Raises :class:`ConditionFailed` with the failing key."""
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                raise ConditionFailed(condition.key)
        self.commit += 1
        for put in transaction.puts:
            self.rows[put.key] = Row(put.key, put.value, self.commit)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return self.commit

    def scan(self, prefix: str, after_version: int) -> Scan:
        """Return the rows under ``prefix`` with a version above ``after_version``, ordered by version."""
        rows = [row for key, row in self.rows.items() if key.startswith(prefix) and row.version > after_version]
        return Scan(self.commit, tuple(sorted(rows, key=lambda row: row.version)))


class PlatformServer:
    """The platform's services on one listener, each with its own path."""

    def __init__(
        self,
        calls_per_s: float = CALLS_PER_S,
        weight_load_s: float = WEIGHT_LOAD_S,
        weight_slots: int = WEIGHT_SLOTS,
    ) -> None:
        self.table = TableModel()
        self.objects: dict[str, bytes] = {}
        self.machines: dict[str, MachineState] = {}
        self.faults = FaultControl()
        self.calls = 0
        self._bucket = TokenBucket(calls_per_s, calls_per_s, calls_per_s, time.monotonic())
        self._weight_load_s = weight_load_s
        self._weight_slots = weight_slots
        self._weight_readers = 0

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        self.faults.install(app)
        app.middlewares.append(self._rate_limit)
        app.router.add_post("/transact", self._handle_transact)
        app.router.add_get("/row", self._handle_row)
        app.router.add_get("/scan", self._handle_scan)
        app.router.add_get("/machines", self._handle_machines)
        app.router.add_get("/weights/{model}/{version}", self._handle_weights)
        app.router.add_put("/objects/{name:.+}", self._handle_put_object)
        app.router.add_get("/objects/{name:.+}", self._handle_get_object)
        return app

    @web.middleware
    async def _rate_limit(self, request: web.Request, handler: object) -> web.StreamResponse:
        if not request.path.startswith("/_"):
            self.calls += 1
            if not self._bucket.try_spend(time.monotonic()):
                return web.Response(status=HTTPStatus.TOO_MANY_REQUESTS)
        return await handler(request)  # type: ignore[operator, no-any-return]

    async def _handle_transact(self, request: web.Request) -> web.Response:
        transaction = msgspec.json.decode(await request.read(), type=Transaction)
        try:
            commit = self.table.transact(transaction)
        except ConditionFailed as failed:
            return web.Response(status=HTTPStatus.CONFLICT, text=str(failed))
        return _json_response(Commit(commit))

    async def _handle_row(self, request: web.Request) -> web.Response:
        row = self.table.rows.get(request.query["key"])
        return _json_response(row) if row else web.Response(status=HTTPStatus.NOT_FOUND)

    async def _handle_scan(self, request: web.Request) -> web.Response:
        return _json_response(self.table.scan(request.query["prefix"], int(request.query["after"])))

    async def _handle_machines(self, request: web.Request) -> web.Response:
        return _json_response([Machine(address, state) for address, state in self.machines.items()])

    async def _handle_weights(self, request: web.Request) -> web.Response:
        """Slow down in proportion to the concurrent readers once they exceed ``weight_slots``."""
        self._weight_readers += 1
        try:
            slowdown = max(1.0, self._weight_readers / self._weight_slots)
            await asyncio.sleep(self._weight_load_s * slowdown)
        finally:
            self._weight_readers -= 1
        return web.Response(body=b"weights")

    async def _handle_put_object(self, request: web.Request) -> web.Response:
        self.objects[request.match_info["name"]] = await request.read()
        return web.Response(status=HTTPStatus.CREATED)

    async def _handle_get_object(self, request: web.Request) -> web.Response:
        body = self.objects.get(request.match_info["name"])
        return web.Response(body=body) if body is not None else web.Response(status=HTTPStatus.NOT_FOUND)


def _json_response(value: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
