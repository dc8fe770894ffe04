"""What a load balancer sees of a router process from the signal until the process is gone."""

from __future__ import annotations

import asyncio
import signal

from tests.platform.conftest import HOST, config, route
from tests.platform.fakes import FakeStore, FakeWorker
from tests.platform.router_process import SETTINGS, free_ports, start_router, until_ready
from wallwell.clock import boot_time_s

GRACE_S = 4.0
CHECK_S = 1.0
"""Seconds in which a load balancer wants an answer."""
CHECK_INTERVAL_S = 0.02
CLOSING_S = GRACE_S / 8
"""Seconds before the end of the process in which its listeners may be closed already."""
NOT_READY = b"HTTP/1.1 503 Service Unavailable\r\n"
REFUSED = b"refused"


async def check(port, path):
    """Return the status line, or that there is none as the connection is refused, reset or ended."""
    async with asyncio.timeout(CHECK_S):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            line = await reader.readline()
            writer.close()
        except ConnectionError:
            return REFUSED
    return line or REFUSED


async def checks_until(ended, port, path="/ready"):
    """Return times and results of checks, one after the other until an event is set. Raises TimeoutError."""
    checks = []
    while not ended.is_set():
        checks.append((boot_time_s(), await check(port, path)))
        await asyncio.sleep(CHECK_INTERVAL_S)
    return checks


def test_readiness_and_metrics_are_answered_until_the_process_ends(run_async, tmp_path):
    """Guards against a check that times out, or finds the router ready, while requests are still served."""

    async def scenario():
        store, worker = FakeStore(), FakeWorker("i-1")
        await store.start()
        await worker.start()
        worker.respond = worker.hang
        store.put("servers", worker.incarnation, worker.entry())
        store.put("op", "config", config(routes=[route(kind="unsafe", timeout_ms=60_000)]))
        front, ready, peer, metrics = free_ports(4)
        path = tmp_path / "settings.toml"
        settings = SETTINGS.format(front=front, ready=ready, peer=peer, store=store.address, grace_s=GRACE_S)
        path.write_text(settings.replace("[listen]", f'metrics = "{metrics}/ready"\n[listen]'))
        process = await start_router(path)
        try:
            await until_ready(ready)
            _, writer = await asyncio.open_connection("127.0.0.1", front)
            writer.write(f"GET /a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r\r\nX-Credential: k1\r\n\r\n".encode())
            async with asyncio.timeout(10):
                while not worker.requests:
                    await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            ended = asyncio.Event()
            checking = [asyncio.create_task(checks_until(ended, port)) for port in (ready, metrics)]
            status = await process.wait()
            ended_s = boot_time_s()
            ended.set()
            writer.close()
            return status, ended_s, *[await each for each in checking]
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            await worker.stop()
            await store.stop()

    status, ended_s, ready_checks, metrics_checks = run_async(scenario())
    assert status == 0
    assert {line for _, line in ready_checks} <= {NOT_READY, REFUSED}
    for checks, expected in ((ready_checks, NOT_READY), (metrics_checks, b"HTTP/1.1 200 OK\r\n")):
        answered = [begun_s for begun_s, line in checks if line == expected]
        refused = [begun_s for begun_s, line in checks if line == REFUSED]
        assert len(answered) > GRACE_S / 2 / CHECK_INTERVAL_S / 4
        assert all(ended_s - begun_s < CLOSING_S for begun_s in refused)
