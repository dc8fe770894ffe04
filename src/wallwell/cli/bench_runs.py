"""Implementation of the subcommands of ``wallwell bench``. Importing this module requires the extra ``bench``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

import msgspec

from wallwell.bench.experiment import ExperimentResult, load_experiment, run_experiment, table
from wallwell.bench.overhead import overhead_text, run_overhead
from wallwell.bench.report import compare_text, html_report
from wallwell.events import configure_logging


def print_progress(text: str) -> None:
    """Print a progress message to standard error."""
    print(text, file=sys.stderr)


def run_experiments(options: argparse.Namespace) -> int:
    """Run experiments, write their results as JSON and HTML, and print their tables. Returns the exit status."""
    configure_logging("ERROR", json_lines=False)
    paths = options.experiment
    if options.all:
        paths = sorted((options.examples / "experiments").glob("*.yaml"))
    results = [run_experiment(load_experiment(path), options.examples, print_progress) for path in paths]
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
    options.output.with_suffix(".html").write_text(html_report(results), encoding="utf-8")
    for result in results:
        print(table(result))
    return 0


def run_overhead_command(options: argparse.Namespace) -> int:
    """Measure and print the overhead of a router. Returns the exit status."""
    configure_logging("ERROR", json_lines=False)
    print(overhead_text(run_overhead(options.examples, options.quick, print_progress)))
    return 0


def run_compare(options: argparse.Namespace) -> int:
    """Print the differences between two result files. Returns the exit status."""
    before, after = (
        msgspec.json.decode(path.read_bytes(), type=list[ExperimentResult])
        for path in (options.before, options.after)
    )
    print(compare_text(before, after), end="")
    return 0


SUBCOMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "overhead": run_overhead_command,
    "compare": run_compare,
    "run": run_experiments,
}
"""The function that runs each subcommand of ``wallwell bench`` and returns the exit status."""
