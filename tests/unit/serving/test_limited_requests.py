"""What a request is charged to its tenant's limit, what is refunded, and the Retry-After over the limit."""

import msgspec
import pytest

from tests.unit.serving.fakes import FakeClient, FakeReply, Script, make_request, make_route, make_state
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind, TenantAccess, TenantLimit
from wallwell.outcomes import Outcome
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.pipeline import RequestPipeline

LIMIT = TenantLimit(rate_per_s=1_000, burst=1_000, counts_tokens=True, default_request_tokens=200)
OK = Script(chunks=(b"ok",))
OVERLOADED = Script(send_error=TransportEvent.BACKEND_OVERLOADED)
RESET = Script(send_error=TransportEvent.RESET_AFTER_SEND)


def serve_requests(scripts, declared_tokens=None, requests=1, route=None):
    """Serve requests on a single node with a full bucket; return the replies and what is left of the limit."""

    async def scenario():
        state = make_state(route, tenants=(TenantAccess("t", ("key",), limit=LIMIT),))
        now_s = boot_time_s()
        state.load.limits.on_fleet_report({}, 0, 1)
        state.load.limits.levels(now_s - 2.0)
        state.load.limits.levels(now_s)
        pipeline = RequestPipeline(state, FakeClient(*scripts))
        replies = [FakeReply() for _ in range(requests)]
        for reply in replies:
            await pipeline.serve(msgspec.structs.replace(make_request(), declared_tokens=declared_tokens), reply)
        return replies, state.load.limits.levels(now_s).get("t", LIMIT.burst)

    return run_virtual(scenario())


@pytest.mark.parametrize(
    ("scripts", "declared_tokens", "left"),
    [
        ((OK,), 700, 300),
        ((OK,), None, 800),
        ((OK,), 0, 1_000),
        # Not run: refunded. Reset, then answered: charged twice. Refused, then answered: charged once.
        ((OVERLOADED,), 700, 1_000),
        ((RESET, OK), 300, 400),
        ((OVERLOADED, OK), 300, 700),
        # Unknown outcome: both attempts stay charged.
        ((RESET, RESET), 300, 400),
    ],
)
def test_limit_left_after_a_request(scripts, declared_tokens, left):
    _, level = serve_requests(scripts, declared_tokens)
    assert level == left


def test_an_unsafe_request_of_unknown_outcome_is_not_refunded():
    _, level = serve_requests((RESET,), 300, route=make_route(RouteKind.UNSAFE, attempts=1))
    assert level == 700


def test_requests_over_the_limit_are_refused_at_once_with_a_retry_after():
    replies, _ = serve_requests((OK,), 900, requests=6)
    refused = [reply for reply in replies if reply.error is not None]
    assert replies[0].ended == "answered"
    assert refused and all(reply.status == 429 for reply in refused)
    assert all(reply.error.outcome is Outcome.NOT_RUN for reply in refused)
    assert all(200 <= reply.error.retry_after_ms <= 5_000 for reply in refused)


@pytest.mark.parametrize(
    ("limit", "declared_tokens", "cost"),
    [(LIMIT, 1_540, 1_540), (LIMIT, None, 200), (TenantLimit(5, 5), 1_540, 1), (TenantLimit(5, 5), None, 1)],
)
def test_cost_of_a_request(limit, declared_tokens, cost):
    assert limit.request_cost(declared_tokens) == cost
