"""Drawn runs of calls that must not run twice, at back ends that reject some and repeat answers at any later time.

The pipeline, the client of back ends and its connections are the real ones, in virtual time; a connection's far end
is a model of a back end.
"""

from __future__ import annotations

import asyncio
import random
import re
from collections import Counter

import msgspec
import pytest

from tests.unit.serving.fakes import FakeReply, make_request, make_route, make_state
from tests.virtual_time import run_virtual
from wallwell.address import Address
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind
from wallwell.outcomes import Outcome
from wallwell.platform.worker_client import WorkerClient, make_worker_pool
from wallwell.routing.health.backend_notice import BackendNotices
from wallwell.serving.pipeline import RequestPipeline

CALLS = 1000
CALL_INTERVAL_S = 0.02
WORK_S = 0.06
TRAVEL_S = 0.001
REJECTED_SHARE, REPEATED_SHARE = 0.5, 0.5
DELAYS_S = ((0.0, 0.0), (0.002, 0.03), (0.03, 0.2), (0.5, 5.0))
"""Ranges of the delay of a copy; 0 is in the same segment as the answer."""


class FarEnd(asyncio.Transport):
    """A connection to a back end, as the router holds it."""

    def __init__(self, protocol, back_end):
        super().__init__()
        self.protocol = protocol
        self._back_end = back_end
        self._is_closed = False

    def write(self, data):
        asyncio.get_running_loop().call_later(TRAVEL_S, self._back_end.on_request, self, data)

    def deliver(self, data):
        if not self._is_closed:
            self.protocol.data_received(data)

    def abort(self):
        if not self._is_closed:
            self._is_closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def is_closing(self):
        return self._is_closed

    def get_extra_info(self, name, default=None):
        return default

    def pause_reading(self):
        raise AssertionError("answers this small never fill a buffer")


class BackEnd:
    """Rejects some requests with a proof that they have not run, runs the others, and repeats some answers."""

    def __init__(self, rng):
        self._rng = rng
        self.runs = Counter()
        self.running = Counter()
        self.copies_in_a_run = 0
        """Copies of a rejection that came while the same request ran here."""

    def on_request(self, connection, data):
        request_id = re.search(rb"X-Request-Id: (\S+)", data)[1].decode()
        if self._rng.random() < REJECTED_SHARE:
            self._answer(connection, request_id, 503, "X-Not-Run: 1", b"")
            return
        self.runs[request_id] += 1
        self.running[request_id] += 1
        asyncio.get_running_loop().call_later(WORK_S, self._end_run, connection, request_id)

    def _end_run(self, connection, request_id):
        self.running[request_id] -= 1
        self._answer(connection, request_id, 200, "X-Response-Seal: s", f"ran {request_id}".encode())

    def _answer(self, connection, request_id, status, header, body):
        head = (
            f"HTTP/1.1 {status} S\r\nX-Request-Id: {request_id}\r\n{header}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        data = head.encode() + body
        delay_s = self._rng.uniform(*self._rng.choice(DELAYS_S))
        is_repeated = self._rng.random() < REPEATED_SHARE
        if is_repeated and not delay_s:
            data += data
        elif is_repeated:
            asyncio.get_running_loop().call_later(delay_s, self._repeat, connection, request_id, status, data)
        connection.deliver(data)

    def _repeat(self, connection, request_id, status, data):
        is_open = not connection.is_closing()
        self.copies_in_a_run += is_open and status == 503 and self.running[request_id] > 0
        connection.deliver(data)


async def play(seed):
    """Return the back ends' runs and each caller's reply, by request id, and the copies of most interest."""
    rng = random.Random(seed)
    state = make_state(make_route(RouteKind.UNSAFE, attempts=1), backends=2, retry_ratio=4.0)
    state.started_s = float("-inf")
    back_ends = {backend.record.address: BackEnd(rng) for backend in state.backends.all_backends()}

    async def connect(factory, host, port):
        protocol = factory()
        protocol.connection_made(transport := FarEnd(protocol, back_ends[Address(host, port)]))
        return transport, protocol

    asyncio.get_running_loop().create_connection = connect
    pool = make_worker_pool()
    pipeline = RequestPipeline(state, WorkerClient(pool, BackendNotices()))
    replies, calls = {}, []
    for number in range(CALLS):
        state.freshness.confirm(boot_time_s())
        request = msgspec.structs.replace(make_request(), request_id=f"r{number}")
        replies[request.request_id] = FakeReply()
        calls.append(asyncio.ensure_future(pipeline.serve(request, replies[request.request_id])))
        await asyncio.sleep(rng.expovariate(1 / CALL_INTERVAL_S))
    await asyncio.gather(*calls)
    runs = sum((back_end.runs for back_end in back_ends.values()), Counter())
    return runs, replies, sum(back_end.copies_in_a_run for back_end in back_ends.values())


@pytest.mark.parametrize("seed", range(8))
def test_copies_of_answers_at_any_time_neither_run_a_call_twice_nor_deny_that_it_ran(seed):
    """Guards against a second copy of a rejection that ends a later attempt of its call."""
    runs, replies, copies_in_a_run = run_virtual(play(seed))
    assert copies_in_a_run >= 20
    assert max(runs.values()) == 1
    for request_id, reply in replies.items():
        if reply.status == 200:
            assert reply.body == f"ran {request_id}".encode()
        else:
            assert reply.error.outcome is Outcome.NOT_RUN
            assert not runs[request_id]
    assert sum(reply.status == 200 for reply in replies.values()) > CALLS / 3
