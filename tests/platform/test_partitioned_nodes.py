"""Nodes that lose their links to all back ends while callers, the store and the other nodes still reach them.

Guards against such nodes failing all requests of their callers. Two of seven nodes served 1 of 33 first tries while
the others served all, since a node could serve a request only through its own connections to back ends.
"""

from __future__ import annotations

import asyncio
import collections
import itertools

import pytest

from tests.platform.conftest import CallersPort, config, route
from tests.platform.test_peers import all_know_each_other, second_node
from tests.unit.serving.fakes import event
from wallwell.clock import boot_time_s
from wallwell.http_connection import ConnectFailedError

CONTACT_S = 3.0
"""Seconds after the start of the cut from which requests at the cut nodes must be served."""
JUDGED_ROUNDS = 14
"""Requests of each kind at each node after ``CONTACT_S``, which are counted. A number, since a busy machine sends
fewer in a given time."""
CALL_PERIOD_S = 0.02
"""Seconds between two requests; nodes and kinds of request take turns."""
MIN_SERVED_RATIO = 2 / 3
"""Part of the others' rate of first tries served that cut nodes must reach."""
MIN_JUDGED = 10
"""Requests of a kind that must be counted, so that the ratio says something."""
UNACKNOWLEDGED_S = 1.0
"""Seconds after which the system ends a connection whose sent bytes are not acknowledged."""


class WorkerLinks:
    """The links of one node to all workers: they may be cut in three ways, each of which a partition can show."""

    def __init__(self, node):
        self._pool = node._pool
        self._connect = node._pool._connect
        self._connections = []
        self._how = ""
        node._pool._connect = self._connect_if_whole

    async def _connect_if_whole(self, address, timeout_s):
        if self._how == "hangs":
            await asyncio.sleep(timeout_s)
            raise ConnectFailedError(True, f"no connection in {timeout_s} s")
        if self._how:
            raise ConnectFailedError(False, "ConnectionRefusedError", refused=True)
        connection = await self._connect(address, timeout_s)
        self._connections.append(connection)
        return connection

    def cut(self, how):
        """``hangs``: nothing passes any more; ``resets``: connections are reset and new ones refused; ``refuses``:
        open connections live on until the back end closes them, new ones are refused."""
        self._how = how
        for connection in self._connections:
            if how == "hangs":
                _hang(connection)
            elif how == "resets":
                connection.connection_lost(ConnectionResetError())
            else:
                connection.max_idle_s = 0.0

    def heal(self):
        self._how = ""


def _hang(connection):
    """Drop what is sent and received on a connection; the system ends it once sent bytes stay unacknowledged."""
    if connection.closed:
        return
    transport = connection.transport
    transport.pause_reading()
    loop = asyncio.get_running_loop()

    class _Silent:
        def __getattr__(self, name):
            return getattr(transport, name)

        def write(self, data):
            loop.call_later(UNACKNOWLEDGED_S, connection.connection_lost, TimeoutError())

    connection.transport = _Silent()


GENERATION_HEADERS = {"X-Model": "m", "X-Token-Usage": "300,5", "X-Prefix-Hash": "a1:200,b2:100"}
KINDS = {
    "safe": (route("r-safe", "/safe/", "safe", attempts=3), {}),
    "unsafe": (route("r-unsafe", "/unsafe/", "unsafe", attempts=1), {}),
    "stream": (route("r-stream", "/stream/", "stream", attempts=3), GENERATION_HEADERS),
}
"""Route, and headers of its requests."""


