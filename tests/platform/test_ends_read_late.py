"""Ends of answers without a length that the node reads late, since its event loop stood still meanwhile.

Guards against parts of answers that are passed on as whole: by the time at which the node reads the close, another
process accepts connections at the port of the one that was killed. Sound answers stay whole.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.platform.conftest import config, route
from tests.platform.process_worker import ProcessWorker
from tests.platform.test_unframed_answers import PROMPT, STREAM, UNSAFE, is_broken_off, read_answer
from tests.unit.serving.fakes import event

PIECES = [event(1), event(2)]
WHOLE = (200, event(1) + event(2), True)
STILL_S = 0.6
"""Seconds for which the event loop stands still: longer than a process needs to start again."""
SETTLED_S = 0.3
"""Seconds in which the node has done what it does after the head of an answer."""


def play(on_platform, kind, meanwhile, shares_port=False, before=None):
    """Return the answer whose first piece arrives before the event loop stands still for ``meanwhile(worker)``."""

    async def scenario(harness):
        worker = ProcessWorker("i-p", shares_port=shares_port, is_stream=kind is STREAM)
        worker.pieces = PIECES
        harness.store.put("servers", "i-p", worker.entry(born=1))
        await harness.until(lambda: harness.node.state.backends.get("i-p") is not None)
        reading = asyncio.ensure_future(read_answer(harness, **(PROMPT if kind is STREAM else {})))
        await harness.until(worker.begun.is_set)
        if before is not None:
            before(worker)
        await asyncio.sleep(SETTLED_S)
        ended_s = time.monotonic() + STILL_S
        others = meanwhile(worker)
        time.sleep(max(0.0, ended_s - time.monotonic()))
        try:
            return await reading
        finally:
            for each in (worker, *others):
                each.kill()

    return on_platform(scenario, config(routes=[route(**kind)]), workers=0)


KINDS = pytest.mark.parametrize("kind", [STREAM, UNSAFE], ids=["stream", "call"])


@KINDS
@pytest.mark.parametrize("down_s", [0.0, 0.3])
def test_answer_cut_while_the_loop_stands_still_is_not_whole_though_the_next_process_listens(
    on_platform, kind, down_s
):
    def restart(worker):
        worker.kill()
        time.sleep(down_s)
        return [ProcessWorker("i-p", worker.port)]

    assert is_broken_off(play(on_platform, kind, restart), kind, event(1))


@KINDS
def test_answer_cut_beside_another_process_on_the_same_port_is_not_whole(on_platform, kind):
    """The port never refuses."""
    next_ones = []

    def kill(worker):
        next_ones.append(ProcessWorker("i-p", worker.port, shares_port=True))
        worker.kill()
        return next_ones

    assert is_broken_off(play(on_platform, kind, kill, shares_port=True), kind, event(1))


@KINDS
def test_answer_that_ends_while_the_loop_stands_still_is_whole(on_platform, kind):
    def finish(worker):
        worker.go_on.set()
        return []

    assert play(on_platform, kind, finish) == WHOLE


@KINDS
def test_answer_of_a_leaving_worker_that_ends_while_the_loop_stands_still_is_whole(on_platform, kind):
    def leave(worker):
        worker.is_leaving = True

    def finish(worker):
        worker.go_on.set()
        return []

    assert play(on_platform, kind, finish, before=leave) == WHOLE
