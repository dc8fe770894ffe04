"""Draws planned stops in series, planned work beside them, and callers that keep their connections.

Each function draws from a generator of its own, given by :mod:`wallwell.soak.drawing`; runs of a seed
depend on the order of the draws.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from wallwell.soak.schedule import (
    KEPT_GRACE_S,
    PLANNED_WORK,
    FaultKind,
    GoesOn,
    KeptCaller,
    OperationKind,
    PlannedFault,
    PlannedOperation,
    Shape,
)
from wallwell.soak.timeline import FAULTS_OF_WORKERS

QUIET_FRACTION = 0.75
"""Fraction of the runs without unplanned faults on nodes, links and the store: beside those a cut is excused."""
FIRST_STOP_S = (1.0, 2.0)
"""Seconds before the first stop: callers have used their connections by then."""
AFTER_LAST_STOP_S = KEPT_GRACE_S + 1.0
"""Seconds of the schedule from the last stop on: callers are there until its node has ended."""
BETWEEN_STOPS_S = (0.3, 6.0)
"""Seconds between the beginnings of two stops: most overlap."""
TOGETHER_FRACTION = 0.25
"""Fraction of the stops with which another node's begins at once, where another one is left."""
RUNS_AGAIN_S = (1.0, 4.0)
"""Seconds from the end of a stop until the same node may be stopped again: some stops come soon after a start."""
CHANGE_FRACTION = 0.5
"""Fraction of the stops with a change of the configuration in the middle."""
RELOAD_FRACTION = 0.4
"""Fraction of the stops in which the node is told to read its settings again."""
IN_THE_MIDDLE_S = (0.1, 5.0)
"""Seconds from SIGTERM to such work."""
LEAVE_FRACTION = 0.3
"""Fraction of the stops beside which a worker leaves."""
LEAVES_S = (0.0, 2.0)
"""Seconds from SIGTERM to the leave."""
ALONE_S = 8.0
"""Seconds around a leave in which no other fault may strike its worker: a leave takes half of it."""
CALLERS_PER_NODE = 16
"""Callers that keep their connections, for each node."""
FIRST_CALL_S = 0.8
"""Seconds in which the callers of a run come up."""
GOES_ON_WEIGHTS = {
    GoesOn.AT_ONCE: 4.0,
    GoesOn.AFTER_5_MS: 1.0,
    GoesOn.AFTER_30_MS: 1.0,
    GoesOn.CHUNKED: 2.0,
    GoesOn.SLOW_CHUNKS: 2.0,
    GoesOn.PIPELINED: 2.0,
    GoesOn.NEW_CONNECTION: 1.0,
}
"""Weights of what callers do after an answer: most send the next request at once."""
LAST_CALL_S = 2.0
"""Seconds before the schedule's end from which on no caller begins another request."""


def draw_quiet(generator: random.Random) -> bool:
    """Return whether a run has no unplanned faults on nodes, links and the store."""
    return generator.random() < QUIET_FRACTION


def without_unplanned(faults: Iterable[PlannedFault]) -> tuple[PlannedFault, ...]:
    """Return the faults without the unplanned ones on nodes, links and the store."""
    return tuple(each for each in faults if each.kind in PLANNED_WORK or each.kind.value in FAULTS_OF_WORKERS)


def draw_stops(generator: random.Random, shape: Shape, faults: Sequence[PlannedFault]) -> list[PlannedFault]:
    """Return planned stops in series, some of two nodes at once; one node at least is left at any time.

    A node that is stopped by one of the faults is left alone around it.
    """
    stops: list[PlannedFault] = []
    others = [fault for fault in faults if fault.kind is FaultKind.STOP_NODE]
    free_s = dict.fromkeys(shape.node_names(), 0.0)
    at_s = generator.uniform(*FIRST_STOP_S)
    while at_s + AFTER_LAST_STOP_S < shape.length_s:
        wanted = 2 if generator.random() < TOGETHER_FRACTION else 1
        order = generator.sample(shape.node_names(), k=shape.nodes)
        for node in [each for each in order if free_s[each] <= at_s][:wanted]:
            is_last = sum(until_s <= at_s for until_s in free_s.values()) <= 1
            again_s = generator.uniform(*RUNS_AGAIN_S)
            if is_last or any(_clash(node, at_s, other) for other in others):
                continue
            free_s[node] = at_s + KEPT_GRACE_S + again_s
            stops.append(PlannedFault(round(at_s, 2), 0.0, FaultKind.STOP_NODE, node))
        at_s += generator.uniform(*BETWEEN_STOPS_S)
    return stops


def _clash(node: str, at_s: float, other: PlannedFault) -> bool:
    return other.target == node and abs(other.at_s - at_s) < KEPT_GRACE_S + RUNS_AGAIN_S[1]


def draw_work_beside(
    generator: random.Random, shape: Shape, stops: Sequence[PlannedFault], faults: Sequence[PlannedFault]
) -> list[PlannedFault]:
    """Return reloads of stopping nodes, and leaves of workers that nothing else strikes at that time."""
    beside: list[PlannedFault] = []
    for stop in stops:
        reload_at_s = stop.at_s + generator.uniform(*IN_THE_MIDDLE_S)
        if generator.random() < RELOAD_FRACTION:
            beside.append(PlannedFault(round(reload_at_s, 2), 0.0, FaultKind.RELOAD_NODE, stop.target))
        leaves_at_s = round(stop.at_s + generator.uniform(*LEAVES_S), 2)
        worker = generator.choice(shape.worker_names())
        if generator.random() < LEAVE_FRACTION and _is_alone(worker, leaves_at_s, [*faults, *beside]):
            beside.append(PlannedFault(leaves_at_s, 0.0, FaultKind.DRAIN_WORKER, worker))
    return beside


def _is_alone(worker: str, at_s: float, faults: Iterable[PlannedFault]) -> bool:
    """Whether no fault strikes a worker around a time."""
    return not any(
        each.target == worker and each.at_s - ALONE_S < at_s < each.at_s + each.lasts_s + ALONE_S for each in faults
    )


def draw_changes(generator: random.Random, stops: Sequence[PlannedFault]) -> list[PlannedOperation]:
    """Return changes of the configuration in the middle of some stops."""
    changes: list[PlannedOperation] = []
    for stop in stops:
        at_s = stop.at_s + generator.uniform(*IN_THE_MIDDLE_S)
        if generator.random() < CHANGE_FRACTION:
            changes.append(PlannedOperation(round(at_s, 2), OperationKind.ADD_ROUTE))
    return changes


def draw_callers(generator: random.Random, seed: int, shape: Shape) -> list[KeptCaller]:
    """Return the callers that keep their connections: as many at each node."""
    until_s = shape.length_s - LAST_CALL_S
    return [
        KeptCaller(
            caller=f"{seed}-kept-{node}-{number}",
            node=node,
            from_s=round(generator.uniform(0.0, FIRST_CALL_S), 3),
            until_s=until_s,
            goes_on=generator.choices(list(GOES_ON_WEIGHTS), list(GOES_ON_WEIGHTS.values()))[0],
        )
        for node in range(shape.nodes)
        for number in range(CALLERS_PER_NODE)
    ]
