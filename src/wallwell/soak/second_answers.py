"""Sends some of a worker's answers a second time, later, on the connection on which they came.

Owns which connections are in the middle of an answer: a copy comes between two answers, never inside one.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from aiohttp import web

REPEATED_SHARE = 0.3
"""Share of the answers that come twice; high, so that short runs have many."""
DELAY_S = (0.001, 0.3)
"""Seconds after an answer in which its copy comes, up to twice the time of a call."""
STREAM_BODY = web.ResponseKey("stream_body", bytes)
"""Under this key a streamed response keeps the whole body that it has sent."""


class AnswerRepeater:
    """Repeats answers of one worker."""

    def __init__(self, generator: random.Random, on_repeated: Callable[[str, int], None]) -> None:
        """``on_repeated`` is called with the request id and the status of each copy that is sent."""
        self._generator = generator
        self._on_repeated = on_repeated
        self._inside_answer: set[asyncio.BaseTransport] = set()
        """Connections on which the head of an answer was sent, but not yet its end."""

    def begin_answer(self, request: web.BaseRequest) -> None:
        """Record that the head of a streamed answer is sent."""
        if request.transport is not None:
            self._inside_answer.add(request.transport)

    def end_answer(self, transport: asyncio.BaseTransport | None) -> None:
        """Record that a streamed answer has ended or was broken off."""
        if transport is not None:
            self._inside_answer.discard(transport)

    def plan(self, request: web.BaseRequest, request_id: str, response: web.StreamResponse) -> None:
        """Perhaps send a copy of a response later."""
        if self._generator.random() >= REPEATED_SHARE or request.transport is None:
            return
        copy = encode_copy(response)
        delay_s = self._generator.uniform(*DELAY_S)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._send, request.transport, copy, request_id, response.status)

    def _send(self, transport: asyncio.Transport, copy: bytes, request_id: str, status: int) -> None:
        if transport.is_closing() or transport in self._inside_answer:
            return
        self._on_repeated(request_id, status)
        transport.write(copy)


def encode_copy(response: web.StreamResponse) -> bytes:
    """Return an answer with the same status, headers and body, and a length."""
    if isinstance(response, web.Response):
        assert isinstance(response.body, bytes | None)
        data = response.body or b""
    else:
        data = response[STREAM_BODY]
    dropped = ("content-length", "transfer-encoding", "connection")
    lines = [f"{name}: {value}" for name, value in response.headers.items() if name.lower() not in dropped]
    lines = [f"HTTP/1.1 {response.status} {response.reason}", *lines, f"Content-Length: {len(data)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data
