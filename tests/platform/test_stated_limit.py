"""A back end whose answers state how many requests per second it accepts from all nodes together.

Guards against nodes that exceed the limit. An engine stated 3.1 requests per second, later 1.8; seven nodes sent it
6 to 8 per second, as many as another engine got, and up to 40 in some 4 s. It refused none, so no caller noticed.
Every node sends prompts with a shared prefix to the engine that has it cached; nodes did not read the limit, nor
count the requests of all nodes to a back end. If only the reading of answers is added, 38 to 47 requests arrive in
4 s where 23 are allowed; if each node applies the limit only to its own requests, 26 and 30.
"""

from __future__ import annotations

import asyncio
import itertools
import random

import pytest

from tests.platform.conftest import CallersPort, config, route
from tests.platform.test_peers import all_know_each_other, second_node
from tests.unit.serving.fakes import event
from wallwell.clock import boot_time_s

LIMIT_PER_S = 3.0
CONTACT_S = 3.0
"""Seconds after the first statement of the limit from which all nodes must respect it."""
WINDOW_S = 4.0
OVERAGE_FACTOR = 1.5
OVERAGE_REQUESTS = 5
"""Requests allowed in a window in addition to ``OVERAGE_FACTOR`` times the limit."""
STATED_S = CONTACT_S + WINDOW_S + 1.0
"""Seconds for which the limit is stated."""
ENDED_S = 1.5
"""Seconds after the end of the limit from which the back end is used as before."""
USED_S = 6.0
"""Seconds for which its requests are counted then. Calls are spread at random: of 170 it gets 57 (standard
deviation 6), of those of a second too few to tell that from its limit."""
PREFIX_PERIOD_S = 0.1
"""Seconds between two prompts that share a prefix and therefore go to the same back end."""
CALL_PERIOD_S = PREFIX_PERIOD_S / 3
"""Seconds between two calls, which are spread over three back ends: each gets three times its limit either way. At
a much higher rate, a window that begins a second before the statement contains more requests than allowed before
any node can know the limit."""
OBJECTIVE_S = 0.4


class LimitedFleet:
    """Three nodes with callers; records the requests at each worker and the answers to callers."""

    def __init__(self, harness, is_stream):
        self.harness = harness
        self.arrivals = {worker.incarnation: [] for worker in harness.workers}
        self.outcomes = []
        """Sending time, status, seconds until the answer, and Retry-After of each request."""
        self._period_s = PREFIX_PERIOD_S if is_stream else CALL_PERIOD_S
        self._headers = {}
        if is_stream:
            self._headers = {"X-Model": "m", "X-Token-Usage": "300,5", "X-Prefix-Hash": "a1:200,b2:100"}
        for worker in harness.workers:
            worker.respond = self._record(worker, is_stream)

    def _record(self, worker, is_stream):
        respond = worker.stream(event(1)) if is_stream else worker.answer_ok

        async def arrive(request):
            self.arrivals[worker.incarnation].append(boot_time_s())
            return await respond(request)

        return arrive

    async def start(self):
        first = self.harness.node
        await first.listen_for_peers("127.0.0.1", [0])
        others = [await second_node(self.harness, name) for name in ("n2", "n3")]
        self.nodes = [first, *others]
        await self.harness.until(lambda: all_know_each_other(self.nodes))
        await self.harness.until(lambda: all(node.is_ready() for node in self.nodes))
        self._others = [CallersPort(node) for node in others]
        for callers in self._others:
            await callers.start()
        self._ports = [self.harness.port, *(callers.port for callers in self._others)]

    async def stop(self):
        for callers, node in zip(self._others, self.nodes[1:], strict=True):
            await callers.runner.cleanup()
            await node.stop()

    async def call_for(self, seconds):
        """Send requests to random nodes without waiting for answers in between."""
        rng = random.Random(1)
        ends_s = boot_time_s() + seconds
        async with asyncio.TaskGroup() as tasks:
            for number in itertools.count():
                if boot_time_s() >= ends_s:
                    return
                tasks.create_task(self._call(rng.choice(self._ports), f"req-{number}"))
                await asyncio.sleep(self._period_s)

    async def _call(self, port, request_id):
        sent_s = boot_time_s()
        status, headers, _ = await self.harness.call(port=port, X_Request_Id=request_id, **self._headers)
        took_s = boot_time_s() - sent_s
        self.outcomes.append((sent_s, status, took_s, float(headers.get("Retry-After", 0))))


