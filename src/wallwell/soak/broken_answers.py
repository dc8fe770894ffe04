"""Answers of a worker that HTTP does not allow as answers.

Owns their forms. Each carries the id of its request, and a seal that no sound answer has: it shows whether one has
reached a caller.
"""

from __future__ import annotations

import random

from wallwell.platform import names

BROKEN_SHARE = 0.1
"""Share of the answers that are broken; each costs its back end a while without requests."""
BROKEN_SEAL = "broken"
_FORMS = (
    # The status line, and a further line of the head.
    b"HTTP/1.1 000 OK\r\nX-Note: a\r\n",
    b"HTTP/1.1 099 OK\r\nX-Note: a\r\n",
    b"HTTP/1.1 999 OK\r\nX-Note: a\r\n",
    b"HTTP/2.0 200 OK\r\nX-Note: a\r\n",
    b"HTTP/1.1 200 OK\r\n X-Note: a\r\n",
    b"HTTP/1.1 200 OK\r\nConnection : close\r\n",
    b"HTTP/1.1 200 OK\r\nX Note: a\r\n",
    b"HTTP/1.1 200 OK\r\nX-\x01Note: a\r\n",
    b"HTTP/1.1 200 OK\r\nX-Note: a\x7f\r\n",
    b"HTTP/1.1 200 OK\r\nX-Note: a\r\n b\r\n",
    b"HTTP/1.1 200 OK\nX-Note: a\r\n",
    b"HTTP/1.1 503 Full\r\nX-Note : a\r\nX-Not-Run: 1\r\n",
)
FORMS = len(_FORMS)


def broken_answer(form: int, request: str, body: bytes) -> bytes:
    """Return the answer of a form, from 0 to less than :data:`FORMS`."""
    lines = f"{names.REQUEST_ID}: {request}\r\n{names.SEAL}: {BROKEN_SEAL}\r\nContent-Length: {len(body)}\r\n\r\n"
    return _FORMS[form] + lines.encode() + body


def draw_form(seed: int, incarnation: str, request: str) -> int | None:
    """Return the form of a worker's answer to a request; None if it is sound."""
    generator = random.Random(f"{seed}/broken/{incarnation}/{request}")
    return generator.randrange(FORMS) if generator.random() < BROKEN_SHARE else None
