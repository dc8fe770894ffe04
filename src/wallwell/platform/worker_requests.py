"""Encodes requests to workers and interprets the heads of their answers. No I/O.

Decides only what an answer proves under the platform's protocol; ``routing/retry`` decides whether to retry, from
the :class:`TransportEvent` that is determined here.
"""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus

from aiohttp.http_parser import RawResponseMessage

from wallwell.answer_head import parse_header_number
from wallwell.platform import names
from wallwell.routing.health.backoff import MAX_LOGGED_CHARS
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.messages import AnswerHead, AttemptError, CachePlan, CallerRequest, Dispatch

MAX_PRIORITY = 9
"""Lowest priority in the platform's protocol, whose range is 0 (first) to 9."""
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
"""Methods whose requests have a ``Content-Length`` even if the body is empty."""
MIN_DEADLINE_MS = 1
"""Smallest deadline that is sent, also if no time remains: a worker could read 0 as no deadline."""
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Statuses that tell a caller that its request did not run. From a worker they prove this only together with the
``names.NOT_RUN`` header; without it, such an answer must not be forwarded."""


def encode_request(dispatch: Dispatch) -> bytes:
    """Return the complete HTTP request of an attempt, as sent to the worker."""
    request = dispatch.request
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    lines.extend(f"{name}: {value}" for name, value in _router_headers(dispatch))
    if request.body or request.method in METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(request.body)}")
    # Header bytes of the caller that are not UTF-8 were decoded to surrogates; this restores the original bytes.
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + b"\r\n\r\n" + request.body


def _router_headers(dispatch: Dispatch) -> Iterator[tuple[str, object]]:
    request = dispatch.request
    yield names.REQUEST_ID, request.request_id
    yield names.DEADLINE_MS, max(MIN_DEADLINE_MS, int(dispatch.remaining_s * 1000))
    yield names.EXPECT_INSTANCE, dispatch.backend.incarnation
    if dispatch.tenant:
        yield names.TENANT, dispatch.tenant
    if request.generation is not None:
        yield names.PRIORITY, min(MAX_PRIORITY, max(0, dispatch.rank))
    if dispatch.expected_version:
        yield names.EXPECT_VERSION, dispatch.expected_version
    if dispatch.resume_after is not None:
        yield names.RESUME_AFTER, dispatch.resume_after
    if dispatch.cache is not None:
        yield from _cache_headers(dispatch.cache)


def _cache_headers(cache: CachePlan) -> Iterator[tuple[str, object]]:
    yield names.CACHE_SALT, cache.scope
    if cache.fetch_from is not None:
        yield names.KV_FETCH, str(cache.fetch_from)
    if cache.save_to is not None:
        yield names.KV_SAVE, str(cache.save_to)


def has_answer_body(request: CallerRequest) -> bool:
    """Whether the answer to this request has a body; the answer to HEAD has none."""
    return request.method != "HEAD"


def parse_answer_head(message: RawResponseMessage) -> AnswerHead:
    """Return the head of a worker's answer, without hop-by-hop headers and the instance id."""
    headers = tuple(
        (name, value)
        for name, value in message.headers.items()
        if name.lower() not in names.HOP_BY_HOP_HEADERS and name.lower() != names.INSTANCE_ID.lower()
    )
    version = message.headers.get(names.WEIGHT_VERSION, "")
    content_type = message.headers.get("Content-Type", "")
    return AnswerHead(
        status=message.code,
        headers=headers,
        weights_version=parse_header_number(version) or 0,
        is_event_stream=content_type.startswith(names.EVENT_STREAM),
    )


def attempt_failure(message: RawResponseMessage, head: AnswerHead) -> AttemptError | None:
    """Return how the attempt failed; None if the message is the worker's answer to the request.

    Errors of the worker itself, such as 500 or 504, count as its answer and are forwarded.
    """
    if message.code == HTTPStatus.MISDIRECTED_REQUEST:
        return AttemptError(TransportEvent.PRECONDITION_REFUSED, str(message.code), head.weights_version)
    if names.NOT_RUN in message.headers:
        return AttemptError(TransportEvent.BACKEND_OVERLOADED, _status_text(message))
    if message.code in NOT_RUN_STATUSES:
        return AttemptError(TransportEvent.CANCEL_UNACKNOWLEDGED, f"{message.code} without proof")
    if "Content-Encoding" in message.headers:
        return AttemptError(TransportEvent.FOREIGN_ANSWER, "encoded body")
    if head.ok and names.SEAL not in message.headers:
        return AttemptError(TransportEvent.FOREIGN_ANSWER, "no seal")
    return None


def _status_text(message: RawResponseMessage) -> str:
    """Return the status for the log, with the worker's ``Retry-After`` value, truncated."""
    backoff = message.headers.get(names.RETRY_AFTER)
    if backoff is None:
        return str(message.code)
    # Escaped, since the text goes into logs and messages to other nodes, which are UTF-8.
    shown = backoff[:MAX_LOGGED_CHARS].encode("ascii", "backslashreplace").decode()
    return f"{message.code} retry after {shown}"
