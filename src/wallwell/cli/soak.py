"""``wallwell soak``: runs real routers under random requests and faults and checks invariants.

Runs one generated schedule or those of a regression file, and prints each breach and the command that replays it.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wallwell.soak.run import RunResult
    from wallwell.soak.schedule import Schedule, Shape

MAX_PRINTED_BREACHES = 10
"""Maximum number of breaches printed; all of them are written to the run's folder."""
DEFAULT_SECONDS = 20.0
"""Length of a schedule. The minimum is 15 s, since a schedule includes the recovery of the whole fleet."""
DEFAULT_NODES = 3
"""Smallest fleet that keeps a majority when it loses one node."""
DEFAULT_ENGINES = 4
"""Enough engines that some serve requests while others load weights."""
DEFAULT_INSTANCES = 2
"""Service instances: the minimum that allows a call to be retried on another instance."""
DEFAULT_RATE_PER_S = 40.0
"""Requests per second that all processes of a run can serve on one machine."""

FEATURE_OPTIONS = {
    "--regions": "regions",
    "--rate": "requests_per_s",
    "--crashing": "crashing",
    "--bad-parts": "bad_parts",
    "--skew": "skews",
    "--second-answers": "second_answers",
    "--broken-answers": "broken_answers",
    "--odd-entries": "odd_entries",
    "--group-silences": "group_silences",
    "--kept-connections": "kept_connections",
    "--versions": "versions",
    "--rollout": "rollout",
    "--calm": "calm_s",
}
"""Options that a replay names only if they were given, with the fields of a shape that they set."""


