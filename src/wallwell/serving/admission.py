"""Admits a request before it is sent: checks access and the tenant's limit, sets service and deadline. No I/O.

Adapter between the node's state and the decisions in ``routing/admission/`` (``access``, ``fleet_limits``,
``stop_times``): raises the error for a denial, and counts the request for the retry budget and the fleet's
demand. Depends on the node's configuration and on how recently the store confirmed it.
"""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.deployment.tenants import TenantAccess
from wallwell.errors import (
    BodyTooLargeError,
    ConnectionEndedError,
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
from wallwell.routing.admission.stop_times import READ_TOO_LATE, is_read_too_late
from wallwell.routing.retry.attempt_outcome import AttemptLog
from wallwell.routing.retry.retry_after import RefusalCause
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import CallerReply, CallerRequest
from wallwell.serving.retry_after import RetryAfterEstimator


class Admission:
    """Admits or refuses the requests of one node."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._retry_after = RetryAfterEstimator(state)

    def admit(self, request: CallerRequest, reply: CallerReply) -> ActiveRequest:
        """Return the request with its route, tenant, service and deadline. Raises :class:`RequestError`."""
        state = self._state
        if is_read_too_late(state.stop, boot_time_s()):
            raise ConnectionEndedError(READ_TOO_LATE)
        is_fresh = state.is_fresh(request.arrived_s)
        access_request = AccessRequest(request.host, request.path, request.credential, len(request.body))
        access = decide_access(state.config, is_fresh, access_request)
        if isinstance(access, Denial):
            raise self._denial_error(access, request)
        route, tenant = access
        limit_charge = self._charge_tenant_limit(request, tenant)
        effective_timeout_s = route.timeout_s
        if request.caller_timeout_s is not None:
            effective_timeout_s = min(effective_timeout_s, request.caller_timeout_s)
        service = state.split.choose(route, state.split_offset)
        state.retry_budget(service).on_request(boot_time_s())
        if request.generation is not None:
            state.demand.own_generations.add(boot_time_s())
        return ActiveRequest(
            request=request,
            reply=reply,
            route=route,
            tenant=tenant,
            service=service,
            deadline_s=request.arrived_s + effective_timeout_s,
            attempt_log=AttemptLog(repeatable=route.repeatable),
            limit_charge=limit_charge,
        )

    def _denial_error(self, denial: Denial, request: CallerRequest) -> RequestError:
        """Return the error for a denial, with a Retry-After if a newer configuration may change the decision."""
        detail = denial.value
        match denial:
            case Denial.NO_CONFIGURATION:
                wait_ms = self._retry_after.for_unrouted_request_ms(RefusalCause.NO_CONFIGURATION, request)
                return NotReadyError(detail, retry_after_ms=wait_ms)
            case Denial.STALE_ROUTE | Denial.STALE_CREDENTIAL:
                wait_ms = self._retry_after.for_unrouted_request_ms(RefusalCause.STALE_CONFIGURATION, request)
                return StaleConfigurationError(detail, retry_after_ms=wait_ms)
            case Denial.UNKNOWN_ROUTE:
                return UnknownResourceError(detail)
            case Denial.UNKNOWN_CREDENTIAL:
                return UnauthenticatedError(detail)
            case Denial.BODY_TOO_LARGE:
                return BodyTooLargeError(detail)

    def _charge_tenant_limit(self, request: CallerRequest, tenant: TenantAccess | None) -> Admitted | None:
        """Return the charge to the tenant's limit, None without a limit. Raises :class:`RateLimitedError`."""
        if tenant is None or tenant.limit is None:
            return None
        request_cost = tenant.limit.request_cost(request.declared_tokens)
        charge = self._state.load.limits.admit(tenant.name, request_cost, boot_time_s())
        if isinstance(charge, OverLimit):
            detail = f"the limit of {tenant.name} is used up"
            raise RateLimitedError(detail, retry_after_ms=round(charge.wait_s * 1000))
        return charge
