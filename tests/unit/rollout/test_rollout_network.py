"""Complete rollouts with the real planner and traffic: how many requests a version gets that turns bad."""

import asyncio
import random

import pytest

from tests.unit.rollout.fleet import run_scenario
from wallwell.clock import boot_time_s
from wallwell.rollout.model import Phase, RolloutBounds
from wallwell.rollout.planner import RolloutPlanner

BOUNDS = RolloutBounds(exposure_share=0.1, exposure_requests=50, rollback_s=5.0)
NODES = 10
REQUESTS_PER_S = 20
"""Requests per second at each node."""
DURATION_S = 20.0
TICK_S = 0.05
BAD_ANSWERS = 50
"""Number of bad answers after which a version may get requests for at most ``rollback_s`` more."""


class Traffic:
    """Requests at every node, answered at once; the target version fails part of them from ``bad_from_s`` on."""

    def __init__(self, fleet, failed_part=0.3, bad_from_s=float("inf")):
        self.fleet = fleet
        self.failed_part = failed_part
        self.rng = random.Random(5)
        self.started_s = boot_time_s()
        self.bad_from_s = self.started_s + bad_from_s
        self.requests = 0
        self.target_sent_s: list[float] = []
        self.failed_s: list[float] = []
        self.task = asyncio.create_task(self._run())

    async def _run(self):
        while True:
            await asyncio.sleep(TICK_S)
            for node in self.fleet.nodes:
                for _ in range(round(REQUESTS_PER_S * TICK_S)):
                    self._request(node)

    def _request(self, node):
        now_s = boot_time_s()
        self.requests += 1
        is_target = node.registry.active["svc"].draws_target(node.state.rng, now_s)
        tally = node.registry.tally.by_service.get("svc")
        fails = is_target and now_s >= self.bad_from_s and self.rng.random() < self.failed_part
        if is_target:
            self.target_sent_s.append(now_s)
        if fails:
            self.failed_s.append(now_s)
        if tally is None:
            return
        tally.on_sent(is_target)
        counts = tally.source_counts("r", is_target, f"svc-v2-{self.rng.randrange(3)}")
        counts.answered += 1
        counts.failed += fails
        counts.first_delays[8] += 1

    def exposure(self):
        """Return the number of requests that the target version got, as a fraction of its bound."""
        return len(self.target_sent_s) / (BOUNDS.exposure_share * self.requests + BOUNDS.exposure_requests)


def run(bad_from_s=float("inf"), on_bad=None, failed_part=0.3):
    """Run a rollout to its end and return the fleet's last record, the traffic and the duration in seconds."""

    async def scenario(fleet):
        fleet.order(duration_s=DURATION_S)
        await asyncio.sleep(0.01)
        traffic = Traffic(fleet, failed_part, bad_from_s)
        if on_bad is not None:
            await fleet.until(lambda: boot_time_s() >= traffic.bad_from_s)
            on_bad(fleet)
        await fleet.until(lambda: fleet.record() is not None and fleet.record().phase.is_final)
        took_s = boot_time_s() - traffic.started_s
        await asyncio.sleep(1.0)
        traffic.task.cancel()
        return fleet.record(), traffic, took_s

    return run_scenario(scenario, nodes=NODES, make_planner=lambda: RolloutPlanner(BOUNDS))


def test_a_good_version_is_complete_by_the_deadline():
    record, _, took_s = run()
    assert record.phase is Phase.COMPLETE
    assert took_s <= DURATION_S


@pytest.mark.parametrize("bad_from_s", [0.0, 2.0, 6.0, 12.0, 17.0])
def test_a_version_that_turns_bad_gets_no_more_than_its_bound(bad_from_s):
    record, traffic, _ = run(bad_from_s)
    assert record.phase is Phase.ROLLED_BACK, record.reason
    assert traffic.exposure() <= 1.0


@pytest.mark.parametrize("bad_from_s", [3.0, 8.0, 17.0])
def test_a_bad_version_gets_no_request_long_after_its_50th_bad_answer_although_the_holder_is_killed(bad_from_s):
    def kill_holder(fleet):
        if fleet.holder is not None:
            fleet.kill(fleet.holder)

    record, traffic, _ = run(bad_from_s, kill_holder)
    assert record.phase is Phase.ROLLED_BACK, record.reason
    late = [at_s for at_s in traffic.target_sent_s if len(traffic.failed_s) >= BAD_ANSWERS]
    if late:
        assert late[-1] - traffic.failed_s[BAD_ANSWERS - 1] <= BOUNDS.rollback_s
    assert traffic.exposure() <= 1.0
