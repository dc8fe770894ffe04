"""Each routing policy on a whole deployment over sockets, with faults and without."""

import asyncio

import msgspec
import pytest

from tests.conftest import EXAMPLES
from tests.contract.conftest import FAST
from wallwell.bench.experiment import ExperimentResult, ExperimentSpec, run_experiment, table
from wallwell.bench.load import LoadDriver
from wallwell.bench.profiles import PHARMACY
from wallwell.bench.workload import TraceBuilder
from wallwell.emulator.deployment import EmulatedDeployment
from wallwell.emulator.engine_output import generated_word


@pytest.mark.parametrize("policy", ["expected_first_token", "round_robin", "least_loaded", "prefix_affinity"])
def test_every_policy_serves_everything_through_crashes_and_lost_events(policy):
    async def play():
        fleet = EmulatedDeployment(EXAMPLES / "pharmacy", policy=policy, profile=FAST)
        try:
            await fleet.start()
            for name in fleet.engines:
                fleet.engine(name).faults.set(drop_event_ratio=0.3)
            driver = LoadDriver(
                lambda: [router.callers_address for router in fleet.routers],
                token_of=lambda tenant: f"demo-{tenant}",
                expected_word=generated_word,
            )
            load = asyncio.create_task(driver.run(TraceBuilder(PHARMACY, 3).build(120, 40.0)))
            for _ in range(2):
                await asyncio.sleep(1.0)
                fleet.engine(list(fleet.engines)[1]).crash()
            return await load
        finally:
            await fleet.stop()

    result = asyncio.run(asyncio.wait_for(play(), 40))
    assert result.outcomes() == {"completed": 120}
    assert result.violations == []


def test_the_policy_finds_more_cached_than_round_robin():
    policies = ("expected_first_token", "round_robin")
    spec = ExperimentSpec("short", "pharmacy", 150, 40.0, seeds=(3,), policies=policies, warm_up_s=1.0)
    result = run_experiment(spec, EXAMPLES, lambda _text: None, FAST)
    own, baseline = (result.of(policy) for policy in policies)
    assert own.hit_rate > 1.3 * baseline.hit_rate
    for each in (own, baseline):
        assert (each.lost, each.refused) == (0, 0)
        assert 0 < each.requests < spec.requests
        assert each.by_priority[result.top_priority][0] > 0
        assert each.policy in table(result)
    assert msgspec.json.decode(msgspec.json.encode(result), type=ExperimentResult) == result
