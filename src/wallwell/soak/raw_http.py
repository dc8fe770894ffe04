"""Requests and answers on a connection without a pool: the next request may follow an answer at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

READ_BYTES = 65536
"""Bytes that are read at once at most."""
CHUNKED = "chunked"
"""Value of the header that says that a body comes in chunks."""
_HEAD_END = b"\r\n\r\n"


class AnswerHead(NamedTuple):
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: Mapping[str, str]

    @property
    def is_chunked(self) -> bool:
        """Whether the body comes in chunks."""
        return self.headers.get("transfer-encoding", "").lower() == CHUNKED

    @property
    def length(self) -> int | None:
        """Length of the body; None if the head does not state it."""
        text = self.headers.get("content-length", "")
        return int(text) if text.isdecimal() else None

    @property
    def keeps_connection(self) -> bool:
        """Whether another request may be sent on the connection."""
        is_framed = self.is_chunked or self.length is not None
        return is_framed and self.headers.get("connection", "").lower() != "close"


def encode_head(path: str, headers: Mapping[str, str]) -> bytes:
    """Return the head of a request."""
    lines = [f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode() + _HEAD_END


def encode_chunk(data: bytes) -> bytes:
    """Return a part of a body that is sent in chunks; an empty one ends it."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def send_chunks(writer: asyncio.StreamWriter, data: bytes, chunks: int, lasts_s: float) -> None:
    """Send a body in chunks over a time. Raises OSError where the connection has ended."""
    size = -(-len(data) // chunks)
    parts = [data[start : start + size] for start in range(0, len(data), size)]
    for part in (*parts, b""):
        if lasts_s:
            await asyncio.sleep(lasts_s / (len(parts) + 1))
        if writer.is_closing():
            raise ConnectionResetError("the connection ended within a body")
        writer.write(encode_chunk(part))
        await writer.drain()


async def read_head(reader: asyncio.StreamReader) -> AnswerHead:
    """Read the head of an answer. Raises OSError and EOFError where the connection ends before."""
    text = (await reader.readuntil(_HEAD_END)).decode("latin-1")
    status_line, *lines = text.rstrip("\r\n").split("\r\n")
    fields = (line.partition(":") for line in lines)
    return AnswerHead(int(status_line.split()[1]), {name.lower(): value.strip() for name, _, value in fields})


async def read_body(reader: asyncio.StreamReader, head: AnswerHead, take: Callable[[bytes], None]) -> None:
    """Read the body of an answer to its end, and hand over each part as it comes. Raises OSError and EOFError where
    the connection ends before."""
    if head.is_chunked:
        await _read_chunks(reader, take)
    elif head.length is not None:
        await _read_exactly(reader, head.length, take)
    else:
        while data := await reader.read(READ_BYTES):
            take(data)


async def _read_chunks(reader: asyncio.StreamReader, take: Callable[[bytes], None]) -> None:
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        await _read_exactly(reader, size, take)
        await reader.readexactly(2)
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass  # Trailers say nothing that callers of a run need.


async def _read_exactly(reader: asyncio.StreamReader, size: int, take: Callable[[bytes], None]) -> None:
    while size:
        data = await reader.read(min(size, READ_BYTES))
        if not data:
            raise EOFError("the connection ended within a body")
        take(data)
        size -= len(data)
