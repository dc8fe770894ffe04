"""Decides whether received bytes are the head of an HTTP/1.1 answer, by RFC 9112 and RFC 9110, and reads numbers in
the values of headers. No I/O.

Parsers take more for an answer than the protocol allows, and differ in what. So every connection checks a head with
:class:`HeadCheck` before its parser sees the end of it, and nothing that a malformed head states is believed.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from http import HTTPStatus

LINE_END = b"\r\n"
EXCERPT_BYTES = 60
"""Bytes of a malformed line that are logged."""
MIN_FINAL_STATUS = 200
"""Lowest status of a final answer; those below are of interim ones."""
MAX_STATUS = 599
"""Highest status that has a class."""

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
"""Reason phrases and values of fields: no control byte but the tab."""
_STATUS = rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?"
_STATUS_LINE = re.compile(_STATUS)
_FIELD_LINE = re.compile(_TOKEN + rb":" + _TEXT)
_WHOLE_HEAD = re.compile(_STATUS + rb"\r\n(?:" + _TOKEN + rb":" + _TEXT + rb"\r\n)*\r\n")
_FRAMING = re.compile(rb"\n(content-length|transfer-encoding):([^\r]*)")
"""A field that states the body's length or coding, in lower case, behind the end of a line."""
_NAME = re.compile(_TOKEN)
_VALUE = re.compile(_TEXT)
_LENGTH = re.compile(rb"[0-9]{1,18}")
"""Eighteen digits fit into the 64 bits of any parser's length."""
_WHOLE_NUMBER = re.compile(r"[0-9]{1,18}")
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,18}(?:\.[0-9]{1,18})?")
_STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class MalformedAnswerError(Exception):
    """Received bytes are no HTTP answer."""

    def __init__(self, reason: str, received: bytes = b"") -> None:
        """``received`` is what is malformed; its beginning is quoted in the message, with escapes."""
        quoted = f": {received[:EXCERPT_BYTES]!r}" if received else ""
        super().__init__(f"{reason}{quoted}")


class HeadCheck:
    """Checks the head of one answer as it arrives."""

    def __init__(self) -> None:
        self.is_complete = False
        self.status = 0
        """0 until the status line has arrived."""
        self.content_length: int | None = None
        """Stated length of the body in bytes; None if none is stated."""
        self.is_chunked = False
        self._is_http_1_0 = False
        self._partial_line = b""

    @property
    def is_interim(self) -> bool:
        """Whether another answer follows, which is the one to the request."""
        return 0 < self.status < MIN_FINAL_STATUS

    @property
    def has_body(self) -> bool:
        """Whether an answer with this head has a body, unless it answers HEAD."""
        return not self.is_interim and self.status not in _STATUSES_WITHOUT_BODY and self.content_length != 0

    def feed(self, data: bytes, start: int = 0) -> int:
        """Check what ``data`` has of the head from ``start``; return where the head ends in it, its length if the
        head goes on. Raises :class:`MalformedAnswerError` as soon as a line is malformed."""
        whole = None if self.status or self._partial_line else _WHOLE_HEAD.match(data, start)
        if whole is None:
            return self._feed_lines(data, start)
        self._read_status(whole)
        self._read_framing(whole[0])
        self._end_head()
        return whole.end()

    def _feed_lines(self, data: bytes, start: int) -> int:
        """See :meth:`feed`; for a head that has not arrived whole, or is malformed."""
        unchecked = self._partial_line + data[start:]
        line_start = 0
        while (line_end := unchecked.find(LINE_END, line_start)) >= 0:
            line = unchecked[line_start:line_end]
            line_start = line_end + len(LINE_END)
            if not line and self.status:
                self._end_head()
                return len(data) - (len(unchecked) - line_start)
            self._check_line(line)
        self._partial_line = unchecked[line_start:]
        if b"\n" in self._partial_line:
            raise MalformedAnswerError("line of a head without a carriage return", self._partial_line)
        return len(data)

    def _check_line(self, line: bytes) -> None:
        if self.status:
            self._check_field(line)
        else:
            self._check_status_line(line)

    def _check_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedAnswerError("no status line", line)
        self._read_status(match)

    def _read_status(self, status_line: re.Match[bytes]) -> None:
        self._is_http_1_0 = status_line[1] == b"0"
        self.status = int(status_line[2])
        if self.status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise MalformedAnswerError("change of the protocol that was not asked for")

    def _check_field(self, line: bytes) -> None:
        if not _FIELD_LINE.fullmatch(line):
            raise MalformedAnswerError("no header field", line)
        self._read_framing(LINE_END + line)

    def _read_framing(self, lines: bytes) -> None:
        """Read the fields that state the body's length or coding from lines behind the end of another one."""
        for name, value in _FRAMING.findall(lines.lower()):
            if name == b"content-length":
                self._read_length(value.strip(b" \t"))
            else:
                self._read_coding(value.strip(b" \t"))

    def _read_length(self, value: bytes) -> None:
        if self.content_length is not None:
            raise MalformedAnswerError("second length of the body", value)
        if not _LENGTH.fullmatch(value):
            raise MalformedAnswerError("no length of a body", value)
        self.content_length = int(value)

    def _read_coding(self, value: bytes) -> None:
        if self.is_chunked:
            raise MalformedAnswerError("second transfer coding", value)
        if value != b"chunked":
            raise MalformedAnswerError("unknown transfer coding", value)
        self.is_chunked = True

    def _end_head(self) -> None:
        """Check what the head states of the body."""
        if self.is_chunked and self.content_length is not None:
            raise MalformedAnswerError("both a length and chunks")
        if self.is_chunked and self._is_http_1_0:
            raise MalformedAnswerError("chunks in HTTP/1.0")
        if self.is_interim and (self.is_chunked or self.content_length):
            raise MalformedAnswerError("interim answer with a body")
        self.is_complete = True


def parse_header_number(text: str) -> int | None:
    """Return the whole number that a header's value states; None if it is none, or of more than 18 digits."""
    return int(text) if _WHOLE_NUMBER.fullmatch(text) else None


def parse_header_decimal(text: str) -> float | None:
    """Return the number that a header's value states in digits with at most one point; None if it is none, or has
    more than 18 digits before or behind the point."""
    return float(text) if _DECIMAL_NUMBER.fullmatch(text) else None


def is_final_head(status: int, fields: Iterable[tuple[bytes, bytes]]) -> bool:
    """Whether a final answer may have this status and these header fields, as names and values."""
    if not MIN_FINAL_STATUS <= status <= MAX_STATUS:
        return False
    return all(_NAME.fullmatch(name) and _VALUE.fullmatch(value) for name, value in fields)
