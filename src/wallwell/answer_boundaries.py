"""Finds where the answers of one round trip begin and end in what is received, and checks their heads. No I/O.

A connection may receive answers to other requests before the awaited one. It gives its parser no bytes beyond the
next boundary, so that each head is checked from its first byte on. Relies on :mod:`wallwell.answer_head`.
"""

from __future__ import annotations

from wallwell.answer_head import LINE_END, HeadCheck

BODY_END = LINE_END + LINE_END
"""The last bytes of a body in chunks; other bytes of it may be the same."""


class AnswerBoundaries:
    """The answers of one round trip, up to the head of the awaited one."""

    def __init__(self, has_body: bool) -> None:
        """``has_body``: whether answers have a body, which those to HEAD have not."""
        self._has_body = has_body
        self._head = HeadCheck()
        self._body_left = 0
        """Bytes of a body with a length that are still to come."""
        self._last_bytes = b""
        """What may begin a :data:`BODY_END` that was not received at once."""

    @property
    def is_in_body(self) -> bool:
        """Whether the next bytes belong to a body."""
        return self._head.is_complete

    def on_body_ended(self) -> None:
        """The parser has seen the end of the body that was arriving; a head comes next."""
        if self.is_in_body:
            self._head = HeadCheck()

    def next_end(self, data: bytes, start: int) -> int:
        """Return up to where ``data`` may be parsed from ``start``: at most up to the end of a head or of a body.

        Raises :class:`wallwell.answer_head.MalformedAnswerError`.
        """
        if self.is_in_body:
            return self._end_in_body(data, start)
        end = self._head.feed(data, start)
        if self._head.is_complete:
            self._begin_body()
        return end

    def _begin_body(self) -> None:
        self._last_bytes = b""
        self._body_left = self._head.content_length or 0
        if not self._has_body or not self._head.has_body:
            self.on_body_ended()

    def _end_in_body(self, data: bytes, start: int) -> int:
        if self._head.is_chunked:
            return self._end_in_chunks(data, start)
        if self._head.content_length is None:
            return len(data)  # The body ends with the connection.
        end = min(len(data), start + self._body_left)
        self._body_left -= end - start
        if not self._body_left:
            self.on_body_ended()
        return end

    def _end_in_chunks(self, data: bytes, start: int) -> int:
        """Return the end of the next :data:`BODY_END`, which the parser may take for the end of the body."""
        known = self._last_bytes
        split = (known + data[start : start + len(BODY_END) - 1]).find(BODY_END)
        if split >= 0:
            end = start + split + len(BODY_END) - len(known)
        else:
            found = data.find(BODY_END, start)
            end = len(data) if found < 0 else found + len(BODY_END)
        self._last_bytes = (known + data[max(start, end - len(BODY_END)) : end])[1 - len(BODY_END) :]
        return end
