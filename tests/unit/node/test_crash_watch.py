"""What counts as a crash of a back end, and how suspected requests are recorded and cleared, in virtual time."""

import asyncio
import dataclasses

import pytest

from tests.faulty_table import REPLY_LOST, REQUEST_DELAYED, REQUEST_LOST, FaultyTable
from tests.suspects import suspected_content_digests
from tests.unit.serving.fakes import FakeClient, FakeReply, Script, event, make_generation, make_request, make_route
from tests.unit.serving.fakes import make_state as fresh_state
from tests.unit.serving.single_request import OK, RESET, SAFE, UNSAFE
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind
from wallwell.node.crash_probe import (
    FIRST_PROBE_DELAY_S,
    MAX_PROBES,
    PROBE_INTERVAL_S,
    SUCCESSOR_WAIT_S,
    CrashProbe,
)
from wallwell.node.crash_rows import CRASH_PREFIX
from wallwell.node.crash_watch import (
    MAX_UNWRITTEN_ROWS,
    SWEEP_INTERVAL_S,
    CrashWatch,
)
from wallwell.outcomes import Outcome
from wallwell.routing.admission.quarantine import CRASHES_TO_QUARANTINE, QUARANTINE_S, SUSPECT_S
from wallwell.routing.retry.attempt_outcome import TransportEvent as T
from wallwell.routing.selection.candidates import LEAVING_GRACE_S
from wallwell.serving.pipeline import RequestPipeline
from wallwell.storage.feed import FeedRow

STORE_S = 1.8e9
PROBED_S = FIRST_PROBE_DELAY_S + PROBE_INTERVAL_S + 0.1
REFUSED, ANSWERS = True, False
RESUMABLE = make_route(RouteKind.STREAM, resumable=True, attempts=2)
CUT_STREAM = Script(chunks=(event(1),), body_error=T.RESET_AFTER_SEND, stream=True)


class FakeCheck:
    """Answers probes from a list; the last answer repeats."""

    def __init__(self, *answers, reaches_others=True, peers_refused=None):
        self.answers = list(answers)
        self.probes = 0
        self.reaches_others = reaches_others
        self.peers_refused = peers_refused

    async def accepts_connections(self, backend):
        return self.reaches_others

    async def refuses_connections(self, backend):
        self.probes += 1
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def refuses_peers(self, backend):
        return self.peers_refused


class WatchedNode:
    """A node's crash watch on a table; rows of the table's feed are passed to it by hand."""

    def __init__(self, check=None, table=None, members=("n1",), route=None):
        self.state = fresh_state(route)
        self.table = table or FaultyTable()
        self.check = check or FakeCheck(REFUSED)
        self.store_s = STORE_S
        probe = CrashProbe(self.check, self.state.backends.all_backends, self.check.refuses_peers)
        self.watch = CrashWatch(self.state, probe, self.table, lambda: members, lambda: self.store_s)
        self.running = asyncio.create_task(self.watch.run())

    @property
    def rows(self):
        return {key[len(CRASH_PREFIX) :] for key in self.table.model.rows}

    def read_row(self, content_digest, incarnation, value=b"n2"):
        self.watch.on_row(FeedRow(f"{CRASH_PREFIX}{content_digest}/{incarnation}", value, 1), boot_time_s())

    def backend(self, number=0):
        return self.state.backends.get(f"i-{number}")

    def read_quarantine(self, content_digest="c"):
        for number in range(CRASHES_TO_QUARANTINE):
            self.read_row(content_digest, f"gone-{number}")


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


def no_change(node):
    pass


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


def test_attempts_that_break_together_cost_two_probes_and_one_write():
    async def work():
        node = WatchedNode()
        writes = []
        node.table.before_transact = lambda: writes.append(1)
        for number in range(20):
            node.watch.on_broken_run(f"c-{number}", node.backend())
        await asyncio.sleep(PROBED_S)
        return node.check.probes, len(writes), len(node.rows)

    assert run_virtual(work()) == (2, 1, 20)


def test_suspects_beyond_one_transaction_are_all_written():
    async def work():
        node = WatchedNode()
        for number in range(230):
            node.watch.on_broken_run(f"c-{number}", node.backend())
        await asyncio.sleep(PROBED_S)
        return len(node.rows)

    assert run_virtual(work()) == 230


@pytest.mark.parametrize("faults", [[REQUEST_LOST], [REPLY_LOST], [REQUEST_DELAYED], [REQUEST_LOST] * 5])
def test_failed_write_is_retried(faults):
    async def work():
        node = WatchedNode(table=FaultyTable(faults=faults))
        node.watch.on_broken_run("c", node.backend())
        await asyncio.sleep(PROBED_S + 5.0)
        return node.rows

    assert run_virtual(work()) == {"c/i-0"}


