"""Plays soak runs in which two builds of the router run side by side while one replaces the other.

    python3 tools/soak_two_builds.py --production ../before --seeds 1201,1202 [--nodes 4] [--seconds 25]

Each node starts with the build in ``--production``; whenever a fault of the run has ended it, it starts again with
the build of this tree. The end of all nodes, some seconds before the end of each run, replaces the rest. Status 1
if an invariant is broken. Invariants on what only the newer build does may be broken by nodes of the older one.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from wallwell.soak.drawing import draw_schedule
from wallwell.soak.run import RunResult, run_soak
from wallwell.soak.schedule import Shape

ROOT = Path(__file__).resolve().parents[1]


def play(seed: int, shape: Shape, folder: Path, production: Path) -> RunResult:
    """Play one run in a folder of its own."""
    folder.mkdir(parents=True)
    return asyncio.run(run_soak(draw_schedule(seed, shape), folder, ROOT, production.absolute()))


def main() -> int:
    """Play all runs and print what each found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--production", type=Path, required=True, help="tree of the build that nodes start with")
    parser.add_argument("--seeds", required=True, help="separated by commas")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--crashing", type=int, default=0)
    parser.add_argument("--without-restores", action="store_true", help="the store never comes back from a copy")
    parser.add_argument("--keep", type=Path, help="where the folders of the runs go")
    options = parser.parse_args()
    folder = options.keep or Path(tempfile.mkdtemp(prefix="wallwell-two-builds-"))
    shape = Shape(
        seconds=options.seconds,
        nodes=options.nodes,
        crashing=options.crashing,
        notices=True,
        limits=True,
        identities=True,
        restores=not options.without_restores,
    )
    is_broken = False
    for seed in map(int, options.seeds.split(",")):
        result = play(seed, shape, folder.absolute() / str(seed), options.production)
        cases = sum(result.found.cases.values())
        print(f"{seed}: {result.requests} requests, {result.served} served whole, {cases} cases", flush=True)
        for breach in result.found.breaches:
            print(f"  {breach}", flush=True)
        is_broken = is_broken or bool(result.found.breaches)
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
