"""Calls of the declared services, such as orders and bookings: admit, run once or with retries, answer.

A call that is not repeatable and has an idempotency key runs under a claim (``claimed_call``); any other one is
sent by ``service_call``, which never sends a call again that may have run and is not repeatable.
"""

from __future__ import annotations

import asyncio

from aiohttp import web

from wallwell.clock import boot_time_s
from wallwell.errors import ForbiddenError, MalformedRequestError, RequestError, UnknownResourceError
from wallwell.outcomes import Outcome
from wallwell.standalone.backends.service_client import ServiceAnswer, ServiceCall
from wallwell.standalone.callers.caller import (
    IDEMPOTENCY_HEADER,
    MAX_NAME_IN_ERROR,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    CheckedCaller,
    admitted,
    encodable,
    read_body,
)
from wallwell.standalone.callers.claimed_call import send_claimed
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.service_call import ServiceCallRun
from wallwell.standalone.config.schema import ServiceSpec

MIN_TIMEOUT_S = 0.05
"""Least seconds that a call gets when its deadline is near, so that it can succeed at all."""


class ServiceHandler:
    """Handles ``/{service}/{path}``."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    async def handle(self, request: web.Request, caller: CheckedCaller) -> web.Response:
        """Answer one call. Raises :class:`RequestError`."""
        context = self._context
        name = request.match_info["service"]
        path = request.match_info["path"]
        spec = self._permitted_service(name, caller)
        body = await read_body(context, request)
        repeatable = context.config.is_repeatable(name, request.method, "/" + path)
        call = _call(request, caller, path, body, spec)
        with admitted(context, caller):
            context.retry_budget.on_request()
            # A caller who leaves must not leave a claim open or an answer unrecorded.
            work = context.spawn(self._run(name, call, caller, repeatable))
            try:
                answer = await asyncio.shield(work)
            except RequestError as error:
                self._count(caller, error.outcome)
                raise
        self._count(caller, Outcome.COMPLETED)
        return _response(answer, caller)

    def _permitted_service(self, name: str, caller: CheckedCaller) -> ServiceSpec:
        spec = self._context.config.services.get(name)
        if spec is None:
            raise UnknownResourceError(f"no service named `{name[:MAX_NAME_IN_ERROR]}`")
        if name not in caller.tenant.spec.services:
            raise ForbiddenError(f"the tenant may not use service `{name}`")
        return spec

    async def _run(self, service: str, call: ServiceCall, caller: CheckedCaller, repeatable: bool) -> ServiceAnswer:
        if repeatable or not caller.idempotency_key:
            return await ServiceCallRun(self._context, service, call, caller, repeatable).send()
        return await send_claimed(self._context, service, call, caller)

    def _count(self, caller: CheckedCaller, outcome: Outcome) -> None:
        self._context.metrics.requests.labels("service", caller.priority_name, outcome.value).inc()


def _call(request: web.Request, caller: CheckedCaller, path: str, body: bytes, spec: ServiceSpec) -> ServiceCall:
    """Return the call as it is sent. Raises :class:`MalformedRequestError` if that cannot be written."""
    content_type = request.headers.get("Content-Type", "application/octet-stream")
    try:
        content_type.encode()
        request.query_string.encode()
        path.encode()
    except UnicodeEncodeError as error:
        raise MalformedRequestError("Content-Type, path and query must be UTF-8") from error
    headers = {"Content-Type": content_type}
    if caller.idempotency_key:
        headers[IDEMPOTENCY_HEADER] = caller.idempotency_key
    query = f"?{request.query_string}" if request.query_string else ""
    remaining_s = caller.remaining_s(boot_time_s())
    timeout_s = max(MIN_TIMEOUT_S, min(spec.timeout_ms / 1000, remaining_s))
    return ServiceCall(request.method, path + query, caller.request_id, headers, body, timeout_s)


def _response(answer: ServiceAnswer, caller: CheckedCaller) -> web.Response:
    headers = {REQUEST_ID_HEADER: caller.request_id, OUTCOME_HEADER: Outcome.COMPLETED.value}
    if answer.content_type:
        headers["Content-Type"] = encodable(answer.content_type)
    return web.Response(status=answer.status, body=answer.body, headers=headers)
