"""Requests while back ends have asked for back-off are served by others, held, or refused at once."""

import asyncio

import pytest

from tests.unit.serving.fakes import FakeClient, FakeReply, make_request, make_route, make_state
from tests.unit.serving.single_request import OK, OVERLOADED, serve_request
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.routing.admission.backoff_hold import HOLD_FRACTION, HOLD_JITTER_S, hold_duration_s
from wallwell.routing.retry.retry_after import BACKOFF_JITTER
from wallwell.serving.pipeline import RequestPipeline

OBJECTIVE_S = make_route().objective_s


def request_backoff(*seconds):
    """Return a preparation that puts the first back ends of a state in back-off for the given seconds each."""

    def prepare(state):
        for index, each in enumerate(seconds):
            state.backends.get(f"i-{index}").backoff.on_requested(each, boot_time_s())

    return prepare


def test_requests_go_to_back_ends_that_are_not_in_backoff():
    reply, client, took_s = serve_request([OK], prepare=request_backoff(3.0, 3.0))
    assert (reply.status, took_s) == (200, 0.0)
    assert [each.backend.incarnation for each in client.sent] == ["i-2"]


def test_a_request_is_held_until_the_first_backoff_ends_if_that_is_in_time():
    ends_s = HOLD_FRACTION * OBJECTIVE_S - 0.05
    reply, client, took_s = serve_request([OK], prepare=request_backoff(3.0, ends_s, 3.0))
    assert reply.status == 200
    assert ends_s <= took_s <= ends_s + HOLD_JITTER_S
    assert [each.backend.incarnation for each in client.sent] == ["i-1"]


def test_a_request_is_refused_with_the_first_backoff_end_if_that_is_too_late():
    reply, client, took_s = serve_request([OK], prepare=request_backoff(1.2, 1.0, 3.0))
    assert (reply.status, took_s, client.sent) == (503, 0.0, [])
    low, high = BACKOFF_JITTER
    assert 1000 * low <= reply.error.retry_after_ms <= 1000 * high


def test_a_request_refused_after_a_hold_is_held_again_only_within_its_objective():

    async def scenario():
        state = make_state(backends=1)
        backend = state.backends.get("i-0")
        backend.backoff.on_requested(0.1, boot_time_s())
        held = FakeReply()

        class BackoffRequestingClient(FakeClient):
            async def send(self, dispatch):
                backend.backoff.on_requested(0.1, boot_time_s())
                return await super().send(dispatch)

        started_s = boot_time_s()
        client = BackoffRequestingClient(OVERLOADED)
        await RequestPipeline(state, client).serve(make_request(), held)
        return held.status, held.ended_at_s - started_s, len(client.sent)

    status, took_s, sent = run_virtual(scenario())
    assert status == 503
    assert 0.1 <= took_s <= OBJECTIVE_S
    assert sent >= 2


def test_back_ends_that_refuse_without_a_backoff_time_get_few_requests():
    """Two of three back ends refuse all requests; retries on them must not use up the retry budget."""

    async def scenario():
        state = make_state(route=make_route(attempts=3))
        sent = []

        class TwoOverloadedClient(FakeClient):
            async def send(self, dispatch):
                sent.append(dispatch.backend.incarnation)
                self.scripts = [OK if dispatch.backend.incarnation == "i-2" else OVERLOADED]
                return await super().send(dispatch)

        pipeline = RequestPipeline(state, TwoOverloadedClient(OK))
        statuses = []
        for _ in range(200):
            reply = FakeReply()
            await pipeline.serve(make_request(), reply)
            statuses.append(reply.status)
            await asyncio.sleep(0.02)
        return statuses, [each for each in sent if each != "i-2"]

    statuses, refused = run_virtual(scenario())
    assert set(statuses) == {200}
    assert len(refused) < 20


@pytest.mark.parametrize(
    ("ends_in_s", "objective_left_s", "is_held"),
    [(0.2, 0.4, True), (0.21, 0.4, False), (0.0, 0.0, True), (0.1, -1.0, False), (3.0, 10.0, True)],
)
def test_a_hold_takes_at_most_half_of_the_objective(ends_in_s, objective_left_s, is_held):
    state = make_state()
    seconds = hold_duration_s(ends_in_s, objective_left_s, state.rng)
    assert (seconds is not None) is is_held
    assert seconds is None or ends_in_s <= seconds <= ends_in_s + HOLD_JITTER_S
