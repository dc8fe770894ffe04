"""Who may ask for what: route, tenant and time allowed of a request, before anything is sent."""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.deployment.routes import Route, TenantAccess
from wallwell.errors import (
    BodyTooLargeError,
    NotReadyError,
    RateLimitedError,
    StaleConfigurationError,
    UnauthenticatedError,
    UnknownResourceError,
)
from wallwell.node.state import NodeState
from wallwell.routing.admission.tenant_limits import Admitted, OverLimit
from wallwell.routing.retry.attempt_outcome import AttemptLog
from wallwell.routing.retry.retry_after import RefusalCause
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import CallerReply, CallerRequest
from wallwell.serving.retry_after import RetryAfter


class Admission:
    """Decides on requests by the configuration in force and how recently it was confirmed."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._retry_after = RetryAfter(state)

    def admit(self, request: CallerRequest, reply: CallerReply) -> ActiveRequest:
        """Find route, tenant and service. Raises :class:`RequestError`."""
        config = self._state.config
        if config is None:
            wait_ms = self._retry_after.of_arrival(RefusalCause.NO_CONFIGURATION, request)
            raise NotReadyError("no configuration yet", retry_after_ms=wait_ms)
        fresh = self._state.is_fresh(request.arrived_s)
        route = config.find_route(request.host, request.path)
        if route is None:
            if not fresh:
                raise self._stale_error(request, "the route may be newer")
            raise UnknownResourceError("no route for this host and path")
        tenant = self._authorise(request, route, fresh)
        self._check_body(request, config.bounds.max_body_bytes)
        admitted = self._take_of_limit(request, tenant)
        allowance_s = route.timeout_s
        if request.allowance_s is not None:
            allowance_s = min(allowance_s, request.allowance_s)
        service = self._state.split.choose(route, self._state.split_offset)
        self._state.budget_of(service).on_request(boot_time_s())
        if request.generation is not None:
            self._state.demand.own.add(boot_time_s())
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

    def _authorise(self, request: CallerRequest, route: Route, fresh: bool) -> TenantAccess | None:
        config = self._state.config
        assert config is not None
        if route.public or not config.tenants:
            return config.tenant_of(request.credential) if request.credential else None
        if not fresh:
            raise self._stale_error(request, "credentials cannot be confirmed")
        tenant = config.tenant_of(request.credential)
        if tenant is None:
            raise UnauthenticatedError("the credential belongs to no tenant")
        return tenant

    def _stale_error(self, request: CallerRequest, detail: str) -> StaleConfigurationError:
        wait_ms = self._retry_after.of_arrival(RefusalCause.STALE_CONFIGURATION, request)
        return StaleConfigurationError(detail, retry_after_ms=wait_ms)

    def _take_of_limit(self, request: CallerRequest, tenant: TenantAccess | None) -> Admitted | None:
        """Take a request's tokens of its tenant's limit. Raises :class:`RateLimitedError`."""
        if tenant is None or tenant.limit is None:
            return None
        cost = tenant.limit.cost(request.declared_tokens)
        taken = self._state.load.limits.admit(tenant.name, cost, boot_time_s())
        if isinstance(taken, OverLimit):
            detail = f"the limit of {tenant.name} is used up"
            raise RateLimitedError(detail, retry_after_ms=round(taken.wait_s * 1000))
        return taken

    def _check_body(self, request: CallerRequest, max_body_bytes: int) -> None:
        if len(request.body) > max_body_bytes:
            raise BodyTooLargeError("body is larger than the limit")
