"""Bounds what is read of one answer of a back end. No I/O.

A back end may send bytes that are no answer, in a head or a body, until the connection is closed. Whatever is read
of them takes processor time, memory and the link from other requests. :class:`RoundTripBounds` bounds what is no
part of the awaited answer's body, :func:`read_bounded` a body that is held in memory.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp.streams import StreamReader

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Largest body of an answer that is held in memory until it is whole; also of all that are discarded in a round
trip, as a copy may be of any answer."""
MAX_UNUSED_BYTES = 256 * 1024
"""Bytes of a round trip that are no part of a body: heads, and what frames a body."""
MAX_FRAMING_RATIO = 1
"""Bytes that may frame one byte of a body, in addition: the chunk of a small event has a tenth of that."""
MAX_UNUSED_MESSAGES = 32
"""Interim and discarded answers of a round trip. Each takes far more processor time than its few bytes say."""
MAX_PIECES_PER_READ = 256
"""Heads, bodies and parts of bodies before the awaited head that are parsed of one read: each takes a call."""


class AnswerTooLargeError(Exception):
    """An answer has more bytes than any may have."""


async def read_bounded(chunks: AsyncIterator[bytes], max_bytes: int) -> bytes:
    """Return a whole body. Raises :class:`AnswerTooLargeError` if it has more than ``max_bytes``."""
    body = bytearray()
    try:
        async for chunk in chunks:
            body += chunk
            if len(body) > max_bytes:
                raise AnswerTooLargeError(f"the body has more than {max_bytes} bytes")
        return bytes(body)
    finally:
        body.clear()  # An error refers to this frame for as long as anybody keeps it.


class RoundTripBounds:
    """What has been received in one round trip."""

    def __init__(self) -> None:
        self._received_bytes = 0
        self._unused_messages = 0
        self._discarded_bytes = 0
        """Bytes of discarded bodies, without the one that may still be arriving."""

    def on_received(self, count: int) -> None:
        """Count received bytes of any kind."""
        self._received_bytes += count

    def on_unused_message(self) -> None:
        """Count an interim answer, or one that is discarded."""
        self._unused_messages += 1

    def on_discarded_body(self, body: StreamReader) -> None:
        """Count the body of a discarded answer of which nothing more is read."""
        self._discarded_bytes += body.total_bytes

    def is_exceeded(self, body: StreamReader | None, discarded_body: StreamReader | None) -> bool:
        """Whether more was received than can belong to the awaited answer, of which ``body`` has arrived so far.

        ``discarded_body`` is that of a discarded answer which is still arriving.
        """
        discarded_bytes = self._discarded_bytes + _size_of(discarded_body)
        if self._unused_messages > MAX_UNUSED_MESSAGES or discarded_bytes > MAX_ANSWER_BYTES:
            return True
        body_bytes = discarded_bytes + _size_of(body)
        return self._received_bytes - body_bytes > MAX_UNUSED_BYTES + body_bytes * MAX_FRAMING_RATIO


def _size_of(body: StreamReader | None) -> int:
    return body.total_bytes if body is not None else 0
