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
from wallwell.node.supervision import run_supervised
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


class FailingMirror(Mirror):
    """A mirror that fails at its first ``failures`` pages, after half of their rows."""

    def __init__(self, failures):
        super().__init__()
        self.failures = failures
        self.pages = []

    def apply(self, followed):
        self.pages.append(followed)
        if self.failures:
            self.failures -= 1
            raise ZeroDivisionError("scripted")
        super().apply(followed)


def follow_supervised(source, mirror, seconds, write=lambda: None):
    """Follow rows as a node does, with ``write`` after two seconds, and return the follower."""

    async def work():
        follower = make_follower(source, mirror)
        task = asyncio.create_task(run_supervised(follower.run))
        await asyncio.sleep(2.0)
        write()
        await asyncio.sleep(seconds)
        task.cancel()
        return follower

    return run_virtual(work())


def test_rows_of_a_page_that_could_not_be_applied_are_read_again():
    """Guards against a follower that goes on behind such a page, so that a node never gets its rows."""
    source, mirror = MemoryRows(), FailingMirror(failures=1)
    source.write("a", b"1")
    follow_supervised(source, mirror, 3.0)
    assert mirror.rows == {"a": b"1"}


def test_changes_that_could_not_be_applied_are_read_again():
    source, mirror = MemoryRows(), FailingMirror(failures=0)

    def write():
        mirror.failures = 1
        source.write("b", b"2")
        source.write("a", None)

    source.write("a", b"1")
    follow_supervised(source, mirror, 4.0, write)
    assert mirror.rows == {"b": b"2"}


def test_a_page_that_could_not_be_applied_confirms_nothing_and_hides_no_restore():
    """Guards against a node that takes rows for confirmed, or a restored store for the same, after such a page."""
    source, mirror = MemoryRows(), FailingMirror(failures=0)
    copy = source.copy()

    def write():
        mirror.failures = 2
        source.restore(copy)

    follow_supervised(source, mirror, 6.0, write)
    failed, repeated, applied = [each for each in mirror.pages if each.is_store_restored]
    assert failed.previous_confirmed_at_s == repeated.previous_confirmed_at_s == applied.previous_confirmed_at_s


def test_a_page_that_can_never_be_applied_is_read_ever_more_rarely():
    """Guards against a node that reads all rows each second for as long as its fault lasts."""
    source, mirror = MemoryRows(), FailingMirror(failures=1000)
    follower = follow_supervised(source, mirror, 100.0)
    assert source.snapshot_reads <= 16
    assert follower.confirmed_at_s == float("-inf")


def test_after_the_last_failure_all_rows_are_there_within_seconds():
    source, mirror = MemoryRows(), FailingMirror(failures=8)
    source.write("a", b"1")
    follow_supervised(source, mirror, 60.0)
    assert mirror.rows == {"a": b"1"}
    assert not mirror.pages[-1].is_snapshot
