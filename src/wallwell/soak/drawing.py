"""Draws the schedule of a run from its seed alone.

The same seed and shape give the same schedule, byte for byte: kept runs depend on the order of the draws. Requests,
faults and operations draw from generators of their own, so that one does not change the others.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from wallwell.errors import SoakError
from wallwell.soak import (
    drawing_faults,
    drawing_isolation,
    drawing_requests,
    drawing_silences,
    drawing_stops,
    odd_entries,
)
from wallwell.soak.drawing_faults import KILL_ALL_LASTS_S
from wallwell.soak.schedule import (
    CALM_BEFORE_STOP_S,
    CALM_BEFORE_WEIGHTS_S,
    MANY_ENGINE_SLOTS,
    RECOVERY_S,
    SHOWN_RECOVERED_S,
    VERSION_S,
    FaultKind,
    OperationKind,
    PlannedFault,
    PlannedOperation,
    PlannedRequest,
    Schedule,
    Shape,
)
from wallwell.soak.versions import ROLLOUTS

SHORTEST_RUN_S = 15.0
"""Seconds of the shortest run: single faults, and the recovery of all nodes at its end."""


def draw_schedule(seed: int, shape: Shape) -> Schedule:
    """Return the schedule of a seed: the same for the same arguments. Raises :class:`SoakError`."""
    if shape.seconds < SHORTEST_RUN_S:
        raise SoakError(f"a run takes {SHORTEST_RUN_S:g} s at least: the fleet's recovery is part of it")
    if shape.rollout and shape.rollout not in ROLLOUTS:
        raise SoakError(f"no version {shape.rollout} to roll out; there are {', '.join(ROLLOUTS)}")
    operations = _draw_operations(random.Random(f"{seed}/operations"), shape)
    faults = _draw_faults(seed, shape, operations)
    requests = _draw_requests(seed, shape)
    schedule = Schedule(seed, shape, tuple(faults), tuple(requests), tuple(operations))
    if shape.isolation:
        changes = drawing_isolation.draw_changes(random.Random(f"{seed}/isolation"), shape)
        schedule = msgspec.structs.replace(schedule, operations=(*schedule.operations, *changes))
    if shape.kept_connections:
        schedule = _add_stops(schedule)
    if shape.odd_entries:
        schedule = _add_odd_entries(schedule)
    return _add_group_silences(schedule) if shape.group_silences else schedule


def _add_odd_entries(schedule: Schedule) -> Schedule:
    """Return a schedule with rows of another writer, some over workers' own entries."""
    seed, shape = schedule.seed, schedule.shape
    faults = odd_entries.draw_faults(random.Random(f"{seed}/odd faults"), shape)
    return msgspec.structs.replace(
        schedule,
        faults=tuple(sorted([*schedule.faults, *faults], key=lambda fault: fault.at_s)),
        odd_rows=tuple(odd_entries.draw_rows(random.Random(f"{seed}/odd rows"), shape)),
    )


def _add_stops(schedule: Schedule) -> Schedule:
    """Return a schedule with planned stops in series and callers that keep their connections."""
    seed, shape = schedule.seed, schedule.shape
    kept_faults = schedule.faults
    if drawing_stops.draw_quiet(random.Random(f"{seed}/kept quiet")):
        kept_faults = drawing_stops.without_unplanned(kept_faults)
    stops = drawing_stops.draw_stops(random.Random(f"{seed}/kept stops"), shape, kept_faults)
    beside = drawing_stops.draw_work_beside(random.Random(f"{seed}/kept work"), shape, stops, kept_faults)
    changes = drawing_stops.draw_changes(random.Random(f"{seed}/kept changes"), stops)
    return msgspec.structs.replace(
        schedule,
        faults=tuple(sorted([*kept_faults, *stops, *beside], key=lambda fault: fault.at_s)),
        operations=(*schedule.operations, *changes),
        engine_slots=MANY_ENGINE_SLOTS,
        kept_callers=tuple(drawing_stops.draw_callers(random.Random(f"{seed}/kept callers"), seed, shape)),
    )


