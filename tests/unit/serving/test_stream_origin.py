"""At which software version a stream goes on that its caller resumes, and when it is refused."""

import dataclasses
import random

import pytest

from tests.unit.serving.fakes import FakeClient, FakeReply, Script, event, make_generation, make_request, make_route
from tests.unit.serving.fakes import make_state as make_plain_state
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster.stream_directory import StreamDirectory, StreamFindings
from wallwell.cluster.stream_records import Records, StreamRecords
from wallwell.cluster.version_rows import SoleVersion, VersionsRow
from wallwell.deployment.routes import RouteKind
from wallwell.outcomes import Outcome
from wallwell.serving.pipeline import RequestPipeline

ROUTE = make_route(RouteKind.STREAM, resumable=True, attempts=2, timeout_s=6.0)
REST = Script(chunks=(event(3), event(4)), stream=True)
LONG_S = 60.0


class FakeDirectory(StreamDirectory):
    """Answers with fixed findings instead of asking other nodes."""

    def __init__(self, state, findings):
        super().__init__(state.node, state.topology, dict, state.recent_versions)
        self.findings = findings
        self.asked = 0
        self.answering = {}
        """Starts of the nodes that answer when they are asked in addition, by name."""

    async def find(self, stream, service):
        self.asked += 1
        return self.findings

    async def ask_node(self, findings, name, stream, service):
        findings.asked += 1
        if name in self.answering:
            findings.answered += 1
            findings.lives.add(self.answering[name])


class FakeRecords(StreamRecords):
    """What the store holds, without one."""

    def __init__(self, state, row):
        super().__init__(state.node, None, state.version_views, lambda: 0.0, lambda: 1, random.Random(1))
        self.on_era(0, is_restored=False)
        self.row = row

    async def read(self):
        return Records(rows={"svc": self.row})


def resume(software, findings, observed_s=LONG_S, listing_age_s=0.0, unlisted=(), row=None, answering=None):
    """Resume one stream; return the reply, the versions it was sent to, and how often other nodes were asked."""

    async def scenario():
        state = make_plain_state(ROUTE, backends=len(software), versions={"m": 1})
        for index, version in enumerate(software):
            record = state.backends.get(f"i-{index}").record
            state.backends.upsert(dataclasses.replace(record, software=version))
        now_s = boot_time_s()
        state.software_history.on_confirmed(now_s - observed_s, now_s - observed_s)
        state.software_history.on_confirmed(now_s - listing_age_s, now_s)
        for version, ago_s in unlisted:
            state.software_history.on_unlisted("svc", version, now_s - ago_s)
        directory, client, reply = FakeDirectory(state, findings), FakeClient(REST), FakeReply()
        directory.answering = answering or {}
        records = None if row is None else FakeRecords(state, row)
        pipeline = RequestPipeline(state, client, stream_directory=directory, stream_records=records)
        request = make_request(generation=make_generation(resume_after=2), first_request_id="r-0")
        await pipeline.serve(request, reply)
        return reply, [each.backend.software for each in client.sent], directory.asked, pipeline.counters

    return run_virtual(scenario())


NOT_FOUND = StreamFindings(None, versions={"v1"})


def test_the_stream_goes_on_at_the_version_that_another_node_knows():
    found = StreamFindings("v2", "n7", 1.0, {"v1", "v2"})
    reply, versions, asked, counters = resume(["v1"] * 5 + ["v2"], found)
    assert (reply.status, versions, asked) == (200, ["v2"], 1)
    assert counters.stream_lookups == {"known": 1}


def test_nobody_is_asked_while_the_service_has_had_one_version_for_long():
    reply, versions, asked, counters = resume(["v1", "v1"], NOT_FOUND)
    assert (reply.status, versions, asked) == (200, ["v1"], 0)
    assert counters.stream_lookups == {"one_version": 1}


