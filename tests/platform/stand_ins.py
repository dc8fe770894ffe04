"""Small stand-ins of the platform's store and workers over sockets, with fault switches."""

from __future__ import annotations

import asyncio
import base64
import json

from aiohttp import web

SEAL = "X-Response-Seal"


class StoreStandIn:
    """Rows under tables, a feed of changes, and switches for refusals, lost answers and forgotten history."""

    def __init__(self):
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, str, str, bool]] = []
        self.version = 0
        self.forgotten = 0
        self.refuse_status = 0
        self.lose_writes = 0
        self.silent = False
        self.calls = 0
        self._changed = asyncio.Event()

    async def start(self):
        app = web.Application()
        app.router.add_post("/api/rows-tx", self._transact)
        app.router.add_get("/api/rows-get", self._read)
        app.router.add_get("/api/rows-feed", self._feed)
        self._runner = web.AppRunner(app, shutdown_timeout=0.01)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{site._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        await self._runner.cleanup()

    def put(self, table, key, value):
        """Write a row; ``value`` is JSON-encoded unless it is None, which deletes."""
        self.version += 1
        self._put(table, key, value)

    def _put(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            text = value if isinstance(value, str) else json.dumps(value)
            self.rows[(table, key)] = (base64.b64encode(text.encode()).decode(), self.version)
        self.history.append((self.version, table, key, value is None))
        self._changed.set()
        self._changed = asyncio.Event()

    def forget_history(self):
        self.forgotten = self.version
        self.history.clear()

    def value(self, table, key):
        found = self.rows.get((table, key))
        return base64.b64decode(found[0]).decode() if found else None

    async def _before(self):
        self.calls += 1
        if self.silent:
            await asyncio.sleep(3600)
        if self.refuse_status:
            return web.Response(status=self.refuse_status)
        return None

    def _answer(self, rows=(), **more):
        now_ms = asyncio.get_running_loop().time() * 1000
        return web.json_response({"rows": list(rows), "ver": self.version, "now_ms": now_ms, **more})

    def _row(self, table, key):
        value, version = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    async def _transact(self, request):
        refused = await self._before()
        if refused is not None:
            return refused
        body = await request.json()
        for entry in body["expect_rev"]:
            if self.rows.get((entry["table"], entry["key"]), ("", 0))[1] != entry["ver"]:
                return web.json_response({"rows": [], "ver": self.version, "now_ms": 0}, status=412)
        self.version += 1  # One version for all rows of a transaction, as the platform has it.
        for entry in body["put"]:
            self._put(entry["table"], entry["key"], base64.b64decode(entry["value"]).decode())
        for entry in body["delete"]:
            self._put(entry["table"], entry["key"], None)
        if self.lose_writes:
            self.lose_writes -= 1
            request.transport.abort()
        return self._answer()

    async def _read(self, request):
        refused = await self._before()
        if refused is not None:
            return refused
        table, start = request.query["table"], request.query.get("from", "")
        limit = min(int(request.query.get("limit", 500)), 3)
        keys = sorted(key for each, key in self.rows if each == table and key >= start)
        rows = [self._row(table, key) for key in keys[:limit]]
        return self._answer(rows, more=len(keys) > limit)

    async def _feed(self, request):
        refused = await self._before()
        if refused is not None:
            return refused
        table, after = request.query["table"], int(request.query["after"])
        give_up_s = asyncio.get_running_loop().time() + int(request.query["wait_ms"]) / 1000
        while True:
            if after < self.forgotten:
                return web.Response(status=410)
            changed = {key: gone for version, each, key, gone in self.history if each == table and version > after}
            left_s = give_up_s - asyncio.get_running_loop().time()
            if changed or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        rows = []
        for key, gone in changed.items():
            rows.append({"key": key, "gone": True, "ver": self.version} if gone else self._row(table, key))
        return self._answer(rows)


class WorkerStandIn:
    """A worker that answers as it is told and records what reached it."""

    def __init__(self, incarnation, service="svc", software=""):
        self.incarnation = incarnation
        self.service = service
        self.software = software
        self.version = 1
        self.orders: list[dict] = []
        self.requests: list[web.Request] = []
        self.bodies: list[bytes] = []
        self.respond = self.answer_ok
        self.cancelled = asyncio.Event()
        self.draining = False

    async def start(self):
        server = web.Server(self._handle, handler_cancellation=True, auto_decompress=False)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.01)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{site._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        await self._runner.cleanup()

    def entry(self):
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "z1",
            "version": self.software,
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "models": [{"name": "m", "version": self.version}],
            "seq": 1,
        }

    async def _handle(self, request):
        if request.path == "/api/report":
            models = [{"name": "m", "version": self.version, "adapters": []}]
            return web.json_response({"models": models, "busy": False, "seq": len(self.orders)})
        if request.path == "/api/order":
            self.orders.append(json.loads(await request.read()))
            self.version = self.orders[-1]["version"]
            return web.Response(status=202)
        self.requests.append(request)
        self.bodies.append(await request.read())
        try:
            return await self.respond(request)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise

    def headers(self, request, **more):
        return {"X-Request-Id": request.headers["X-Request-Id"], SEAL: f"seal-{self.incarnation}", **more}

    async def answer_ok(self, request):
        return web.Response(body=b"ok", headers=self.headers(request))

    def answer(self, status=200, body=b"ok", **headers):
        async def respond(request):
            named = {name.replace("_", "-"): value for name, value in headers.items()}
            return web.Response(status=status, body=body, headers=self.headers(request, **named))

        return respond

    def stream(self, *events, break_off=False):
        async def respond(request):
            headers = self.headers(request, **{"Content-Type": "text/event-stream"})
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            for event in events:
                await response.write(event)
            if break_off:
                # A close and not a reset: a reset may drop what was written just before it.
                request.transport.close()
            return response

        return respond

    async def hang(self, request):
        await asyncio.sleep(3600)
        return web.Response()
