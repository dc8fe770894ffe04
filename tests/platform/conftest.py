"""Fixtures with one node, an emulated store and emulated workers, on ports chosen by the system."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest
import yarl
from aiohttp import web

from tests.platform.fakes import FakeStore, FakeWorker
from wallwell.platform.caller_listener import CallerListener
from wallwell.platform.main import build_node
from wallwell.platform.settings import ListenAddresses, OperatorBounds, PlatformSettings, StoreAddress

HOST = "h.example"


def route(name="r", prefix="/", kind="safe", **more):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "slo_ms": 400,
        "attempts": 2,
        "service": "svc",
        **more,
    }


def config(version=1, routes=None, **more):
    tenants = [{"name": "t1", "api_keys": ["k1", "k2"], "isolated": False}]
    routes = [route()] if routes is None else routes
    return {"version": version, "routes": routes, "services": [], "tenants": tenants, **more}


class CallersPort:
    """One node's listener for callers, on a port chosen by the system."""

    def __init__(self, node):
        self.listener = CallerListener(node)
        self.server = self.listener.callers_server()
        self.runner = web.ServerRunner(self.server, shutdown_timeout=0.01)

    async def start(self):
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]


class PlatformHarness:
    """A store, workers, one node with its listener, and a caller."""

    def __init__(self, workers=2, bounds=None, software=(), worker_type=FakeWorker):
        """``software`` are the workers' software versions, as many as there are workers, if they have any."""
        self.store = FakeStore()
        versions = software or [""] * workers
        self.workers = [worker_type(f"i-{index}", software=each) for index, each in enumerate(versions)]
        self.bounds = bounds or OperatorBounds(strict_revoke=True)

    async def start(self, configuration=None):
        await self.store.start()
        for worker in self.workers:
            await worker.start()
            self.store.put("servers", worker.incarnation, worker.entry())
        if configuration is not False:
            self.store.put("op", "config", configuration or config())
        addresses = ListenAddresses("127.0.0.1:0", "127.0.0.1:0")
        settings = PlatformSettings("n1", "z1", addresses, StoreAddress(self.store.address), self.bounds)
        self.node = build_node(settings)
        # A node that has just started permits few retries; these tests need one that has run for a while.
        self.node.state.started_s = float("-inf")
        callers = CallersPort(self.node)
        self.node.start()
        await callers.start()
        self.listener, self.server, self.runner, self.port = (
            callers.listener,
            callers.server,
            callers.runner,
            callers.port,
        )
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), auto_decompress=False)
        if configuration is not False:
            await self.until(self.node.is_ready)

    async def stop(self):
        await self.session.close()
        await self.node.stop()
        await self.runner.cleanup()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()

    async def until(self, condition, bound_s=10.0):
        """Poll until a condition holds. Raises TimeoutError after ``bound_s`` seconds."""
        async with asyncio.timeout(bound_s):
            while not condition():
                await asyncio.sleep(0.005)

    def has_open_requests(self):
        """Whether a request has been read, at least in part, and not yet answered."""
        return any(not each.is_idle(allow_partial_head=False) for each in self.server.connections)

    def hold_answers(self):
        """Have all workers answer only once the event that is returned has been set."""
        release = asyncio.Event()

        async def wait(request):
            await release.wait()
            return await self.workers[0].answer_ok(request)

        for worker in self.workers:
            worker.respond = wait
        return release

    def publish(self, worker):
        self.store.put("servers", worker.incarnation, worker.entry())

    def headers(self, **more):
        named = {name.replace("_", "-"): value for name, value in more.items()}
        return {"Host": HOST, "X-Request-Id": "req-1", "X-Credential": "k1", "X-Deadline-Ms": "3000", **named}

    def request(self, path="/a", method="POST", body=b"body", port=None, **headers):
        """Return a context manager for the caller's response; ``port`` selects another node."""
        url = yarl.URL(f"http://127.0.0.1:{port or self.port}{path}", encoded=True)
        return self.session.request(method, url, data=body, headers=self.headers(**headers))

    async def call(self, *args, **kwargs):
        """Send one request and return the answer's status, headers and body."""
        async with self.request(*args, **kwargs) as response:
            return response.status, response.headers, await response.read()


@pytest.fixture
def on_platform(run_async):
    """Return a function that runs a scenario on a started harness."""

    def run(scenario, configuration=None, loop=None, **harness_options):
        async def work():
            harness = PlatformHarness(**harness_options)
            await harness.start(configuration)
            try:
                return await scenario(harness)
            finally:
                with contextlib.suppress(TimeoutError):
                    await harness.stop()

        return run_async(work(), loop)

    return run
