"""What is counted of answers to compare two sides of a rollout. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from wallwell.rollout.totals import Key, Totals

USUAL_FRACTION = 0.9
"""Part of the current side's answers that is called usual; answers beyond theirs by a factor are late."""
SLOW_SLACK_FACTOR = 1.25
SLOW_SLACK = 0.01
"""What the target side's rate of late answers may exceed the current side's by: its caches are colder, and its back
ends are others."""
FAILED_SLACK = 0.002
"""What the target side's rate of failures may exceed the current side's by."""


@dataclass(frozen=True)
class Measure:
    """What is counted of answers. Delays count as late ``factor_buckets`` beyond the usual bucket.

    ``cold_buckets`` come on top for generations while the whole service moves to back ends with empty caches.
    """

    name: str
    field: str
    factor_buckets: int = 0
    cold_buckets: int = 0

    def with_slack(self, rate: float) -> float:
        """Return a rate of bad answers of the current side with what the target side may have beyond."""
        return rate * SLOW_SLACK_FACTOR + SLOW_SLACK if self.field else rate + FAILED_SLACK


FAILURES = (Measure("failed", ""),)
SLOWNESS = (
    Measure("late", "first_delays", 1, 2),
    Measure("very late", "first_delays", 3, 2),
    Measure("slow pieces", "piece_gaps", 1),
    Measure("very slow pieces", "piece_gaps", 3),
)
MEASURES = len(FAILURES) + len(SLOWNESS)
GENERATION_BUCKETS = 1
"""Beyond the usual, for first pieces of generations: a cold cache alone may make them later by up to 1.4."""


@dataclass(frozen=True)
class Verdict:
    """What the answers say. ``log_evidence`` of a bad version, and where it is greatest.

    ``excess`` is how many bad answers more the target side gave there than is expected at most.
    """

    log_evidence: float = -math.inf
    measure: str = ""
    route: str = ""
    excess: float = 0.0
    strongest_single: float = -math.inf
    """The greatest evidence of a single test without its weight, among those with :attr:`single_excess`."""
    single_excess: float = 0.0


def count_bad(totals: Totals, measure: Measure, key: Key, bucket: int) -> tuple[int, int]:
    """Return bad and all answers of a key by a measure."""
    if not measure.field:
        return totals.failed(key)
    return totals.beyond(key, measure.field, bucket)
