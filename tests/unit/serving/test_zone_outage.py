"""Requests during and after the outage of a zone, in virtual time: latency, connect timeouts and recovery."""

import asyncio
import random
from collections import Counter

import pytest

from tests.unit.serving.fakes import FakeClient, FakeReply, Script, make_request, make_route, make_state
from tests.virtual_time import run_virtual
from wallwell.address import Address
from wallwell.clock import boot_time_s
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import RouteKind
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.liveness import LivenessMonitor
from wallwell.serving.messages import AttemptError
from wallwell.serving.pipeline import RequestPipeline

CONNECT_S, CHECK_S, WORK_S = 0.25, 0.12, 0.02
OUTAGE_START_S, OUTAGE_DURATION_S = 2.0, 6.0
REQUESTS_PER_S = 25
ZONES, PER_ZONE = ("z1", "z2", "z3", "z4"), 7


class Network(FakeClient):
    """Back ends that answer quickly, in zones that can be cut off: connections to a cut zone time out."""

    def __init__(self):
        super().__init__(Script(chunks=(b"ok",), head_delay_s=WORK_S))
        self.unreachable_zones = set()
        self.timed_out = []

    async def send(self, dispatch):
        if dispatch.backend.zone in self.unreachable_zones:
            self.timed_out.append(boot_time_s())
            dispatch.progress.connecting = True
            await asyncio.sleep(CONNECT_S)
            raise AttemptError(TransportEvent.CONNECT_TIMEOUT, "scripted")
        return await super().send(dispatch)

    async def is_reachable(self, backend):
        await asyncio.sleep(CHECK_S if backend.zone in self.unreachable_zones else 0.002)
        return backend.zone not in self.unreachable_zones

    accepts_connections = is_reachable


def serve_through_outage(cut_zones, zone="z9"):
    """Serve requests for ten seconds with zones cut off for six.

    Return arrival, status and duration of each request, time and zone of each attempt, and the connect timeouts.
    """

    async def scenario():
        state = make_state(make_route(RouteKind.SAFE, attempts=2), backends=0)
        state.zone, state.rng = zone, random.Random(3)
        for name in ZONES:
            for number in range(PER_ZONE):
                address = f"{name}-{number}"
                backend = state.backends.upsert(BackendRecord(address, "svc", f"{address}:1", name, 6))
                # Calls go to other zones only while the back ends of the own zone are busy.
                backend.peers_load = 4 if name == zone else 0
        network = Network()
        liveness = LivenessMonitor(state, network)
        pipeline = RequestPipeline(state, network, liveness=liveness)
        watching = asyncio.create_task(liveness.run())
        serving, replies = [], []
        started_s = boot_time_s()
        for number in range(10 * REQUESTS_PER_S):
            at_s = number / REQUESTS_PER_S
            network.unreachable_zones = (
                set(cut_zones) if OUTAGE_START_S <= at_s < OUTAGE_START_S + OUTAGE_DURATION_S else set()
            )
            state.freshness.confirm(boot_time_s())
            reply = FakeReply()
            replies.append((at_s, reply))
            serving.append(asyncio.create_task(pipeline.serve(make_request(), reply)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*serving)
        watching.cancel()
        latencies = [(at_s, reply.status, reply.ended_at_s - started_s - at_s) for at_s, reply in replies]
        sent = [
            (at_s - started_s, each.backend.zone)
            for at_s, each in zip(network.sent_at_s, network.sent, strict=True)
        ]
        return latencies, sent, [at_s - started_s for at_s in network.timed_out]

    return run_virtual(scenario())


@pytest.mark.parametrize(
    ("cut_zones", "zone"),
    [(("z2",), "z9"), (("z2",), "z1"), (("z2", "z3", "z4"), "z1"), (("z2", "z3", "z4"), "z9")],
    ids=["one, no own back ends", "from outside", "from inside", "three, no own back ends"],
)
def test_requests_are_sent_to_a_cut_zone_for_less_than_a_second(cut_zones, zone):
    """The second counts from the first timeout; a request hits each cut zone at most once, and none is refused."""
    latencies, _, timed_out = serve_through_outage(cut_zones, zone)
    settled_s = min(timed_out) + 1.0
    assert max(timed_out) < settled_s
    assert len(timed_out) <= REQUESTS_PER_S
    settled = [(status, seconds) for at_s, status, seconds in latencies if at_s >= settled_s]
    assert {status for status, _ in settled} == {200}
    assert max(seconds for _, seconds in settled) < 2 * WORK_S
    assert {status for _, status, _ in latencies} == {200}
    assert max(seconds for _, _, seconds in latencies) < len(cut_zones) * CONNECT_S + 2 * WORK_S


def test_a_zone_serves_again_soon_after_an_outage_without_a_surge():
    _, sent, _ = serve_through_outage(("z2",))
    end_s = OUTAGE_START_S + OUTAGE_DURATION_S
    back = [at_s for at_s, zone in sent if at_s >= end_s and zone == "z2"]
    assert min(back) < end_s + 1.0
    first_second = Counter(zone for at_s, zone in sent if min(back) <= at_s < min(back) + 1.0)
    assert first_second["z2"] < 2 * REQUESTS_PER_S / len(ZONES)


def test_peers_in_a_returned_zone_are_polled_at_once():
    """The pause between polls doubles up to 16 s, and the loads of a zone are unknown until its nodes report."""
    order = UpstreamOrder("n1", "z1", {"n1": NodeRecord("z1", "10.0.0.1:1"), "n2": NodeRecord("z2", "10.0.0.2:1")})
    for now_s in (0.0, 3.0, 8.0):
        order.on_failure("n2", now_s)
    assert order.other_relays(9.0) == []
    order.on_zone_returned("z1")
    assert order.other_relays(9.0) == []
    order.on_zone_returned("z2")
    assert order.other_relays(9.0) == [("n2", Address("10.0.0.2", 1))]
