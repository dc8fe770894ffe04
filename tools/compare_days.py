"""Runs the same days of the users' bench with the same seeds on several checkouts and compares them in pairs.

    python3 tools/compare_days.py --bench PROGRAM --site SITE.toml --days scale-1,scale-2 --seeds 1,2,3 \\
        base=../base candidate=../candidate [--no-cpu] [--jobs 7] [--why TEXT]

The first checkout is the baseline. The tables show worth, because scores stop at 1 and hide differences above that.
A difference is the mean over the pairs (same day, same seed), ``+-`` is its standard error.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import subprocess
import sys
import tempfile
from collections import defaultdict
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

MIN_SHOWN_DIFFERENCE = 0.002
"""Smaller differences of a part, price or other figure are left out of the tables."""


@dataclass(frozen=True)
class Checkout:
    """A working tree to measure, and its name in the tables."""

    name: str
    path: Path


@dataclass(frozen=True)
class DayRun:
    """One run of a day: a checkout, site, day and seed."""

    checkout: Checkout
    site: Path
    day: str
    seed: int


@dataclass(frozen=True)
class DayResult:
    """Result of one run. ``figures`` holds parts and prices of worth by name; prices are negative."""

    worth: float
    broken_rules: tuple[str, ...]
    figures: dict[str, float]


@dataclass(frozen=True)
class RunOptions:
    """Options common to all runs."""

    bench: Path
    no_cpu: bool
    small_days: bool
    why: str


def run_day(task: DayRun, options: RunOptions) -> DayResult | None:
    """Run one day and return its result, or None if the bench wrote no report."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [str(options.bench), "run", str(task.site), task.day, "--seed", str(task.seed)]
        command += ["--report", report.name, "--why", f"{options.why}: {task.checkout.name}", "--jobs", "1"]
        if options.no_cpu:
            command.append("--no-cpu")
        if options.small_days:
            command.append("--small")
        completed = subprocess.run(command, cwd=task.checkout.path, capture_output=True, text=True, check=False)
        text = Path(report.name).read_text()
    if not text:
        print(f"no report of {task}: {(completed.stderr or completed.stdout)[-400:]}", file=sys.stderr)
        return None
    return read_report(json.loads(text))


def read_report(report: dict[str, Any]) -> DayResult:
    """Return the result in a report. Parts of worth are multiplied by their weights."""
    figures = {f"part: {name}": value * weight for name, weight, value in report["parts"]}
    figures.update({f"price: {name}": -loss for name, _, loss in report["prices"]})
    figures["served"] = report["served"]
    figures["failed"] = report["failed"]
    figures["refused"] = report["refused"]
    broken_rules = tuple(f"{rule} {count}" for rule, count in report["breaks"].items())
    if report.get("fault"):
        broken_rules += (f"fault {report['fault']}",)
    return DayResult(report["G"], broken_rules, figures)


def mean_and_error(values: Sequence[float]) -> tuple[float, float]:
    """Return the mean and its standard error, which is 0 for a single value."""
    error = statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else 0.0
    return statistics.fmean(values), error


class Comparison:
    """Results by checkout, site and day, then by seed."""

    def __init__(self, checkouts: Sequence[Checkout]) -> None:
        self._checkouts = checkouts
        self._results: dict[tuple[str, str, str], dict[int, DayResult]] = defaultdict(dict)

    def add(self, task: DayRun, result: DayResult) -> None:
        """Add the result of one run."""
        self._results[task.checkout.name, task.site.stem, task.day][task.seed] = result

    def table_lines(self, site: str, days: Iterable[str]) -> list[str]:
        """Return the tables of one site as lines of text."""
        lines = [f"{site}: worth, mean over seeds, spread of single days, difference of pairs"]
        for day in days:
            lines += self._day_lines(site, day)
        return lines

    def _day_lines(self, site: str, day: str) -> list[str]:
        base = self._results[self._checkouts[0].name, site, day]
        lines = []
        for checkout in self._checkouts:
            results = self._results[checkout.name, site, day]
            if not results:
                continue
            worths = [each.worth for each in results.values()]
            spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
            line = (
                f"  {day:10} {checkout.name:12} {statistics.fmean(worths):.3f} (sd {spread:.3f}, n {len(worths)})"
            )
            pairs = sorted(base.keys() & results.keys()) if results is not base else []
            if pairs:
                mean, error = mean_and_error([results[seed].worth - base[seed].worth for seed in pairs])
                line += f"  {mean:+.3f} +- {error:.3f}"
            line += f"  served {statistics.fmean(each.figures['served'] for each in results.values()):.4f}"
            lines.append(line + _broken_rules_text(results))
            lines += _difference_lines(base, results, pairs)
        return lines


def _broken_rules_text(results: dict[int, DayResult]) -> str:
    broken = [f"{seed}: {', '.join(each.broken_rules)}" for seed, each in results.items() if each.broken_rules]
    return f"  BROKEN {'; '.join(broken)}" if broken else ""


def _difference_lines(base: dict[int, DayResult], results: dict[int, DayResult], pairs: Sequence[int]) -> list[str]:
    lines = []
    names = sorted({name for seed in pairs for name in results[seed].figures})
    for name in names:
        differences = [results[seed].figures.get(name, 0.0) - base[seed].figures.get(name, 0.0) for seed in pairs]
        mean, error = mean_and_error(differences)
        if abs(mean) >= MIN_SHOWN_DIFFERENCE:
            lines.append(f"      {name:55} {mean:+.4f} +- {error:.4f}")
    return lines


def parse_checkout(text: str) -> Checkout:
    """Parse ``NAME=PATH``; a text without ``=`` is both name and path."""
    name, _, path = text.partition("=")
    return Checkout(name, Path(path or name))


def main() -> int:
    """Run all days and print the tables. Returns 1 if a run wrote no report."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("checkouts", nargs="+", type=parse_checkout, metavar="NAME=PATH")
    parser.add_argument("--bench", type=Path, required=True, help="the users' bench program")
    parser.add_argument("--site", type=Path, action="append", required=True, help="a site file; can be repeated")
    parser.add_argument("--days", required=True, help="names of days, separated by commas")
    parser.add_argument("--seeds", required=True, help="integers, separated by commas")
    parser.add_argument("--no-cpu", action="store_true", help="charge no CPU time, so that runs are repeatable")
    parser.add_argument("--small", action="store_true", help="run the small variants of large days")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", default="paired comparison")
    arguments = parser.parse_args()
    options = RunOptions(arguments.bench.resolve(), arguments.no_cpu, arguments.small, arguments.why)
    days = arguments.days.split(",")
    tasks = [
        DayRun(checkout, site.resolve(), day, int(seed))
        for site in arguments.site
        for seed in arguments.seeds.split(",")
        for day in days
        for checkout in arguments.checkouts
    ]
    comparison = Comparison(arguments.checkouts)
    with ThreadPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(lambda task: run_day(task, options), tasks))
    for task, result in zip(tasks, results, strict=True):
        if result is not None:
            comparison.add(task, result)
    for site in arguments.site:
        print("\n".join(comparison.table_lines(site.stem, days)))
    return 1 if any(result is None for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