def test_node_quarantines_on_its_own_crashes_while_store_is_down_and_writes_them_later():
    async def work():
        node = WatchedNode()
        node.table.down = True
        for number in range(CRASHES_TO_QUARANTINE):
            node.watch.on_broken_run("c", node.backend(number))
        await asyncio.sleep(10.0)
        known = node.state.quarantine.remaining_s("c", boot_time_s()) > 0
        node.table.down = False
        await asyncio.sleep(2.0)
        return known, len(node.rows)

    assert run_virtual(work()) == (True, CRASHES_TO_QUARANTINE)


def test_only_unwritten_crashes_are_reported_to_peers():
    async def work():
        node = WatchedNode()
        node.watch.on_broken_run("c", node.backend(0))
        await asyncio.sleep(PROBED_S)
        reported = [list(node.watch.unwritten_crashes())]
        node.table.down = True
        for number in (1, 2):
            node.watch.on_broken_run("c", node.backend(number))
            await asyncio.sleep(PROBED_S)
        reported.append(list(node.watch.unwritten_crashes()))
        node.table.down = False
        await asyncio.sleep(2.0)
        reported.append(list(node.watch.unwritten_crashes()))
        return reported

    assert run_virtual(work()) == [[], [("c", "i-2"), ("c", "i-1")], []]


def test_recent_writes_and_deletions_are_repeated_after_a_restore():
    async def work():
        node = WatchedNode()
        node.watch.on_era(0, False)
        node.watch.on_broken_run("c", node.backend())
        node.watch.on_broken_run("d", node.backend())
        await asyncio.sleep(PROBED_S)
        copy = dict(node.table.model.rows)
        node.watch.on_answered("d")
        node.watch.on_broken_run("e", node.backend(1))
        await asyncio.sleep(PROBED_S)
        written = node.rows
        node.table.model.rows = copy
        node.watch.on_era(1, True)
        await asyncio.sleep(0.5)
        return written, node.rows

    written, after = run_virtual(work())
    assert written == after == {"c/i-0", "e/i-1"}


def test_crashes_reported_by_peers_count_and_are_not_written():
    async def work():
        node = WatchedNode()
        for number in range(CRASHES_TO_QUARANTINE):
            node.watch.on_peer_report(("c", f"gone-{number}"))
            node.watch.on_peer_report(("c", f"gone-{number}"))
        await asyncio.sleep(1.0)
        return node.state.quarantine.remaining_s("c", boot_time_s()) > 0, node.rows

    assert run_virtual(work()) == (True, set())


def test_crash_row_of_an_answered_request_is_deleted():
    async def work():
        node = WatchedNode()
        node.table.model.rows.update(dict.fromkeys([CRASH_PREFIX + "c/i-9"]))
        node.watch.on_answered("c")
        node.read_row("c", "i-9")
        await asyncio.sleep(0.1)
        return node.rows, node.state.quarantine.suspect_count

    assert run_virtual(work()) == (set(), 0)


def test_answer_deletes_written_crash_rows():
    async def work():
        node = WatchedNode()
        node.watch.on_broken_run("c", node.backend())
        await asyncio.sleep(PROBED_S)
        before = node.rows
        node.watch.on_answered("c")
        await asyncio.sleep(0.1)
        return before, node.rows

    assert run_virtual(work()) == ({"c/i-0"}, set())


def test_deleted_row_no_longer_counts():
    async def work():
        node = WatchedNode()
        node.read_quarantine()
        node.read_row("c", "gone-0", value=None)
        return node.state.quarantine.remaining_s("c", boot_time_s())

    assert run_virtual(work()) == 0


@pytest.mark.parametrize(("members", "removes"), [(("n1",), True), ((), True), (("n1", "n2", "n3", "n4"), None)])
def test_expired_crashes_are_removed_by_one_node(members, removes):
    async def work():
        nodes = [WatchedNode(members=members) for _ in members or ("n1",)]
        for node, name in zip(nodes, members or ("n1",), strict=True):
            node.state.node = name
            node.read_row("c", "i-9")
            node.table.model.rows[CRASH_PREFIX + "c/i-9"] = None
        await asyncio.sleep(SUSPECT_S + 2 * SWEEP_INTERVAL_S)
        return [not node.rows for node in nodes], [node.state.quarantine.suspect_count for node in nodes]

    removed, known = run_virtual(work())
    assert sum(removed) == 1
    assert set(known) == {0}


@pytest.mark.parametrize("members", [("n1",), ("n1", "n2", "n3", "n4")])
def test_crashes_expire_while_store_is_down_and_are_not_written_later(members):
    """Suspects did not expire during a store outage, and were written for all nodes when it ended."""

    async def work():
        node = WatchedNode(members=members)
        node.table.down = True
        for number in range(20):  # With four members, another one removes some of these.
            node.watch.on_broken_run(f"c-{number}", node.backend())
        await asyncio.sleep(PROBED_S)
        before = node.state.quarantine.suspect_count
        await asyncio.sleep(SUSPECT_S + 2 * SWEEP_INTERVAL_S)
        after = node.state.quarantine.suspect_count
        node.table.down = False
        await asyncio.sleep(2.0)
        return before, after, node.rows

    assert run_virtual(work()) == (20, 0, set())


