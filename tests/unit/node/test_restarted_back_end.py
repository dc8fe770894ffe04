"""A back end that restarts under the same identity: attempts on the earlier start end, and each crash counts.

A request that crashed three starts of a back end was sent to it again, since crashes were counted once per identity
instead of once per start. A stream behind a network cut waited for an ended start until its largest allowed gap had
passed.
"""

import asyncio
import dataclasses

import pytest

from tests.faulty_table import FaultyTable
from tests.unit.serving.fakes import (
    FakeClient,
    FakeReply,
    Script,
    event,
    make_generation,
    make_request,
    make_route,
    make_state,
)
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind
from wallwell.node.crash_probe import CrashProbe
from wallwell.node.crash_rows import CRASH_PREFIX
from wallwell.node.crash_watch import CrashWatch
from wallwell.routing.admission.quarantine import CRASHES_TO_QUARANTINE
from wallwell.serving.liveness import LivenessMonitor
from wallwell.serving.pipeline import RequestPipeline

RESUMABLE = make_route(RouteKind.STREAM, resumable=True, attempts=2)
STALLED_STREAM = Script(chunks=(event(1), 30.0), stream=True)
REMAINING_STREAM = Script(chunks=(event(2), event(3)), stream=True)
RESTARTED_S = 0.1
"""Seconds after which a later start is listed."""


class RefusingCheck:
    async def refuses_connections(self, backend):
        return True

    async def accepts_connections(self, backend):
        return True


class ReachableCheck:
    async def is_reachable(self, backend):
        return True

    accepts_connections = is_reachable


def restart(state, incarnation, started_unix_ms):
    record = state.backends.get(incarnation).record
    return state.backends.upsert(dataclasses.replace(record, started_unix_ms=started_unix_ms))


def test_each_crash_of_the_same_back_end_counts():
    async def work():
        state = make_state()
        watch = CrashWatch(
            state, CrashProbe(RefusingCheck(), state.backends.all_backends), FaultyTable(), lambda: ("n1",)
        )
        running = asyncio.create_task(watch.run())
        for started_unix_ms in range(1, CRASHES_TO_QUARANTINE + 1):
            watch.on_broken_run("c", restart(state, "i-0", started_unix_ms))
            await asyncio.sleep(5.0)
        running.cancel()
        return state.quarantine.remaining_s("c", boot_time_s()), sorted(watch._table.model.rows)

    left_s, rows = run_virtual(work())
    assert left_s > 0
    assert rows == [
        f"{CRASH_PREFIX}c/i-0@{started_unix_ms}" for started_unix_ms in range(1, CRASHES_TO_QUARANTINE + 1)
    ]


def test_back_end_that_restarts_at_once_counts_as_crashed():
    """Its address accepts connections again at once, so that no probe is refused."""

    class ListeningCheck:
        async def refuses_connections(self, backend):
            return False

    async def work():
        state = make_state()
        watch = CrashWatch(
            state, CrashProbe(ListeningCheck(), state.backends.all_backends), FaultyTable(), lambda: ("n1",)
        )
        first = restart(state, "i-0", 1)
        watch.on_broken_run("c", first)
        await asyncio.sleep(0.1)
        restart(state, "i-0", 2)
        await asyncio.sleep(5.0)
        return state.quarantine.suspect_count

    assert run_virtual(work()) == 1


def test_back_end_that_announced_leaving_and_restarts_has_not_crashed():
    async def work():
        state = make_state()
        watch = CrashWatch(
            state, CrashProbe(RefusingCheck(), state.backends.all_backends), FaultyTable(), lambda: ("n1",)
        )
        first = restart(state, "i-0", 1)
        state.backends.on_leaving(first, boot_time_s())
        restart(state, "i-0", 2)
        watch.on_broken_run("c", first)
        await asyncio.sleep(5.0)
        return state.quarantine.suspect_count

    assert run_virtual(work()) == 0


@pytest.mark.parametrize("is_listed", [True, False], ids=["a later start", "none"])
def test_stream_on_an_ended_start_resumes_elsewhere(is_listed):
    async def work():
        state = make_state(RESUMABLE, versions={"m": 1}, backends=2)
        for number in (0, 1):
            restart(state, f"i-{number}", 1)
        liveness = LivenessMonitor(state, ReachableCheck())
        watching = asyncio.create_task(liveness.run())
        client, reply = FakeClient(STALLED_STREAM, REMAINING_STREAM), FakeReply()
        started_s = boot_time_s()
        serving = asyncio.create_task(
            RequestPipeline(state, client, liveness=liveness).serve(
                make_request(generation=make_generation()), reply
            )
        )
        await asyncio.sleep(RESTARTED_S)
        if is_listed:
            restart(state, client.sent[0].backend.incarnation, 2)
        await serving
        watching.cancel()
        assert not liveness._watched
        return reply.ended, reply.ended_at_s - started_s

    ended, took_s = run_virtual(work())
    assert ended == "finished"
    assert (took_s < RESUMABLE.max_gap_s) is is_listed