def largest_window(times, from_s):
    """Return the largest number of arrivals in any window that ends at ``from_s`` or later."""
    return max(sum(end_s - WINDOW_S < at_s <= end_s for at_s in times) for end_s in times if end_s >= from_s)


def count_between(times, from_s, to_s):
    return sum(from_s <= at_s < to_s for at_s in times)


ALLOWED = OVERAGE_FACTOR * LIMIT_PER_S * WINDOW_S + OVERAGE_REQUESTS


@pytest.mark.parametrize("is_stream", [False, True], ids=["calls", "prompts with one prefix"])
def test_all_nodes_together_respect_a_back_ends_limit_until_it_states_none(on_platform, is_stream):
    async def scenario(harness):
        fleet = LimitedFleet(harness, is_stream)
        await fleet.start()
        await fleet.call_for(1.0)
        limited = max(harness.workers, key=lambda worker: len(fleet.arrivals[worker.incarnation]))
        stated_s = boot_time_s()
        limited.limit_per_s = LIMIT_PER_S
        await fleet.call_for(STATED_S)
        shown = [node.metrics_text().decode() for node in fleet.nodes]
        assert all("wallwell_backends_limited 1.0" in text for text in shown)
        assert not all("wallwell_limited_passed_over_total 0.0" in text for text in shown)
        limited.limit_per_s = None
        await fleet.call_for(ENDED_S + USED_S)
        await fleet.stop()
        return fleet.arrivals[limited.incarnation], stated_s, fleet.outcomes

    routes = [route(kind="stream" if is_stream else "safe", slo_ms=OBJECTIVE_S * 1000)]
    times, stated_s, outcomes = on_platform(scenario, config(routes=routes), workers=3)
    ended_s = stated_s + STATED_S
    while_stated = [at_s for at_s in times if at_s < ended_s]
    assert largest_window(while_stated, stated_s + CONTACT_S) <= ALLOWED
    # It still gets requests at about its limit, and its full share once it states no limit.
    assert count_between(times, stated_s + CONTACT_S, ended_s) >= 0.5 * LIMIT_PER_S * (STATED_S - CONTACT_S)
    assert count_between(times, ended_s + ENDED_S, ended_s + ENDED_S + USED_S) > 2 * LIMIT_PER_S * USED_S
    assert {status for _, status, _, _ in outcomes} == {200}


def test_requests_beyond_the_limits_of_all_back_ends_are_refused_at_once(on_platform):
    async def scenario(harness):
        fleet = LimitedFleet(harness, is_stream=False)
        await fleet.start()
        stated_s = boot_time_s()
        for worker in harness.workers:
            worker.limit_per_s = LIMIT_PER_S
        await fleet.call_for(STATED_S)
        await fleet.stop()
        return fleet.arrivals, stated_s, fleet.outcomes

    routes = [route(slo_ms=OBJECTIVE_S * 1000)]
    arrivals, stated_s, outcomes = on_platform(scenario, config(routes=routes), workers=3)
    for times in arrivals.values():
        assert largest_window(times, stated_s + CONTACT_S) <= ALLOWED
    late = [each for each in outcomes if each[0] >= stated_s + CONTACT_S]
    served = [each for each in late if each[1] == 200]
    refused = [each for each in late if each[1] == 503]
    assert len(served) + len(refused) == len(late)
    assert len(served) >= 0.5 * LIMIT_PER_S * len(arrivals) * (STATED_S - CONTACT_S)
    assert all(retry_after_s > 0 for *_, retry_after_s in refused)
    # Queued for at most half of the objective, then refused without further waiting.
    assert max(took_s for _, _, took_s, _ in refused) < OBJECTIVE_S