def test_unwritten_rows_are_bounded_and_the_newest_are_kept():
    """Unwritten rows grew without bound during a store outage; all were sent to peers twenty times a second."""

    async def work():
        node = WatchedNode()
        node.table.down = True
        for number in range(MAX_UNWRITTEN_ROWS + 100):
            node.watch.on_broken_run(f"c-{number}", node.backend())
        await asyncio.sleep(PROBED_S)
        node.watch.on_broken_run("newest", node.backend(1))
        await asyncio.sleep(PROBED_S)
        reported = node.watch.unwritten_crashes()
        node.table.down = False
        await asyncio.sleep(10.0)
        return len(reported), reported[0], len(node.rows)

    reported, newest, written = run_virtual(work())
    assert reported == written == MAX_UNWRITTEN_ROWS
    assert newest == ("newest", "i-1")


# --- requests ----------------------------------------------------------------------------------------------


def serve(route, scripts, prepare=no_change, generation=None, settle_s=PROBED_S):
    """Serve one request on a node; return the reply, the number of sends and the rows after ``settle_s``."""

    async def work():
        node = WatchedNode(route=route)
        reply, client = FakeReply(), FakeClient(*scripts)
        pipeline = RequestPipeline(node.state, client, crash_observer=node.watch)
        request = make_request(generation=generation)
        prepare(node)
        await pipeline.serve(request, reply)
        await asyncio.sleep(settle_s)
        return reply, len(client.sent), node.rows

    return run_virtual(work())


def content_digest_of(route):
    """Return the content digest of the requests that :func:`serve` sends."""
    _, _, rows = serve(UNSAFE, [RESET])
    ((content_digest, _),) = (row.split("/") for row in rows)
    return content_digest


CONTENT_DIGEST = content_digest_of(UNSAFE)


def quarantine(node):
    node.read_quarantine(CONTENT_DIGEST)


@pytest.mark.parametrize(
    ("route", "generation"),
    [(SAFE, None), (UNSAFE, None), (RESUMABLE, make_generation())],
    ids=["safe", "unsafe", "stream"],
)
def test_quarantined_request_is_refused_at_once_and_not_sent(route, generation):
    reply, sends, _ = serve(route, [OK], quarantine, generation)
    assert (reply.status, sends, reply.error.code) == (503, 0, "WW3020")
    assert reply.error.outcome is Outcome.NOT_RUN
    assert QUARANTINE_S - 1 <= reply.error.retry_after_ms / 1000 <= QUARANTINE_S


def test_request_quarantined_during_an_attempt_is_not_retried():
    """Other nodes report two crashes; the third is read during this node's first attempt, before its second."""

    def two_crashes(node):
        for number in range(CRASHES_TO_QUARANTINE - 1):
            node.read_row(CONTENT_DIGEST, f"gone-{number}")

        async def third():
            await asyncio.sleep(0.1)
            node.read_row(CONTENT_DIGEST, "gone-9")

        node.third = asyncio.create_task(third())

    slow_reset = Script(send_error=T.RESET_AFTER_SEND, head_delay_s=0.2)
    reply, sends, _ = serve(SAFE, [slow_reset, OK], two_crashes)
    assert (reply.status, sends, reply.error.outcome) == (504, 1, Outcome.UNKNOWN)


def test_begun_stream_of_a_quarantined_request_is_aborted():
    def third_crash_meanwhile(node):
        for number in range(CRASHES_TO_QUARANTINE - 1):
            node.read_row(CONTENT_DIGEST, f"gone-{number}")
        asyncio.get_running_loop().call_later(0.1, lambda: node.read_row(CONTENT_DIGEST, "gone-9"))

    slow_cut = Script(chunks=(event(1), 0.2), body_error=T.RESET_AFTER_SEND, stream=True)
    reply, sends, _ = serve(RESUMABLE, [slow_cut, CUT_STREAM], third_crash_meanwhile, make_generation())
    assert (reply.ended, sends) == ("aborted", 1)


def test_request_answered_after_a_crash_is_no_suspect():
    reply, sends, rows = serve(SAFE, [RESET, OK], settle_s=3.0)
    assert (reply.status, sends, rows) == (200, 2, set())


def test_failed_answer_clears_no_suspect():
    """A back end may give up a request at its deadline and still crash because of it."""
    reply, _, rows = serve(UNSAFE, [Script(status=504, chunks=(b"late",))], one_crash, settle_s=3.0)
    assert (reply.status, len(rows)) == (504, 1)


def one_crash(node):
    node.read_row(CONTENT_DIGEST, "gone-0")
    node.table.model.rows[f"{CRASH_PREFIX}{CONTENT_DIGEST}/gone-0"] = None


def test_other_requests_are_served_during_a_quarantine():
    reply, sends, _ = serve(SAFE, [OK], lambda node: node.read_quarantine("other"))
    assert (reply.status, sends) == (200, 1)
