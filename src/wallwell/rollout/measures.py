"""What is counted of answers to compare the target version with the current one: failures and slowness. Pure.

Names of measures appear in records' reasons and in the log.
"""

from __future__ import annotations

import math

import msgspec

from wallwell.rollout.model import AnswerSource
from wallwell.rollout.totals import Totals

USUAL_QUANTILE = 0.9
"""Fraction of the current version's answers whose delays are called usual; answers later than these by a factor are
late."""
SLOW_SLACK_FACTOR = 1.25
"""Factor by which the target version's rate of late answers may exceed the current one's: its caches are colder,
and its back ends are others."""
SLOW_SLACK = 0.01
"""What that rate may exceed the current one by beside the factor."""
FAILED_SLACK = 0.002
"""What the target version's rate of failures may exceed the current one's by."""


class Measure(msgspec.Struct, frozen=True):
    """One kind of bad answer. Delays count as late from ``buckets_above_usual`` beyond the usual bucket.

    ``cold_cache_buckets`` are added for generations while the whole service moves to back ends with empty caches.
    """

    name: str
    delay_field: str
    """Field of :class:`AnswerCounts` with the delays; empty for failures."""
    buckets_above_usual: int = 0
    cold_cache_buckets: int = 0

    def allowed_rate(self, rate: float) -> float:
        """Return the rate of bad answers that the target version may have, by the current version's ``rate``."""
        return rate * SLOW_SLACK_FACTOR + SLOW_SLACK if self.delay_field else rate + FAILED_SLACK


FAILURES = (Measure("failed", ""),)
SLOWNESS = (
    Measure("late", "first_delays", 1, 2),
    Measure("very late", "first_delays", 3, 2),
    Measure("slow pieces", "piece_gaps", 1),
    Measure("very slow pieces", "piece_gaps", 3),
)
MEASURE_COUNT = len(FAILURES) + len(SLOWNESS)
GENERATION_SLACK_BUCKETS = 1
"""Buckets added for generations' first tokens: a cold cache alone may make them later by a factor of up to 1.4."""


class VersionEvidence(msgspec.Struct, frozen=True):
    """Evidence that the target version is bad, by the test in which it is greatest.

    ``log_evidence`` is the logarithm of a likelihood ratio, weighted by the number of tests. ``excess`` is how many
    bad answers more the target version gave in that test than are allowed.
    """

    log_evidence: float = -math.inf
    measure: str = ""
    route: str = ""
    excess: float = 0.0
    single_test_log_evidence: float = -math.inf
    """The greatest evidence of a single test without its weight."""
    single_test_excess: float = 0.0
    """Bad answers beyond the allowed in that test."""


def count_bad(totals: Totals, measure: Measure, source: AnswerSource, bucket: int) -> tuple[int, int]:
    """Return bad and all answers of a source by a measure."""
    if not measure.delay_field:
        return totals.count_failed(source)
    return totals.count_above(source, measure.delay_field, bucket)
