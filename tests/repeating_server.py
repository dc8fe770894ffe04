"""An HTTP server that sends each answer a second time, just before the next one on the same connection."""

from __future__ import annotations

import asyncio

from wallwell.address import parse_address


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of an answer with a length; underscores in names of headers stand for hyphens."""
    lines = [
        f"HTTP/1.1 {status} Status",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


class RepeatingServer:
    """Answers each request with the next of its answers, after a copy of the one before on the connection."""

    def __init__(self, *answers: bytes) -> None:
        self._answers = list(answers)

    async def __aenter__(self) -> RepeatingServer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = parse_address(f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}")
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        copy = b""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(_body_length(head))
                own = self._answers.pop(0)
                writer.write(copy + own)
                copy = own
        except (EOFError, OSError):
            writer.close()


def _body_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return int(value)
    return 0
