"""The pipeline in virtual time: which attempts are retried, which outcome is reported, and when.

The tables list how the back ends answer in sequence, and the answer that the caller must get.
"""

import asyncio

import pytest

from tests.unit.serving.fakes import (
    FakeClient,
    FakeReply,
    Script,
    make_generation,
    make_request,
    make_route,
    make_state,
)
from tests.unit.serving.single_request import (
    BODY_RESET,
    CONNECT_REFUSED,
    CONNECT_TIMEOUT,
    FOREIGN_ANSWER,
    OK,
    OVERLOADED,
    PRECONDITION_REFUSED,
    RESET,
    SAFE,
    SERVER_ERROR,
    UNSAFE,
    serve_request,
)
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind, TenantAccess, WeightedService
from wallwell.outcomes import Outcome
from wallwell.routing.admission.remaining_time import ShortestAnswerTime
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.pipeline import RequestPipeline


@pytest.mark.parametrize(
    ("route", "scripts", "status", "sends", "outcome"),
    [
        (SAFE, [OK], 200, 1, None),
        (SAFE, [RESET, OK], 200, 2, None),
        (SAFE, [BODY_RESET, OK], 200, 2, None),
        (SAFE, [FOREIGN_ANSWER, OK], 200, 2, None),
        (SAFE, [SERVER_ERROR, OK], 200, 2, None),
        (SAFE, [SERVER_ERROR, SERVER_ERROR], 500, 2, None),
        (SAFE, [RESET, RESET], 504, 2, Outcome.UNKNOWN),
        (SAFE, [RESET, OVERLOADED], 504, 3, Outcome.UNKNOWN),
        (SAFE, [CONNECT_TIMEOUT, CONNECT_TIMEOUT, OK], 200, 3, None),
        (UNSAFE, [OK], 200, 1, None),
        (UNSAFE, [SERVER_ERROR], 500, 1, None),
        (UNSAFE, [RESET, OK], 504, 1, Outcome.UNKNOWN),
        (UNSAFE, [BODY_RESET, OK], 504, 1, Outcome.UNKNOWN),
        (UNSAFE, [FOREIGN_ANSWER, OK], 504, 1, Outcome.UNKNOWN),
        (UNSAFE, [OVERLOADED, OK], 200, 2, None),
        (UNSAFE, [PRECONDITION_REFUSED, CONNECT_TIMEOUT, OK], 200, 3, None),
        (UNSAFE, [OVERLOADED, RESET, OK], 504, 2, Outcome.UNKNOWN),
        (UNSAFE, [OVERLOADED], 503, 4, Outcome.NOT_RUN),
        (UNSAFE, [CONNECT_TIMEOUT], 503, 3, Outcome.NOT_RUN),
    ],
)
def test_sequences_of_attempts(route, scripts, status, sends, outcome):
    reply, client, _ = serve_request(scripts, route)
    assert reply.status == status
    assert len(client.sent) <= sends
    assert (reply.error.outcome if reply.error else None) == outcome
    if status == 200:
        assert (reply.body, len(client.sent)) == (b"ok", sends)


def test_an_error_answer_is_forwarded_unchanged():
    reply, _, _ = serve_request([SERVER_ERROR], UNSAFE)
    assert (reply.body, reply.heads[0].headers) == (b"broken", (("X-Mark", "kept"),))


def test_a_request_that_never_ran_is_refused_at_once_with_a_retry_after():
    reply, _, took_s = serve_request([OVERLOADED], UNSAFE)
    assert reply.error.retry_after_ms > 0
    assert took_s < 0.1


def test_a_request_is_refused_when_no_back_end_is_listed():
    reply, _, took_s = serve_request([OK], SAFE, backends=0)
    assert (reply.status, reply.error.outcome, took_s) == (503, Outcome.NOT_RUN, 0.0)


@pytest.mark.parametrize(
    ("caller_timeout_s", "timeout_s", "expected_s"), [(None, 2.0, 2.0), (1.0, 2.0, 1.0), (9.0, 2.0, 2.0)]
)
def test_the_shorter_of_caller_and_route_timeout_applies(caller_timeout_s, timeout_s, expected_s):
    route = make_route(RouteKind.UNSAFE, attempts=1, timeout_s=timeout_s)
    silent = Script(head_delay_s=60.0)
    reply, client, took_s = serve_request([silent], route, lambda: make_request(caller_timeout_s=caller_timeout_s))
    assert (reply.status, reply.error.outcome) == (504, Outcome.UNKNOWN)
    assert took_s == pytest.approx(expected_s, abs=0.01)
    assert client.cancelled == 1


