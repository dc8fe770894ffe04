"""Engine choice and admission by deadline."""

import random

import pytest

from wallwell.standalone.config.schema import Objective
from wallwell.standalone.routing.admission import WaitCalibration, retry_after_if_late_s
from wallwell.standalone.routing.blocks import checkpoint_depths
from wallwell.standalone.routing.directory import EngineIncarnation, HeldPrefix
from wallwell.standalone.routing.load import EngineLoad, LoadReport
from wallwell.standalone.routing.policy import Candidate, Choice, ExpectedFirstToken, RoutingRequest
from wallwell.standalone.routing.selector import EngineSelector, EngineView

RATE = 16_000.0


def request(objective, chain=(), prompt_tokens=4800):
    return RoutingRequest(chain, 16, prompt_tokens, 0, objective, "z", 10.0)


def candidate(name, cached_blocks, waiting_tokens):
    load = EngineLoad(prefill_tokens_per_s=RATE)
    load.on_report(LoadReport(0, 0, ((0, waiting_tokens),), 0, 0, taken_at_s=0.0))
    return Candidate(name, "z", cached_blocks, load)


INTERACTIVE = Objective(first_token=1.0, recompute=0.0)
BATCH = Objective(first_token=0.1, recompute=1.0)


@pytest.mark.parametrize(
    ("objective", "busy_tokens", "chosen"),
    [
        (INTERACTIVE, 0, "holder"),
        (INTERACTIVE, 8_000, "idle"),  # waiting costs more than recomputation
        (BATCH, 8_000, "holder"),  # a batch request waits for its cached prefix
    ],
)
def test_the_objective_weighs_waiting_against_recomputation(objective, busy_tokens, chosen):
    # Forty idle engines keep the mean wait, and so the congestion term, low.
    idle = [candidate(f"idle{n}", 0, 0) for n in range(40)]
    choice = ExpectedFirstToken().choose(
        request(objective), [candidate("holder", 290, busy_tokens), *idle], 0.0, random.Random(1)
    )
    assert choice.engine.startswith(chosen)


def test_a_prefix_stays_with_its_holder_under_congestion():
    engines = [candidate("holder", 290, 14_000), *[candidate(f"other{n}", 0, 8_000) for n in range(5)]]
    choice = ExpectedFirstToken().choose(request(INTERACTIVE), engines, 0.0, random.Random(1))
    assert choice.engine == "holder"


def test_the_selector_ignores_entries_of_another_incarnation():
    chain = list(range(1, 101))
    selector = EngineSelector(ExpectedFirstToken(), random.Random(1))
    views = [EngineView("a", "z", "new"), EngineView("b", "z", "1")]
    held = [HeldPrefix(EngineIncarnation("a", "old"), 100), HeldPrefix(EngineIncarnation("b", "1"), 32)]
    choice = selector.select(request(INTERACTIVE, chain, 1600), views, held, 0.0)
    assert (choice.engine, choice.expected_prefill_tokens) == ("b", 1600 - 32 * 16)


def test_failed_engines_are_a_last_resort_and_open_breakers_are_excluded():
    selector = EngineSelector(ExpectedFirstToken(), random.Random(1))
    views = [EngineView(name, "z", "1") for name in "abc"]
    for _ in range(3):
        selector.breaker_of("a").on_failure(0.0, random.Random(1))
    chosen = {selector.select(request(INTERACTIVE), views, [], 0.1, {"b"}).engine for _ in range(20)}
    assert chosen == {"c"}
    assert selector.select(request(INTERACTIVE), views[:1], [], 0.1) is None


def test_the_number_of_candidates_is_bounded_and_keeps_holders():
    chain = list(range(1, 101))
    selector = EngineSelector(ExpectedFirstToken(), random.Random(1))
    views = [EngineView(f"e{n:03d}", "z", "1") for n in range(500)]
    held = [HeldPrefix(EngineIncarnation("e321", "1"), checkpoint_depths(100)[-1])]
    assert selector.select(request(INTERACTIVE, chain, 1600), views, held, 0.0).engine == "e321"


def test_admission_refuses_requests_that_cannot_start_in_time():
    assert retry_after_if_late_s(1.0, 2.0) is None
    assert retry_after_if_late_s(3.0, 2.0) == 1.0


def test_excess_wait_is_estimated_per_rank_and_decays():
    calibration = WaitCalibration()
    for _ in range(20):
        calibration.observe(4, expected_s=0.2, observed_s=2.2, now_s=0.0)
        calibration.observe(0, expected_s=0.2, observed_s=0.1, now_s=0.0)
    assert calibration.excess_s(0, 0.0) == 0.0
    assert 1.9 < calibration.excess_s(4, 0.0) <= 2.0
    assert calibration.excess_s(4, 60.0) < 0.01


def test_one_crash_on_an_idle_fleet_causes_no_refusal():
    selector = EngineSelector(ExpectedFirstToken(), random.Random(1))
    selector.calibration.observe(0, expected_s=0.001, observed_s=1.0, now_s=0.0)
    assert selector.retry_after_if_refused_s(request(INTERACTIVE), Choice("e", 0.3, 4800), 0.0) is None
