"""What a node holds of requests that have failed, over sockets and without the garbage collector.

Guards against answers without end of which 4 MB each stay with the node after their callers were told, and against
bodies of requests that stay with it as their back ends break off.
"""

from __future__ import annotations

import asyncio
import gc
import tracemalloc

import pytest

from tests.platform.conftest import config
from tests.platform.test_endless_answers import CHUNKED, OWN, PIECE, ROUTES, EndlessWorker, read_whole
from wallwell.answer_bounds import MAX_ANSWER_BYTES

REQUESTS = 6
BODY = b"b" * (MAX_ANSWER_BYTES // 2)
MAX_LEFT_BYTES = MAX_ANSWER_BYTES // 2
"""What may be left of all these requests: less than half of one of the answers, or one of the bodies."""


class ResettingWorker(EndlessWorker):
    """A worker that closes the connection as soon as it has read the head of a request."""

    def answer(self, connection, request_id):
        connection.close()


@pytest.fixture
def traced_without_collector():
    gc.collect()
    gc.disable()
    tracemalloc.start()
    yield
    tracemalloc.stop()
    gc.enable()


@pytest.mark.parametrize(
    ("worker_type", "body"),
    [(EndlessWorker, b"body"), (ResettingWorker, BODY)],
    ids=["answers without end", "large requests that are reset"],
)
def test_failed_requests_leave_nothing_of_their_bytes(on_platform, traced_without_collector, worker_type, body):
    """Guards against a node that grows by each failed request until it is killed."""
    worker = worker_type(OWN + CHUNKED, b"3e8\r\n" + PIECE + b"\r\n")

    async def scenario(harness):
        harness.store.put("servers", "i-bad", worker.entry())
        await harness.until(lambda: harness.node.state.backends.get("i-bad") is not None)
        statuses = [(await read_whole(harness, "/call/", body=body, X_Request_Id="first"))[0]]
        await asyncio.sleep(0.1)
        gc.collect()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(REQUESTS):
            statuses.append((await read_whole(harness, "/call/", body=body, X_Request_Id=f"r{number}"))[0])
        await asyncio.sleep(0.1)
        after, _ = tracemalloc.get_traced_memory()
        return statuses, after - before

    try:
        statuses, left_bytes = on_platform(scenario, config(routes=ROUTES), workers=1)
    finally:
        worker.kill()
    assert set(statuses) <= {502, 503, 504}
    assert left_bytes < MAX_LEFT_BYTES
