"""Requests while back ends state a limit per second are sent to other back ends, held, or refused at once."""

import msgspec

from tests.unit.serving.fakes import make_route
from tests.unit.serving.single_request import OK, serve_request
from wallwell.clock import boot_time_s
from wallwell.errors import NoBackendError
from wallwell.routing.admission.backend_rate import BURST_S
from wallwell.routing.admission.backoff_hold import HOLD_FRACTION
from wallwell.routing.health.request_limit import LimitStatement

OBJECTIVE_S = make_route().objective_s
REQUESTS_SENT_BEFORE = 20
"""Number of requests that use up a limit for longer than any request is held."""


def state_limits(per_s, *numbers, sent=REQUESTS_SENT_BEFORE):
    """Return a preparation in which back ends state a limit of ``per_s`` after ``sent`` requests to each."""

    def prepare(state):
        now_s = boot_time_s()
        limits = state.load.stated_limits
        for number in numbers:
            backend = state.backends.get(f"i-{number}")
            for _ in range(sent):
                limits.on_sent(backend.incarnation, now_s)
            limits.on_answer(backend, LimitStatement(per_s, now_s), now_s)

    return prepare


def test_requests_go_to_back_ends_whose_limit_has_headroom():
    reply, client, took_s = serve_request([OK], prepare=state_limits(1.0, 0, 2))
    assert (reply.status, took_s) == (200, 0.0)
    assert [each.backend.incarnation for each in client.sent] == ["i-1"]


def test_a_request_is_served_while_the_limits_are_not_used_up():
    reply, client, took_s = serve_request([OK], prepare=state_limits(100.0, 0, 1, 2, sent=0))
    assert (reply.status, took_s, len(client.sent)) == (200, 0.0, 1)


def test_a_request_is_refused_at_once_where_no_limit_allows_it_in_time():
    reply, client, took_s = serve_request([OK], prepare=state_limits(1.0, 0, 1, 2))
    assert (reply.status, took_s, client.sent) == (503, 0.0, [])
    assert isinstance(reply.error, NoBackendError)
    assert reply.error.retry_after_ms > 1000 * HOLD_FRACTION * OBJECTIVE_S


def test_a_suspended_back_end_is_tried_before_a_request_is_refused():
    def prepare(state):
        state_limits(1.0, 0, 1)(state)
        state.backends.get("i-2").suspend_at_least_until(boot_time_s() + 5.0)

    reply, client, _ = serve_request([OK], prepare=prepare)
    assert reply.status == 200
    assert [each.backend.incarnation for each in client.sent] == ["i-2"]


def test_a_request_is_held_while_it_can_still_be_in_time():
    """Sixty requests over the burst take 0.6 s: the fleet's size is unknown, so this node may use a
    hundredth of the limit."""
    burst_size = round(10_000 * BURST_S)
    long_objective = msgspec.structs.replace(make_route(), objective_s=2.0)
    reply, _, took_s = serve_request(
        [OK], long_objective, prepare=state_limits(10_000.0, 0, 1, 2, sent=burst_size + 60)
    )
    assert reply.status == 200
    assert 0.6 <= took_s <= HOLD_FRACTION * 2.0
