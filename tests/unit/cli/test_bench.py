"""Every experiment that the parser offers has a run."""

import argparse

from wallwell.cli import bench
from wallwell.cli.bench_runs import RUNS


def test_every_experiment_has_a_run():
    parser = argparse.ArgumentParser()
    bench.register(parser.add_subparsers())
    for name in RUNS:
        arguments = ["bench", name, "before", "after"] if name == "compare" else ["bench", name]
        assert parser.parse_args(arguments).bench_command == name
    offered = next(action for action in parser._actions if isinstance(action.choices, dict)).choices["bench"]
    experiments = next(action for action in offered._actions if isinstance(action.choices, dict)).choices
    assert set(experiments) == set(RUNS)
