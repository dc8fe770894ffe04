"""Generations on the pipeline in virtual time: streams and their resumption, weights, and callers who leave."""

import asyncio

import pytest

from tests.unit.serving.fakes import (
    FakeClient,
    FakeReply,
    Script,
    event,
    make_generation,
    make_request,
    make_route,
    make_state,
)
from tests.unit.serving.plays import (
    ERROR,
    MISDIRECTED,
    OK,
    RESET,
    SAFE,
    SHED,
    UNREACHABLE,
    UNSAFE,
    play,
)
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind, TenantAccess
from wallwell.outcomes import Outcome
from wallwell.routing.retry.attempt_outcome import TransportEvent as T
from wallwell.routing.selection.prefill_rate import DEFAULT_S, SMOOTHING
from wallwell.routing.selection.prefix_home import request_load
from wallwell.serving.messages import CallerGoneError
from wallwell.serving.pipeline import RequestPipeline

RESUMABLE = make_route(RouteKind.STREAM, resumable=True, attempts=2)
ONCE = make_route(RouteKind.STREAM, attempts=1)


def stream(*chunks, breaks=None, **more):
    return Script(chunks=chunks, stream=True, breaks=breaks, **more)


def generate(**more):
    return lambda: make_request(generation=make_generation(**more))


@pytest.mark.parametrize(
    ("route", "scripts", "ended", "events", "sends"),
    [
        (ONCE, [stream(event(1), event(2))], "finished", 2, 1),
        (ONCE, [stream(event(1), breaks=T.RESET_AFTER_SEND)], "aborted", 1, 1),
        (ONCE, [stream(breaks=T.RESET_AFTER_SEND)], "refused", 0, 1),
        (ONCE, [stream(event(1), b"id: 2\nda")], "aborted", 1, 1),
        (ONCE, [stream(event(1), event(1))], "aborted", 1, 1),
        (RESUMABLE, [stream(event(1), breaks=T.RESET_AFTER_SEND), stream(event(2))], "finished", 2, 2),
        (RESUMABLE, [stream(event(1), b"id: 2\nda"), stream(event(2))], "finished", 2, 2),
        (RESUMABLE, [stream(event(1), 5.0, event(2)), stream(event(2), event(3))], "finished", 3, 2),
        (RESUMABLE, [stream(event(1), breaks=T.RESET_AFTER_SEND), stream(event(1))], "aborted", 1, 2),
        (RESUMABLE, [stream(event(1), breaks=T.RESET_AFTER_SEND), SHED, stream(event(2))], "finished", 2, 3),
        (RESUMABLE, [stream(event(1), breaks=T.RESET_AFTER_SEND), ERROR], "aborted", 1, 2),
    ],
)
def test_sequences_of_runs(route, scripts, ended, events, sends):
    reply, client, _ = play(scripts, route, generate(), versions={"m": 1})
    assert reply.ended == ended
    assert reply.body == b"".join(event(number) for number in range(1, events + 1))
    assert len(client.sent) == sends
    assert len(reply.heads) <= 1


def test_a_continued_stream_resumes_after_the_last_whole_event_on_another_engine():
    scripts = [stream(event(1), event(2), breaks=T.RESET_AFTER_SEND), stream(event(3))]
    _, client, _ = play(scripts, RESUMABLE, generate(), versions={"m": 1})
    first, second = client.sent
    assert (first.resume_after, second.resume_after) == (None, 2)
    assert first.backend.incarnation != second.backend.incarnation


def test_a_callers_own_resume_point_is_passed_on():
    _, client, _ = play([stream(event(13))], RESUMABLE, generate(resume_after=12), versions={"m": 1})
    assert client.sent[0].resume_after == 12


def test_a_silent_stream_that_may_not_be_retried_is_waited_for():
    reply, _, _ = play([stream(event(1), 3.0, event(2))], ONCE, generate(), versions={"m": 1})
    assert reply.ended == "finished"


def test_a_callers_leaving_cancels_the_engines_work():
    async def work():
        fleet = make_state(ONCE, versions={"m": 1})
        client = FakeClient(stream(event(1), 3.0, event(2)))
        request = make_request(generation=make_generation())
        serving = asyncio.create_task(RequestPipeline(fleet, client).serve(request, FakeReply()))
        await asyncio.sleep(1.0)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        return client.cancelled, [each.in_flight for each in fleet.backends.all()]

    assert run_virtual(work()) == (1, [0, 0, 0])


# --- weights and caches --------------------------------------------------------------------------------


def test_the_expected_version_and_the_cache_scope_name_the_same_weights():
    _, client, _ = play([stream(event(1))], ONCE, generate(), versions={"m": 3})
    sent = client.sent[0]
    assert (sent.expected_version, sent.cache.scope) == (3, "m:3")


def test_an_isolated_tenant_has_a_cache_scope_of_its_own():
    tenants = (TenantAccess("t", ("key",), isolated=True),)
    _, client, _ = play([stream(event(1))], ONCE, generate(), versions={"m": 3}, tenants=tenants)
    assert client.sent[0].cache.scope == "m:3:t"