def _add_group_silences(schedule: Schedule) -> Schedule:
    """Return a schedule with silences of groups of workers, and changes of the configuration beside them."""
    seed, shape, faults = schedule.seed, schedule.shape, schedule.faults
    silences = drawing_silences.draw_silences(random.Random(f"{seed}/group silences"), shape, faults)
    changes = drawing_silences.draw_changes(random.Random(f"{seed}/changes"), silences)
    slots = drawing_silences.draw_slots(random.Random(f"{seed}/slots"))
    return msgspec.structs.replace(
        schedule,
        faults=tuple(sorted([*faults, *silences], key=lambda fault: fault.at_s)),
        operations=(*schedule.operations, *changes),
        engine_slots=schedule.engine_slots if shape.kept_connections else slots,
    )


def _draw_requests(seed: int, shape: Shape) -> list[PlannedRequest]:
    """Return all requests by their times."""
    requests = drawing_requests.draw_requests(random.Random(f"{seed}/requests"), seed, shape)
    for number in range(shape.crashing):
        generator = random.Random(f"{seed}/crashing/{number}")
        requests += drawing_requests.draw_crashing(generator, f"{seed}-crashing-{number}", shape)
    for number in range(shape.bad_parts):
        generator = random.Random(f"{seed}/bad parts/{number}")
        requests += drawing_requests.draw_bad_part(generator, f"{seed}-bad{number}", shape)
    if shape.skews:
        requests = drawing_requests.draw_skew(random.Random(f"{seed}/skews"), seed, shape, requests)
    if shape.versions > 1:
        requests += drawing_requests.draw_long_streams(random.Random(f"{seed}/streams"), seed, shape)
    elif shape.group_silences:
        generator = random.Random(f"{seed}/silenced streams")
        per_s = drawing_requests.SILENCED_STREAMS_PER_S
        requests += drawing_requests.draw_long_streams(generator, seed, shape, per_s)
    return sorted(requests, key=lambda request: request.at_s)


def _draw_faults(seed: int, shape: Shape, operations: Sequence[PlannedOperation]) -> list[PlannedFault]:
    """Return all faults by their times."""
    faults = drawing_faults.draw_faults(random.Random(f"{seed}/faults"), shape)
    if shape.notices and shape.engines and shape.instances:
        faults += drawing_faults.draw_notices(random.Random(f"{seed}/notices"), shape)
    if shape.limits:
        faults.append(drawing_faults.draw_limit(random.Random(f"{seed}/limits"), shape))
    if shape.identities:
        faults += drawing_faults.draw_identities(random.Random(f"{seed}/identities"), shape)
    if shape.silences:
        faults += drawing_faults.draw_silences(random.Random(f"{seed}/silences"), shape)
    if shape.versions > 1:
        faults += drawing_faults.draw_breaks(random.Random(f"{seed}/versions"), shape)
    if shape.restores:
        faults += drawing_faults.draw_restores(random.Random(f"{seed}/restores"), shape, operations)
    if shape.calm_s > CALM_BEFORE_STOP_S:
        stopped = random.Random(f"{seed}/calm").choice(shape.node_names())
        stop_at_s = shape.seconds + CALM_BEFORE_STOP_S
        faults.append(PlannedFault(stop_at_s, KILL_ALL_LASTS_S, FaultKind.STOP_NODE, stopped))
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_operations(generator: random.Random, shape: Shape) -> list[PlannedOperation]:
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - VERSION_S
    keys_s, weights_s = (round(generator.uniform(0.5, max(1.0, latest_s)), 2) for _ in range(2))
    if shape.calm_s:
        weights_s = shape.seconds + CALM_BEFORE_WEIGHTS_S
    operations = [
        PlannedOperation(keys_s, OperationKind.CHANGE_KEYS),
        PlannedOperation(weights_s, OperationKind.NAME_WEIGHTS),
    ]
    if shape.rollout:
        operations.append(PlannedOperation(shape.rollout_at_s, OperationKind.ROLL_OUT))
    return operations
