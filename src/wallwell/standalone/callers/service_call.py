"""Attempts of one service call: choose an instance, send, and send again where that is allowed.

A call that is not repeatable is sent again only when every earlier attempt provably did not run. Owns the choice of
an instance; the decision to retry is :func:`~wallwell.standalone.routing.retry_decision.after_failed_service_call`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from wallwell.clock import boot_time_s
from wallwell.errors import (
    BackendFailedError,
    NoBackendError,
    OutcomeUnknownError,
    RequestError,
    RetriesExhaustedError,
)
from wallwell.events import Event, emit
from wallwell.outcomes import Outcome
from wallwell.routing.admission.request_content import content_digest
from wallwell.routing.retry.attempt_outcome import AttemptLog, TransportEvent
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.standalone.backends.service_client import ServiceAnswer, ServiceCall
from wallwell.standalone.callers.caller import CheckedCaller
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.retry_after import NO_BACKEND_RETRY_AFTER_MS, UNKNOWN_OUTCOME_RETRY_AFTER_MS
from wallwell.standalone.config.schema import ServiceInstance
from wallwell.standalone.routing.retry import CircuitBreaker
from wallwell.standalone.routing.retry_decision import NoRetry, after_failed_service_call

LEAVING_PAUSE_S = 30.0
"""Seconds for which an instance that reported that it is leaving gets no calls."""
COMPARED_INSTANCES = 2
"""Instances drawn at random, of which the one with fewer calls in flight is taken: nodes with the same view then
don't all choose the same one."""


@dataclass
class ServiceCallRun:
    """One call over all its attempts."""

    context: NodeContext
    service: str
    call: ServiceCall
    caller: CheckedCaller
    repeatable: bool
    failed: set[str] = field(default_factory=set)
    """Instances at which an attempt failed."""

    def __post_init__(self) -> None:
        self._log = AttemptLog(self.repeatable)
        # By this digest, requests that crash instances are recognised.
        self._content = content_digest(self.service, self.call.path, self.caller.tenant.name, self.call.body)

    async def send(self) -> ServiceAnswer:
        """Return the first answer. Raises :class:`RequestError`."""
        while True:
            self._refuse_if_quarantined()
            instance = self._choose_instance()
            if instance is None:
                raise self._error("no live instance of the service")
            try:
                answer = await self._attempt(instance)
            except AttemptFailed as failure:
                await self._after_failure(instance, failure)
            else:
                self.context.crashes.on_answered(self._content)
                return answer

    def _refuse_if_quarantined(self) -> None:
        """Refuse what crashes the service's instances: each further attempt would end one more."""
        refusal = self.context.crashes.refusal(self._content)
        if refusal is not None:
            raise refusal if self._log.outcome is Outcome.NOT_RUN else self._error(refusal.detail)

    def _choose_instance(self) -> ServiceInstance | None:
        """Return the one with fewer calls in flight of two random instances; those not tried yet come first."""
        context = self.context
        now_s = boot_time_s()
        leaving = context.node.leaving_addresses()
        live = [
            instance
            for instance in context.config.serving_instances(self.service)
            if instance.address not in leaving
            and now_s >= context.service_paused_until_s.get(instance.name, 0.0)
            and not self._breaker(instance).is_open(now_s)
        ]
        eligible = [instance for instance in live if instance.name not in self.failed] or live
        if not eligible:
            return None
        compared = context.rng.sample(eligible, min(COMPARED_INSTANCES, len(eligible)))
        return min(compared, key=lambda instance: context.service_in_flight.get(instance.name, 0))

    def _breaker(self, instance: ServiceInstance) -> CircuitBreaker:
        return self.context.service_breakers.setdefault(instance.name, CircuitBreaker())

    async def _attempt(self, instance: ServiceInstance) -> ServiceAnswer:
        in_flight = self.context.service_in_flight
        in_flight[instance.name] = in_flight.get(instance.name, 0) + 1
        number = self._log.attempts
        attempt_id = self.call.attempt_id if number == 0 else f"{self.call.attempt_id}.{number}"
        try:
            answer = await self.context.services.call(instance.address, replace(self.call, attempt_id=attempt_id))
        finally:
            in_flight[instance.name] -= 1
        self._breaker(instance).on_success(boot_time_s())
        return answer

    async def _after_failure(self, instance: ServiceInstance, failure: AttemptFailed) -> None:
        """Return when the next attempt may be made; raises the call's error if there is none."""
        context = self.context
        self.failed.add(instance.name)
        await context.crashes.on_failure(self._content, failure.event, instance.name, instance.address)
        now_s = boot_time_s()
        self._learn(instance, failure, now_s)
        permitted = self._log.record(failure.event)
        remaining_s = self.caller.remaining_s(now_s)
        decision = after_failed_service_call(
            self._log.attempts, permitted, remaining_s, context.retry_budget, context.rng
        )
        if isinstance(decision, NoRetry):
            raise self._error(failure.detail or failure.event.value)
        context.metrics.retries.labels("service").inc()
        await asyncio.sleep(decision.delay_s)

    def _learn(self, instance: ServiceInstance, failure: AttemptFailed, now_s: float) -> None:
        """Leave the instance out for a while if it asks for that, if it is leaving, or if it fails repeatedly."""
        event, pauses_until_s = failure.event, self.context.service_paused_until_s
        if failure.backoff_s:
            # Its own figure goes before ours; the longest of several holds.
            known_s = pauses_until_s.get(instance.name, 0.0)
            pauses_until_s[instance.name] = max(known_s, now_s + failure.backoff_s)
            return
        if event is TransportEvent.BACKEND_LEAVING:
            pauses_until_s[instance.name] = now_s + LEAVING_PAUSE_S
            return
        if event is TransportEvent.ERROR_ANSWER:
            return  # It ran and answered: an error of the call, not of the instance.
        if self._breaker(instance).on_failure(now_s, self.context.rng):
            emit(Event.BREAKER_OPENED, engine=instance.name)
        if event is TransportEvent.FOREIGN_ANSWER:
            emit(Event.PROTOCOL_VIOLATION, backend=instance.name)

    def _error(self, detail: str) -> RequestError:
        """Return the error that says what is proved of the attempts."""
        if self._log.outcome is Outcome.UNKNOWN:
            return OutcomeUnknownError(detail, retry_after_ms=UNKNOWN_OUTCOME_RETRY_AFTER_MS)
        if self._log.outcome is Outcome.FAILED:
            return BackendFailedError(detail)
        if self._log.attempts == 0:
            return NoBackendError(detail, retry_after_ms=NO_BACKEND_RETRY_AFTER_MS)
        return RetriesExhaustedError(detail, retry_after_ms=NO_BACKEND_RETRY_AFTER_MS)
