"""The bench: seeded runs repeat, experiments are checked."""

import pytest

from tests.conftest import EXAMPLES
from wallwell.bench.experiment import load_experiment
from wallwell.bench.simulation import EngineFault, PriorityTerms, Simulation, SimulationSettings
from wallwell.bench.workload import HUTS, PHARMACY, GenerationRequest, TraceBuilder
from wallwell.config.schema import Objective
from wallwell.emulator.engine_model import EngineProfile
from wallwell.errors import BenchError

TERMS = {
    priority: PriorityTerms(rank, Objective(), 30.0)
    for rank, priority in enumerate(("prescription-check", "customer-question", "staff-question"))
}


def small_run(policy, **conditions):
    trace = [r for r in TraceBuilder(PHARMACY, 3).build(200, 30.0) if isinstance(r, GenerationRequest)]
    settings = SimulationSettings(("a", "b"), (2, 2), policy, 3, profile=EngineProfile(), **conditions)
    return Simulation(settings, TERMS).run(trace)


def summary(result):
    return [(record.first_token_s, record.cached_tokens, record.attempts) for record in result.records]


def test_a_run_is_the_same_every_time():
    assert summary(small_run("expected_first_token")) == summary(small_run("expected_first_token"))


@pytest.mark.parametrize(
    "policy", ["expected_first_token", "round_robin", "least_loaded", "prefix_affinity", "oracle"]
)
def test_every_policy_serves_everything_through_crashes_and_lost_events(policy):
    result = small_run(policy, crashes=(EngineFault(2.0, 1), EngineFault(2.5, 1)), drop_event_ratio=0.3)
    assert all(record.finished_s is not None for record in result.records)


def test_the_policy_finds_more_cached_than_round_robin():
    cached = [sum(r.cached_tokens for r in small_run(p).records) for p in ("expected_first_token", "round_robin")]
    assert cached[0] > 1.3 * cached[1]


def test_traces_repeat_and_share_prefixes():
    first, again = (TraceBuilder(HUTS, 5).build(400, 10.0) for _ in range(2))
    assert first == again
    prompts = [r.prompt for r in first if isinstance(r, GenerationRequest)]
    assert len({prompt[:1000] for prompt in prompts}) < len(prompts) / 2
    assert len(set(prompts)) == len(prompts)


def test_experiments_are_checked(tmp_path):
    for path in (EXAMPLES / "experiments").glob("*.yaml"):
        load_experiment(path)
    bad = tmp_path / "bad.yaml"
    bad.write_text("name: x\ndeployment: pharmacy\nrequests: 0\nspeed: 3\n")
    with pytest.raises(BenchError) as error:
        load_experiment(bad)
    for expected in ("requests", "speed", "rate_per_s"):
        assert expected in str(error.value)