def test_each_attempt_gets_the_remaining_time():
    slow_overloaded = Script(send_error=TransportEvent.BACKEND_OVERLOADED, head_delay_s=0.5)
    _, client, _ = serve_request([slow_overloaded, OK], UNSAFE, lambda: make_request(caller_timeout_s=2.0))
    assert [round(each.remaining_s, 2) for each in client.sent] == [2.0, 1.5]


def test_a_silent_back_end_is_cancelled_in_time_for_another_attempt():
    reply, client, took_s = serve_request([Script(head_delay_s=60.0), OK], SAFE)
    assert (reply.status, client.cancelled) == (200, 1)
    assert took_s < SAFE.objective_s


def test_a_silent_back_end_is_awaited_when_no_retry_is_allowed():
    reply, client, _ = serve_request([Script(chunks=(b"late",), head_delay_s=1.5)], UNSAFE)
    assert (reply.status, reply.body, len(client.sent)) == (200, b"late", 1)


def test_a_late_answer_is_awaited_when_the_retry_budget_is_exhausted():
    """Attempts had been abandoned for retries that the retry budget then refused."""

    def exhaust_budget_during_the_wait(node_state):
        budget = node_state.retry_budget("svc")
        asyncio.get_running_loop().call_later(0.1, lambda: [budget.try_retry(boot_time_s(), 1) for _ in range(99)])

    late_answer = Script(chunks=(b"late",), head_delay_s=1.0)
    reply, client, _ = serve_request([late_answer], SAFE, prepare=exhaust_budget_during_the_wait)
    assert (reply.status, reply.body, len(client.sent), client.cancelled) == (200, b"late", 1, 0)


def test_a_retry_after_a_response_timeout_draws_once_on_the_budget():
    async def scenario():
        node_state = make_state(SAFE)
        budget = node_state.retry_budget("svc")
        before = budget.remaining_retries(boot_time_s(), 1)
        await RequestPipeline(node_state, FakeClient(Script(head_delay_s=60.0), OK)).serve(
            make_request(), FakeReply()
        )
        return before - budget.remaining_retries(boot_time_s(), 1)

    assert 0.8 < run_virtual(scenario()) <= 1.0


def test_a_back_end_that_answers_other_requests_is_not_suspended_for_a_timeout():
    async def scenario():
        node_state = make_state(SAFE, backends=2)
        for each in node_state.backends.all_backends():
            each.on_success(boot_time_s())
        client = FakeClient(Script(head_delay_s=60.0), OK)
        await RequestPipeline(node_state, client).serve(make_request(), FakeReply())
        return [each.consecutive_failures for each in node_state.backends.all_backends()]

    assert run_virtual(scenario()) == [0, 0]


def test_the_retry_budget_limits_retries():
    def serve_many(count):
        async def scenario():
            node_state = make_state(SAFE, retry_extra=0.0, retry_ratio=0.2)
            client = FakeClient(RESET)
            pipeline = RequestPipeline(node_state, client)
            for _ in range(count):
                await pipeline.serve(make_request(), FakeReply())
                await asyncio.sleep(0.001)
            return len(client.sent) - count

        return run_virtual(scenario())

    assert 1 <= serve_many(100) <= 20


# --- Retry-After --------------------------------------------------------------------------------------


def retry_after_s(scripts, route=SAFE, **options):
    return serve_request(scripts, route, **options)[0].error.retry_after_ms / 1000


def test_retry_after_depends_on_the_cause_of_the_refusal():
    def set_call_duration(node_state):
        node_state.call_time.seconds = 1.0

    def store_silent_with_peer_reports(node_state):
        node_state.freshness.confirmed_at_s = boot_time_s() - 5.0
        node_state.demand.peers_generations = 10

    def store_silent_without_peer_reports(node_state):
        node_state.freshness.confirmed_at_s = boot_time_s() - 5.0

    def start_without_configuration(node_state):
        node_state.config = None
        node_state.started_s = boot_time_s() - 0.5

    assert retry_after_s([OVERLOADED], UNSAFE, prepare=set_call_duration) > 0.3
    assert retry_after_s([OVERLOADED], UNSAFE) < 0.1
    assert retry_after_s([OK], backends=0) > 0.6
    assert 0.5 < retry_after_s([CONNECT_REFUSED], UNSAFE) < 0.7
    assert retry_after_s([CONNECT_REFUSED], UNSAFE, backends=9) < 0.1
    # Connect timeouts make the whole zone suspected, for longer than this caller waits.
    assert 0.6 < retry_after_s([CONNECT_TIMEOUT], UNSAFE, backends=9) < 1.4
    assert retry_after_s([OK], prepare=store_silent_with_peer_reports) > 0.6
    assert retry_after_s([OK], prepare=store_silent_without_peer_reports) < 0.1
    assert retry_after_s([OK], prepare=start_without_configuration) < 0.1


