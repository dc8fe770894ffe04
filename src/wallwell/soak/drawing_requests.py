"""Draws the requests of a run: those of any run, and those that a shape asks for besides.

Each function draws from a generator of its own, given by :mod:`wallwell.soak.drawing`; kept runs depend on the
order of the draws.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from wallwell.soak.drawing_faults import FIRST_FAULT_S
from wallwell.soak.history import RequestKind
from wallwell.soak.schedule import (
    KEY_WEIGHTS,
    RECOVERY_S,
    SHOWN_RECOVERED_S,
    PlannedRequest,
    Shape,
)

KIND_WEIGHTS = {
    RequestKind.SAFE: 2.0,
    RequestKind.UNSAFE: 3.0,
    RequestKind.STREAM: 3.0,
    RequestKind.RESUMABLE: 2.0,
}
LEAVE_FRACTION = 0.08
"""Fraction of the callers that leave before the end."""
LEAVE_AFTER_S = (0.02, 0.4)
"""Seconds after which they leave: before the first event, or in the middle of a stream."""
DEADLINE_S = (1.0, 4.0)
"""Seconds that callers wait; the longest is the routes' own time-out."""
STREAM_EVENTS = (3, 120)
"""Events of a stream: up to 1.8 s at a worker."""
PROMPT_TOKENS = (50, 1500)
"""Tokens of a prompt's own part."""
SHARED_PARTS = 6
"""Parts of prompts that requests share."""
SHARED_PART_TOKENS = 400
"""Tokens of each of them."""
LONG_STREAMS_PER_S = 8.0
"""Long streams a second, besides the other requests."""
SILENCED_STREAMS_PER_S = 4.0
"""The same where groups of workers fall silent: the other streams mostly end at their callers' deadlines then."""
CRASHING_FROM_S = (1.0, 3.0)
"""Seconds after which a caller first sends a request that crashes workers."""
BAD_PART_TOKENS = 200
"""Tokens of a part that crashes workers."""
BAD_PART_PERIOD_S = (0.15, 0.6)
"""Mean time between two requests with a part that crashes workers; one is drawn for each part."""
SKEW_LASTS_S = 6.0
"""Seconds for which most requests go to one node: the time of contact, and as much again."""
SKEW_FRACTION = 0.85
"""Fraction of the requests of that time that do."""
SKEW_MORE_PER_S = 40.0
"""Requests a second to that node besides."""
CRASHING_PERIOD_S = (0.2, 1.0)
"""Time between two sendings of a request that crashes workers; one is drawn for each of its callers."""


def draw_long_streams(
    generator: random.Random, seed: int, shape: Shape, per_s: float = LONG_STREAMS_PER_S
) -> list[PlannedRequest]:
    """Return long streams that may be resumed."""
    requests: list[PlannedRequest] = []
    at_s = 0.0
    while at_s < shape.length_s:
        drawn = _draw_request(generator, f"{seed}-long-{len(requests)}", at_s, shape)
        tokens = drawn.prompt_tokens or SHARED_PART_TOKENS
        requests.append(
            msgspec.structs.replace(
                drawn,
                kind=RequestKind.RESUMABLE,
                key="key-a",
                deadline_s=DEADLINE_S[1],
                events=STREAM_EVENTS[1],
                prompt_parts=drawn.prompt_parts or f"5a00:{SHARED_PART_TOKENS}",
                prompt_tokens=tokens,
                leaves_after_s=0.0,
            )
        )
        at_s += generator.expovariate(per_s)
    return requests


def draw_requests(generator: random.Random, seed: int, shape: Shape) -> list[PlannedRequest]:
    """Return the requests of any run."""
    requests: list[PlannedRequest] = []
    at_s = 0.0
    while at_s < shape.length_s:
        requests.append(_draw_request(generator, f"{seed}-{len(requests)}", at_s, shape))
        at_s += generator.expovariate(shape.requests_per_s)
    return requests


