"""Measures by which the target version's answers are compared with the current version's: failures and slowness.

The names of the measures appear in the reasons of rollout records and in the log. No I/O.
"""

from __future__ import annotations

import math

import msgspec

from wallwell.rollout.model import AnswerSource
from wallwell.rollout.totals import Totals

USUAL_QUANTILE = 0.9
"""Quantile of the current version's delays that counts as usual; answers later than it by a factor are late."""
SLOW_SLACK_FACTOR = 1.25
"""Factor by which the target version's rate of late answers may exceed the current version's: its caches are colder
and it runs on other back ends."""
SLOW_SLACK = 0.01
"""Absolute excess allowed for the rate of late answers, in addition to the factor."""
FAILED_SLACK = 0.002
"""Absolute excess allowed for the target version's failure rate over the current version's."""


class Measure(msgspec.Struct, frozen=True):
    """One kind of bad answer: a failure, or a delay more than ``buckets_above_usual`` buckets above the usual one.
    ``cold_cache_buckets`` are added for generations while the service switches to back ends with empty caches."""

    name: str
    delay_field: str
    """Name of the :class:`AnswerCounts` field that holds the delays; empty for failures."""
    buckets_above_usual: int = 0
    cold_cache_buckets: int = 0

    def allowed_rate(self, rate: float) -> float:
        """Return the allowed rate of the target version's bad answers, given the current version's ``rate``."""
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
"""Buckets added for first tokens of generations: a cold cache alone may delay them by a factor of up to 1.4."""


class VersionEvidence(msgspec.Struct, frozen=True):
    """The strongest evidence, of all tests, that the target version is bad. ``log_evidence`` is the logarithm of a
    likelihood ratio, weighted by the number of tests. ``excess`` is the number of the target version's bad answers
    above the allowed number in that test."""

    log_evidence: float = -math.inf
    measure: str = ""
    route: str = ""
    excess: float = 0.0
    single_test_log_evidence: float = -math.inf
    """The greatest logarithm of a likelihood ratio of any single test, without the test's weight."""
    single_test_excess: float = 0.0
    """Number of bad answers above the allowed number in that single test."""


def count_bad(totals: Totals, measure: Measure, source: AnswerSource, bucket: int) -> tuple[int, int]:
    """Return the numbers of bad and of all answers of a source; ``bucket`` is the highest one that is not late."""
    if not measure.delay_field:
        return totals.count_failed(source)
    return totals.count_above(source, measure.delay_field, bucket)
