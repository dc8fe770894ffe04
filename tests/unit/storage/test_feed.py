"""Following rows of a store that fails in various ways, in virtual time."""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from tests.unit.storage.memory_rows import MemoryRows, Mirror
from tests.virtual_time import run_virtual
from wallwell.deployment.freshness import StoreClock
from wallwell.errors import PlatformUnavailableError
from wallwell.events import Event
from wallwell.storage import feed
from wallwell.storage.feed import MAX_RETRY_DELAY_S, RowFollower


def make_follower(source, mirror, wait_s=1.0):
    return RowFollower("test", source, mirror.apply, wait_s, StoreClock(), random.Random(3))


ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.sampled_from("abc"), st.binary(max_size=2)),
        st.tuples(st.just("delete"), st.sampled_from("abc"), st.just(b"")),
        st.tuples(st.just("forget"), st.just(""), st.just(b"")),
        st.tuples(st.just("fail"), st.just(""), st.just(b"")),
        st.tuples(st.just("wait"), st.just(""), st.just(b"")),
    ),
    max_size=30,
)


@settings(deadline=None, max_examples=60)
@given(actions=ACTIONS)
def test_the_mirror_equals_the_store_after_any_history(actions):
    async def work():
        source, mirror = MemoryRows(), Mirror()
        task = asyncio.create_task(make_follower(source, mirror).run())
        for action, key, value in actions:
            if action == "write":
                source.write(key, value)
            elif action == "delete":
                source.write(key, None)
            elif action == "forget":
                source.drop_history()
            elif action == "fail":
                source.failures.append(PlatformUnavailableError("scripted"))
            else:
                await asyncio.sleep(0.7)
        await asyncio.sleep(30.0)
        task.cancel()
        assert mirror.rows == {key: row.value for key, row in source.rows.items()}

    run_virtual(work())


def test_lost_history_causes_one_snapshot_read():
    async def work():
        source, mirror = MemoryRows(), Mirror()
        source.write("a", b"1")
        task = asyncio.create_task(make_follower(source, mirror).run())
        await asyncio.sleep(2.0)
        source.write("b", b"2")
        source.write("a", None)
        source.drop_history()
        await asyncio.sleep(3.0)
        task.cancel()
        return mirror.rows, source.snapshot_reads

    rows, snapshot_reads = run_virtual(work())
    assert rows == {"b": b"2"}
    assert snapshot_reads == 2


def test_the_confirmed_time_does_not_advance_without_answers():
    async def work():
        source, mirror = MemoryRows(), Mirror()
        follower = make_follower(source, mirror)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(5.0)
        confirmed_before_s = follower.confirmed_at_s
        source.failures += [PlatformUnavailableError("down")] * 1000
        failed_at_s = asyncio.get_running_loop().time()
        await asyncio.sleep(5.0)
        task.cancel()
        return confirmed_before_s, follower.confirmed_at_s, failed_at_s

    before_s, after_s, failed_at_s = run_virtual(work())
    assert before_s > failed_at_s - 1.1
    assert after_s <= failed_at_s + 1.1


@pytest.mark.parametrize("failures", [1, 20])
def test_failures_are_retried_with_delays_and_never_end_the_follower(failures):
    async def work():
        source, mirror = MemoryRows(), Mirror()
        source.failures += [PlatformUnavailableError("down")] * failures
        source.write("a", b"1")
        task = asyncio.create_task(make_follower(source, mirror).run())
        started_s = asyncio.get_running_loop().time()
        while not mirror.rows:
            await asyncio.sleep(0.05)
        task.cancel()
        return asyncio.get_running_loop().time() - started_s

    took_s = run_virtual(work())
    assert 0.03 * failures <= took_s <= 0.7 * failures


def test_rows_are_confirmed_as_soon_as_the_store_answers_again():
    """Guards against a node that refuses credentials for the time of a held read longer after each failure."""

    async def work():
        source, mirror = MemoryRows(), Mirror()
        source.write("a", b"1")
        follower = make_follower(source, mirror, wait_s=0.8)
        await follower.read_once()
        before_s = follower.confirmed_at_s
        source.failures.append(PlatformUnavailableError("scripted"))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(MAX_RETRY_DELAY_S)
        task.cancel()
        return before_s, follower.confirmed_at_s

    before_s, after_s = run_virtual(work())
    assert after_s > before_s


def test_lost_history_is_logged_and_a_snapshot_is_read(monkeypatch):
    events = []
    monkeypatch.setattr(feed, "emit", lambda event, **fields: events.append((event, fields["version"])))

    async def work():
        source, mirror = MemoryRows(), Mirror()
        source.write("a", b"1")
        task = asyncio.create_task(make_follower(source, mirror).run())
        await asyncio.sleep(2.0)
        source.write("a", b"2")
        source.drop_history()
        await asyncio.sleep(5.0)
        task.cancel()
        return mirror.rows

    assert run_virtual(work()) == {"a": b"2"}
    assert events == [(Event.FEED_RESTARTED, 1)]


def test_rows_that_cannot_be_applied_are_named_in_the_log():
    def refuse(_followed):
        raise OverflowError("scripted")

    async def work():
        source = MemoryRows()
        source.write("a", b"1")
        follower = RowFollower("test", source, refuse, 1.0, StoreClock(), random.Random(3))
        with pytest.raises(OverflowError):
            await follower.read_once()

    lines = []
    sink = logger.add(lambda line: lines.append(line.record["extra"]), level="ERROR")
    try:
        run_virtual(work())
    finally:
        logger.remove(sink)
    expected = {"rows": "test", "version": 1, "is_snapshot": True, "keys": ["a"], "count": 1}
    assert lines == [{"event": Event.PAGE_NOT_APPLIED.number, **expected, "error": "OverflowError: scripted"}]