def test_retry_after_is_at_most_a_third_of_the_callers_time():
    assert retry_after_s([OK], backends=0, request=lambda: make_request(caller_timeout_s=0.3)) <= 0.1


def test_a_request_with_less_time_than_the_shortest_answer_is_refused_unsent():
    """Its answer would certainly be late, and would waste the back end's time."""

    async def scenario():
        client = FakeClient(Script(chunks=(b"ok",), head_delay_s=0.4))
        pipeline = RequestPipeline(make_state(UNSAFE), client)
        replies = [FakeReply() for _ in range(3)]
        for caller_timeout_s, reply in zip((2.0, 0.15, 0.3), replies, strict=True):
            await pipeline.serve(make_request(caller_timeout_s=caller_timeout_s), reply)
        return client, replies

    client, (served, refused, tried) = run_virtual(scenario())
    assert (served.status, len(client.sent)) == (200, 2)
    assert (refused.status, refused.error.outcome, refused.error.code) == (503, Outcome.NOT_RUN, "WW3007")
    assert refused.error.retry_after_ms == 0
    assert tried.status == 504


def test_short_requests_are_served_again_after_one_slow_answer():
    async def scenario():
        client = FakeClient(Script(chunks=(b"ok",), head_delay_s=2.5), Script(chunks=(b"ok",), head_delay_s=0.05))
        node_state = make_state(UNSAFE)
        pipeline = RequestPipeline(node_state, client)
        replies = [FakeReply() for _ in range(60)]
        for number, reply in enumerate(replies):
            node_state.freshness.confirm(boot_time_s())
            await pipeline.serve(make_request(caller_timeout_s=1.0 if number else 9.0), reply)
        return [reply.status for reply in replies]

    statuses = run_virtual(scenario())
    assert statuses.count(503) <= 20
    assert statuses[-30:] == [200] * 30


def test_a_resumed_generation_may_have_less_time_than_the_shortest_answer():
    route = make_route(RouteKind.STREAM)

    def set_shortest_answer(node_state):
        node_state.shortest_answers[route.name] = ShortestAnswerTime(4.0)

    def refused(resume_after):
        generation = make_generation(resume_after=resume_after)
        _, client, _ = serve_request(
            [OK],
            route,
            lambda: make_request(generation=generation, caller_timeout_s=1.0),
            prepare=set_shortest_answer,
        )
        return len(client.sent) == 0

    assert refused(None)
    assert not refused(2)


# --- access --------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("credential", "host", "status"),
    [("key", "h.example", 200), ("wrong", "h.example", 401), ("", "h.example", 401), ("key", "other", 404)],
)
def test_status_by_credential_and_route(credential, host, status):
    reply, client, _ = serve_request([OK], SAFE, lambda: make_request(credential=credential, host=host))
    assert reply.status == status
    assert len(client.sent) == (1 if status == 200 else 0)


def test_a_public_route_needs_no_credential():
    reply, client, _ = serve_request([OK], make_route(public=True), lambda: make_request(credential=""))
    assert (reply.status, client.sent[0].tenant) == (200, "")


@pytest.mark.parametrize("credential", ["key", "wrong"])
def test_requests_are_refused_while_the_configuration_is_stale(credential):
    """Since the store's last confirmation, a credential may have been revoked or an unknown one added."""

    def make_configuration_stale(node_state):
        node_state.freshness.confirmed_at_s = boot_time_s() - 4.7

    reply, client, _ = serve_request(
        [OK], SAFE, lambda: make_request(credential=credential), prepare=make_configuration_stale
    )
    assert (reply.status, reply.error.outcome, client.sent) == (503, Outcome.NOT_RUN, [])
    assert reply.error.retry_after_ms > 0


def test_the_rank_of_the_tenant_overrides_that_of_the_route():
    tenants = (TenantAccess("t", ("key",), rank=0),)
    _, client, _ = serve_request([OK], make_route(rank=4), tenants=tenants)
    assert client.sent[0].rank == 0


def test_a_split_route_chooses_its_service_by_weight():
    route = make_route(services=(WeightedService("svc", 1.0), WeightedService("none", 1.0)))
    replies = [
        serve_request([OK], route, prepare=lambda node_state, at=at: setattr(node_state, "split_offset", at))[0]
        for at in (0, 0.99)
    ]
    assert {reply.status for reply in replies} == {200, 503}
