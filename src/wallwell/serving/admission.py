"""Admits a request: access, its tenant's limit, its service and deadline, before anything is sent. No I/O.

This is the adapter between the node's state and the decisions in ``routing/admission/`` (``access``,
``fleet_limits``): it raises the error that belongs to a denial, and counts the request for the retry budget and
the demand of the fleet. Relies on the state's configuration and on how recently the store confirmed it.
"""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.deployment.routes import TenantAccess
from wallwell.errors import (
    BodyTooLargeError,
    NotReadyError,
    RateLimitedError,
    RequestError,
    StaleConfigurationError,
    UnauthenticatedError,
    UnknownResourceError,
)
from wallwell.node.state import NodeState
from wallwell.routing.admission.access import AccessRequest, Denial, decide_access
from wallwell.routing.admission.fleet_limits import Admitted, OverLimit
from wallwell.routing.retry.attempt_outcome import AttemptLog
from wallwell.routing.retry.retry_after import RefusalCause
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import CallerReply, CallerRequest
from wallwell.serving.retry_after import RetryAfter


class Admission:
    """Asks the decisions about one request at a time."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._retry_after = RetryAfter(state)

    def admit(self, request: CallerRequest, reply: CallerReply) -> ActiveRequest:
        """Find route, tenant and service. Raises :class:`RequestError`."""
        state = self._state
        is_fresh = state.is_fresh(request.arrived_s)
        asked = AccessRequest(request.host, request.path, request.credential, len(request.body))
        access = decide_access(state.config, is_fresh, asked)
        if isinstance(access, Denial):
            raise self._denied(access, request)
        route, tenant = access
        admitted = self._take_of_limit(request, tenant)
        allowance_s = route.timeout_s
        if request.allowance_s is not None:
            allowance_s = min(allowance_s, request.allowance_s)
        service = state.split.choose(route, state.split_offset)
        state.budget_of(service).on_request(boot_time_s())
        if request.generation is not None:
            state.demand.own.add(boot_time_s())
        return ActiveRequest(
            request=request,
            reply=reply,
            route=route,
            tenant=tenant,
            service=service,
            deadline_s=request.arrived_s + allowance_s,
            log=AttemptLog(repeatable=route.repeatable),
            admitted=admitted,
        )

    def _denied(self, denial: Denial, request: CallerRequest) -> RequestError:
        """Return the error of a denial; where newer knowledge may change the answer, with when to retry."""
        detail = denial.value
        match denial:
            case Denial.NO_CONFIGURATION:
                wait_ms = self._retry_after.of_arrival(RefusalCause.NO_CONFIGURATION, request)
                return NotReadyError(detail, retry_after_ms=wait_ms)
            case Denial.STALE_ROUTE | Denial.STALE_CREDENTIAL:
                wait_ms = self._retry_after.of_arrival(RefusalCause.STALE_CONFIGURATION, request)
                return StaleConfigurationError(detail, retry_after_ms=wait_ms)
            case Denial.UNKNOWN_ROUTE:
                return UnknownResourceError(detail)
            case Denial.UNKNOWN_CREDENTIAL:
                return UnauthenticatedError(detail)
            case Denial.BODY_TOO_LARGE:
                return BodyTooLargeError(detail)

    def _take_of_limit(self, request: CallerRequest, tenant: TenantAccess | None) -> Admitted | None:
        """Take a request's tokens of its tenant's limit. Raises :class:`RateLimitedError`."""
        if tenant is None or tenant.limit is None:
            return None
        cost = tenant.limit.request_cost(request.declared_tokens)
        taken = self._state.load.limits.admit(tenant.name, cost, boot_time_s())
        if isinstance(taken, OverLimit):
            detail = f"the limit of {tenant.name} is used up"
            raise RateLimitedError(detail, retry_after_ms=round(taken.wait_s * 1000))
        return taken
