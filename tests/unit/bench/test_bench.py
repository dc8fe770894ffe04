"""The bench: traces repeat, experiments are checked."""

import pytest

from tests.conftest import EXAMPLES
from wallwell.bench.experiment import load_experiment
from wallwell.bench.profiles import HUTS
from wallwell.bench.workload import GenerationRequest, TraceBuilder
from wallwell.errors import BenchError


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
