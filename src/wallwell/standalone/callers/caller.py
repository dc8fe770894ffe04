"""What every caller's request passes first, and the typed error that refuses it.

Checks credential, priority, deadline, request id and idempotency key; holds the tenant's rate and concurrency while
a request is in flight. Owns the names of the interface's headers. Relies on the configuration in force and on this
node's share of the tenants' limits.
"""

from __future__ import annotations

import hashlib
import re
import secrets
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec
from aiohttp import web

from wallwell import callers_server
from wallwell.clock import boot_time_s, time_limit
from wallwell.errors import (
    BodyTooLargeError,
    ForbiddenError,
    MalformedRequestError,
    NotReadyError,
    RateLimitedError,
    RequestError,
    UnauthenticatedError,
    UnknownResourceError,
)
from wallwell.outcomes import Outcome
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.retry_after import NO_BACKEND_RETRY_AFTER_MS, STOPPING_RETRY_AFTER_MS
from wallwell.standalone.cluster.limits import TenantRateLimit
from wallwell.standalone.config.compiled import Tenant
from wallwell.standalone.config.schema import PrioritySpec

REQUEST_ID_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
DEADLINE_HEADER = "X-Deadline-Ms"
OUTCOME_HEADER = "X-Outcome"
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_DEADLINE_MS = 24 * 3600 * 1000
"""Longest deadline that a caller may ask for, in milliseconds: a day. It refuses a deadline that was given in
another unit."""
DEFAULT_PRIORITY = PrioritySpec(rank=8)
"""Priority of a tenant that declares none: its rank is in the middle of 0 to 15."""
_REQUEST_ID_BYTES = 12
"""Random bytes of an id that the router gives: two of a billion requests share one with a chance under 10**-10."""
_DEADLINE = re.compile(r"[0-9]{1,10}")
"""Digits of a deadline: more than the largest allowed one has, and few enough to be parsed."""
MAX_NAME_IN_ERROR = 64
"""Characters of an unknown name that an error contains, so that an answer doesn't grow with the request."""
_REQUEST_ID = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
_IDEMPOTENCY_KEY = re.compile(r"^[\x21-\x7e]{1,255}$")


class CallerErrorBody(msgspec.Struct, frozen=True):
    """Body of every error answered to a caller."""

    code: str
    error: str
    message: str
    outcome: Outcome
    retry_after_ms: int
    request_id: str


@dataclass(frozen=True)
class CheckedCaller:
    """A caller's request after its headers were checked. ``deadline_s`` is on this node's clock."""

    request_id: str
    tenant: Tenant
    priority_name: str
    priority: PrioritySpec
    deadline_s: float
    idempotency_key: str
    started_s: float

    def remaining_s(self, now_s: float) -> float:
        """Time left until the deadline."""
        return self.deadline_s - now_s


def given_request_id(request: web.BaseRequest) -> str:
    """Return the caller's request id, empty if it gave none or one that is not allowed."""
    given = request.headers.get(REQUEST_ID_HEADER, "")
    return given if _REQUEST_ID.fullmatch(given) else ""


def request_id_or_new(request: web.Request) -> str:
    """Return the caller's request id, or a new one if it gave none. Raises :class:`MalformedRequestError`."""
    given = request.headers.get(REQUEST_ID_HEADER)
    if given is None:
        return secrets.token_hex(_REQUEST_ID_BYTES)
    if not _REQUEST_ID.match(given):
        raise MalformedRequestError(f"{REQUEST_ID_HEADER} must match {_REQUEST_ID.pattern}")
    return given


def check_caller(context: NodeContext, request: web.Request, request_id: str) -> CheckedCaller:
    """Authenticate and read the headers. Raises :class:`RequestError` types."""
    if not context.ready:
        raise NotReadyError("no configuration yet", retry_after_ms=NO_BACKEND_RETRY_AFTER_MS)
    _refuse_if_stopping(context)  # Before a long body comes.
    tenant = _authenticate(context, request)
    name, priority = _priority(context, request, tenant)
    now_s = boot_time_s()
    deadline_ms = _deadline_ms(request, priority.deadline_ms)
    key = request.headers.get(IDEMPOTENCY_HEADER, "")
    if key and not _IDEMPOTENCY_KEY.match(key):
        raise MalformedRequestError(f"{IDEMPOTENCY_HEADER} must be 1 to 255 printable characters")
    return CheckedCaller(request_id, tenant, name, priority, now_s + deadline_ms / 1000, key, now_s)


