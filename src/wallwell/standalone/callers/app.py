"""The callers' listener: which handler answers which path, and what a caller gets for an error.

Every request is checked before its handler runs, and every :class:`~wallwell.errors.RequestError` becomes a typed
answer; an unexpected error is logged and answered as an internal one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from wallwell.callers_server import has_next_request
from wallwell.errors import InternalRequestError, RequestError, UnknownResourceError, WallwellError
from wallwell.events import Event, emit
from wallwell.standalone.callers.caller import CheckedCaller, check_caller, error_response, request_id_or_new
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.generation import GenerationHandler
from wallwell.standalone.callers.service_calls import ServiceHandler

Handler = Callable[[web.Request, CheckedCaller], Awaitable[web.StreamResponse]]
"""Answers a checked request; raises :class:`RequestError`."""


class CallersApp:
    """Routes callers' requests to their handlers and turns errors into typed answers."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._generation = GenerationHandler(context)
        self._services = ServiceHandler(context)

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=self._context.settings.limits.max_body_bytes)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_post("/v1/completions", self._generate)
        app.router.add_post("/v1/chat/completions", self._generate)
        app.router.add_route("*", "/{service:[a-z0-9][a-z0-9.-]*}/{path:.*}", self._service)
        app.router.add_route("*", "/{unknown:.*}", self._unknown)
        app.on_response_prepare.append(self._end_connection_while_stopping)
        return app

    async def _end_connection_while_stopping(self, request: web.Request, response: web.StreamResponse) -> None:
        """Have callers open no further request on a connection that is about to be closed, where it may be lost.

        Requests that a caller has sent without waiting for the answer are answered first.
        """
        if self._context.draining and not has_next_request(request):
            response.headers["Connection"] = "close"
            response.force_close()

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, _request: web.Request) -> web.Response:
        if self._context.ready and not self._context.draining:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        return await self._typed(request, self._generation.handle)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        if request.match_info["service"] == "v1":
            return await self._unknown(request)
        return await self._typed(request, self._services.handle)

    async def _unknown(self, request: web.Request) -> web.StreamResponse:
        async def refuse(_request: web.Request, _caller: CheckedCaller) -> web.StreamResponse:
            raise UnknownResourceError("no such path or method")

        return await self._typed(request, refuse)

    async def _typed(self, request: web.Request, handle: Handler) -> web.StreamResponse:
        request_id = ""
        try:
            request_id = request_id_or_new(request)
            caller = check_caller(self._context, request, request_id)
            return await handle(request, caller)
        except RequestError as error:
            self._log(request_id, error)
            return error_response(error, request_id)
        except asyncio.CancelledError:
            emit(Event.CALLER_GONE, request_id=request_id)
            raise
        except ConnectionError:
            emit(Event.CALLER_GONE, request_id=request_id)
            raise
        except web.HTTPException:
            raise
        except Exception as error:  # Whatever went wrong, the caller gets a typed answer.
            emit(Event.INTERNAL_ERROR, request_id=request_id, reason=repr(error))
            return error_response(InternalRequestError(type(error).__name__), request_id)

    def _log(self, request_id: str, error: WallwellError) -> None:
        outcome = error.outcome.value if isinstance(error, RequestError) else ""
        emit(Event.REQUEST_ENDED, request_id=request_id, code=error.code, outcome=outcome)
