"""The requests of callers that keep their connections. Pure: the same caller and number give the same request.

How many a caller sends depends on the routers, so they are drawn one by one and not with the schedule.
"""

from __future__ import annotations

import random

from wallwell.soak.history import RequestKind
from wallwell.soak.schedule import KEPT_ROUTE_TIMEOUT_S, KeptCaller, PlannedRequest

KIND_WEIGHTS = {
    RequestKind.SAFE: 1.0,
    RequestKind.UNSAFE: 1.0,
    RequestKind.STREAM: 4.0,
    RequestKind.RESUMABLE: 4.0,
}
STREAM_S = (0.2, 7.0)
"""Seconds of a stream: up to most of the grace time."""
SHORT_STREAM_S = (0.2, 1.5)
"""The same of short ones."""
SHORT_FRACTION = 0.3
"""Fraction of the streams that are short, so that some end at any moment of a stop."""
EVENT_INTERVALS_S = (0.04, 0.08, 0.16)
"""Seconds between two events of a stream."""
CALL_S = (0.1, 3.0)
"""Seconds of a call."""
KEYS = ("key-a", "key-b")
"""Keys that no configuration takes away."""
PROMPT_TOKENS = 400
"""Tokens of a prompt."""


def draw_kept_request(caller: KeptCaller, number: int) -> PlannedRequest:
    """Return the request of a number of a caller."""
    request = f"{caller.caller}-{number}"
    generator = random.Random(request)
    kind = generator.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
    key = generator.choice(KEYS)
    if not kind.is_stream:
        pace_s = round(generator.uniform(*CALL_S), 3)
        return PlannedRequest(0.0, request, kind, caller.node, key, KEPT_ROUTE_TIMEOUT_S, pace_s=pace_s)
    lasts_s = generator.uniform(*(SHORT_STREAM_S if generator.random() < SHORT_FRACTION else STREAM_S))
    pace_s = generator.choice(EVENT_INTERVALS_S)
    return PlannedRequest(
        at_s=0.0,
        request=request,
        kind=kind,
        node=caller.node,
        key=key,
        deadline_s=KEPT_ROUTE_TIMEOUT_S,
        events=max(1, round(lasts_s / pace_s)),
        prompt_parts=f"{generator.getrandbits(32):08x}:{PROMPT_TOKENS}",
        prompt_tokens=PROMPT_TOKENS,
        pace_s=pace_s,
    )
