"""Several nodes on one store, with workers that crash under certain requests and are then replaced."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp

from tests.platform.conftest import CallersPort, PlatformHarness
from tests.platform.fakes import FakeWorker
from tests.platform.test_peers import second_node

NODES, WORKERS = 3, 5


class CrashingWorker(FakeWorker):
    """A worker that a subclass lets crash; it is then replaced by a new one."""

    def __init__(self, fleet, incarnation):
        super().__init__(incarnation)
        self.fleet = fleet

    def crash_soon(self, delay_s):
        """Crash after ``delay_s`` seconds."""
        self.fleet.crashes += 1
        asyncio.get_running_loop().call_later(delay_s, self._end)

    def _end(self):
        self.crash()
        self.fleet.replace(self)


class CrashingFleet(PlatformHarness):
    """Several nodes on one store, and workers that are replaced when they crash."""

    def __init__(self, worker_type, workers=WORKERS, replaced_after_s=0.0):
        super().__init__(workers=0)
        self.crashes = 0
        self.ports = []
        self._worker_type = worker_type
        self._replaced_after_s = replaced_after_s
        self._started = 0
        self._others = []
        self._callers = []
        self._tasks = set()
        self.workers = [self._next_worker() for _ in range(workers)]

    @property
    def nodes(self):
        """All nodes, in the order of ``ports``."""
        return [self.node, *self._others]

    def _next_worker(self):
        self._started += 1
        return self._worker_type(self, f"i-{self._started}")

    def replace(self, worker):
        """Start a replacement of a crashed worker and delete the crashed one's entry."""
        task = asyncio.create_task(self._replace(worker))
        self._tasks.add(task)

    async def _replace(self, worker):
        await asyncio.sleep(self._replaced_after_s)
        successor = self._next_worker()
        await successor.start()
        self.workers.append(successor)
        self.publish(successor)
        self.store.put("servers", worker.incarnation, None)

    async def start(self, configuration=None):
        await super().start(configuration)
        await self.node.listen_for_peers("127.0.0.1", [0])
        self.ports = [self.port]
        for number in range(2, NODES + 1):
            await self.add_node(f"n{number}")

    async def add_node(self, name):
        """Start another node and its listener; return the listener's port."""
        node = await second_node(self, name)
        node.state.started_s = float("-inf")
        callers = CallersPort(node)
        await callers.start()
        self._others.append(node)
        self._callers.append(callers)
        self.ports.append(callers.port)
        await self.until(node.is_ready)
        return callers.port

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for callers in self._callers:
            await callers.runner.cleanup()
        for node in self._others:
            await node.stop()
        await super().stop()

    async def send(self, port, body, request_id, **headers):
        """Send a request to one node; return the status, 0 if the connection broke."""
        try:
            status, _, _ = await self.call(port=port, body=body, X_Request_Id=request_id, **headers)
        except aiohttp.ClientError:
            return 0
        return status


def run_on_fleet(run_async, fleet, configuration, scenario):
    """Run ``scenario(fleet)`` on a started fleet."""

    async def work():
        await fleet.start(configuration)
        try:
            return await scenario(fleet)
        finally:
            with contextlib.suppress(TimeoutError):
                await fleet.stop()

    return run_async(work())
