"""Stand-in for a worker of the platform over HTTP: entry, reports and orders; a subclass serves requests."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any

from aiohttp import web

from wallwell.emulator.faults import abort_listener
from wallwell.platform import names

ACCEPTED = HTTPStatus.ACCEPTED.value
"""Status of an order that is being carried out."""
SHUTDOWN_TIMEOUT_S = 0.01
"""Seconds for which handlers are waited for: a stand-in has nothing to finish."""


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
        """Whether its entry says that it leaves."""
        self.leaving = False
        """Whether its answers say so."""
        self.limit_per_s: float | None = None
        """Requests a second from all nodes together that its answers name; None if they name none."""
        self.busy = False
        """Whether an order is being carried out."""
        self.orders: list[dict[str, Any]] = []
        self.address = ""

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a port of the system's choice."""
        server = web.Server(self._handle, handler_cancellation=True, auto_decompress=False, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        self.address = f"{host}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Close the listener and its connections."""
        await self._runner.cleanup()

    def crash(self) -> None:
        """End as a killed process does: every connection is reset, and nothing listens at the address from then
        on."""
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
        """Return the headers of every answer to a request."""
        identity = {names.REQUEST_ID: request.headers[names.REQUEST_ID], names.SEAL: f"seal-{self.incarnation}"}
        leaving = {names.LEAVING: "1"} if self.leaving else {}
        limit = {names.REQUEST_LIMIT: f"{self.limit_per_s:g}"} if self.limit_per_s is not None else {}
        return {**identity, **leaving, **limit, **more}

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        raise NotImplementedError

    async def handle_order(self, order: dict[str, Any]) -> web.Response:
        """Do an order at once."""
        self.version = order["version"]
        return web.Response(status=ACCEPTED)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == names.REPORT_PATH:
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            return web.json_response({"models": models, "busy": self.busy, "seq": len(self.orders)})
        if request.path == names.ORDER_PATH:
            self.orders.append(json.loads(await request.read()))
            return await self.handle_order(self.orders[-1])
        return await self.serve(request)
