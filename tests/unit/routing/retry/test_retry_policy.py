"""The retry policy decides as the pipeline and the response wait do, and leaves as much of the budget."""

import copy
import random
from dataclasses import fields

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.unit.serving.fakes import FakeClient, FakeReply, make_generation, make_request, make_state
from wallwell.deployment.routes import Route, RouteKind, WeightedService
from wallwell.errors import RequestError
from wallwell.routing.admission import remaining_time
from wallwell.routing.retry import response_timeout as new_timeouts
from wallwell.routing.retry.attempt_history import AttemptHistory
from wallwell.routing.retry.attempt_outcome import AttemptLog, TransportEvent
from wallwell.routing.retry.retry_after import ShortestAnswer
from wallwell.routing.retry.retry_policy import GiveUp, RetryPolicy
from wallwell.serving import messages, response_timeout
from wallwell.serving import pipeline as pipeline_module
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import AttemptError
from wallwell.serving.pipeline import RequestPipeline

NOW_S = 50.0
POLICY = RetryPolicy()


@st.composite
def routes(draw):
    kind = draw(st.sampled_from(RouteKind))
    return Route(
        "r",
        "h",
        "/",
        kind,
        (WeightedService("svc", 1.0),),
        4.0,
        draw(st.floats(0.05, 3.0)),
        draw(st.integers(1, 4)),
        resumable=draw(st.booleans()),
        max_gap_s=draw(st.floats(0.1, 2.0)),
    )


histories = st.fixed_dictionaries(
    {
        "runs": st.integers(0, 4),
        "arrivals": st.integers(0, 7),
        "prepaid_retries": st.integers(0, 2),
        "tried": st.sets(st.sampled_from(["i-0", "i-1", "i-2"])),
    }
)
budgets = st.tuples(st.integers(0, 30), st.integers(0, 6), st.sampled_from([0.0, 2.5, 20.0]))


class Case:
    """The same request, history and budget for the old code and for the new."""

    def __init__(self, monkeypatch, route, history, budget, attempts=0, remaining_s=1.0, generation=None):
        for module in (pipeline_module, response_timeout):
            monkeypatch.setattr(module, "boot_time_s", lambda: NOW_S)
        requests, retries, extra = budget
        self.route = route
        self.state = make_state(route, retry_extra=extra, retry_ratio=0.2)
        self.state.started_s = -100.0
        self.budget = self.state.budget_of("svc")
        for _ in range(requests):
            self.budget.on_request(NOW_S - 1.0)
        for _ in range(retries):
            self.budget._retries.add(NOW_S - 0.5)
        self.new_budget = copy.deepcopy(self.budget)
        self.history = messages.AttemptHistory(**copy.deepcopy(history))
        self.new_history = AttemptHistory(**copy.deepcopy(history))
        self.log = AttemptLog(route.repeatable)
        self.log.attempts = attempts
        self.active = ActiveRequest(
            make_request(generation=generation),
            FakeReply(),
            route,
            None,
            "svc",
            0.0,
            self.log,
            history=self.history,
        )
        self.active.remaining_s = lambda: remaining_s
        self.pipeline = RequestPipeline(self.state, FakeClient())
        self.wait = self.pipeline._wait
        self.nodes = self.state.node_count

    def has_untried(self):
        usable = self.state.backends.all()
        return any(each.incarnation not in self.new_history.tried for each in usable)

    def assert_same_state(self):
        assert self.budget.left(NOW_S, self.nodes) == self.new_budget.left(NOW_S, self.nodes)
        for name in (each.name for each in fields(AttemptHistory) if each.name != "details"):
            assert getattr(self.history, name) == getattr(self.new_history, name), name


@pytest.fixture(scope="module")
def patch():
    with pytest.MonkeyPatch.context() as context:
        yield context


@given(
    routes(),
    histories,
    budgets,
    st.integers(0, 9),
    st.sampled_from(TransportEvent),
    st.sampled_from(["", "because"]),
)
def test_after_failure(patch, route, history, budget, attempts, event, detail):
    case = Case(patch, route, history, budget, attempts)
    raised = []

    def exhausted(active, text, cause):
        raised.append((cause, text))
        return RequestError(text)

    case.pipeline._errors.exhausted = exhausted
    backend = case.state.backends.get("i-0")
    try:
        case.pipeline._after_failure(case.active, backend, AttemptError(event, detail))
    except RequestError:
        pass
    case.new_history.on_failed(event)
    if event is TransportEvent.CONNECT_TIMEOUT:
        case.new_history.unresponsive_zones.add(backend.record.zone)
    decision = POLICY.after_failure(
        route, case.new_history, case.log.attempts, event, case.new_budget, NOW_S, case.nodes
    )
    expected = [(decision.cause, decision.detail or detail or event.value)] if isinstance(decision, GiveUp) else []
    assert raised == expected
    case.assert_same_state()