@pytest.mark.parametrize(("reported", "expected"), [(5, 5), (0, 4)], ids=["reported by the engine", "newest named"])
def test_a_refused_version_is_corrected_for_the_next_attempt(reported, expected):
    def name_newer(fleet):
        fleet.weights.add_version("m", 4, boot_time_s())

    refused = Script(fails=T.PRECONDITION_REFUSED, refused_version=reported)
    _, client, _ = play(
        [refused, stream(event(1))], ONCE, generate(), versions={"m": 3}, backends=1, prepare=name_newer
    )
    assert [each.expected_version for each in client.sent] == [3, expected]


def test_an_engine_on_overdue_weights_begins_nothing():
    def name_long_ago(fleet):
        fleet.weights.add_version("m", 2, boot_time_s() - 7.9)
        fleet.backends.get("i-1").learn_version("m", 2)

    _, client, _ = play([stream(event(1))], ONCE, generate(), versions={"m": 1}, prepare=name_long_ago)
    assert client.sent[0].backend.incarnation == "i-1"


def test_a_request_that_waits_in_an_engine_is_withdrawn_before_its_weights_are_too_old():
    """Found by a hunt: sent 6.1 s after a naming, a request began 2.1 s later, past the 8 s allowed."""
    waiting = stream(event(1), head_after_s=5.0)

    def name_some_time_ago(fleet):
        fleet.weights.add_version("m", 2, boot_time_s() - 6.1)

    reply, client, took_s = play([waiting], ONCE, generate(), versions={"m": 1}, prepare=name_some_time_ago)
    assert (reply.ended, client.cancelled) == ("refused", 1)
    assert 1.5 < took_s < 1.9


def test_older_weights_serve_to_the_last_when_no_engine_has_newer_ones():
    def name_a_while_ago(fleet):
        fleet.weights.add_version("m", 2, boot_time_s() - 7.0)

    reply, _, _ = play([stream(event(1))], ONCE, generate(), versions={"m": 1}, prepare=name_a_while_ago)
    assert reply.ended == "finished"


def test_nothing_is_begun_when_every_engine_is_overdue():
    reply, client, _ = play(
        [stream(event(1))],
        ONCE,
        generate(),
        versions={"m": 1},
        prepare=lambda fleet: fleet.weights.add_version("m", 2, boot_time_s() - 7.9),
    )
    assert (reply.status, client.sent) == (503, [])


@pytest.mark.parametrize("first", [SHED, MISDIRECTED, UNREACHABLE])
@pytest.mark.parametrize("route", [UNSAFE, make_route(RouteKind.STREAM, attempts=1)])
def test_an_attempt_under_way_when_time_runs_out_may_have_run(first, route):
    """Found on a deployment of 69 nodes: a refused attempt, then one that the deadline cut, gave a 503."""
    silent = Script(head_after_s=100.0)
    reply, client, took_s = play([first, silent], route, lambda: make_request(allowance_s=1.0))
    assert len(client.sent) == 2
    assert (reply.status, reply.error.outcome) == (504, Outcome.UNKNOWN)
    assert took_s == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("age_s", [0.0, 3.0, 6.0])
def test_an_engine_takes_generations_until_its_order_whatever_is_named(age_s):
    """Streams go on while weights load, so emptying an engine ahead of its order would only cost places."""

    def name_earlier(fleet):
        fleet.weights.add_version("m", 2, boot_time_s() - age_s)

    homes = set()
    for prepare in (None, name_earlier):
        _, client, _ = play([stream(event(1))], ONCE, generate(), versions={"m": 1}, backends=9, prepare=prepare)
        homes.add(client.sent[0].backend.incarnation)
    assert len(homes) == 1


def test_a_stream_goes_on_over_a_change_of_weights():
    """The engine reports in an event's first line that its weights have changed."""
    changed = b"x-weight-versions: 2\n" + event(2)
    reply, _, _ = play([stream(event(1), changed, event(3))], ONCE, generate(), versions={"m": 1})
    assert (reply.ended, reply.body) == ("finished", event(1) + changed + event(3))


@pytest.mark.parametrize(("tokens", "learns"), [(9000, True), (500, False)], ids=["long prompt", "short prompt"])
def test_the_prefill_rate_is_learned_from_first_tokens_of_long_prompts(tokens, learns):
    states = []
    slow = stream(event(1), 1.0, event(2), head_after_s=2.0)
    play([slow], ONCE, generate(tokens=tokens), versions={"m": 1}, prepare=states.append)
    expected_s = DEFAULT_S + SMOOTHING * (2.0 / request_load(tokens + 10) - DEFAULT_S)
    assert states[0].prefill_rate.seconds_per_unit == pytest.approx(expected_s if learns else DEFAULT_S, rel=0.01)


# --- callers that have left ----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("scripts", "leaves_after", "sends"),
    [([OK], 0, 0), ([SHED, OK], 1, 1), ([RESET, OK], 1, 1), ([ERROR, OK], 1, 1)],
    ids=["before the first attempt", "after a refusal", "after a break", "after a failed answer"],
)
def test_nothing_is_sent_for_a_caller_who_has_left(scripts, leaves_after, sends):
    async def work():
        client, reply = FakeClient(*scripts), FakeReply()
        reply.is_caller_gone = lambda: len(client.sent) >= leaves_after
        with pytest.raises(CallerGoneError):
            await RequestPipeline(make_state(SAFE), client).serve(make_request(), reply)
        return len(client.sent), reply.ended

    assert run_virtual(work()) == (sends, "")