class PartitionedFleet:
    """Three nodes with callers that try each request once; records the results by node and kind."""

    def __init__(self, harness, work_s=0.0):
        """``work_s`` is the time that a worker takes for a request."""
        self.harness = harness
        self._work_s = work_s
        self.ended = []
        """Kind, node index, time of sending, status and id of each request."""
        self.runs = collections.Counter()
        """Times that workers got each request, by id."""
        self._turns = itertools.cycle(itertools.product(KINDS, range(3)))
        self._numbers = itertools.count()
        for worker in harness.workers:
            worker.respond = self._respond(worker)

    def _respond(self, worker):
        stream = worker.stream(event(1), event(2))

        async def respond(request):
            self.runs[request.headers["X-Request-Id"]] += 1
            await asyncio.sleep(self._work_s)
            is_stream = request.path.startswith("/stream/")
            return await (stream if is_stream else worker.answer_ok)(request)

        return respond

    async def start(self):
        first = self.harness.node
        await first.listen_for_peers("127.0.0.1", [0])
        others = [await second_node(self.harness, name) for name in ("n2", "n3")]
        self.nodes = [first, *others]
        self.links = [WorkerLinks(node) for node in self.nodes]
        await self.harness.until(lambda: all_know_each_other(self.nodes))
        await self.harness.until(lambda: all(node.is_ready() for node in self.nodes))
        self._others = [CallersPort(node) for node in others]
        for callers in self._others:
            await callers.start()
        self._ports = [self.harness.port, *(callers.port for callers in self._others)]

    async def stop(self):
        for callers, node in zip(self._others, self.nodes[1:], strict=True):
            await callers.runner.cleanup()
            await node.stop()

    async def call_rounds(self, rounds):
        async with asyncio.TaskGroup() as tasks:
            for kind, index in list(itertools.product(KINDS, range(3))) * rounds:
                tasks.create_task(self._call(kind, index, f"{kind}-{next(self._numbers)}"))
                await asyncio.sleep(CALL_PERIOD_S)

    async def call_for(self, seconds):
        ends_s = boot_time_s() + seconds
        async with asyncio.TaskGroup() as tasks:
            while boot_time_s() < ends_s:
                kind, index = next(self._turns)
                tasks.create_task(self._call(kind, index, f"{kind}-{next(self._numbers)}"))
                await asyncio.sleep(CALL_PERIOD_S)

    async def _call(self, kind, index, request_id):
        sent_s = boot_time_s()
        status, headers, body = await self.harness.call(
            f"/{kind}/a", port=self._ports[index], X_Request_Id=request_id, **KINDS[kind][1]
        )
        if status == 200:
            assert headers["X-Request-Id"] == request_id
            assert headers["X-Response-Seal"].startswith("seal-")
            assert body == (event(1) + event(2) if kind == "stream" else b"ok")
        self.ended.append((kind, index, sent_s, status, request_id))

    def served_ratio(self, kind, indices, from_s):
        statuses = [
            status
            for each, index, sent_s, status, _ in self.ended
            if each == kind and index in indices and sent_s >= from_s
        ]
        assert len(statuses) >= MIN_JUDGED
        return sum(status == 200 for status in statuses) / len(statuses)


@pytest.mark.parametrize(
    ("how", "cut_nodes"),
    [("hangs", (0,)), ("hangs", (1, 2)), ("resets", (0, 2)), ("refuses", (1,))],
)
def test_nodes_cut_off_from_all_back_ends_serve_their_callers(on_platform, how, cut_nodes):
    async def scenario(harness):
        fleet = PartitionedFleet(harness)
        await fleet.start()
        await fleet.call_for(0.5)
        cut_s = boot_time_s()
        for index in cut_nodes:
            fleet.links[index].cut(how)
        await fleet.call_for(CONTACT_S)
        await fleet.call_rounds(JUDGED_ROUNDS)
        for index in cut_nodes:
            fleet.links[index].heal()
        await fleet.stop()
        return fleet, cut_s + CONTACT_S

    fleet, judged_from_s = on_platform(scenario, config(routes=[each for each, _ in KINDS.values()]), workers=3)
    others = set(range(3)) - set(cut_nodes)
    for kind in KINDS:
        served_by_others = fleet.served_ratio(kind, others, judged_from_s)
        assert fleet.served_ratio(kind, cut_nodes, judged_from_s) >= MIN_SERVED_RATIO * served_by_others
    assert max(runs for request_id, runs in fleet.runs.items() if request_id.startswith("unsafe")) == 1
