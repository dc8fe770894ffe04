"""What counts as a crash of a back end, and at which of its starts, in virtual time."""

import asyncio
import dataclasses

import pytest

from tests.suspects import suspected_content_digests
from tests.unit.node.watched_node import ANSWERS, PROBED_S, REFUSED, FakeCheck, WatchedNode, no_change
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.node.crash_probe import FIRST_PROBE_DELAY_S, MAX_PROBES, SUCCESSOR_WAIT_S
from wallwell.routing.admission.quarantine import CRASHES_TO_QUARANTINE
from wallwell.routing.selection.candidates import LEAVING_GRACE_S


def receive_data(node):
    node.backend().silence.on_received(boot_time_s())


def keep_sending(node):
    async def send():
        while True:
            receive_data(node)
            await asyncio.sleep(0.1)

    node.sending = asyncio.create_task(send())


def keep_getting_requests(node):
    """Each attempt is refused by the dead address; the first one after others have ended starts the silence."""

    async def send():
        while True:
            node.backend().silence.on_idle_ended(boot_time_s())
            await asyncio.sleep(0.05)

    node.sending = asyncio.create_task(send())


def supersede(node):
    node.backend().superseded = True


def supersede_later(node):
    asyncio.get_running_loop().call_later(2.0, supersede, node)


def replace_as_planned(node):
    backend = node.backend()
    backend.record = dataclasses.replace(backend.record, draining=True)
    supersede_later(node)


def replace_after_leaving_notice(node):
    """The back end announced in its answers that it leaves, and its entry in the store did not state it."""
    node.state.backends.on_leaving(node.backend(), boot_time_s())
    supersede_later(node)


def announce_leave(node, seconds_ago=0.0):
    node.state.backends.on_leaving(node.backend(), boot_time_s() - seconds_ago)


def announce_leave_long_ago(node):
    announce_leave(node, LEAVING_GRACE_S)


def lapse_entry(node):
    node.state.backends.lapse("i-0", 0.0)


def spoil_entry(node):
    """Another writer has made the entry unreadable, so that the back end counts as gone."""
    node.backend().is_entry_unreadable = True
    lapse_entry(node)


@pytest.mark.parametrize(
    ("answers", "before", "meanwhile", "is_crash"),
    [
        ([REFUSED], no_change, no_change, True),
        ([REFUSED, ANSWERS], no_change, no_change, False),
        ([ANSWERS], no_change, no_change, False),
        ([ANSWERS, REFUSED], no_change, no_change, True),
        ([REFUSED, ANSWERS, REFUSED], no_change, no_change, True),
        ([REFUSED], no_change, keep_sending, False),
        ([REFUSED], no_change, receive_data, True),
        ([REFUSED], no_change, keep_getting_requests, True),
        ([ANSWERS], no_change, supersede, True),
        ([ANSWERS], no_change, supersede_later, True),
        ([ANSWERS], no_change, replace_as_planned, False),
        ([ANSWERS], no_change, replace_after_leaving_notice, False),
        ([REFUSED, ANSWERS], no_change, supersede, True),
        ([REFUSED], lapse_entry, no_change, False),
        ([REFUSED], spoil_entry, no_change, True),
        ([REFUSED], receive_data, no_change, True),
        ([REFUSED], announce_leave, no_change, True),
        ([REFUSED], announce_leave_long_ago, no_change, False),
        ([ANSWERS], announce_leave, supersede_later, False),
    ],
    ids=[
        "refused",
        "accepts again at once",
        "accepts connections",
        "accepts connections shortly after resetting others",
        "a proxy accepts a connection in between",
        "keeps sending",
        "data read late",
        "gets more requests",
        "successor answered the first probe",
        "successor answered all probes",
        "replaced as planned meanwhile",
        "replaced after announcing that it leaves",
        "successor listed before the second probe",
        "planned stop",
        "its entry cannot be read",
        "data received before",
        "ended too soon after announcing that it leaves",
        "ended some time after announcing that it leaves",
        "accepts connections, announced that it leaves and is replaced",
    ],
)
def test_what_counts_as_a_crash(answers, before, meanwhile, is_crash):
    async def work():
        node = WatchedNode(FakeCheck(*answers))
        before(node)
        await asyncio.sleep(0.01)
        node.watch.on_broken_run("c", node.backend())
        await asyncio.sleep(FIRST_PROBE_DELAY_S + 0.01)
        meanwhile(node)
        await asyncio.sleep(MAX_PROBES * PROBED_S + SUCCESSOR_WAIT_S)
        return node.rows, "c" in suspected_content_digests(node.state.quarantine)

    assert run_virtual(work()) == ({"c/i-0"} if is_crash else set(), is_crash)


