"""Answers of services without a length or chunks at the standalone router, and answers without end.

Guards against the part of an answer that a killed process had sent and that is passed on as the whole, and against
an answer that fills the router's memory.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.process_worker import ProcessWorker
from wallwell.answer_bounds import MAX_ANSWER_BYTES
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.standalone.backends.service_client import ServiceCall, ServiceClient

CALL = ServiceCall("POST", "orders", "a1", {}, b"{}", timeout_s=5.0)


def call(run_async, worker, act):
    async def work():
        client = ServiceClient()
        try:
            answering = asyncio.ensure_future(client.call(f"127.0.0.1:{worker.port}", CALL))
            await asyncio.to_thread(worker.begun.wait, 5.0)
            act()
            return await answering
        finally:
            await client.close()
            worker.kill()

    return run_async(work())


def service(*pieces):
    worker = ProcessWorker("s")
    worker.pieces = list(pieces)
    return worker


def test_answer_whose_process_was_killed_is_not_whole(run_async):
    worker = service(b"one", b"two")
    with pytest.raises(AttemptFailed) as failed:
        call(run_async, worker, worker.kill)
    assert failed.value.event is TransportEvent.RESET_AFTER_SEND


def test_whole_answer_is_passed_on(run_async):
    worker = service(b"one", b"two")
    assert call(run_async, worker, worker.go_on.set).body == b"onetwo"


def test_answer_without_end_is_given_up(run_async):
    piece = b"x" * 100_000
    worker = service(*[piece] * (3 * MAX_ANSWER_BYTES // len(piece)))
    with pytest.raises(AttemptFailed) as failed:
        call(run_async, worker, worker.go_on.set)
    assert failed.value.event is TransportEvent.RESET_AFTER_SEND
