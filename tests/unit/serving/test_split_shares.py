"""A route split over two services keeps their shares while one fails, attempts are retried and callers retry."""

import asyncio
import random
from collections import Counter

import pytest

from tests.unit.serving.fakes import FakeClient, FakeReply, Script, make_request, make_route, make_state
from tests.virtual_time import run_virtual
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import RouteKind, WeightedService
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.pipeline import RequestPipeline

NODES = 64
OK = Script(chunks=(b"ok",))
SHARE_TOLERANCE = 0.2


class TwoServicesClient(FakeClient):
    """One service follows a script, the other one answers successfully."""

    def __init__(self, failing_service, script):
        super().__init__(OK)
        self.failing_service, self.script = failing_service, script

    async def send(self, dispatch):
        self.scripts = [self.script if dispatch.backend.service == self.failing_service else OK]
        return await super().send(dispatch)


def first_sends(weights, failing_service, script, requests_per_node, callers_retry):
    """Serve requests on each node, with refused callers retrying on another node if ``callers_retry``.

    Return the number of first attempts by service.
    """

    async def scenario():
        rng = random.Random(11)
        services = tuple(WeightedService(name, weight) for name, weight in weights.items())
        route = make_route(RouteKind.SAFE, services=services)
        client = TwoServicesClient(failing_service, script)
        nodes = []
        for _ in range(NODES):
            state = make_state(route, backends=0)
            state.split_offset = rng.random()
            for name in weights:
                for number in range(5):
                    state.backends.upsert(BackendRecord(f"{name}{number}", name, f"{name}{number}:1", "z1", 8))
            nodes.append(RequestPipeline(state, client))
        counts = Counter()
        for _ in range(requests_per_node):
            for node in nodes:
                for pipeline in (node, rng.choice(nodes)):
                    reply, sent = FakeReply(), len(client.sent)
                    await pipeline.serve(make_request(), reply)
                    counts[client.sent[sent].backend.service] += 1
                    if reply.status == 200 or not callers_retry:
                        break
                await asyncio.sleep(0.001)
        return counts

    return run_virtual(scenario())


@pytest.mark.parametrize("requests_per_node", [1, 2, 5, 20])
@pytest.mark.parametrize(
    ("failing_service", "script"),
    [
        ("", OK),
        ("main", Script(send_error=TransportEvent.BACKEND_OVERLOADED)),
        ("part", Script(send_error=TransportEvent.BACKEND_OVERLOADED)),
        ("part", Script(send_error=TransportEvent.CONNECT_REFUSED)),
        ("part", Script(send_error=TransportEvent.RESET_AFTER_SEND)),
        ("part", Script(status=500, chunks=(b"bad",))),
    ],
    ids=["no failure", "main refuses", "part refuses", "part unreachable", "part resets", "part fails"],
)
@pytest.mark.parametrize("callers_retry", [False, True], ids=["no caller retry", "caller retry"])
def test_a_service_with_a_tenth_of_the_weight_gets_a_tenth_of_the_requests(
    failing_service, script, requests_per_node, callers_retry
):
    """The share may deviate by a fifth for many requests, and by three standard deviations for few."""
    counts = first_sends({"main": 90, "part": 10}, failing_service, script, requests_per_node, callers_retry)
    allowed = SHARE_TOLERANCE * 0.1 if requests_per_node >= 20 else 3 * (0.09 / counts.total()) ** 0.5
    assert abs(counts["part"] / counts.total() - 0.1) <= allowed


def test_retries_stay_at_the_chosen_service():
    async def scenario():
        route = make_route(services=(WeightedService("svc", 1.0), WeightedService("other", 1.0)))
        state = make_state(route)
        state.backends.upsert(BackendRecord("o-0", "other", "o:1", "z1", 8))
        client = FakeClient(Script(send_error=TransportEvent.BACKEND_OVERLOADED))
        await RequestPipeline(state, client).serve(make_request(), FakeReply())
        return {each.backend.service for each in client.sent}, len(client.sent)

    services, sends = run_virtual(scenario())
    assert len(services) == 1
    assert sends > 1
