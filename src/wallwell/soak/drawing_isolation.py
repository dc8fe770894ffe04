"""Draws configurations that isolate tenants and release them, in series; by a generator of its own."""

from __future__ import annotations

import random

from wallwell.soak.schedule import FIRST_KEYS, LATER_KEYS, OperationKind, PlannedOperation, Shape

FIRST_CHANGE_S = (0.5, 3.0)
"""Seconds before the first change: tenants have used each other's parts by then."""
BETWEEN_CHANGES_S = (2.5, 5.0)
"""Mean seconds between two changes; one is drawn for each run. Most last longer than nodes need to read them."""
QUICK_FRACTION = 0.25
"""Fraction of the changes that follow the one before at once."""
QUICK_S = (0.02, 0.4)
"""Seconds between these."""
MOST_ISOLATED = 3
"""Tenants that are isolated at once, at most: two at least go on sharing."""
AGAIN_FRACTION = 0.35
"""Fraction of the changes that go back to an earlier set of isolated tenants."""
SHOWN_S = 2.0
"""Seconds at the end of a run without another change."""


def draw_changes(generator: random.Random, shape: Shape) -> list[PlannedOperation]:
    """Return the changes of who is isolated, each to another set of tenants than the one before."""
    keys = sorted({*FIRST_KEYS, *LATER_KEYS})
    mean_s = generator.uniform(*BETWEEN_CHANGES_S)
    sets: list[tuple[str, ...]] = [()]
    changes: list[PlannedOperation] = []
    at_s = generator.uniform(*FIRST_CHANGE_S)
    while at_s < shape.length_s - SHOWN_S:
        sets.append(_draw_set(generator, keys, sets))
        changes.append(PlannedOperation(round(at_s, 2), OperationKind.ISOLATE, sets[-1]))
        is_quick = generator.random() < QUICK_FRACTION
        at_s += generator.uniform(*QUICK_S) if is_quick else generator.expovariate(1 / mean_s)
    return changes


def _draw_set(generator: random.Random, keys: list[str], earlier: list[tuple[str, ...]]) -> tuple[str, ...]:
    """Return keys of isolated tenants, other than the last ones; some earlier ones come again."""
    while True:
        drawn = tuple(sorted(generator.sample(keys, generator.randint(0, MOST_ISOLATED))))
        if len(earlier) > 1 and generator.random() < AGAIN_FRACTION:
            drawn = generator.choice(earlier[:-1])
        if drawn != earlier[-1]:
            return drawn