@pytest.mark.parametrize(
    "history",
    [
        {"observed_s": 3.0},
        {"listing_age_s": 5.0},
        {"unlisted": [("v0", 3.0)]},
    ],
    ids=["started lately", "listing is old", "another version left lately"],
)
def test_other_nodes_are_asked_if_the_stream_may_have_begun_at_another_version(history):
    _, _, asked, _ = resume(["v1", "v1"], NOT_FOUND, **history)
    assert asked == 1


def test_a_stream_that_nobody_knows_is_served_if_no_node_has_seen_another_version():
    reply, versions, _, _ = resume(["v1", "v1"], NOT_FOUND, observed_s=0.0)
    assert (reply.status, versions) == (200, ["v1"])


def test_a_stream_that_nobody_knows_is_refused_at_once_if_it_may_be_of_another_version():
    found = StreamFindings(None, versions={"v1", "v2"}, asked=4, answered=4)
    reply, versions, _, counters = resume(["v1", "v1"], found, observed_s=0.0)
    assert (reply.status, reply.error.code, reply.error.outcome) == (503, "WW3022", Outcome.NOT_RUN)
    assert reply.error.retry_after_ms > 0
    assert versions == []
    assert counters.stream_lookups == {"unknown": 1}


@pytest.mark.parametrize(("answered", "listing_age_s", "status"), [(0, 5.0, 503), (1, 5.0, 200), (0, 1.0, 200)])
def test_a_node_with_an_old_listing_that_hears_nobody_refuses_what_it_does_not_know(
    answered, listing_age_s, status
):
    found = StreamFindings(None, versions={"v1"}, asked=4, answered=answered)
    reply, _, _, _ = resume(["v1", "v1"], found, observed_s=6.0, listing_age_s=listing_age_s)
    assert reply.status == status


def test_a_stream_whose_version_has_no_back_end_left_is_refused_at_once():
    reply, versions, _, _ = resume(["v1", "v2"], StreamFindings("v0", "n7", 1.0, {"v1", "v2"}))
    assert (reply.status, reply.error.code, reply.error.outcome) == (503, "WW3008", Outcome.NOT_RUN)
    assert "v0" in reply.error.detail
    assert reply.error.retry_after_ms > 0
    assert versions == []


JOINED = VersionsRow(["v1", "v2"], 0, SoleVersion("v1", "n7/a", 14.0))


def both_versions(answered=4):
    return StreamFindings(None, versions={"v1", "v2"}, asked=4, answered=answered)


@pytest.mark.parametrize(
    ("row", "answering"),
    [(VersionsRow(["v1"], 0), {}), (JOINED, {"n7": "n7/a"})],
    ids=["names one version", "another one has joined it"],
)
def test_a_stream_that_nobody_knows_goes_on_at_the_version_that_must_have_begun_it(row, answering):
    found = both_versions()
    reply, versions, _, _ = resume(["v2"] * 5 + ["v1"], found, observed_s=1.0, row=row, answering=answering)
    assert (reply.status, versions, found.known_by) == (200, ["v1"], "the store")


@pytest.mark.parametrize(
    "case",
    [
        {"row": VersionsRow(["v1"])},
        {"row": JOINED},
        {"row": JOINED, "answering": {"n7": "n7/b"}},
        {"row": JOINED, "answering": {"n7": "n7/a"}, "observed_s": LONG_S},
        {"row": JOINED, "answering": {"n7": "n7/a"}, "findings": both_versions(answered=3)},
        {"row": VersionsRow(["v1"], 0), "findings": both_versions(answered=3)},
    ],
    ids=[
        "row of a first start",
        "writer gone",
        "writer started again",
        "this node has not started lately",
        "a node that was asked may know it",
        "a node that was asked may know it, and one version is named",
    ],
)
def test_a_stream_that_nobody_knows_is_refused_without_proof_of_its_version(case):
    """Guards against streams that began lately at the other version, at a node that has ended or is cut off."""
    given = {"findings": both_versions(), "observed_s": 1.0, **case}
    reply, versions, _, _ = resume(["v1", "v2"], **given)
    assert (reply.status, reply.error.code, versions) == (503, "WW3022", [])
