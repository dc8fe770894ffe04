"""Workers that fall over once they have to refuse too many requests in a second, of all nodes together.

Guards against nodes that each send what would be harmless alone: three nodes under a demand of several times what
the workers can do are refused dozens of times a second.
"""

from __future__ import annotations

import asyncio
import itertools

from aiohttp import web

from tests.platform.conftest import CallersPort, config, route
from tests.platform.test_peers import all_know_each_other, second_node
from wallwell.clock import boot_time_s

SLOTS = 4
WORK_S = 0.1
TOLERATED = 2
WORKERS = 3
MAX_FALLS = 2 + WORKERS / 10
CAPACITY_PER_S = WORKERS * SLOTS / WORK_S
CALM_S = 1.0
PRESSED_S = 4.0


def brittle_worker(worker):
    async def respond(request):
        await asyncio.sleep(WORK_S)
        return web.Response(body=b"ok", headers=worker.headers(request))

    worker.slots = SLOTS
    worker.brittle_per_s = TOLERATED
    worker.respond = respond


def test_brittle_workers_under_too_much_demand_do_not_fall_and_callers_are_refused_at_once(on_platform):
    async def scenario(harness):
        for worker in harness.workers:
            brittle_worker(worker)
            harness.publish(worker)
        first = harness.node
        await first.listen_for_peers("127.0.0.1", [0])
        others = [await second_node(harness, name) for name in ("n2", "n3")]
        nodes = [first, *others]
        await harness.until(lambda: all_know_each_other(nodes))
        await harness.until(lambda: all(node.is_ready() for node in nodes))
        callers = [CallersPort(node) for node in others]
        for each in callers:
            await each.start()
        ports = itertools.cycle([harness.port, *(each.port for each in callers)])
        results = []

        async def call(number):
            sent_s = boot_time_s()
            status, headers, _ = await harness.call(port=next(ports), X_Request_Id=f"r{number}")
            results.append((sent_s, status, boot_time_s() - sent_s, headers.get("Retry-After")))

        async def call_for(seconds, per_s):
            ends_s = boot_time_s() + seconds
            async with asyncio.TaskGroup() as tasks:
                while boot_time_s() < ends_s:
                    tasks.create_task(call(len(results) + len(tasks._tasks) * 100_000))
                    await asyncio.sleep(1 / per_s)

        await call_for(CALM_S, CAPACITY_PER_S / 5)
        calm = list(results)
        results.clear()
        await call_for(PRESSED_S, CAPACITY_PER_S * 3)
        for each, node in zip(callers, others, strict=True):
            await each.runner.cleanup()
            await node.stop()
        return calm, results, sum(worker.falls for worker in harness.workers)

    routes = [route(kind="safe", attempts=2, slo_ms=400)]
    calm, pressed, falls = on_platform(scenario, config(routes=routes), workers=WORKERS)
    assert {status for _, status, _, _ in calm} == {200}
    assert falls <= MAX_FALLS
    assert {status for _, status, _, _ in pressed} == {200, 503}
    assert sum(status == 200 for _, status, _, _ in pressed) > 0.5 * CAPACITY_PER_S * PRESSED_S
    refused = [each for each in pressed if each[1] == 503]
    assert all(float(retry_after) > 0 for *_, retry_after in refused)
    assert sorted(took_s for _, _, took_s, _ in refused)[len(refused) // 2] < 0.25
