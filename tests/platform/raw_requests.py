"""Requests on raw connections to a node's listener for callers, and their answers."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from tests.platform.conftest import HOST, config, route

CALLS = config(routes=[route(kind="unsafe")])


def request(name, body=b""):
    head = (
        f"POST /a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\nX-Credential: k1\r\nX-Deadline-Ms: 3000\r\n"
    )
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def ran(harness):
    return {each.headers["X-Request-Id"] for worker in harness.workers for each in worker.requests}


async def answer(reader):
    """Return status and body of the next answer. Raises OSError or EOFError if there is none."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    _, _, after = head.partition("content-length:")
    return int(head.split()[1]), await reader.readexactly(int(after.split()[0]))


async def keep_connection(harness, name):
    """Return a kept-alive connection on which one request has been answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
    writer.write(request(name))
    assert (await answer(reader))[0] == HTTPStatus.OK
    return reader, writer


async def close_and_wait(harness):
    await harness.listener.close_idle(harness.server)
    await harness.server.wait_closed()
