"""Writes the heads of callers' answers with the bytes that the worker sent.

Header bytes of a worker that are not UTF-8 are decoded to surrogates, which aiohttp's writer leaves out. Relies on
aiohttp's private ``_headers_buf``, the encoded head that its writer is about to send.
"""

from __future__ import annotations

from aiohttp.http_writer import StreamWriter
from multidict import CIMultiDict


class AnswerWriter(StreamWriter):
    """aiohttp's writer of one answer, with a lossless head."""

    async def write_headers(self, status_line: str, headers: CIMultiDict[str]) -> None:
        """Encode the head; see :class:`aiohttp.abc.AbstractStreamWriter`."""
        await super().write_headers(status_line, headers)
        if "".join(headers.values()).isascii():
            return
        lines = [status_line, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
        self._headers_buf = "\r\n".join(lines).encode("utf-8", "surrogateescape")
