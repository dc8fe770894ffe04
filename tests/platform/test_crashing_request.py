"""A request that crashes every worker that begins to run it.

Guards against a failure in which two callers that retried such a request crashed ten and eleven engines in a fleet
of six, whose crashed engines were replaced, and broke other callers' streams on them. Each retry had a new id and
mostly reached another node, and crashes were remembered only by request id, at one node, while the request was in
progress. Without the fix, each arrival of the request at these three nodes crashes a worker.
"""

from __future__ import annotations

import asyncio
import json

import pytest
from aiohttp import web

from tests.platform.conftest import config, route
from tests.platform.crashing_fleet import NODES, CrashingFleet, CrashingWorker, run_on_fleet
from tests.unit.serving.fakes import event
from wallwell.clock import boot_time_s

RETRIES = 10
MIN_CRASHES = 3
RETRIES_ALLOWED = 3
CRASHING = b"crashing"
HARMLESS = b"harmless"
PAUSE_S = 0.05
"""Seconds between two retries of a request whose crash is known to the nodes."""
CONTACT_S = 3.0
"""Seconds within which nodes must learn of a crash from each other."""
STREAM = {"kind": "stream", "attempts": 1}
RESUMABLE = {"kind": "stream", "attempts": 2, "can_resume": True}
SAFE = {"kind": "safe", "attempts": 2}
UNSAFE = {"kind": "unsafe", "attempts": 1}


class RequestCrashingWorker(CrashingWorker):
    """Crashes soon after it has begun to run the crashing request."""

    async def serve(self, request):
        if await request.read() == CRASHING:
            self.crash_soon(0.01)
            await asyncio.sleep(3600)
        if (await request.read()).startswith(b"slow") and request.headers["X-Request-Id"].startswith("first"):
            await asyncio.sleep(2.0)
        if request.headers.get("X-Model"):
            return await self.stream(event(1), event(2))(request)
        return web.Response(body=b"ok", headers=self.headers(request))


async def send_slow(fleet, port, text):
    """Send a request that takes some time; ignore a broken connection."""
    await fleet.send(port, text.encode(), f"first {text}")


async def settle(fleet):
    """Wait until every node counts the crashes so far, for ``CONTACT_S`` at most."""
    due = min(fleet.crashes, MIN_CRASHES)
    end_s = boot_time_s() + CONTACT_S
    while boot_time_s() < end_s and not all(most_crashes(node) >= due for node in fleet.nodes):
        await asyncio.sleep(0.01)
    await asyncio.sleep(PAUSE_S)


def most_crashes(node):
    """Return the largest crash count among a node's suspect requests."""
    return max((len(each.crashed_incarnations) for each in node.state.quarantine._suspects.values()), default=0)


def run_scenario(run_async, scenario, kind):
    fleet = CrashingFleet(RequestCrashingWorker)
    return run_on_fleet(run_async, fleet, config(routes=[route(**kind)]), scenario)


@pytest.mark.parametrize("kind", [STREAM, RESUMABLE, SAFE, UNSAFE], ids=["stream", "resumable", "safe", "unsafe"])
def test_retried_crashing_request_crashes_few_workers(run_async, kind):
    headers = {"X_Model": "m", "X_Prefix_Hash": "aa:100"} if kind["kind"] == "stream" else {}

    async def scenario(fleet):
        harmless = []
        for number in range(RETRIES):
            await fleet.send(fleet.ports[number % NODES], CRASHING, f"crash-{number}", **headers)
            await settle(fleet)
            harmless.append(await fleet.send(fleet.ports[0], HARMLESS, f"calm-{number}", **headers))
        return fleet.crashes, harmless

    crashes, harmless = run_scenario(run_async, scenario, kind)
    assert MIN_CRASHES <= crashes <= MIN_CRASHES + RETRIES_ALLOWED
    assert harmless == [200] * RETRIES


def test_node_that_starts_later_refuses_the_crashing_request(run_async):
    """Crashes must be remembered after the nodes that saw them have ended: callers may retry for minutes."""

    async def scenario(fleet):
        for number in range(MIN_CRASHES):
            await fleet.send(fleet.ports[number % NODES], CRASHING, f"crash-{number}")
            await settle(fleet)
        await fleet.until(lambda: sum(key.startswith("crash/") for _, key in fleet.store.rows) == MIN_CRASHES)
        port = await fleet.add_node("n9")
        crashes = fleet.crashes
        status = await fleet.send(port, CRASHING, "crash-late")
        return crashes, fleet.crashes, status, await fleet.send(port, HARMLESS, "calm")

    before, after, status, calm = run_scenario(run_async, scenario, UNSAFE)
    assert (before, after, status, calm) == (MIN_CRASHES, MIN_CRASHES, 503, 200)


def test_nodes_report_crashes_to_each_other_while_the_store_refuses_writes(run_async):
    async def scenario(fleet):
        await fleet.until(lambda: len(fleet.node.state.members) == NODES)
        fleet.store.refuse_status = 503
        for number in range(RETRIES):
            await fleet.send(fleet.ports[number % NODES], CRASHING, f"crash-{number}")
            await settle(fleet)
        return fleet.crashes

    assert run_scenario(run_async, scenario, UNSAFE) == MIN_CRASHES


def test_refusal_states_retry_after_and_that_nothing_ran(run_async):
    async def scenario(fleet):
        for number in range(MIN_CRASHES):
            await fleet.send(fleet.ports[0], CRASHING, f"crash-{number}")
            await settle(fleet)
        return await fleet.call(body=CRASHING, X_Request_Id="again")

    status, headers, body = run_scenario(run_async, scenario, UNSAFE)
    assert (status, json.loads(body)["outcome"], headers["X-Request-Id"]) == (503, "not_run", "again")
    assert float(headers["Retry-After"]) > 60


def test_other_requests_on_crashed_workers_are_not_refused(run_async):
    """Their requests are suspect too, until an attempt or a retry of them is answered by another worker."""

    async def scenario(fleet):
        hung = [
            asyncio.create_task(send_slow(fleet, port, f"slow {number}"))
            for number, port in enumerate(fleet.ports * 8)
        ]
        for number in range(MIN_CRASHES + 2):
            await settle(fleet)
            await fleet.send(fleet.ports[number % NODES], CRASHING, f"crash-{number}")
        await asyncio.gather(*hung)
        port = fleet.ports[0]
        return [await fleet.send(port, f"slow {number}".encode(), f"again-{number}") for number in range(len(hung))]

    assert set(run_scenario(run_async, scenario, UNSAFE)) == {200}
