"""Attempts that a node makes for a peer that has lost its links to all back ends."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json

import aiohttp
import pytest
from aiohttp import web

from tests.platform.conftest import config, route
from tests.platform.test_partitioned_nodes import GENERATION_HEADERS, WorkerLinks
from tests.platform.test_peers import two_nodes
from tests.unit.serving.fakes import event
from wallwell.clock import boot_time_s
from wallwell.peer_attempts.client import PeerAttemptClient
from wallwell.platform.rows import decode_config
from wallwell.routing.health.reachability import FAILURES_TO_DECIDE

CANCEL_BOUND_S = 0.5
"""Seconds within which a worker must learn that its caller has left."""
ROUTES = [
    route("r-safe", "/safe/", "safe", attempts=3),
    route("r-unsafe", "/unsafe/", "unsafe"),
    route("r-stream", "/stream/", "stream", attempts=3),
]


class CutNode:
    """Two nodes, one of which has just learned that it reaches no back end."""

    def __init__(self, harness):
        self.harness = harness

    async def start(self):
        nodes = await two_nodes(self.harness)
        nodes.sort(key=lambda node: node is not self.harness.node)
        self.cut, self.peer = nodes
        self.links = WorkerLinks(self.cut)
        self.peer_links = WorkerLinks(self.peer)
        self.links.cut("refuses")
        self.take_for_unreachable(self.cut)
        return self

    def take_for_unreachable(self, node):
        state = node.state
        for backend in list(state.backends.all_backends())[:FAILURES_TO_DECIDE]:
            state.on_connect_failed(backend, boot_time_s())
        assert state.reachability.is_unreachable("svc")

    async def stop(self):
        await self.peer.stop()


def on_cut_node(on_platform, scenario, routes=ROUTES, workers=2, configuration=None):
    async def work(harness):
        fleet = await CutNode(harness).start()
        try:
            return await scenario(harness, fleet)
        finally:
            await fleet.stop()

    return on_platform(work, configuration or config(routes=routes), workers=workers)


def requests_at(harness):
    return [request for worker in harness.workers for request in worker.requests]


@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
def test_request_reaches_a_worker_once_and_unchanged_and_its_answer_returns_unchanged(on_platform, kind):
    async def scenario(harness, fleet):
        for worker in harness.workers:
            worker.respond = worker.answer(body=b"\x00\xff" * 100_000, X_Extra="caf\u00e9")
        headers = GENERATION_HEADERS if kind == "stream" else {}
        body = bytes(range(256)) * 4000
        status, answer_headers, answer = await harness.call(
            f"/{kind}/a%20b?q=1", body=body, X_Own="1", X_Request_Id="req-7", **headers
        )
        (request,) = requests_at(harness)
        (received,) = [each for worker in harness.workers for each in worker.bodies]
        assert (status, answer) == (200, b"\x00\xff" * 100_000)
        assert answer_headers["X-Extra"] == "caf\u00e9"
        assert answer_headers["X-Response-Seal"].startswith("seal-")
        assert (request.method, request.raw_path, received) == ("POST", f"/{kind}/a%20b?q=1", body)
        assert request.headers["X-Own"] == "1"
        assert request.headers["X-Tenant"] == "t1"
        assert "X-Credential" not in request.headers
        assert 0 < int(request.headers["X-Deadline-Ms"]) <= 3000
        metrics = [node.metrics_text().decode() for node in (fleet.cut, fleet.peer)]
        assert 'wallwell_attempts_by_peers_total{result="answered"} 1.0' in metrics[0]
        assert "wallwell_services_unreachable 1.0" in metrics[0]
        assert 'wallwell_attempts_for_peers_total{result="answered"} 1.0' in metrics[1]
        if kind == "stream":
            assert request.headers["X-Expect-Version"] == "1"
            assert request.headers["X-Cache-Salt"] == "m:1"

    on_cut_node(on_platform, scenario)


def test_events_of_a_stream_are_passed_on_as_they_come(on_platform):
    async def scenario(harness, fleet):
        go_on = asyncio.Event()

        def respond(worker):
            async def stream(request):
                response = web.StreamResponse(
                    headers=worker.headers(request, **{"Content-Type": "text/event-stream"})
                )
                await response.prepare(request)
                await response.write(event(1))
                await go_on.wait()
                await response.write(event(2))
                return response

            return stream

        for worker in harness.workers:
            worker.respond = respond(worker)
        async with harness.request("/stream/a", **GENERATION_HEADERS) as response:
            first = await response.content.readexactly(len(event(1)))
            go_on.set()
            rest = await response.content.read()
        assert (first, rest) == (event(1), event(2))

    on_cut_node(on_platform, scenario)


def test_worker_learns_over_both_nodes_that_the_caller_has_left(on_platform):
    async def scenario(harness, fleet):
        for worker in harness.workers:
            worker.respond = worker.hang
        call = asyncio.create_task(harness.call("/safe/a"))
        await harness.until(lambda: requests_at(harness))
        call.cancel()
        left_s = boot_time_s()
        await harness.until(lambda: any(worker.cancelled.is_set() for worker in harness.workers))
        assert boot_time_s() - left_s < CANCEL_BOUND_S
        assert len(requests_at(harness)) == 1

    on_cut_node(on_platform, scenario)


def test_unsafe_request_whose_peer_dies_under_it_ends_as_unknown_and_ran_once(on_platform):
    async def scenario(harness, fleet):
        for worker in harness.workers:
            worker.respond = worker.hang
        call = asyncio.create_task(harness.call("/unsafe/a"))
        await harness.until(lambda: requests_at(harness))
        fleet.peer._peer_server.abort_streams()
        status, _, body = await call
        assert (status, json.loads(body)["outcome"]) == (504, "unknown")
        assert len(requests_at(harness)) == 1

    on_cut_node(on_platform, scenario)


def test_planned_stop_of_the_peer_waits_for_the_attempt(on_platform):
    async def scenario(harness, fleet):
        answer = asyncio.Event()

        def respond(worker):
            async def wait(request):
                await answer.wait()
                return await worker.answer_ok(request)

            return wait

        for worker in harness.workers:
            worker.respond = respond(worker)
        call = asyncio.create_task(harness.call("/unsafe/a"))
        await harness.until(lambda: requests_at(harness))
        stopping = asyncio.create_task(fleet.peer.drain(1.0, _nothing))
        await asyncio.sleep(0.6)
        assert not stopping.done()
        answer.set()
        assert (await call)[0] == 200
        await stopping

    on_cut_node(on_platform, scenario)


def test_unsafe_request_that_crosses_the_stop_of_a_peer_has_not_run(on_platform, monkeypatch):
    """Its connection to the peer was reset, so that it ended as unknown and was not sent again."""
    connect = PeerAttemptClient._connect
    stopping = []

    async def scenario(harness, fleet):
        async def connect_to_stopping_peer(client, peer, dispatch):
            connection = await connect(client, peer, dispatch)
            stopping.append(asyncio.create_task(fleet.peer.drain(1.0, _nothing)))
            await asyncio.sleep(0.01)
            return connection

        monkeypatch.setattr(PeerAttemptClient, "_connect", connect_to_stopping_peer)
        status, _, body = await harness.call("/unsafe/a")
        await asyncio.gather(*stopping)
        assert (status, json.loads(body)["outcome"]) == (503, "not_run")
        assert requests_at(harness) == []

    on_cut_node(on_platform, scenario)


async def _nothing():
    return None


def test_request_is_refused_soon_and_truly_if_no_node_reaches_a_worker(on_platform):
    """Neither node may pass the request back: one hop at most."""

    async def scenario(harness, fleet):
        fleet.peer_links.cut("refuses")
        fleet.take_for_unreachable(fleet.peer)
        sent_s = boot_time_s()
        status, headers, body = await harness.call("/unsafe/a")
        assert (status, json.loads(body)["outcome"]) == (503, "not_run")
        assert float(headers["Retry-After"]) > 0
        assert boot_time_s() - sent_s < 0.4
        assert not requests_at(harness)

    on_cut_node(on_platform, scenario)


def test_nothing_is_sent_to_a_node_that_does_not_state_that_it_makes_attempts(on_platform):
    """A node of an earlier version closes the connection on a message that it does not know."""

    async def scenario(harness, fleet):
        members = fleet.cut._order.members
        name = fleet.peer.state.node
        fleet.cut._order.members = {**members, name: type(members[name])("z1", members[name].relay, 0.0)}
        status, _, _ = await harness.call("/unsafe/a")
        assert status == 503
        assert not fleet.peer._pipeline.counters.attempts_for_peers

    on_cut_node(on_platform, scenario)


def test_peer_refuses_a_credential_that_its_own_configuration_does_not_have(on_platform):
    async def scenario(harness, fleet):
        tenant = {"name": "t1", "api_keys": ["k2"], "isolated": False}
        newer = json.dumps({**config(2, ROUTES), "tenants": [tenant]}).encode()
        assert fleet.peer.state.apply_config(decode_config(newer))
        status, _, _ = await harness.call("/unsafe/a", X_Credential="k1")
        assert status == 503
        assert not requests_at(harness)
        assert (await harness.call("/unsafe/a", X_Credential="k2"))[0] == 200

    on_cut_node(on_platform, scenario)


@pytest.mark.parametrize("credential", ["", "k9"])
def test_stranger_without_a_credential_gets_nothing_sent(on_platform, credential):
    async def scenario(harness, fleet):
        host, _, port = fleet.peer._peer_server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        message = {
            "type": "AttemptRequest",
            "incarnation": "i-0",
            "request_id": "r",
            "host": "h.example",
            "method": "POST",
            "target": "L3NhZmUvYQ==",
            "headers": [],
            "credential": {"": "", "k9": "azk="}[credential],
            "body": "",
            "age_s": 0.0,
            "remaining_s": 1.0,
        }
        writer.write(json.dumps(message).encode() + b"\n")
        reply = json.loads(await reader.readline())
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        assert reply["type"] == "AttemptDeclined"
        assert not requests_at(harness)

    on_cut_node(on_platform, scenario)


def test_both_nodes_apply_what_an_answer_states(on_platform):
    async def scenario(harness, fleet):
        for worker in harness.workers:
            worker.leaving = True
        assert (await harness.call("/safe/a"))[0] == 200
        (answered,) = [worker.incarnation for worker in harness.workers if worker.requests]
        return [node.state.backends.get(answered).has_announced_leave for node in (fleet.cut, fleet.peer)]

    assert on_cut_node(on_platform, scenario) == [True, True]


def test_peer_sends_nothing_to_a_worker_that_is_leaving_as_it_knows(on_platform):
    async def scenario(harness, fleet):
        leaving = fleet.peer.state.backends.get("i-0")
        fleet.peer.state.backends.on_leaving(leaving, boot_time_s())
        statuses = [(await harness.call("/unsafe/a", X_Request_Id=f"r{number}"))[0] for number in range(20)]
        assert set(statuses) == {200}
        assert not harness.workers[0].requests

    on_cut_node(on_platform, scenario)


def test_peer_does_not_continue_a_stream_at_a_worker_that_runs_other_software_as_it_knows(on_platform):
    async def scenario(harness, fleet):
        for index, worker in enumerate(harness.workers):
            worker.respond = worker.stream(event(1), break_off=True)
            backend = fleet.peer.state.backends.get(worker.incarnation)
            backend.record = dataclasses.replace(backend.record, software=f"newer-{index}")
        with pytest.raises(aiohttp.ClientError):
            await harness.call("/stream/a", **GENERATION_HEADERS)
        assert len(requests_at(harness)) == 1

    resumable = route("r-stream", "/stream/", "stream", attempts=3, can_resume=True)
    on_cut_node(on_platform, scenario, [resumable])