def draw_crashing(generator: random.Random, content: str, shape: Shape) -> list[PlannedRequest]:
    """Return the sendings of one request by one caller, at any node."""
    first = _draw_request(generator, content, generator.uniform(*CRASHING_FROM_S), shape)
    first = msgspec.structs.replace(first, key="key-a", leaves_after_s=0.0, content=content)
    period_s = generator.uniform(*CRASHING_PERIOD_S)
    sendings: list[PlannedRequest] = []
    at_s = first.at_s
    while at_s < shape.seconds:
        request = f"{content}-{len(sendings)}"
        node = generator.randrange(shape.nodes)
        sendings.append(msgspec.structs.replace(first, at_s=round(at_s, 3), request=request, node=node))
        at_s += generator.expovariate(1 / period_s)
    return sendings


def draw_bad_part(generator: random.Random, part: str, shape: Shape) -> list[PlannedRequest]:
    """Return requests that have one part in common, besides those that they share with sound ones, at any node."""
    requests: list[PlannedRequest] = []
    at_s = generator.uniform(*CRASHING_FROM_S)
    period_s = generator.uniform(*BAD_PART_PERIOD_S)
    while at_s < shape.seconds:
        drawn = _draw_request(generator, f"{part}-{len(requests)}", at_s, shape)
        if drawn.kind.is_stream:
            shared, _, own = drawn.prompt_parts.partition(",")
            parts = f"{shared},{part}:{BAD_PART_TOKENS},{own}"
            tokens = drawn.prompt_tokens + BAD_PART_TOKENS
            requests.append(
                msgspec.structs.replace(
                    drawn, prompt_parts=parts, prompt_tokens=tokens, bad_part=part, leaves_after_s=0.0
                )
            )
        at_s += generator.expovariate(1 / period_s)
    return requests


def draw_skew(
    generator: random.Random, seed: int, shape: Shape, requests: Sequence[PlannedRequest]
) -> list[PlannedRequest]:
    """Return the requests, most of those in some seconds moved to one node, and more there besides."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - SKEW_LASTS_S
    from_s = generator.uniform(FIRST_FAULT_S, max(FIRST_FAULT_S, latest_s))
    until_s = from_s + SKEW_LASTS_S
    node = generator.randrange(shape.nodes)
    skewed: list[PlannedRequest] = []
    for request in requests:
        if from_s <= request.at_s < until_s and generator.random() < SKEW_FRACTION:
            request = msgspec.structs.replace(request, node=node, skewed=True)
        skewed.append(request)
    at_s = from_s
    while at_s < until_s:
        more = _draw_request(generator, f"{seed}-skew-{len(skewed)}", at_s, shape)
        skewed.append(msgspec.structs.replace(more, node=node, skewed=True))
        at_s += generator.expovariate(SKEW_MORE_PER_S)
    return skewed


def _draw_request(generator: random.Random, request: str, at_s: float, shape: Shape) -> PlannedRequest:
    kind = generator.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
    leaves_after_s = generator.uniform(*LEAVE_AFTER_S) if generator.random() < LEAVE_FRACTION else 0.0
    shared = generator.randrange(SHARED_PARTS)
    tokens = generator.randint(*PROMPT_TOKENS)
    events = generator.randint(*STREAM_EVENTS)
    return PlannedRequest(
        at_s=round(at_s, 3),
        request=request,
        kind=kind,
        node=generator.randrange(shape.nodes),
        key=generator.choices(list(KEY_WEIGHTS), list(KEY_WEIGHTS.values()))[0],
        deadline_s=round(generator.uniform(*DEADLINE_S), 2),
        events=events if kind.is_stream else 0,
        prompt_parts=f"5a{shared:02x}:{SHARED_PART_TOKENS},{generator.getrandbits(32):08x}:{tokens}"
        if kind.is_stream
        else "",
        prompt_tokens=SHARED_PART_TOKENS + tokens if kind.is_stream else 0,
        leaves_after_s=round(leaves_after_s, 3),
    )
