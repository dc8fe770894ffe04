"""Calls of order and booking services: at most once where they may not be repeated."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from collections.abc import Awaitable, Callable
from functools import partial

from aiohttp import web

from wallwell.clock import boot_time_s
from wallwell.errors import (
    BackendFailedError,
    DeadlineUnreachableError,
    ForbiddenError,
    NoBackendError,
    OutcomeUnknownError,
    RequestError,
    RetriesExhaustedError,
    UnknownResourceError,
)
from wallwell.events import Event, emit
from wallwell.outcomes import Outcome
from wallwell.routing.admission.request_content import content_digest
from wallwell.routing.retry.attempt_outcome import AttemptLog, TransportEvent
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.standalone.backends.service_client import ServiceAnswer, ServiceCall
from wallwell.standalone.callers.caller import (
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    CheckedCaller,
    admitted,
    read_body,
)
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.cluster.claims import Claim, ClaimResult
from wallwell.standalone.config.schema import ServiceInstance, ServiceSpec
from wallwell.standalone.routing.retry import CircuitBreaker, full_jitter_delay_s

MAX_ATTEMPTS = 4
"""Attempts of one repeatable call. Chosen, not measured: one more than the instances of the example services."""
LEAVING_PAUSE_S = 30.0
"""How long an instance that said it is leaving gets nothing."""
MIN_TIMEOUT_S = 0.05
"""Least time a call gets when its deadline is near, so that it can succeed at all."""
SETTLE_TRIES = 60
"""Looks for the recorded answer of a key that another node is running: about a minute with pauses of up to 1 s."""
SETTLE_FIRST_STEP = 4
"""Step of the backoff at which these looks begin (up to 0.32 s): the other run has only just begun."""


class ServiceHandler:
    """Handles ``/{service}/{path}``."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    async def handle(self, request: web.Request, caller: CheckedCaller) -> web.Response:
        """Answer one call. Raises :class:`RequestError`."""
        name = request.match_info["service"]
        path = request.match_info["path"]
        spec = self._context.config.services.get(name)
        if spec is None:
            raise UnknownResourceError(f"no service named `{name[:64]}`")
        if name not in caller.tenant.spec.services:
            raise ForbiddenError(f"the tenant may not use service `{name}`")
        body = await read_body(self._context, request)
        repeatable = self._context.config.is_repeatable(name, request.method, "/" + path)
        call = self._call(request, caller, path, body, spec)
        with admitted(self._context, caller):
            self._context.retry_budget.on_request()
            # A caller who goes away must not leave a claim open or an answer unrecorded.
            work = self._context.spawn(self._run(name, call, caller, repeatable))
            try:
                answer = await asyncio.shield(work)
            except RequestError as error:
                self._count(caller, error.outcome)
                raise
        self._count(caller, Outcome.COMPLETED)
        return _response(answer, caller)

    def _call(
        self, request: web.Request, caller: CheckedCaller, path: str, body: bytes, spec: ServiceSpec
    ) -> ServiceCall:
        headers = {"Content-Type": request.headers.get("Content-Type", "application/octet-stream")}
        if caller.idempotency_key:
            headers[IDEMPOTENCY_HEADER] = caller.idempotency_key
        query = f"?{request.query_string}" if request.query_string else ""
        remaining_s = caller.remaining_s(boot_time_s())
        timeout_s = max(MIN_TIMEOUT_S, min(spec.timeout_ms / 1000, remaining_s))
        return ServiceCall(request.method, path + query, caller.request_id, headers, body, timeout_s)

    async def _run(self, service: str, call: ServiceCall, caller: CheckedCaller, repeatable: bool) -> ServiceAnswer:
        if repeatable or not caller.idempotency_key:
            return await self._send(service, call, caller, repeatable)
        return await self._send_claimed(service, call, caller)

    async def _send_claimed(self, service: str, call: ServiceCall, caller: CheckedCaller) -> ServiceAnswer:
        """Send under a claim, so that the key runs at most once whichever router it arrives at."""
        claims = self._context.claims
        key = f"{service}/{caller.idempotency_key}"
        claim_id = secrets.token_hex(12)
        claim = await claims.claim(caller.tenant.name, key, _digest(service, call), claim_id)
        if claim.result is ClaimResult.RECORDED:
            return ServiceAnswer(claim.status, claim.body.encode(), "application/json")
        if claim.result is ClaimResult.OPEN_ELSEWHERE:
            raise OutcomeUnknownError("an earlier call with this key has not ended", retry_after_ms=1000)
        try:
            if caller.remaining_s(boot_time_s()) <= 0:
                raise DeadlineUnreachableError("the deadline passed while the claim was recorded")
            answer = await self._send(service, call, caller, repeatable=False)
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN:
                await self._settle(claim, partial(claims.release, claim))
            elif error.outcome is Outcome.FAILED:
                await self._settle(claim, partial(claims.record, claim, error.http_status, error.detail))
            raise
        body = answer.body.decode(errors="replace")
        await self._settle(claim, partial(claims.record, claim, answer.status, body))
        return answer

    async def _settle(self, claim: Claim, settle: Callable[[], Awaitable[bool]]) -> None:
        """Settle a claim; if the table service does not confirm, go on in the background.

        The caller's answer does not wait: a claim left open only makes a resend ``unknown``, never a second run.
        """
        if not await settle():
            self._context.spawn(self._settle_later(claim, settle))

    async def _settle_later(self, claim: Claim, settle: Callable[[], Awaitable[bool]]) -> None:
        for attempt in range(SETTLE_TRIES):
            await asyncio.sleep(full_jitter_delay_s(attempt + SETTLE_FIRST_STEP, self._context.rng))
            if await settle():
                return
        emit(Event.CLAIM_ABANDONED, claim_id=claim.claim_id)

    # --- attempts --------------------------------------------------------------------------------------

    async def _send(
        self, service: str, call: ServiceCall, caller: CheckedCaller, repeatable: bool
    ) -> ServiceAnswer:
        log = AttemptLog(repeatable)
        failed: set[str] = set()
        content = content_digest(service, call.path, caller.tenant.name, call.body)
        while True:
            self._refuse_if_quarantined(content, log)
            instance = self._choose(service, failed)
            if instance is None:
                raise self._error(log, "no live instance of the service")
            try:
                answer = await self._attempt(instance, call, log.attempts)
                self._context.crashes.on_answered(content)
                return answer
            except AttemptFailed as failure:
                failed.add(instance.name)
                await self._context.crashes.on_failure(content, failure.event, instance.name, instance.address)
                await self._after_failure(instance, failure, log, caller)

    def _refuse_if_quarantined(self, content: str, log: AttemptLog) -> None:
        """Refuse what crashes the service's instances: each further attempt would end one more."""
        refusal = self._context.crashes.refusal(content)
        if refusal is not None:
            raise refusal if log.outcome is Outcome.NOT_RUN else self._error(log, refusal.detail)

    def _choose(self, service: str, failed: set[str]) -> ServiceInstance | None:
        """Least requests in flight of two random instances; instances not tried yet come first."""
        context = self._context
        now_s = boot_time_s()
        leaving = context.node.leaving_addresses()
        live = [
            instance
            for instance in context.config.serving_instances(service)
            if instance.address not in leaving
            and now_s >= context.service_paused_until_s.get(instance.name, 0.0)
            and not self._breaker(instance.name).is_open(now_s)
        ]
        fresh = [instance for instance in live if instance.name not in failed] or live
        if not fresh:
            return None
        pair = context.rng.sample(fresh, min(2, len(fresh)))
        return min(pair, key=lambda instance: context.service_in_flight.get(instance.name, 0))

    def _breaker(self, instance: str) -> CircuitBreaker:
        return self._context.service_breakers.setdefault(instance, CircuitBreaker())

    async def _attempt(self, instance: ServiceInstance, call: ServiceCall, number: int) -> ServiceAnswer:
        context = self._context
        in_flight = context.service_in_flight
        in_flight[instance.name] = in_flight.get(instance.name, 0) + 1
        attempt_id = call.attempt_id if number == 0 else f"{call.attempt_id}.{number}"
        attempt = ServiceCall(call.method, call.path, attempt_id, call.headers, call.body, call.timeout_s)
        try:
            answer = await context.services.call(instance.address, attempt)
        finally:
            in_flight[instance.name] -= 1
        self._breaker(instance.name).on_success(boot_time_s())
        return answer

    async def _after_failure(
        self, instance: ServiceInstance, failure: AttemptFailed, log: AttemptLog, caller: CheckedCaller
    ) -> None:
        context = self._context
        now_s = boot_time_s()
        if failure.event is TransportEvent.BACKEND_LEAVING:
            context.service_paused_until_s[instance.name] = now_s + LEAVING_PAUSE_S
        elif failure.event is not TransportEvent.ERROR_ANSWER:
            if self._breaker(instance.name).on_failure(now_s, context.rng):
                emit(Event.BREAKER_OPENED, engine=instance.name)
            if failure.event is TransportEvent.FOREIGN_ANSWER:
                emit(Event.PROTOCOL_VIOLATION, backend=instance.name)
        may_retry = log.record(failure.event)
        delay_s = full_jitter_delay_s(log.attempts, context.rng)
        in_time = caller.remaining_s(now_s) > delay_s
        if not may_retry or log.attempts >= MAX_ATTEMPTS or not in_time or not context.retry_budget.try_retry():
            raise self._error(log, failure.detail or failure.event.value)
        context.metrics.retries.labels("service").inc()
        await asyncio.sleep(delay_s)

    def _error(self, log: AttemptLog, detail: str) -> RequestError:
        if log.outcome is Outcome.UNKNOWN:
            return OutcomeUnknownError(detail, retry_after_ms=1000)
        if log.outcome is Outcome.FAILED:
            return BackendFailedError(detail)
        if log.attempts == 0:
            return NoBackendError(detail, retry_after_ms=500)
        return RetriesExhaustedError(detail, retry_after_ms=500)

    def _count(self, caller: CheckedCaller, outcome: Outcome) -> None:
        self._context.metrics.requests.labels("service", caller.priority_name, outcome.value).inc()


def _digest(service: str, call: ServiceCall) -> str:
    text = f"{service}\n{call.method}\n{call.path}\n".encode() + call.body
    return hashlib.sha256(text).hexdigest()


def _response(answer: ServiceAnswer, caller: CheckedCaller) -> web.Response:
    headers = {REQUEST_ID_HEADER: caller.request_id, OUTCOME_HEADER: Outcome.COMPLETED.value}
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    return web.Response(status=answer.status, body=answer.body, headers=headers)
