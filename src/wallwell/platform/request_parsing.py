"""Parses a caller's request in the platform's protocol into a :class:`CallerRequest`. No I/O.

aiohttp parses the HTTP message itself. A header with an invalid value is treated as absent, as the platform's
callers expect; only a missing request id is an error. A number is invalid if it is not written in ASCII digits, and
if no run could have as many tokens or as much time.
"""

from __future__ import annotations

from multidict import CIMultiDictProxy

from wallwell.answer_head import parse_header_decimal, parse_header_number
from wallwell.errors import MalformedRequestError
from wallwell.platform import names
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.serving.messages import CallerRequest, Generation

Headers = CIMultiDictProxy[str]

MAX_TOKENS = 10_000_000
"""Most tokens that the headers of one request can state together: a hundred times what one engine holds, and still
small enough for the sums of many requests."""
MAX_CALLER_TIMEOUT_S = 24 * 3600.0
"""Longest time in seconds that a caller can state, far above that of any route, which applies if it is shorter."""


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
    prompt, _, output = text.partition(",")
    prompt_tokens, output_tokens = _parse_declared_count(prompt.strip()), _parse_declared_count(output.strip())
    if prompt_tokens is None or output_tokens is None:
        return None
    return min(MAX_TOKENS, prompt_tokens + output_tokens)


def _parse_declared_count(text: str) -> int | None:
    """Parse one declared count, ``MAX_TOKENS`` for a larger one: it is charged to its tenant's limit, so that one
    which cannot be meant must not count as none."""
    if not (text.isascii() and text.isdecimal()):
        return None
    count = parse_header_number(text.lstrip("0") or "0")
    return MAX_TOKENS if count is None else min(MAX_TOKENS, count)


def _parse_caller_timeout_s(text: str) -> float | None:
    """Return how many seconds the caller waits; None if absent or invalid, so that the route's timeout applies."""
    timeout_ms = parse_header_decimal(text)
    if timeout_ms is None:
        return None  # Absent or not a number; not logged, since it would recur with each request.
    timeout_s = timeout_ms / 1000
    return timeout_s if 0 < timeout_s <= MAX_CALLER_TIMEOUT_S else None


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
    resume_after = parse_header_number(headers.get(names.RESUME_AFTER, ""))
    return Generation(_escaped(model), _parse_prompt_parts(headers.get(names.PROMPT_PARTS, "")), resume_after)


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Parse prompt parts; all token counts are 0 if they are too large together."""
    parts = tuple(_parse_prompt_part(part) for part in text.split(",") if part)
    if sum(part.tokens for part in parts) > MAX_TOKENS:
        return tuple(PromptPart(part.identity, 0) for part in parts)
    return parts


def _parse_prompt_part(text: str) -> PromptPart:
    """Parse a prompt part from ``ID:TOKENS``; the token count is 0 if it is missing or invalid."""
    identity, _, tokens = text.strip().partition(":")
    return PromptPart(_escaped(identity), parse_header_number(tokens) or 0)


def _escaped(name: str) -> str:
    """Return a name with escapes for bytes that are not UTF-8, which were decoded to surrogates: names are hashed,
    logged and sent to other nodes."""
    return name.encode("utf-8", "surrogateescape").decode("utf-8", "backslashreplace")
