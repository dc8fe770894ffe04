"""Emulated store and workers for these tests: the store has small pages, and the test sets workers' answers."""

from __future__ import annotations

import asyncio

from aiohttp import web

from wallwell.emulator.platform_store import PlatformStoreEmulator
from wallwell.emulator.platform_worker import PlatformWorkerEmulator
from wallwell.platform.names import ROUTER_TABLE, SEAL
from wallwell.platform.store import PlatformStore, StoreTable

__all__ = ["SEAL", "FakeStore", "FakeWorker", "own_table"]
PAGE_ROWS = 3


def own_table(store: PlatformStore) -> StoreTable:
    """Return the table of the store that nodes write and follow."""
    return StoreTable(store, ROUTER_TABLE)


class FakeStore(PlatformStoreEmulator):
    """A store with few rows per page, so that reading a whole table takes several calls."""

    def __init__(self):
        super().__init__(page_rows=PAGE_ROWS)


class FakeWorker(PlatformWorkerEmulator):
    """A worker that answers with ``respond`` and records the requests it received."""

    def __init__(self, incarnation, service="svc", software=""):
        super().__init__(incarnation, service, software=software)
        self.requests: list[web.Request] = []
        self.bodies: list[bytes] = []
        self.respond = self.answer_ok
        self.cancelled = asyncio.Event()

    async def serve(self, request):
        self.requests.append(request)
        self.bodies.append(await request.read())
        try:
            return await self.respond(request)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise

    async def answer_ok(self, request):
        return web.Response(body=b"ok", headers=self.headers(request))

    def answer(self, status=200, body=b"ok", **headers):
        async def respond(request):
            named = {name.replace("_", "-"): value for name, value in headers.items()}
            return web.Response(status=status, body=body, headers=self.headers(request, **named))

        return respond

    async def begin_stream(self, request):
        """Send the head of a streamed answer."""
        response = web.StreamResponse(headers=self.headers(request, **{"Content-Type": "text/event-stream"}))
        await response.prepare(request)
        return response

    def stream(self, *events, break_off=False):
        async def respond(request):
            response = await self.begin_stream(request)
            for event in events:
                await response.write(event)
            if break_off:
                # Closes instead of resetting, since a reset may drop bytes that were just written.
                request.transport.close()
            return response

        return respond

    async def hang(self, request):
        await asyncio.sleep(3600)
        return web.Response()