def test_a_node_that_has_lost_its_links_counts_no_crashes():
    """Guards against a quarantine of innocent requests: a partition resets and refuses all connections, so that a
    request in flight at three back ends would be taken for one that crashes them."""

    async def work(reaches_others):
        node = WatchedNode(FakeCheck(REFUSED, reaches_others=reaches_others))
        for number in range(2):
            node.watch.on_broken_run("c", node.backend(number))
        await asyncio.sleep(MAX_PROBES * PROBED_S + SUCCESSOR_WAIT_S)
        return len(node.rows)

    assert run_virtual(work(reaches_others=True)) == 2
    assert run_virtual(work(reaches_others=False)) == 0


def test_back_ends_that_refuse_all_nodes_have_crashed():
    """Guards against a request that crashes all back ends of the only service again and again, as none is reached
    that could be compared, and each start is ended again before it is listed."""

    async def work():
        node = WatchedNode(FakeCheck(REFUSED, reaches_others=False, peers_refused=True))
        for number in range(2):
            node.watch.on_broken_run("c", node.backend(number))
        await asyncio.sleep(PROBED_S)
        return node.rows

    assert run_virtual(work()) == {"c/i-0", "c/i-1"}


@pytest.mark.parametrize(
    ("reaches_others", "peers_refused", "crashes"),
    [(True, None, 2), (True, True, 2), (True, False, 0), (False, None, 0), (False, True, 2), (False, False, 0)],
)
def test_what_other_nodes_can_tell_counts_before_what_this_one_reaches(reaches_others, peers_refused, crashes):
    """Guards against a node that has lost its links to one service alone, and takes its back ends for crashed, as
    it reaches another service."""

    async def work():
        check = FakeCheck(REFUSED, reaches_others=reaches_others, peers_refused=peers_refused)
        node = WatchedNode(check)
        for number in range(2):
            node.watch.on_broken_run("c", node.backend(number))
        await asyncio.sleep(MAX_PROBES * PROBED_S + SUCCESSOR_WAIT_S)
        return len(node.rows)

    assert run_virtual(work()) == crashes


def break_run(node, number=0):
    """Have a run break that was sent just now."""
    node.watch.on_broken_run("c", node.backend(number), sent_s=boot_time_s())


def test_each_crash_counts_though_no_later_start_is_listed():
    """Guards against a request that crashes the same few back ends without end, each start before it is listed."""

    async def work():
        node = WatchedNode()
        for _ in range(CRASHES_TO_QUARANTINE):
            break_run(node)
            await asyncio.sleep(PROBED_S)
        return node.rows, node.state.quarantine.remaining_s("c", boot_time_s()) > 0

    assert run_virtual(work()) == ({"c/i-0", "c/i-0+1", "c/i-0+2"}, True)


def test_runs_that_one_crash_breaks_count_once():
    """Some of them were sent before an earlier crash was known."""

    async def work():
        node = WatchedNode()
        break_run(node)
        break_run(node)
        await asyncio.sleep(PROBED_S)
        node.watch.on_broken_run("c", node.backend(), sent_s=boot_time_s() - PROBED_S)
        await asyncio.sleep(PROBED_S)
        return node.rows

    assert run_virtual(work()) == {"c/i-0"}


@pytest.mark.parametrize("supersedes", [supersede, supersede_later], ids=["at once", "later"])
def test_a_start_that_is_listed_after_its_run_broke_has_not_crashed(supersedes):
    """The start that is listed by then may be the one that had the run."""

    async def work():
        node = WatchedNode(FakeCheck(REFUSED, REFUSED, ANSWERS))
        break_run(node)
        await asyncio.sleep(PROBED_S)
        break_run(node)
        supersedes(node)
        await asyncio.sleep(MAX_PROBES * PROBED_S + SUCCESSOR_WAIT_S)
        return node.rows

    assert run_virtual(work()) == {"c/i-0"}


def test_a_crash_behind_a_partition_is_counted_once_the_successor_is_listed():
    async def work():
        node = WatchedNode(FakeCheck(REFUSED, reaches_others=False))
        node.watch.on_broken_run("c", node.backend())
        await asyncio.sleep(PROBED_S)
        supersede(node)
        await asyncio.sleep(SUCCESSOR_WAIT_S)
        return node.rows

    assert run_virtual(work()) == {"c/i-0"}