def _refuse_if_stopping(context: NodeContext) -> None:
    if context.refusing:
        raise NotReadyError("this router is stopping", retry_after_ms=STOPPING_RETRY_AFTER_MS)


def _authenticate(context: NodeContext, request: web.Request) -> Tenant:
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise UnauthenticatedError("a bearer token is required")
    # Looking up a SHA-256 gives no timing signal about other tokens.
    digest = hashlib.sha256(token.strip().encode(errors="surrogateescape")).hexdigest()
    tenant = context.config.tenant_by_token.get(digest)
    if tenant is None:
        raise UnauthenticatedError("the credential belongs to no tenant")
    return tenant


def _priority(context: NodeContext, request: web.Request, tenant: Tenant) -> tuple[str, PrioritySpec]:
    name = request.headers.get(PRIORITY_HEADER) or tenant.spec.default_priority
    if name is None:
        return "default", DEFAULT_PRIORITY
    found = context.config.priorities.get(name)
    if found is None:
        raise UnknownResourceError(f"no priority named `{name[:MAX_NAME_IN_ERROR]}`")
    if name not in tenant.spec.priorities:
        raise ForbiddenError(f"the tenant may not use priority `{name}`")
    return name, found


def _deadline_ms(request: web.Request, default_ms: int) -> int:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return default_ms
    if not _DEADLINE.fullmatch(text) or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise MalformedRequestError(f"{DEADLINE_HEADER} must be a number of milliseconds up to {MAX_DEADLINE_MS}")
    return int(text)


@contextmanager
def admitted(context: NodeContext, caller: CheckedCaller) -> Iterator[None]:
    """Hold the tenant's concurrency for the block. Raises :class:`RateLimitedError`, and :class:`NotReadyError` if
    the router began to refuse requests while the body came."""
    _refuse_if_stopping(context)
    spec = caller.tenant.spec
    limit = TenantRateLimit(spec.requests_per_s, spec.burst, spec.concurrency)
    retry_s = context.node.limits.admit(caller.tenant.name, limit, boot_time_s())
    if retry_s is not None:
        raise RateLimitedError("the tenant's limit is used up", retry_after_ms=max(1, round(retry_s * 1000)))
    context.in_flight += 1
    context.metrics.in_flight.set(context.in_flight)
    try:
        yield
    finally:
        context.in_flight -= 1
        context.metrics.in_flight.set(context.in_flight)
        context.node.limits.finish(caller.tenant.name)


async def read_body(context: NodeContext, request: web.Request) -> bytes:
    """Read the whole body. Raises :class:`BodyTooLargeError` or :class:`MalformedRequestError`, and
    :class:`ConnectionEndedError` if the body is not complete as a stop closes connections."""
    timeout_s = context.settings.limits.request_read_timeout_s
    try:
        async with time_limit(timeout_s):
            return await callers_server.read_body(request)
    except web.HTTPRequestEntityTooLarge as error:
        raise BodyTooLargeError("body is larger than the limit") from error
    except TimeoutError as error:
        raise MalformedRequestError(f"the body did not arrive within {timeout_s} s") from error


def error_body(error: RequestError, request_id: str) -> bytes:
    """Return the typed JSON of an error. Bytes in it that a caller has sent and that are no UTF-8 are replaced."""
    body = CallerErrorBody(
        code=error.code,
        error=type(error).__name__,
        message=encodable(error.detail),
        outcome=error.outcome,
        retry_after_ms=error.retry_after_ms,
        request_id=encodable(request_id),
    )
    return msgspec.json.encode(body)


def encodable(text: str) -> str:
    """Return a text in which what is no UTF-8 is replaced."""
    return text.encode(errors="replace").decode()


def error_response(error: RequestError, request_id: str) -> web.Response:
    """Return the typed error answer."""
    headers = {REQUEST_ID_HEADER: request_id, OUTCOME_HEADER: error.outcome.value}
    if error.retry_after_ms:
        headers["Retry-After"] = str(max(1, -(-error.retry_after_ms // 1000)))
    return web.Response(
        status=error.http_status,
        body=error_body(error, request_id),
        content_type="application/json",
        headers=headers,
    )
