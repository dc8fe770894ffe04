"""How crashes of back ends are recorded for the parts of prompts, cleared and expired, in virtual time."""

import asyncio

import msgspec
import pytest

from tests.unit.node.test_crash_watch import CUT_STREAM
from tests.unit.node.watched_node import PROBED_S, STORE_S, WatchedNode
from tests.unit.serving.fakes import FakeClient, FakeReply, Script, event, make_request, make_route
from tests.unit.serving.single_request import OK, RESET
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind
from wallwell.node.crash_rows import CRASH_PREFIX, PART_PREFIX, PartCrashRow
from wallwell.node.crash_watch import SWEEP_INTERVAL_S
from wallwell.outcomes import Outcome
from wallwell.routing.admission.part_quarantine import BEGINNING_S, part_digest
from wallwell.routing.admission.quarantine import CRASHES_TO_QUARANTINE, SUSPECT_S
from wallwell.routing.retry.attempt_outcome import TransportEvent as T
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.serving.messages import AttemptError, Generation
from wallwell.serving.pipeline import RequestPipeline

OTHERS = tuple(f"other-{number}" for number in range(400))
"""Names of so many members that this node owns neither of two subjects."""


def part_rows(node):
    return {row for row in node.rows if row.startswith(PART_PREFIX)}


def test_a_crash_is_recorded_once_for_each_part_that_ran_there():
    async def work():
        node = WatchedNode()
        node.watch.on_broken_run("c1", node.backend(), ("a", "b"))
        node.watch.on_broken_run("c2", node.backend(), ("b",))
        await asyncio.sleep(PROBED_S)
        return part_rows(node)

    assert run_virtual(work()) == {f"{PART_PREFIX}a/i-0", f"{PART_PREFIX}b/i-0"}


def part_row(at_s):
    return msgspec.json.encode(PartCrashRow("n2", STORE_S + at_s))


def test_parts_are_quarantined_by_rows_of_other_nodes_and_released_when_these_are_deleted():
    async def work():
        node = WatchedNode()
        seen = []
        for number in range(CRASHES_TO_QUARANTINE):
            seen.append(len(node.state.part_quarantine.quarantined()))
            node.read_row(f"{PART_PREFIX}a", f"gone-{number}", part_row(float(number)))
        seen.append(len(node.state.part_quarantine.quarantined()))
        node.read_row(f"{PART_PREFIX}a", "gone-1", None)
        return [
            *seen,
            len(node.state.part_quarantine.quarantined()),
        ], node.state.quarantine.suspect_count

    assert run_virtual(work()) == ([0, 0, 0, 1, 0], 0)


def test_a_peers_report_of_a_part_counts():
    async def work():
        node = WatchedNode()
        for number in range(CRASHES_TO_QUARANTINE):
            node.store_s = STORE_S + number
            node.watch.on_peer_report((f"{PART_PREFIX}a", f"gone-{number}"))
        return len(node.state.part_quarantine.quarantined())

    assert run_virtual(work()) == 1


def test_a_peers_reports_that_come_together_keep_their_moments():
    """Guards against a part that is sent on by a node which learned of its crashes in one message: as it started,
    or after a while without its peers."""

    async def work():
        first, second = WatchedNode(), WatchedNode()
        for number in range(CRASHES_TO_QUARANTINE):
            first.store_s = STORE_S + number
            first.watch.on_peer_report((f"{PART_PREFIX}a", f"gone-{number}"))
        crashes = [(f"{PART_PREFIX}a", f"gone-{number}") for number in range(CRASHES_TO_QUARANTINE)]
        ages_s = [first.watch.age_s(crash) for crash in crashes]
        for crash, age_s in zip(crashes, ages_s, strict=True):
            second.watch.on_peer_report(crash, age_s)
        return ages_s, len(second.state.part_quarantine.quarantined())

    assert run_virtual(work()) == ([2.0, 1.0, 0.0], 1)


def test_age_of_a_crash_that_is_not_of_a_part_or_not_counted_does_not_matter():
    async def work():
        node = WatchedNode()
        node.watch.on_peer_report(("c", "gone"))
        return [node.watch.age_s(crash) for crash in (("c", "gone"), (f"{PART_PREFIX}a", "gone"))]

    assert run_virtual(work()) == [0.0, 0.0]