def register(commands: Any) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser("soak", help="run real routers under random requests and faults; check invariants")
    parser.add_argument("--seed", type=int, default=1, help="random seed of the schedule of requests and faults")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="length of the schedule")
    parser.add_argument("--nodes", type=int, default=DEFAULT_NODES)
    parser.add_argument("--engines", type=int, default=DEFAULT_ENGINES)
    parser.add_argument("--instances", type=int, default=DEFAULT_INSTANCES, help="number of service instances")
    parser.add_argument("--regions", type=int, default=1, help="2: two regions joined by a slow, narrow link")
    parser.add_argument("--rate", type=float, default=DEFAULT_RATE_PER_S, help="requests per second")
    parser.add_argument("--crashing", type=int, default=0, help="callers whose requests crash their workers")
    parser.add_argument("--bad-parts", type=int, default=0, help="parts of prompts that crash their workers")
    parser.add_argument("--skew", action="store_true", help="most requests go to one node for some seconds")
    parser.add_argument(
        "--second-answers", action="store_true", help="workers reject now and then, and send answers twice"
    )
    parser.add_argument("--broken-answers", action="store_true", help="workers send what is no answer now and then")
    parser.add_argument(
        "--odd-entries",
        action="store_true",
        help="another writer leaves odd rows in the store, some again and again",
    )
    parser.add_argument(
        "--group-silences", action="store_true", help="groups of sound workers fall silent beside changes of routes"
    )
    parser.add_argument(
        "--kept-connections",
        action="store_true",
        help="callers use open connections until a router is gone, and routers stop as planned in series",
    )
    parser.add_argument("--rollout", default="", help="roll out a version of this kind: good, failing, slow, ...")
    parser.add_argument("--versions", type=int, default=1, help="software versions of engines, side by side")
    parser.add_argument("--calm", type=float, default=0.0, help="fault-free seconds at the end, for a weights roll")
    parser.add_argument("--keep", type=Path, help="folder for schedule, logs and histories, never deleted")
    parser.add_argument("--regressions", type=Path, help="replay the runs of this file instead")
    parser.add_argument("--checkout", type=Path, default=Path(), help="directory that contains deploy/router.py")
    parser.add_argument("--print-schedule", action="store_true", help="print the schedule without running it")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run one schedule or all kept runs. Returns 1 if an invariant was broken, 2 if the folder to use is not empty.
    Raises :class:`wallwell.errors.SoakError`."""
    from wallwell.soak.drawing import draw_schedule
    from wallwell.soak.regressions import load_regressions, schedule_of
    from wallwell.soak.schedule import Shape

    if options.regressions is not None:
        kept_runs = load_regressions(options.regressions)
        print(f"{len(kept_runs)} kept runs")
        statuses = [_run_schedule(schedule_of(kept_run), None, options.checkout) for kept_run in kept_runs]
        return max(statuses, default=0)
    shape = Shape(
        seconds=options.seconds,
        nodes=options.nodes,
        engines=options.engines,
        instances=options.instances,
        regions=options.regions,
        requests_per_s=options.rate,
        crashing=options.crashing,
        notices=True,
        limits=True,
        identities=True,
        silences=True,
        restores=True,
        unframed=True,
        isolation=True,  # Kept runs keep their recorded shape; all other runs have these seven features.
        bad_parts=options.bad_parts,
        skews=options.skew,
        second_answers=options.second_answers,
        broken_answers=options.broken_answers,
        odd_entries=options.odd_entries,
        group_silences=options.group_silences,
        kept_connections=options.kept_connections,
        rollout=options.rollout,
        versions=options.versions,
        calm_s=options.calm,
    )
    schedule = draw_schedule(options.seed, shape)
    if options.print_schedule:
        _print_schedule(schedule)
        return 0
    return _run_schedule(schedule, options.keep, options.checkout)


def _run_schedule(schedule: Schedule, kept_folder: Path | None, checkout: Path) -> int:
    """Run a schedule and return the exit status. The folder is kept if it was given or an invariant was broken."""
    from wallwell.soak.run import run_soak

    _print_schedule(schedule)
    folder = kept_folder or Path(tempfile.mkdtemp(prefix=f"wallwell-soak-{schedule.seed}-"))
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        print(f"{folder} is not empty", file=sys.stderr)
        return 2
    try:
        result = asyncio.run(run_soak(schedule, folder.absolute(), checkout.absolute()))
    except asyncio.CancelledError:
        print(f"interrupted; see {folder}", file=sys.stderr)
        return 1
    _print_result(result)
    if result.found.breaches:
        (folder / "breaches.txt").write_text("\n".join(map(str, result.found.breaches)) + "\n")
        print(f"kept in {folder}; again: {replay_command(schedule)}")
        return 1
    if kept_folder is None:
        shutil.rmtree(folder)
    return 0


def replay_command(schedule: Schedule) -> str:
    """Return the command that replays a schedule. Some shapes of kept runs can only be replayed from their file."""
    shape = schedule.shape
    if not (shape.notices and shape.limits and shape.identities and shape.restores and shape.isolation):
        return f"wallwell soak --regressions FILE, with seed {schedule.seed} and {shape} in the file"
    size = (
        f"--seconds {shape.seconds:g} --nodes {shape.nodes} --engines {shape.engines} --instances {shape.instances}"
    )
    return " ".join([f"wallwell soak --seed {schedule.seed}", size, *_feature_options(shape)])


def _feature_options(shape: Shape) -> Iterator[str]:
    """Yield the options of the features in which a shape differs from the default."""
    from wallwell.soak.schedule import Shape

    default = Shape()
    for option, field in FEATURE_OPTIONS.items():
        value = getattr(shape, field)
        if value == getattr(default, field):
            continue
        yield option if value is True else f"{option} {_number_text(value)}"


def _number_text(value: float | str) -> str:
    """Return a value as it is typed: 18 rather than 18.0."""
    return f"{value:g}" if isinstance(value, float) else str(value)


def _print_schedule(schedule: Schedule) -> None:
    print(f"{replay_command(schedule)}: {len(schedule.requests)} requests, {len(schedule.faults)} faults")
    steps = [(fault.at_s, str(fault)) for fault in schedule.faults]
    steps += [(operation.at_s, str(operation)) for operation in schedule.operations]
    steps += [(row.at_s, str(row)) for row in schedule.odd_rows]
    for _, step in sorted(steps):
        print(f"  {step}")


def _print_result(result: RunResult) -> None:
    print(f"{result.requests} requests, {result.served} served whole; {len(result.found.breaches)} breaches")
    cases = ", ".join(f"{name} {count}" for name, count in result.found.cases.items())
    print(f"  cases checked: {cases}")
    if result.found.stops["stops"]:
        stops = ", ".join(f"{name} {count}" for name, count in result.found.stops.items())
        print(f"  around planned stops: {stops}")
    untested = [name for name, count in result.found.cases.items() if not count]
    print(f"  not tested by this run: {', '.join(untested) or 'none'}")
    uses = result.found.cases["isolated_share_nothing"]
    across = sum(breach.invariant == "isolated_share_nothing" for breach in result.found.breaches)
    print(f"  uses of parts between tenants: {uses}, with an isolated one: {across}")
    for breach in result.found.breaches[:MAX_PRINTED_BREACHES]:
        print(f"  {breach}")
