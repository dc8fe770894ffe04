"""The worker client reports whether a request can have been sent: only once its connection is established."""

import asyncio

import msgspec
import pytest

from tests.platform.fakes import FakeWorker
from tests.unit.serving.fakes import make_request
from wallwell.address import parse_address
from wallwell.deployment.backends import BackendRecord
from wallwell.platform.worker_client import WorkerClient, make_worker_pool
from wallwell.routing.health.backend_notice import BackendNotices
from wallwell.serving.messages import Dispatch


@pytest.mark.parametrize("connects", [True, False])
def test_attempt_is_connecting_until_its_connection_is_established(run_async, connects):
    async def work():
        worker, pool = FakeWorker("i-1"), make_worker_pool()
        await worker.start()
        worker.respond = worker.hang
        if not connects:

            async def never(*args):
                await asyncio.sleep(3600)

            pool._connect = never
        request = msgspec.structs.replace(make_request(), headers=(("Host", "h"),))
        dispatch = Dispatch(BackendRecord("i-1", "svc", parse_address(worker.address), "z", 8), request, "", 5.0, 0)
        sending = asyncio.ensure_future(WorkerClient(pool, BackendNotices()).send(dispatch))
        while not (worker.requests if connects else dispatch.progress.connecting):
            await asyncio.sleep(0.001)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await worker.stop()
        return dispatch.progress.connecting

    assert run_async(work()) is not connects
