"""How suspected requests are recorded, cleared and refused, in virtual time."""

import asyncio

import pytest

from tests.faulty_table import REPLY_LOST, REQUEST_DELAYED, REQUEST_LOST, FaultyTable
from tests.unit.node.watched_node import PROBED_S, WatchedNode, no_change
from tests.unit.serving.fakes import FakeClient, FakeReply, Script, event, make_generation, make_request, make_route
from tests.unit.serving.single_request import OK, RESET, SAFE, UNSAFE
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind
from wallwell.node.crash_rows import CRASH_PREFIX
from wallwell.node.crash_watch import (
    MAX_UNWRITTEN_ROWS,
    SWEEP_INTERVAL_S,
)
from wallwell.outcomes import Outcome
from wallwell.routing.admission.quarantine import CRASHES_TO_QUARANTINE, QUARANTINE_S, SUSPECT_S
from wallwell.routing.retry.attempt_outcome import TransportEvent as T
from wallwell.serving.pipeline import RequestPipeline

RESUMABLE = make_route(RouteKind.STREAM, resumable=True, attempts=2)
CUT_STREAM = Script(chunks=(event(1),), body_error=T.RESET_AFTER_SEND, stream=True)


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
