"""A router that starts beside an entry of another writer starts as without it, and sound back ends serve."""

import asyncio
import contextlib

import aiohttp
import pytest

from tests.platform.conftest import HOST, config, route
from tests.platform.fakes import FakeStore, FakeWorker
from tests.platform.router_process import SETTINGS, free_ports, start_router, until_ready

ADDRESSES = {
    "port of 4,400 digits": "127.0.0.1:" + 4400 * "1",
    "host with an empty label": "127..1:80",
    "host with a label of 64 characters": 64 * "a" + ":80",
}
READY_WITHIN_S = 8.0
"""Several times what a start takes on a busy machine."""
REWRITE_S = 0.3
"""Seconds between two writes of an entry: more often than a worker writes its own."""
CALLS = 24
GRACE_S = 4


def _entry(address):
    return {"service": "svc", "addr": address, "zone": "z1", "slots": 8, "state": "ready", "seq": 1}


class RouterBesideAnEntry:
    """A store with sound workers and one entry of another writer, and a router that starts beside them."""

    def __init__(self, address):
        self._entry = _entry(address)
        self.workers = [FakeWorker(f"i-{index}") for index in range(3)]
        self.store = FakeStore()
        self.statuses = []

    async def _write_again(self):
        while True:
            self.store.put("servers", "other", self._entry)
            await asyncio.sleep(REWRITE_S)

    async def play(self, tmp_path, rewrites):
        """Start the router, wait until it is ready, and call it; raises TimeoutError if it never is."""
        await self.store.start()
        self.store.put("op", "config", config(routes=[route(kind="unsafe", timeout_ms=3000, attempts=3)]))
        self.store.put("servers", "other", self._entry)
        for worker in self.workers:
            await worker.start()
            self.store.put("servers", worker.incarnation, worker.entry())
        writing = asyncio.create_task(self._write_again()) if rewrites else None
        front, ready, peer = free_ports(3)
        path = tmp_path / "settings.toml"
        settings = SETTINGS.format(front=front, ready=ready, peer=peer, store=self.store.address, grace_s=GRACE_S)
        path.write_text(settings)
        process = await start_router(path)
        try:
            async with asyncio.timeout(READY_WITHIN_S):
                await until_ready(ready)
            await self._call(front)
        finally:
            if writing is not None:
                writing.cancel()
            process.kill()
            await process.wait()
            for worker in self.workers:
                await worker.stop()
            await self.store.stop()

    async def _call(self, port):
        async with aiohttp.ClientSession() as session:
            for number in range(CALLS):
                headers = {"Host": HOST, "X-Request-Id": f"r-{number}", "X-Credential": "k1"}
                async with session.post(f"http://127.0.0.1:{port}/a", headers=headers, data=b"body") as response:
                    await response.read()
                    self.statuses.append(response.status)


@pytest.mark.parametrize("rewrites", [False, True], ids=["written once", "written again and again"])
@pytest.mark.parametrize("address", ADDRESSES.values(), ids=ADDRESSES)
def test_router_beside_an_unreadable_address_starts_and_uses_all_sound_workers(
    address, rewrites, run_async, tmp_path
):
    played = RouterBesideAnEntry(address)
    with contextlib.suppress(TimeoutError):
        run_async(played.play(tmp_path, rewrites))
    assert played.statuses == CALLS * [200]
    assert all(worker.requests for worker in played.workers)