def test_rows_of_a_part_are_deleted_once_an_answer_on_it_was_begun():
    """Other nodes count a crash until its row is deleted, and may never see this part work."""

    async def work():
        node = WatchedNode()
        node.watch.on_broken_run("c1", node.backend(), ("a", "b"))
        await asyncio.sleep(PROBED_S)
        node.watch.on_worked(("a",), boot_time_s())
        await asyncio.sleep(0.1)
        return part_rows(node)

    assert run_virtual(work()) == {f"{PART_PREFIX}b/i-0"}


def test_expired_crashes_of_a_part_are_deleted_by_one_node():
    async def work():
        node = WatchedNode()
        node.watch.on_broken_run("c1", node.backend(), ("a",))
        await asyncio.sleep(SUSPECT_S + SWEEP_INTERVAL_S + 1.0)
        return part_rows(node), node.state.part_quarantine.suspect_count

    assert run_virtual(work()) == (set(), 0)


PARTS = tuple(PromptPart(identity, 10) for identity in ("a", "b", "own"))
LONG_STREAM = Script(chunks=(event(1), BEGINNING_S + 0.1), body_error=T.RESET_AFTER_SEND, stream=True)


@pytest.mark.parametrize(
    ("script", "suspects"),
    [(RESET, {"a", "b"}), (CUT_STREAM, {"a", "b"}), (LONG_STREAM, set())],
    ids=["nothing written", "begun", "written for long"],
)
def test_suspects_are_the_shared_parts_of_runs_that_had_just_begun(script, suspects):
    async def work():
        node = WatchedNode(route=make_route(RouteKind.STREAM, attempts=1))
        pipeline = RequestPipeline(node.state, FakeClient(script), crash_observer=node.watch)
        await pipeline.serve(make_request(generation=Generation("m", PARTS)), FakeReply())
        await asyncio.sleep(PROBED_S)
        return {row.partition("/")[0] for row in part_rows(node)}

    assert run_virtual(work()) == {f"{PART_PREFIX}{part_digest(each)}" for each in suspects}


def test_request_that_was_quarantined_while_it_connected_is_not_sent():
    """Guards against requests that are chosen a back end before a crash is known and reach it afterwards."""

    async def work():
        node = WatchedNode(route=make_route(RouteKind.STREAM, attempts=1))
        client = FakeClient(OK)

        async def connect_slowly(dispatch):
            for number in range(CRASHES_TO_QUARANTINE):
                node.read_row(f"{PART_PREFIX}{part_digest('a')}", f"gone-{number}", part_row(float(number)))
            if not dispatch.may_send():
                raise AttemptError(T.WITHDRAWN, "quarantined meanwhile")
            client.sent.append(dispatch)

        client.send = connect_slowly
        reply = FakeReply()
        await RequestPipeline(node.state, client).serve(make_request(generation=Generation("m", PARTS)), reply)
        return len(client.sent), reply.error.code, reply.error.outcome

    assert run_virtual(work()) == (0, "WW3020", Outcome.NOT_RUN)


def test_the_row_of_a_part_says_when_the_back_end_crashed():
    """Nodes that start later read the crashes all at once, and must still tell their moments apart."""

    async def work():
        node = WatchedNode()
        node.watch.on_broken_run("c1", node.backend(), ("a",))
        await asyncio.sleep(PROBED_S)
        return node.table.model.rows[f"{CRASH_PREFIX}{PART_PREFIX}a/i-0"].value

    assert msgspec.json.decode(run_virtual(work()), type=PartCrashRow) == PartCrashRow("n1", STORE_S)


@pytest.mark.parametrize("value", [b"n2", b"", b"{}", b'{"node": "n2", "happened_s": "x"}', b"\xff"])
def test_the_row_of_a_part_that_cannot_be_read_counts_from_now(value):
    async def work():
        node = WatchedNode()
        node.read_row(f"{PART_PREFIX}a", "gone-1", value)
        return node.state.part_quarantine.happened_s("a", "gone-1")

    assert run_virtual(work()) == STORE_S


@pytest.mark.parametrize(
    ("members", "rewritten"), [(("n1",), {"c/gone-1", f"{PART_PREFIX}a/gone-2"}), (OTHERS, set())]
)
def test_crashes_of_ended_nodes_are_written_again_by_their_owner_after_a_restore(members, rewritten):
    """Guards against crashes that a restored store lacks, whose writers have ended, and that are forgotten once all
    other nodes start again."""

    async def work():
        node = WatchedNode(members=members)
        node.read_row("c", "gone-1")
        node.read_row(f"{PART_PREFIX}a", "gone-2", part_row(0.0))
        node.watch.on_era(2, True)
        await asyncio.sleep(0.1)
        return node.rows

    assert run_virtual(work()) == rewritten
