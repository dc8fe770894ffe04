"""Partitions of nodes from all workers, drawn from a seed, in series and overlapping, beside other faults.

Holds what must be true whatever is drawn: a request that must not be repeated runs at most once, a refused one has
not run, an answer is whole, a node that has been cut off for long serves its callers like the others, and brittle
workers fall seldom. More seeds are played by hand: ``python -m tests.platform.test_drawn_partitions FIRST LAST``.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from dataclasses import dataclass, field

import pytest

from tests.platform.conftest import PlatformHarness, config
from tests.platform.test_partitioned_nodes import CONTACT_S, KINDS, MIN_SERVED_RATIO, PartitionedFleet
from wallwell.clock import boot_time_s

PLAYED_S = 9.0
"""Seconds with faults; the last cut has ended by then."""
SETTLED_S = 3.0
"""Seconds after the last fault from which everything must be served."""
CUT_S = (0.3, 6.0)
"""Shortest and longest cut in seconds."""
LONG_CUTS = 0.5
"""Part of the seeds with a cut that lasts until it must not show any more, and some more."""
BRITTLE_S = 3.0
TOLERATED = 2
SLOTS = 2
WORK_S = 0.06
"""Time of a request; half of the slots are in use on average."""
MAX_FAILED = 10
"""Failed first tries at cut nodes that are allowed, besides one in 50."""
REFUSED = (429, 503)
LONG_CUT_SEEDS = (26, 50)
"""Seeds with a cut that is long enough for the service of cut nodes to be compared."""
MIN_COMPARED = 20
"""Requests at cut nodes, and at others meanwhile, that must be compared in these seeds."""


@dataclass
class Cut:
    """One partition of some nodes from all workers."""

    at_s: float
    ends_s: float
    how: str
    nodes: tuple[int, ...]


@dataclass
class Plan:
    """All that is drawn for one run; times in seconds from its begin."""

    cuts: list[Cut] = field(default_factory=list)
    broken_peers: list[tuple[float, int]] = field(default_factory=list)
    """When a node drops all attempts that it makes for peers."""
    brittle_from_s: float = 0.0


def draw(seed):
    rng = random.Random(f"{seed}/partitions")
    plan = Plan(brittle_from_s=rng.uniform(0.0, PLAYED_S - BRITTLE_S))
    for number in range(rng.randint(2, 4)):
        is_long = number == 0 and rng.random() < LONG_CUTS
        lasts_s = CUT_S[1] if is_long else rng.uniform(*CUT_S) / 2
        at_s = rng.uniform(0.0, PLAYED_S - lasts_s)
        nodes = tuple(rng.sample(range(3), k=rng.choice((1, 2)) if is_long else rng.randint(1, 3)))
        plan.cuts.append(Cut(at_s, at_s + lasts_s, rng.choice(("hangs", "resets", "refuses")), nodes))
    plan.broken_peers = [(rng.uniform(0.5, PLAYED_S), rng.randrange(3)) for _ in range(rng.randint(0, 3))]
    return plan


class Run:
    """Plays one plan on a fleet."""

    def __init__(self, fleet, plan):
        self.fleet = fleet
        self.plan = plan
        self._cuts = [0] * 3
        """Cuts in force, by node: they overlap."""
        self.compared = 0, 0
        """Requests at nodes cut off for long, and at others meanwhile, whose service was compared."""

    async def play(self):
        self.began_s = boot_time_s()
        async with asyncio.TaskGroup() as tasks:
            for cut in self.plan.cuts:
                tasks.create_task(self._cut(cut))
            for at_s, index in self.plan.broken_peers:
                tasks.create_task(self._break_peer(at_s, index))
            tasks.create_task(self._be_brittle())
            await self.fleet.call_for(PLAYED_S + SETTLED_S + 1.0)

    async def _until(self, at_s):
        await asyncio.sleep(self.began_s + at_s - boot_time_s())

    async def _cut(self, cut):
        await self._until(cut.at_s)
        for index in cut.nodes:
            self._cuts[index] += 1
            self.fleet.links[index].cut(cut.how)
        await self._until(cut.ends_s)
        for index in cut.nodes:
            self._cuts[index] -= 1
            if not self._cuts[index]:
                self.fleet.links[index].heal()

    async def _break_peer(self, at_s, index):
        await self._until(at_s)
        self.fleet.nodes[index]._peer_server.abort_streams()

    async def _be_brittle(self):
        await self._until(self.plan.brittle_from_s)
        for worker in self.fleet.harness.workers:
            worker.brittle_per_s = TOLERATED
        await self._until(self.plan.brittle_from_s + BRITTLE_S)
        for worker in self.fleet.harness.workers:
            worker.brittle_per_s = None


def breaches(run):
    """Yield what does not hold, as text."""
    fleet = run.fleet
    for request_id, times in fleet.runs.items():
        if request_id.startswith("unsafe") and times > 1:
            yield f"{request_id} ran {times} times"
    for _, _, _, status, request_id in fleet.ended:
        if request_id.startswith("unsafe") and status in REFUSED and fleet.runs[request_id]:
            yield f"{request_id} was refused with {status} and ran"
    late = [each for each in fleet.ended if each[2] >= run.began_s + PLAYED_S + SETTLED_S]
    yield from (
        f"{request_id} ended with {status} after the faults" for *_, status, request_id in late if status != 200
    )
    if not late:
        yield "nothing was asked after the faults"
    yield from unequal_service(run)
    falls = sum(worker.falls for worker in fleet.harness.workers)
    if falls > 2 + len(fleet.harness.workers) / 10:
        yield f"{falls} falls"


def cut_spans(plan, node):
    """Return the spans in which a node is cut off, those that overlap as one."""
    spans = []
    for at_s, ends_s in sorted((cut.at_s, cut.ends_s) for cut in plan.cuts if node in cut.nodes):
        if spans and at_s <= spans[-1][1]:
            spans[-1] = (spans[-1][0], max(ends_s, spans[-1][1]))
        else:
            spans.append((at_s, ends_s))
    return spans


def unequal_service(run):
    """Yield if nodes that have been cut off for long served far less than those that are not, at the same times."""
    spans = [cut_spans(run.plan, node) for node in range(3)]

    def is_cut_for_long(node, at_s):
        return any(from_s + CONTACT_S <= at_s < ends_s for from_s, ends_s in spans[node])

    def is_whole(node, at_s):
        return not any(from_s <= at_s < ends_s + CONTACT_S for from_s, ends_s in spans[node])

    at_cut, at_whole = [], []
    for _, node, sent_s, status, _ in run.fleet.ended:
        at_s = sent_s - run.began_s
        states = [(is_cut_for_long(each, at_s), is_whole(each, at_s)) for each in range(3)]
        if any(cut for cut, _ in states) and any(whole for _, whole in states):
            if states[node][0]:
                at_cut.append(status == 200)
            elif states[node][1]:
                at_whole.append(status == 200)
    run.compared = len(at_cut), len(at_whole)
    if not at_cut or not at_whole:
        return
    is_unequal = sum(at_cut) / len(at_cut) < MIN_SERVED_RATIO * sum(at_whole) / len(at_whole)
    if is_unequal and at_cut.count(False) > MAX_FAILED + (len(at_cut) + len(at_whole)) / 50:
        served = f"{sum(at_cut)} of {len(at_cut)} while cut off, {sum(at_whole)} of {len(at_whole)} elsewhere"
        yield f"served {served}"


async def play(seed):
    """Play one seed; returns what does not hold."""
    harness = PlatformHarness(workers=3)
    await harness.start(config(routes=[each for each, _ in KINDS.values()]))
    try:
        for worker in harness.workers:
            worker.slots = SLOTS
            harness.publish(worker)
        fleet = PartitionedFleet(harness, WORK_S)
        await fleet.start()
        run = Run(fleet, draw(seed))
        await run.play()
        await fleet.stop()
        return list(breaches(run)), run.compared
    finally:
        with contextlib.suppress(TimeoutError):
            await harness.stop()


@pytest.mark.parametrize("seed", LONG_CUT_SEEDS)
def test_nothing_is_broken_by_partitions_in_series(run_async, seed):
    broken, (at_cut, at_whole) = run_async(play(seed))
    assert broken == []
    assert min(at_cut, at_whole) >= MIN_COMPARED


if __name__ == "__main__":
    first, last = (int(text) for text in sys.argv[1:])
    for number in range(first, last + 1):
        broken, compared = asyncio.run(play(number))
        print(number, broken or "held", compared, flush=True)
