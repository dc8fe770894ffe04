"""Tests that the parser and the function table of ``wallwell bench`` have the same subcommands."""

import argparse

from wallwell.cli import bench
from wallwell.cli.bench_runs import SUBCOMMANDS


def test_every_subcommand_has_a_function():
    parser = argparse.ArgumentParser()
    bench.register(parser.add_subparsers())
    for name in SUBCOMMANDS:
        arguments = ["bench", name, "before", "after"] if name == "compare" else ["bench", name]
        assert parser.parse_args(arguments).bench_command == name
    bench_parser = next(action for action in parser._actions if isinstance(action.choices, dict)).choices["bench"]
    subcommands = next(action for action in bench_parser._actions if isinstance(action.choices, dict)).choices
    assert set(subcommands) == set(SUBCOMMANDS)
