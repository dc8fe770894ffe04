"""Parses a caller's request in the platform's protocol into a :class:`CallerRequest`. No I/O.

aiohttp parses the HTTP message itself. A header with an invalid value is treated as absent, as the platform's
callers expect; only a missing request id is an error.
"""

from __future__ import annotations

import math

from multidict import CIMultiDictProxy

from wallwell.errors import MalformedRequestError
from wallwell.platform import names
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.serving.messages import CallerRequest, Generation

Headers = CIMultiDictProxy[str]


def parse_request(method: str, target: str, headers: Headers, body: bytes, arrived_s: float) -> CallerRequest:
    """Parse a request; ``target`` is its path and query as sent. Raises :class:`MalformedRequestError`."""
    return CallerRequest(
        request_id=require_request_id(headers),
        host=headers.get("Host", "").partition(":")[0].lower(),
        method=method,
        target=target,
        headers=_forwarded_headers(headers),
        body=body,
        credential=headers.get(names.CREDENTIAL, ""),
        caller_timeout_s=_parse_caller_timeout_s(headers.get(names.DEADLINE_MS, "")),
        arrived_s=arrived_s,
        generation=_parse_generation(headers),
        first_request_id=headers.get(names.RESUMES, ""),
        declared_tokens=_parse_declared_tokens(headers.get(names.TOKEN_USAGE, "")),
    )


def require_request_id(headers: Headers) -> str:
    """Return the request's id. Raises :class:`MalformedRequestError` if the header is missing or empty."""
    request_id = headers.get(names.REQUEST_ID, "")
    if not request_id:
        raise MalformedRequestError(f"{names.REQUEST_ID} is required")
    return request_id


def expects_continue(headers: Headers) -> bool:
    """Whether the caller waits for ``100 Continue`` before it sends the body."""
    return headers.get("Expect", "").lower() == "100-continue"


def _parse_declared_tokens(text: str) -> int | None:
    """Return the prompt's tokens plus the maximum output tokens; None unless both are declared."""
    counts = [count.strip() for count in text.split(",")]
    if len(counts) != 2 or not all(count.isdecimal() for count in counts):
        return None
    return sum(int(count) for count in counts)


def _parse_caller_timeout_s(text: str) -> float | None:
    """Return how many seconds the caller waits; None if absent or invalid, so that the route's timeout applies."""
    try:
        value = float(text)
    except ValueError:
        return None  # Absent or not a number; not logged, since it would recur with each request.
    return value / 1000 if math.isfinite(value) and value > 0 else None


def _forwarded_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the caller's end-to-end headers without those that only the router may set."""
    connection_headers = {
        name.strip().lower() for value in headers.getall("Connection", ()) for name in value.split(",")
    }
    dropped = names.HOP_BY_HOP_HEADERS | names.RESERVED_HEADERS | (connection_headers - names.END_TO_END_HEADERS)
    return tuple((name, value) for name, value in headers.items() if name.lower() not in dropped)


def _parse_generation(headers: Headers) -> Generation | None:
    model = headers.get(names.MODEL)
    if not model:
        return None
    resume_after = headers.get(names.RESUME_AFTER, "")
    parts = tuple(_parse_prompt_part(text) for text in headers.get(names.PROMPT_PARTS, "").split(",") if text)
    return Generation(model, parts, int(resume_after) if resume_after.isdigit() else None)


def _parse_prompt_part(text: str) -> PromptPart:
    """Parse a prompt part from ``ID:TOKENS``; the token count is 0 if it is missing or invalid."""
    identity, _, tokens = text.strip().partition(":")
    return PromptPart(identity, int(tokens) if tokens.isdigit() else 0)
