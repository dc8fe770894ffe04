"""``wallwell bench``: experiments that compare routing policies, and a measurement of router overhead."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from wallwell.cli.extras import needs_extra

EXTRA = "bench"


def register(commands: Any) -> None:
    """Add the command and its subcommands to the parser."""
    parser = commands.add_parser("bench", help="experiments and measurements")
    subcommands = parser.add_subparsers(dest="bench_command", required=True, metavar="EXPERIMENT")
    parser.set_defaults(run=run)
    overhead = subcommands.add_parser("overhead", help="measure the overhead of a router over sockets")
    overhead.add_argument("--quick", action="store_true")
    overhead.add_argument("--examples", type=Path, default=Path("examples"))
    compare = subcommands.add_parser("compare", help="compare two result files of `bench run`")
    compare.add_argument("before", type=Path)
    compare.add_argument("after", type=Path)
    experiment = subcommands.add_parser("run", help="compare routing policies over sockets")
    experiment.add_argument("experiment", type=Path, nargs="*")
    experiment.add_argument("--all", action="store_true", help="run every file of examples/experiments")
    experiment.add_argument("--examples", type=Path, default=Path("examples"))
    experiment.add_argument("--output", type=Path, default=Path("out/bench.json"))


def run(options: argparse.Namespace) -> int:
    """Run the subcommand and return its exit status. Raises :class:`wallwell.errors.ExtraMissingError`."""
    with needs_extra(EXTRA):
        from wallwell.cli import bench_runs
    return bench_runs.SUBCOMMANDS[options.bench_command](options)
