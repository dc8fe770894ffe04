"""Load balancers send most new connections to one node, more than it can serve in time.

Guards against requests that are read too late or refused by that node, while another node would serve them at once.
"""

from __future__ import annotations

import asyncio
import random

import aiohttp
import pytest
import uvloop

from tests.platform.conftest import CallersPort
from tests.platform.test_peers import two_nodes

REQUESTS = 40
SEED = 1
"""Of the draws by which connections are closed: without one, all of them are closed in 1.5 of 100 runs."""
LOOPS = pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
"""Nodes run on uvloop, whose transports are none of asyncio's classes."""


class Caller:
    """Opens a new connection for each request; asks the other node if its connection is closed unread."""

    def __init__(self, harness, ports):
        self._harness = harness
        self._ports = ports
        self.closed_unread = 0

    async def call(self, number):
        for port in self._ports:
            try:
                request_id = f"req-{number}-{port}"
                status, _, _ = await self._harness.call(port=port, X_Request_Id=request_id, Connection="close")
            except aiohttp.ClientConnectionError:
                self.closed_unread += 1
                continue
            return status
        return 0


@LOOPS
@pytest.mark.parametrize("fraction", [0.0, 0.9])
def test_connections_that_a_late_node_closes_unread_are_served_by_the_other(on_platform, fraction, loop):
    async def scenario(harness):
        nodes = await two_nodes(harness)
        other = next(node for node in nodes if node is not harness.node)
        callers_port = CallersPort(other)
        await callers_port.start()
        shedding = harness.node.readiness.shedding
        shedding.observe = lambda delay_s: None
        shedding.fraction = fraction
        shedding.rng = random.Random(SEED)
        caller = Caller(harness, (harness.port, callers_port.port))
        statuses = await asyncio.gather(*(caller.call(number) for number in range(REQUESTS)))
        text = harness.node.metrics_text().decode()
        await callers_port.runner.cleanup()
        await other.stop()
        served = sum(len(worker.requests) for worker in harness.workers)
        return (
            statuses,
            caller.closed_unread,
            served,
            f"wallwell_connections_shed_total {caller.closed_unread:.1f}" in text,
        )

    statuses, closed_unread, served, is_counted = on_platform(scenario, loop=loop)
    assert statuses == [200] * REQUESTS and served == REQUESTS and is_counted
    generator = random.Random(SEED)
    assert closed_unread == sum(generator.random() < fraction for _ in range(REQUESTS))
    assert closed_unread == 0 if not fraction else REQUESTS / 2 < closed_unread < REQUESTS


@LOOPS
def test_a_closed_connection_leaves_nothing_behind(on_platform, loop):
    """Its protocol was never started by the HTTP server and must not be ended by it either."""

    async def scenario(harness):
        harness.node.readiness.shedding.observe = lambda delay_s: None
        harness.node.readiness.shedding.fraction = 1.0
        with pytest.raises(aiohttp.ClientConnectionError):
            await harness.call(Connection="close")
        harness.node.readiness.shedding.fraction = 0.0
        status, _, _ = await harness.call()
        return status, len(harness.server.connections)

    assert on_platform(scenario, loop=loop) == (200, 1)
