"""Draws the faults of a run: those of any run, and those that a shape asks for besides.

Each function draws from a generator of its own, given by :mod:`wallwell.soak.drawing`; kept runs depend on the
order of the draws.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from wallwell.soak.schedule import (
    ALL_NODES,
    BETWEEN_REGIONS,
    CALM_BEFORE_WEIGHTS_S,
    LINK_FAULTS,
    NODE_FAULTS,
    RECOVERY_S,
    REGION_FAULTS,
    SHOWN_RECOVERED_S,
    STORE,
    STORE_FAULTS,
    WORKER_FAULTS,
    FaultKind,
    OperationKind,
    PlannedFault,
    PlannedOperation,
    Shape,
)

FIRST_FAULT_S = 1.0
"""Seconds before the first fault, and between two faults of one target: some requests have been served by then."""
SETTLE_S = 3.5
"""Time between the last single fault's begin and the end of all nodes: the longest fault and some more."""
KILL_ALL_LASTS_S = 0.3
"""Seconds from the end of all nodes to their start."""
FAULT_PERIODS_S = (1.0, 3.0, 1000.0)
"""Mean time between two faults, one drawn for each run; a fault lasts 0.3 to 2.5 s, so that some overlap.

The last leaves one fault before all nodes are killed: invariants with a time bound need fault-free spans."""
FAULT_LASTS_S = (0.3, 2.5)
"""Shortest and longest fault, in seconds: below and beyond the time-outs of connections."""
SHED_LASTS_S = 2.5
"""Seconds for which a worker refuses requests: two back-offs and some more."""
LIMIT_LASTS_S = 9.0
"""Seconds for which a worker states a limit: until it must be kept, a span in which it is counted, and more."""
LIMIT_FROM_S = (0.5, 2.5)
"""Seconds after which it first does."""
RESTARTS = 2
"""Workers that start again under their identity."""
SPOILT_S = 4.0
"""Seconds for which an entry is spoilt: longer than nodes may go on sending to its worker."""
BREAK_PERIOD_S = 0.6
"""Mean time between two crashes of engines or ends of nodes where several versions serve, besides the shortest."""
BREAK_LASTS_S = (0.3, 0.8)
"""Seconds until the crashed engine's next incarnation, or the node, starts."""
NODE_BREAK_FRACTION = 0.3
"""Fraction of these faults that end a node."""
SILENCES = 3
"""Times in which a sound worker falls silent."""
SILENCE_LASTS_S = (0.6, 1.5)
"""Seconds for which it does."""
RESTORED_AFTER_KEYS_S = (0.1, 2.0)
"""Seconds from the change of keys to the store's first outage that ends in a restore: the copy lacks the change."""
RESTORE_LASTS_S = (0.1, 2.5)
"""Seconds for which the store is away before it comes back from a copy."""
SECOND_RESTORE_FRACTION = 0.5
"""Fraction of the seeds in which it comes back from a copy again soon after."""
SECOND_RESTORE_AFTER_S = (0.2, 3.0)
"""Seconds from the first return to the next outage."""
STORE_DOWN_S = 4.5
"""Seconds of a store's outage in which a worker leaves: until it has ended, so that its answers alone say so."""
OUTAGE_FRACTION = 0.5
"""Fraction of the seeds with such an outage: invariants with a time bound are not checked while it lasts."""
LEAVES_AFTER_S = 0.3
"""Seconds from the begin of that outage to the worker's leave."""