@given(routes(), histories, budgets)
def test_after_an_error_answer(patch, route, history, budget):
    case = Case(patch, route, history, budget)
    decision = POLICY.after_error_answer(
        route, case.new_history, case.has_untried, case.new_budget, NOW_S, case.nodes
    )
    assert decision == case.pipeline._may_retry_answer(case.active)
    case.assert_same_state()


@given(routes(), histories, budgets, st.floats(0.0, 10.0), st.none() | st.integers(1, 200_000))
def test_the_response_timeout(patch, route, history, budget, remaining_s, tokens):
    generation = None if tokens is None else make_generation(tokens)
    case = Case(patch, route, history, budget, remaining_s=remaining_s, generation=generation)
    timeout_s = None
    if POLICY.may_abandon_silent(route, case.new_history, case.has_untried, case.new_budget, NOW_S, case.nodes):
        prompt_tokens = None if generation is None else generation.prompt_tokens
        timeout_s = new_timeouts.response_timeout_s(route.objective_s, remaining_s, prompt_tokens)
    assert timeout_s == case.wait._silence_s(case.active)
    case.assert_same_state()


@given(routes(), histories, budgets, st.booleans(), st.booleans())
def test_abandoning_a_silent_back_end(patch, route, history, budget, is_generation, is_behind):
    case = Case(patch, route, history, budget, generation=make_generation() if is_generation else None)
    patch.setattr(type(case.state.first_token_delays), "is_fleet_behind", lambda self, now_s: is_behind)
    decision = POLICY.abandon_silent(
        case.new_history, is_generation and is_behind, case.new_budget, NOW_S, case.nodes
    )
    assert decision == case.wait._is_retry_better(case.active)
    case.assert_same_state()


@given(st.floats(-5.0, 5.0), st.floats(-1.0, 5.0))
def test_the_time_to_begin(patch, usable_for_s, remaining_s):
    route = Route("r", "h", "/", RouteKind.STREAM, (WeightedService("svc", 1.0),), 4.0, 0.4)
    case = Case(patch, route, {}, (0, 0, 0.0), remaining_s=remaining_s, generation=make_generation())
    case.state.begin_by_s = lambda backend, model: NOW_S + usable_for_s
    expected = case.wait._begin_within_s(case.active, case.state.backends.get("i-0"))
    left_s = NOW_S + usable_for_s - NOW_S
    assert new_timeouts.begin_timeout_s(left_s, remaining_s) == expected


@given(routes(), histories)
def test_what_the_watch_and_the_stream_were_allowed(patch, route, history):
    case = Case(patch, route, history, (0, 0, 0.0))
    watched = []

    class Watching:
        def watch(self, backend, may_repeat):
            watched.append(may_repeat)

    case.pipeline._liveness = Watching()
    case.pipeline._watch(case.active, case.state.backends.get("i-0"))
    assert [POLICY.may_interrupt(route, case.new_history)] == watched
    # As the passing of streams reckons it.
    stall_s = None
    if route.resumable and case.history.runs + 1 < route.max_attempts:
        stall_s = route.max_gap_s * pipeline_module.STALL_TIMEOUT_FACTOR
    assert POLICY.stall_timeout_s(route, case.new_history) == stall_s


@given(
    st.integers(0, 1),
    st.none() | st.integers(0, 3),
    st.none() | st.floats(0.001, 5.0),
    st.integers(0, 2**16),
)
def test_too_little_time_left(patch, runs, resume_after, shortest_s, seed):
    route = Route("r", "h", "/", RouteKind.STREAM, (WeightedService("svc", 1.0),), 4.0, 0.4)
    generation = make_generation(resume_after=resume_after)
    case = Case(patch, route, {"runs": runs}, (0, 0, 0.0), generation=generation)
    shortest = None
    if shortest_s is not None:
        case.state.shortest_answers["r"] = ShortestAnswer(shortest_s)
        shortest = remaining_time.ShortestAnswer(shortest_s)
    rng = random.Random(seed)
    for _ in range(60):
        remaining_s = rng.choice([rng.uniform(-0.01, 0.04), rng.uniform(0.0, 5.0)])
        case.active.remaining_s = lambda remaining_s=remaining_s: remaining_s
        continues_run = bool(runs) or resume_after is not None
        decided = remaining_time.is_too_late(shortest, remaining_s, continues_run)
        assert decided == case.pipeline._is_too_late(case.active)
