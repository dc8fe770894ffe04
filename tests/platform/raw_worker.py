"""A worker that reads and writes bytes, so that its answers' headers and events hold what a test wants."""

from __future__ import annotations

import asyncio
import contextlib

REPORT = b'{"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1}'
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
MAX_HEAD_BYTES = 256 * 1024


class RawWorker:
    """One worker. It answers paths that contain ``/e/`` with events, all else with ``ok``; headers may have
    any size."""

    def __init__(self, incarnation="i-raw", service="svc"):
        self.incarnation = incarnation
        self.service = service
        self.status = b"200 OK"
        self.headers = {}
        """Further headers of its answers, as bytes by name."""
        self.events = EVENTS
        self.heads = []
        """Heads of the requests that it got, as received."""
        self._connections = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        self._server.close()
        for connection in self._connections:
            connection.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def entry(self):
        models = [{"name": "m", "version": 1}]
        common = {"service": self.service, "addr": self.address, "zone": "z1", "slots": 8, "seq": 1}
        return {**common, "state": "ready", "models": models}

    async def _serve(self, reader, writer):
        self._connections.add(asyncio.current_task())
        with contextlib.suppress(OSError, EOFError), contextlib.closing(writer):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
                await reader.readexactly(int(fields.get(b"Content-Length", b"0")))
                writer.write(self._answer(head, fields))

    def _answer(self, head, fields):
        if head.startswith(b"GET /api/report"):
            return self._encode(b"200 OK", {"Content-Type": b"application/json"}, REPORT)
        self.heads.append(head)
        identity = {"X-Request-Id": fields[b"X-Request-Id"], "X-Response-Seal": b"seal"}
        if b"/e/" in head.partition(b"\r\n")[0]:
            identity["Content-Type"] = b"text/event-stream"
            return self._encode(self.status, {**identity, **self.headers}, self.events)
        return self._encode(self.status, {**identity, **self.headers}, b"ok")

    def _encode(self, status, headers, body):
        lines = [b"HTTP/1.1 " + status, *(name.encode() + b": " + value for name, value in headers.items())]
        return b"\r\n".join([*lines, b"Content-Length: %d" % len(body), b"", body])
