"""The sequential test of a rate, which may be evaluated at any time."""

import math
import random

import pytest

from wallwell.rollout.likelihood import log_evidence, upper_rate


@pytest.mark.parametrize(
    ("events", "answers", "least", "most"),
    [
        (0, 0, 1.0, 1.0),
        (0, 1, 0.5, 1.0),
        (0, 200, 0.01, 0.025),
        (28, 200, 0.14, 0.2),
        (14_000, 100_000, 0.14, 0.143),
        (10, 10, 1.0, 1.0),
    ],
)
def test_the_upper_rate_approaches_the_observed_rate_with_more_answers(events, answers, least, most):
    assert least <= upper_rate(events, answers) <= most


@pytest.mark.parametrize(
    ("events", "answers", "null_rate", "least", "most"),
    [
        (0, 100, 0.01, -math.inf, -math.inf),
        (1, 100, 0.01, -math.inf, -math.inf),
        (5, 10, 1.0, -math.inf, -math.inf),
        (0, 0, 0.1, -math.inf, -math.inf),
        (8, 20, 0.02, 15.0, 30.0),
        (50, 1_000, 0.01, 25.0, 40.0),
        (160, 1_000, 0.15, -5.0, 1.0),
        (5, 5, 0.0, 10.0, 50.0),
    ],
)
def test_evidence_grows_with_the_excess_over_the_null_rate(events, answers, null_rate, least, most):
    assert least <= log_evidence(events, answers, null_rate) <= most


@pytest.mark.parametrize("rate", [0.004, 0.14])
def test_a_test_after_each_answer_gives_no_more_false_alarms_than_its_bound(rate):
    generator = random.Random(5)
    alarms = 0
    for _ in range(400):
        events = 0
        greatest = -math.inf
        for answers in range(1, 301):
            events += generator.random() < rate
            greatest = max(greatest, log_evidence(events, answers, rate))
        alarms += greatest >= math.log(20)
    assert alarms <= 400 / 20
