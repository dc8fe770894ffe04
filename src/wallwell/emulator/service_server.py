"""Emulated service instance that runs calls.

Owns a journal of every call that ran, which tests compare with what was sent.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import msgspec
from aiohttp import web

from wallwell.emulator.engine_output import FOREIGN_REQUEST_ID
from wallwell.emulator.faults import FaultControl
from wallwell.standalone.backends.engine_protocol import REQUEST_ID

IDEMPOTENCY_KEY = "Idempotency-Key"
REFUSED_HEADER = "X-Not-Run"
"""Response header that states that the call did not run."""
WORK_S = 0.005
"""Seconds that a call takes."""


class JournalEntry(msgspec.Struct, frozen=True):
    """One call that ran."""

    request_id: str
    key: str
    method: str
    path: str
    body: str


class ServiceServer:
    """One instance. Every call that reaches the handler and is not refused runs once and enters the journal."""

    def __init__(self, name: str, work_s: float = WORK_S) -> None:
        self.name = name
        self.journal: list[JournalEntry] = []
        self.faults = FaultControl()
        self.leaving = False
        self.backoff_s = 0.0
        """Backoff in seconds that refusals request in ``Retry-After``; every call is refused unless this is 0."""
        self.refused = 0
        """Number of calls refused because of ``backoff_s``."""
        self._work_s = work_s

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application()
        self.faults.install(app)
        app.router.add_get("/_journal", self._read_journal)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.Response:
        if self.leaving:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, headers={REFUSED_HEADER: "leaving"})
        if self.backoff_s:
            self.refused += 1
            headers = {REFUSED_HEADER: "full", "Retry-After": f"{self.backoff_s:g}"}
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)
        body = (await request.read()).decode(errors="replace")
        request_id = request.headers.get(REQUEST_ID, "")
        key = request.headers.get(IDEMPOTENCY_KEY, "")
        self.journal.append(JournalEntry(request_id, key, request.method, request.path, body))
        await asyncio.sleep(self._work_s)
        response_id = FOREIGN_REQUEST_ID if self.faults.consume("foreign_answers") else request_id
        answer = {"instance": self.name, "path": request.path, "ran": len(self.journal)}
        return web.json_response(answer, headers={REQUEST_ID: response_id})

    async def _read_journal(self, _request: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(self.journal), content_type="application/json")
