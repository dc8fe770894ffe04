"""Draws times in which groups of sound workers fall silent, and the changes of the configuration beside them.

Each function draws from a generator of its own, given by :mod:`wallwell.soak.drawing`; runs of a seed
depend on the order of the draws.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from wallwell.soak.drawing_faults import FIRST_FAULT_S
from wallwell.soak.schedule import (
    CALM_BEFORE_STOP_S,
    ENGINE_SLOTS,
    FEW_ENGINE_SLOTS,
    RECOVERY_S,
    SHOWN_RECOVERED_S,
    FaultKind,
    OperationKind,
    PlannedFault,
    PlannedOperation,
    Shape,
)

LASTS_S = (0.8, 1.7)
"""Shortest and longest silence, in seconds: around a second, and the longest beyond three heartbeats."""
BETWEEN_S = (0.3, 0.6)
"""Seconds between the two silences of a series: what was at work goes on, and is struck again."""
SERIES_FRACTION = 0.4
"""Fraction of the silences that come as such a series."""
LONGEST_S = 2 * LASTS_S[1] + BETWEEN_S[1]
"""Seconds of the longest series."""
PAUSE_S = (1.5, 3.0)
"""Seconds between two groups: requests end that the one before struck."""
GROUP_WEIGHTS = {1.0: 5.0, 0.6: 3.0, 0.0: 2.0}
"""Weights of the fractions of a service's workers that fall silent together; 0 is one worker alone."""
ENGINES_FRACTION = 0.75
"""Fraction of the groups that are engines: streams are what a silence lasts long for."""
SOUND_AGAIN_S = 4.5
"""Seconds after the planned end of another fault on a worker until it counts as sound: a leave takes so long."""
CHANGE_FRACTION = 0.75
"""Fraction of the silences with a change of the configuration right before."""
CHANGED_BEFORE_S = (0.05, 0.4)
"""Seconds from the change to the silence: nodes read the configuration meanwhile or in the silence."""
FEW_SLOTS_FRACTION = 0.5
"""Fraction of the seeds whose engines have few slots."""


def draw_silences(generator: random.Random, shape: Shape, faults: Sequence[PlannedFault]) -> list[PlannedFault]:
    """Return silences of groups: until all nodes are killed, and in the run's calm span, if there is any.

    A worker that another one of the faults strikes at that time is not part of its group.
    """
    silences: list[PlannedFault] = []
    for from_s, until_s in _spans(shape):
        at_s = from_s
        while at_s + LONGEST_S < until_s:
            group = _draw_group(generator, shape)
            for begins_s, lasts_s in _draw_series(generator, at_s):
                kind = FaultKind.SILENCE_WORKER
                members = [PlannedFault(begins_s, lasts_s, kind, name) for name in group]
                silences += [each for each in members if not any(_clash(each, fault) for fault in faults)]
                at_s = begins_s + lasts_s
            at_s += generator.uniform(*PAUSE_S)
    return silences


def _spans(shape: Shape) -> list[tuple[float, float]]:
    """Return the spans that have silences: they end before all nodes are killed, and before a planned stop."""
    spans = [(FIRST_FAULT_S, shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S)]
    if shape.calm_s:
        spans.append((shape.seconds, shape.seconds + min(shape.calm_s, CALM_BEFORE_STOP_S)))
    return spans


def _draw_group(generator: random.Random, shape: Shape) -> list[str]:
    names = shape.worker_names()
    engines, instances = names[: shape.engines], names[shape.engines :]
    is_engines = generator.random() < ENGINES_FRACTION
    members = (engines or instances) if is_engines else (instances or engines)
    fraction = generator.choices(list(GROUP_WEIGHTS), list(GROUP_WEIGHTS.values()))[0]
    return generator.sample(members, k=max(1, math.ceil(fraction * len(members))))


def _draw_series(generator: random.Random, at_s: float) -> list[tuple[float, float]]:
    """Return begins and lengths of one silence, or of two with a short time between them."""
    first_s, second_s = (round(generator.uniform(*LASTS_S), 2) for _ in range(2))
    between_s = generator.uniform(*BETWEEN_S)
    series = [(round(at_s, 2), first_s)]
    if generator.random() < SERIES_FRACTION:
        series.append((round(at_s + first_s + between_s, 2), second_s))
    return series


def _clash(silence: PlannedFault, fault: PlannedFault) -> bool:
    """Whether a fault strikes a worker at the time of a silence, or did so shortly before."""
    sound_after_s = 0.0 if fault.kind is FaultKind.SILENCE_WORKER else SOUND_AGAIN_S
    begins_before_its_end = fault.at_s <= silence.at_s + silence.lasts_s
    return (
        fault.target == silence.target
        and begins_before_its_end
        and silence.at_s <= fault.at_s + fault.lasts_s + sound_after_s
    )


def draw_changes(generator: random.Random, silences: Sequence[PlannedFault]) -> list[PlannedOperation]:
    """Return changes of the configuration shortly before some of the silences, at most one for each group."""
    changes: list[PlannedOperation] = []
    for begins_s in sorted({silence.at_s for silence in silences}):
        before_s = generator.uniform(*CHANGED_BEFORE_S)
        if generator.random() < CHANGE_FRACTION:
            changes.append(PlannedOperation(round(begins_s - before_s, 2), OperationKind.ADD_ROUTE))
    return changes


def draw_slots(generator: random.Random) -> int:
    """Return how many slots the engines of a run have."""
    return FEW_ENGINE_SLOTS if generator.random() < FEW_SLOTS_FRACTION else ENGINE_SLOTS
