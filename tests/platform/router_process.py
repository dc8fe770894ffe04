"""One router as a process of its own: its settings, its ports, its start."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from pathlib import Path

from wallwell.platform.names import SETTINGS_VARIABLE

ROOT = Path(__file__).parents[2]
START = "from wallwell.platform.main import main; import sys; sys.exit(main())"
SETTINGS = """
node = "n1"
zone = "z1"
ip = "127.0.0.1"
port_range = [{peer}, {peer}]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[provider]
addr = "{store}"
[bounds]
grace_s = {grace_s}
strict_revoke = true
"""


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


async def until_ready(port):
    async with asyncio.timeout(30):
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                status = await reader.readline()
                writer.close()
                if b"200" in status:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)


async def start_router(settings, code=START, stderr=asyncio.subprocess.DEVNULL):
    """Start a router with the settings file at a path, by ``code``; return the process."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        code,
        env={**os.environ, SETTINGS_VARIABLE: str(settings), "PYTHONPATH": str(ROOT / "src")},
        stderr=stderr,
    )