def draw_faults(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    """Return the faults of any run: single ones at drawn times, then the end of all nodes at once."""
    faults: list[PlannedFault] = []
    busy: dict[str, float] = {}
    period_s = generator.choice(FAULT_PERIODS_S)
    at_s = FIRST_FAULT_S
    kill_at_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S
    while at_s < kill_at_s - SETTLE_S:
        kind, target = _draw_target(generator, shape)
        lasts_s = round(generator.uniform(*FAULT_LASTS_S), 2)
        if busy.get(target, 0.0) <= at_s:
            faults.append(PlannedFault(round(at_s, 2), lasts_s, kind, target))
            busy[target] = at_s + lasts_s + FIRST_FAULT_S
        at_s += generator.expovariate(1 / period_s)
    faults.append(PlannedFault(round(kill_at_s, 2), KILL_ALL_LASTS_S, FaultKind.KILL_ALL_NODES, ALL_NODES))
    return faults


def draw_notices(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    """Return times in which workers state something about themselves that the store does not."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - STORE_DOWN_S
    engines = [name for name in shape.worker_names() if name.startswith("engine")]
    instances = [name for name in shape.worker_names() if name not in engines]
    leaving = generator.choice(instances)  # Each of the few gets many requests, so that nodes soon know.
    (shedding,) = generator.sample(engines, k=1)
    shed_at_s = round(generator.uniform(FIRST_FAULT_S, latest_s), 2)
    faults = [PlannedFault(shed_at_s, SHED_LASTS_S, FaultKind.SHED_WORKER, shedding)]
    if generator.random() < OUTAGE_FRACTION:
        down_at_s = round(generator.uniform(FIRST_FAULT_S, latest_s), 2)
        leaves_at_s = round(down_at_s + LEAVES_AFTER_S, 2)
        faults.append(PlannedFault(down_at_s, STORE_DOWN_S, FaultKind.STORE_DOWN, STORE))
        faults.append(PlannedFault(leaves_at_s, 0.0, FaultKind.DRAIN_WORKER, leaving))
    return faults


def draw_limit(generator: random.Random, shape: Shape) -> PlannedFault:
    """Return a time in which a worker states a limit, from early on until all nodes are killed or before."""
    at_s = round(generator.uniform(*LIMIT_FROM_S), 2)
    until_s = min(at_s + LIMIT_LASTS_S, shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S)
    limited = generator.choice(shape.worker_names())
    return PlannedFault(at_s, round(until_s - at_s, 2), FaultKind.LIMIT_WORKER, limited)


def draw_identities(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    """Return restarts of workers under their identity, and a time in which the entry of another one is spoilt."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - SPOILT_S
    *restarting, spoilt = generator.sample(shape.worker_names(), k=RESTARTS + 1)
    faults = [
        PlannedFault(
            round(generator.uniform(FIRST_FAULT_S, latest_s), 2),
            round(generator.uniform(*FAULT_LASTS_S), 2),
            FaultKind.RESTART_WORKER,
            name,
        )
        for name in restarting
    ]
    spoilt_at_s = round(generator.uniform(FIRST_FAULT_S, latest_s), 2)
    return [*faults, PlannedFault(spoilt_at_s, SPOILT_S, FaultKind.SPOIL_ENTRY, spoilt)]


def draw_silences(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    """Return times in which sound workers send nothing; a part of the run's calm span has one, if there is any."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - SILENCE_LASTS_S[1]
    times_s = [generator.uniform(FIRST_FAULT_S, latest_s) for _ in range(SILENCES)]
    if shape.calm_s:
        times_s[-1] = shape.seconds + generator.uniform(0.0, CALM_BEFORE_WEIGHTS_S)
    names = generator.sample(shape.worker_names(), k=min(SILENCES, len(shape.worker_names())))
    return [
        PlannedFault(round(at_s, 2), round(generator.uniform(*SILENCE_LASTS_S), 2), FaultKind.SILENCE_WORKER, name)
        for at_s, name in zip(times_s, names, strict=False)
    ]


def draw_breaks(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    """Return crashes of engines, whose next incarnation has other software, and ends of nodes."""
    engines = [name for name in shape.worker_names() if name.startswith("engine")]
    until_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - BREAK_LASTS_S[1]
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < until_s:
        lasts_s = round(generator.uniform(*BREAK_LASTS_S), 2)
        if generator.random() < NODE_BREAK_FRACTION:
            kind, target = FaultKind.KILL_NODE, generator.choice(shape.node_names())
        else:
            kind, target = FaultKind.CRASH_WORKER, generator.choice(engines)
        faults.append(PlannedFault(round(at_s, 2), lasts_s, kind, target))
        at_s += BREAK_LASTS_S[1] + generator.expovariate(1 / BREAK_PERIOD_S)
    return faults


def draw_restores(
    generator: random.Random, shape: Shape, operations: Sequence[PlannedOperation]
) -> list[PlannedFault]:
    """Return one or two times in which the store goes away and comes back from a copy, after the change of keys."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - SETTLE_S
    keys_s = next(each.at_s for each in operations if each.kind is OperationKind.CHANGE_KEYS)
    at_s = min(keys_s + generator.uniform(*RESTORED_AFTER_KEYS_S), latest_s)
    lasts_s = generator.uniform(*RESTORE_LASTS_S)
    faults = [PlannedFault(round(at_s, 2), round(lasts_s, 2), FaultKind.STORE_RESTORED, STORE)]
    if generator.random() < SECOND_RESTORE_FRACTION:
        at_s = min(at_s + lasts_s + generator.uniform(*SECOND_RESTORE_AFTER_S), latest_s + SETTLE_S)
        lasts_s = generator.uniform(*RESTORE_LASTS_S)
        faults.append(PlannedFault(round(at_s, 2), round(lasts_s, 2), FaultKind.STORE_RESTORED, STORE))
    return faults


def _draw_target(generator: random.Random, shape: Shape) -> tuple[FaultKind, str]:
    groups: list[tuple[tuple[FaultKind, ...], tuple[str, ...]]] = [
        (NODE_FAULTS, shape.node_names()),
        (WORKER_FAULTS, shape.worker_names()),
        (STORE_FAULTS, (STORE,)),
        (LINK_FAULTS, shape.links()),
    ]
    if shape.regions > 1:
        groups.append((REGION_FAULTS, (BETWEEN_REGIONS,)))
    kinds, targets = generator.choice(groups)
    return generator.choice(kinds), generator.choice(targets)
