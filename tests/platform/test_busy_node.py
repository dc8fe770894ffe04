"""New connections to a node whose event loop gets little CPU time, and the node's readiness meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import aiohttp
import pytest
import uvloop
from aiohttp import web

from tests.platform.conftest import config, route
from wallwell.clock import boot_time_s
from wallwell.node.loop_lag import LATE_TIMER_S, LoopLag
from wallwell.platform.main import listen

LOOPS = pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
CALLERS = 7
CONTACT_S = 4.0
QUEUED = 300
"""Connections opened while the event loop is blocked: more than aiohttp's default backlog of 128."""


async def hog(turn_s):
    """Block each iteration of the event loop for ``turn_s`` seconds."""
    while True:
        time.sleep(turn_s)
        await asyncio.sleep(0)


@LOOPS
def test_busy_node_serves_callers_that_connect_at_the_same_time(on_platform, loop):
    """Each iteration of the loop, which workers and callers share here, is blocked for another 50 ms."""

    async def scenario(harness):
        await harness.call()
        busy = asyncio.create_task(hog(0.05))
        started_s = boot_time_s()
        callers = [harness.call(Connection="close", X_Deadline_Ms="9000") for _ in range(CALLERS)]
        answers = await asyncio.gather(*callers)
        took_s = boot_time_s() - started_s
        busy.cancel()
        return [answer[0] for answer in answers], harness.node.is_ready(), took_s

    statuses, ready, took_s = on_platform(scenario, config(routes=[route(timeout_ms=9000, slo_ms=9000)]), loop=loop)
    assert (statuses, ready) == ([200] * CALLERS, True)
    assert took_s < CONTACT_S


@LOOPS
def test_connections_are_established_while_the_event_loop_is_blocked(run_async, loop):
    async def answer(request):
        return web.Response()

    async def scenario():
        runner = await listen(web.Server(answer), "127.0.0.1:0")
        port = next(iter(runner.sites))._server.sockets[0].getsockname()[1]
        with contextlib.ExitStack() as callers:
            for _ in range(QUEUED):
                callers.enter_context(socket.create_connection(("127.0.0.1", port), timeout=0.5))
            async with aiohttp.ClientSession() as session, session.get(f"http://127.0.0.1:{port}/") as response:
                status = response.status
        await runner.cleanup()
        return status

    assert run_async(scenario(), loop) == 200


def test_starved_node_is_not_ready_until_it_has_recovered(on_platform):
    async def scenario(harness):
        runner = await listen(harness.listener.ready_server(), "127.0.0.1:0")
        url = f"http://127.0.0.1:{next(iter(runner.sites))._server.sockets[0].getsockname()[1]}/"
        answers = []
        for delays in ((), (9.0,), (9.0, 9.0), ()):
            harness.node.readiness.loop_lag = LoopLag()
            for delay_s in delays:
                harness.node.readiness.loop_lag.observe(delay_s, boot_time_s() + 60.0)
            async with harness.session.get(url) as response:
                answers.append(response.status)
        await runner.cleanup()
        return answers

    assert on_platform(scenario) == [200, 200, 503, 200]


def test_node_detects_that_its_loop_is_starved(on_platform):
    async def scenario(harness):
        busy = asyncio.create_task(hog(LATE_TIMER_S + 0.1))
        await harness.until(lambda: harness.node.readiness.loop_lag.consecutive_late_timers >= 2, bound_s=30.0)
        starved = not harness.node.is_ready()
        busy.cancel()
        await harness.until(harness.node.is_ready)
        return starved

    assert on_platform(scenario)
