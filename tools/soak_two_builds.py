"""Runs soak tests in which two builds of the router run side by side while one replaces the other.

    python3 tools/soak_two_builds.py --production ../before --seeds 1201,1202 [--nodes 4] [--seconds 25]

Each node starts with the build in ``--production``. The nodes are stopped as planned one by one, and a node that
has ended for any reason restarts with the build of this checkout. The exit status is 1 if an invariant is
broken. Nodes of the older build may break invariants on features that only the newer build has.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

import msgspec

from wallwell.soak.drawing import draw_schedule
from wallwell.soak.run import RunResult, run_soak
from wallwell.soak.schedule import RECOVERY_S, SHOWN_RECOVERED_S, FaultKind, PlannedFault, Schedule, Shape

FIRST_REPLACEMENT_S = 2.0
"""Seconds until the first node is replaced. The last one is replaced shortly before all nodes are killed."""
MIN_SEPARATION_S = 4.0
"""Minimum seconds between the planned stop of a node and its other faults. A process that gets the stop signal
before it has started is ended by the signal itself."""
CHECKOUT = Path(__file__).resolve().parents[1]


def add_planned_stops(schedule: Schedule) -> Schedule:
    """Return the schedule with a planned stop of each node, one after the other, and without other faults of that
    node around its stop."""
    shape = schedule.shape
    span_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - FIRST_REPLACEMENT_S
    planned_stops = [
        PlannedFault(round(FIRST_REPLACEMENT_S + index * span_s / shape.nodes, 2), 0.0, FaultKind.STOP_NODE, node)
        for index, node in enumerate(shape.node_names())
    ]
    stop_s = {stop.target: stop.at_s for stop in planned_stops}
    # The node's process must have started before the stop.
    other_faults = [
        fault
        for fault in schedule.faults
        if abs(fault.at_s - stop_s.get(fault.target, float("inf"))) > MIN_SEPARATION_S
    ]
    faults = sorted([*other_faults, *planned_stops], key=lambda fault: fault.at_s)
    return msgspec.structs.replace(schedule, faults=tuple(faults))


def run_seed(seed: int, shape: Shape, folder: Path, production: Path) -> RunResult:
    """Run the schedule of one seed in a new folder and return the result."""
    folder.mkdir(parents=True)
    schedule = add_planned_stops(draw_schedule(seed, shape))
    return asyncio.run(run_soak(schedule, folder, CHECKOUT, production.absolute()))


def main() -> int:
    """Run all seeds and print the results. Returns 1 if an invariant was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--production", type=Path, required=True, help="checkout of the build that nodes start with"
    )
    parser.add_argument("--seeds", required=True, help="integers, separated by commas")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--crashing", type=int, default=0)
    parser.add_argument(
        "--without-restores", action="store_true", help="never restore the store from an older copy"
    )
    parser.add_argument("--keep", type=Path, help="folder that holds one folder per run")
    options = parser.parse_args()
    folder = options.keep or Path(tempfile.mkdtemp(prefix="wallwell-two-builds-"))
    shape = Shape(
        seconds=options.seconds,
        nodes=options.nodes,
        crashing=options.crashing,
        notices=True,
        limits=True,
        identities=True,
        silences=True,
        restores=not options.without_restores,
        isolation=True,
    )
    is_broken = False
    for seed in map(int, options.seeds.split(",")):
        result = run_seed(seed, shape, folder.absolute() / str(seed), options.production)
        cases = sum(result.found.cases.values())
        print(f"{seed}: {result.requests} requests, {result.served} served whole, {cases} cases", flush=True)
        for breach in result.found.breaches:
            print(f"  {breach}", flush=True)
        is_broken = is_broken or bool(result.found.breaches)
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
