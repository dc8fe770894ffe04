"""Emulator of a platform worker over HTTP: store entry, reports and orders; a subclass serves requests."""

from __future__ import annotations

import json
from collections import deque
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.http_writer import StreamWriter

from wallwell.clock import boot_time_s
from wallwell.emulator.faults import abort_listener
from wallwell.platform import names

ACCEPTED = HTTPStatus.ACCEPTED.value
"""HTTP status that accepts an order to be carried out."""
SHUTDOWN_TIMEOUT_S = 0.01
"""Seconds to wait for handlers at shutdown: short, since an emulator has nothing to finish."""


class UnframedResponse(web.StreamResponse):
    """A streamed response with neither a length nor chunks: it ends where its connection is closed."""

    async def _prepare_headers(self) -> None:
        self.force_close()
        await super()._prepare_headers()
        assert isinstance(self._payload_writer, StreamWriter)
        self._payload_writer.chunked = False
        self.headers.popall("Transfer-Encoding", None)


class PlatformWorkerEmulator:
    """One incarnation of one worker."""

    def __init__(self, incarnation: str, service: str = "svc", model: str = "m", software: str = "") -> None:
        self.incarnation = incarnation
        self.service = service
        self.model = model
        self.zone = "z1"
        self.slots = 8
        self.software = software
        self.version = 1
        """Weights version of ``model``."""
        self.draining = False
        """Whether the store entry states that the worker is draining."""
        self.leaving = False
        """Whether responses state that the worker is leaving."""
        self.limit_per_s: float | None = None
        """Limit stated in responses, in requests per second from all nodes together; None if not stated."""
        self.brittle_per_s: float | None = None
        """Refusals per second, stated in responses, beyond which the worker falls over; None if it is not brittle.
        A brittle worker queues nothing."""
        self.falls = 0
        """How often it has fallen over; a test starts it again."""
        self._in_progress = 0
        self._refused_at_s: deque[float] = deque()
        self.busy = False
        """Whether an order is being carried out."""
        self.orders: list[dict[str, Any]] = []
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port, by default one that the operating system chooses."""
        server = web.Server(self._handle, handler_cancellation=True, auto_decompress=False, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        self.address = f"{host}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Close the listener and its connections."""
        await self._runner.cleanup()

    def crash(self) -> None:
        """Emulate a killed process: reset every connection and stop listening for good."""
        abort_listener(self._runner)

    def entry(self) -> dict[str, Any]:
        """Return the worker's own entry in the store."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "models": [{"name": self.model, "version": self.version}],
            "seq": 1,
        }

    def headers(self, request: web.BaseRequest, **more: str) -> dict[str, str]:
        """Return the headers of a response to ``request``, with ``more`` added."""
        identity = {names.REQUEST_ID: request.headers[names.REQUEST_ID], names.SEAL: f"seal-{self.incarnation}"}
        leaving = {names.LEAVING: "1"} if self.leaving else {}
        limit = {names.REQUEST_LIMIT: f"{self.limit_per_s:g}"} if self.limit_per_s is not None else {}
        brittle = {names.BRITTLE: f"{self.brittle_per_s:g}"} if self.brittle_per_s is not None else {}
        return {**identity, **leaving, **limit, **brittle, **more}

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; subclasses override this."""
        raise NotImplementedError

    async def handle_order(self, order: dict[str, Any]) -> web.Response:
        """Carry out an order immediately by setting the weights version."""
        self.version = order["version"]
        return web.Response(status=ACCEPTED)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == names.REPORT_PATH:
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            return web.json_response({"models": models, "busy": self.busy, "seq": len(self.orders)})
        if request.path == names.ORDER_PATH:
            self.orders.append(json.loads(await request.read()))
            return await self.handle_order(self.orders[-1])
        if self.brittle_per_s is not None and self._in_progress >= self.slots:
            return self._refuse_for_room(request)
        self._in_progress += 1
        try:
            return await self.serve(request)
        finally:
            self._in_progress -= 1

    def _refuse_for_room(self, request: web.BaseRequest) -> web.Response:
        """Refuse a request for want of room; falls over if that was one too many within a second."""
        assert self.brittle_per_s is not None
        now_s = boot_time_s()
        self._refused_at_s.append(now_s)
        while self._refused_at_s[0] <= now_s - 1.0:
            self._refused_at_s.popleft()
        if len(self._refused_at_s) > self.brittle_per_s:
            self.falls += 1
            self._refused_at_s.clear()
            self.crash()
        headers = self.headers(request, **{names.NOT_RUN: "1"})
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)
