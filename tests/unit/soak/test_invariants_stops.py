"""A planned stop cuts only what the users' rules excuse; what something else may have ended is no case of that."""

import pytest

from tests.unit.soak.records import answered, began, history, sent
from wallwell.soak.history import (
    Ended,
    FaultBegan,
    FaultEnded,
    Left,
    NodeExited,
    RequestKind,
    SentWhole,
    StopRequested,
    WorkerState,
)
from wallwell.soak.invariants import check_invariants
from wallwell.soak.invariants_stops import (
    STILL_AT_WORK_FRACTION,
    UNANSWERED_S,
    count_around_stops,
    stop_cuts_only_excused,
)
from wallwell.soak.timeline import CONTACT_S

TERM_S = 20.0
GRACE_S = 8.0
STOP = [StopRequested(TERM_S, "node-0", GRACE_S), NodeExited(TERM_S + 7.2, "node-0", 0, "SIGTERM")]
CUT_S = TERM_S + 7.1
"""When the node cuts what is still open."""


def stream(sent_s=3.2, cut_s=7.1, kind=RequestKind.STREAM, runs_until_s=None, whole=False, **more):
    """A stream that the stopping node passes on as it is sent; times count from SIGTERM."""
    ends_s = TERM_S + cut_s
    ended_s = ends_s if runs_until_s is None else TERM_S + runs_until_s
    status = 200 if whole or ended_s < ends_s else 0
    return [
        sent(kind=kind, at_s=TERM_S + sent_s, events=3, node="node-0", deadline_s=10.0, **more),
        began(worker="engine-0.1", at_s=TERM_S + sent_s + 0.01),
        Ended(ended_s, "r", "engine-0.1", status),
        answered(worker="engine-0.1", at_s=ends_s, events=(1, 2, 3) if whole else (1,), whole=whole, kept=True),
    ]


def unanswered(sent_s, for_s, **more):
    """A request that reaches no worker, and whose connection ends some time after its last byte."""
    at_s = TERM_S + sent_s
    return [
        sent(kind=RequestKind.STREAM, at_s=at_s, events=3, node="node-0", deadline_s=10.0, **more),
        answered(status=0, worker="", at_s=at_s + for_s, whole=False),
    ]


def refused(status, has_run=False, kind=RequestKind.UNSAFE):
    """A request that follows on a connection in the stop is refused."""
    at_s = TERM_S + 3.2
    runs = [began(at_s=at_s + 0.01), Ended(at_s + 0.1, "r", "w.1", 0)] if has_run else []
    return [sent(kind=kind, at_s=at_s, node="node-0"), *runs, answered(status=status, worker="", at_s=at_s + 0.2)]


def behind(whole, for_s=1.0):
    """A request that was sent while the answer to another one came, and got none."""
    first = sent("first", RequestKind.STREAM, TERM_S - 1.0, events=3, node="node-0")
    answer = answered("first", worker="engine-0.1", at_s=TERM_S + 5.0, events=(1, 2, 3), whole=whole)
    broken_off = began("first", "engine-0.1", TERM_S - 0.9)  # No end is recorded: the engine crashed.
    return [first, broken_off, answer, *unanswered(5.0 - for_s, for_s, behind="first")]


def fault(kind, from_s, until_s, target="store"):
    return [FaultBegan(TERM_S + from_s, kind, target), FaultEnded(TERM_S + until_s, kind, target)]


CUT = stream()
LAST_SIXTH_S = GRACE_S * STILL_AT_WORK_FRACTION
IN_CHUNKS = stream(sent_s=2.5, in_chunks=True)

NO_CASES = {
    "its worker is at work in the last sixth, and it was sent soon after the signal": stream(sent_s=3.0),
    "the same of what was sent before the signal": stream(sent_s=-1.0),
    "the same of a body whose last byte came soon": [*IN_CHUNKS, SentWhole(TERM_S + 2.9, "r")],
    "its worker crashed": [each for each in CUT if not isinstance(each, Ended)],
    "its worker was killed as it had written the end of the answer": [
        *stream(sent_s=-1.0, cut_s=5.0, runs_until_s=4.9),
        *fault("restart_worker", 4.95, 6.0, "engine-0"),
    ],
    "its worker left as it had written the end of the answer": [
        *stream(sent_s=-1.0, cut_s=5.0, runs_until_s=4.9),
        WorkerState(TERM_S + 4.95, "engine-0.1", "engines", "", "gone"),
    ],
    "a request that crashes workers crashed its worker as it had written the end of the answer": [
        *stream(sent_s=-1.0, cut_s=5.0, runs_until_s=4.9),
        sent("crashing", RequestKind.SAFE, TERM_S + 4.8, node="node-1", content="c"),
        began("crashing", "engine-0.1", TERM_S + 4.9),
    ],
    "its last worker crashed, and the one before, which stands still, ends late": [
        *stream(sent_s=-1.0, cut_s=5.0, runs_until_s=5.3),
        began(worker="engine-1.1", at_s=TERM_S + 4.5),
    ],
    "its last worker crashed, and the one before, which stands still, begins late": [
        *stream(sent_s=-1.0, cut_s=5.0)[:2],
        answered(worker="engine-0.1", at_s=TERM_S + 5.0, events=(1,), whole=False),
        began(worker="engine-1.1", at_s=TERM_S + 5.5),
        Ended(TERM_S + 5.51, "r", "engine-1.1", 0),
    ],
    "its worker crashed, and the one before had ended": [
        *stream(sent_s=1.0, cut_s=5.0, runs_until_s=4.0),
        began(worker="engine-1.1", at_s=TERM_S + 3.5),
    ],
    "its worker had left for good": [*CUT, WorkerState(CUT_S - 0.01, "engine-0.1", "engines", "", "gone")],
    "its deadline was reached": [sent(kind=RequestKind.STREAM, at_s=23.2, node="node-0", deadline_s=3.9), *CUT[1:]],
    "its caller left": [*CUT, Left(CUT_S, "r")],
    "its body was never sent whole": IN_CHUNKS,
    "it was sent to another node": [sent(kind=RequestKind.STREAM, at_s=23.2, node="node-1"), *CUT[1:]],
    "it was cut more than a second after the grace time": stream(cut_s=GRACE_S + 1.1),
    "it was cut before the signal": stream(sent_s=-3.0, cut_s=-0.1),
    "the store was away shortly before it": [*CUT, *fault("store_down", 2.0, 3.3 - CONTACT_S)],
    "another node was killed in the middle": [*CUT, *fault("kill_node", 5.0, 5.3, "node-1")],
    "it has gone unanswered for a short while": unanswered(2.5, UNANSWERED_S - 0.01),
    "the answer before it was cut": behind(whole=False),
    "it was sent after the node had ended": unanswered(7.3, 0.5),
}
HELD = {
    "a whole answer in the middle of a stop": stream(whole=True, cut_s=6.0),
    "a whole answer at its end": stream(sent_s=-1.0, whole=True),
    "a refusal of what has not run": refused(408),
    "a refusal of what may be repeated and ran somewhere": refused(503, has_run=True, kind=RequestKind.SAFE),
    "a failure": refused(502, has_run=True),
}
BROKEN = {
    "it was sent late, and its worker is at work at the end": CUT,
    "the same of what may be resumed": stream(kind=RequestKind.RESUMABLE),
    "the last byte of its body was sent late": [*IN_CHUNKS, SentWhole(TERM_S + 3.1, "r")],
    "it was cut before the last sixth": stream(sent_s=-1.0, cut_s=LAST_SIXTH_S - 0.1),
    "its worker was done before the last sixth": stream(sent_s=1.0, runs_until_s=LAST_SIXTH_S - 0.1),
    "it was cut long before its worker, which may not be cancelled, ended": stream(
        sent_s=1.0, kind=RequestKind.UNSAFE, cut_s=4.0, runs_until_s=6.9
    ),
    "it has gone unanswered for a while": unanswered(2.5, UNANSWERED_S + 0.01),
    "it has gone unanswered behind a whole answer": behind(whole=True),
    "another node was stopped too": [*CUT, *fault("stop_node", 4.0, 12.0, "node-1")],
    "its node was told to read its settings again": [*CUT, *fault("reload_node", 4.0, 4.0, "node-0")],
    "its worker was silent, and its entry came back": [
        *CUT,
        *fault("silence_worker", 4.0, 5.5, "engine-0"),
        WorkerState(TERM_S + 5.0, "engine-0.1", "engines", "", "gone"),
        WorkerState(TERM_S + 5.6, "engine-0.1", "engines", "", "ready"),
    ],
    "its first worker crashed, and it went on at another one": [
        *stream(sent_s=4.0),
        began(worker="engine-1.1", at_s=TERM_S + 3.5),
    ],
    "its worker left after it": [*CUT, WorkerState(CUT_S + 0.1, "engine-0.1", "engines", "", "gone")],
    "a request that crashes workers began at its worker after it": [
        *CUT,
        sent("crashing", RequestKind.SAFE, TERM_S + 7.1, node="node-1", content="c"),
        began("crashing", "engine-0.1", TERM_S + 7.15),
    ],
    "a request that crashes workers crashed another one": [
        *CUT,
        sent("crashing", RequestKind.SAFE, TERM_S + 4.8, node="node-1", content="c"),
        began("crashing", "engine-1.1", TERM_S + 4.9),
    ],
    "another worker was killed": [*CUT, *fault("crash_worker", 4.0, 6.0, "engine-1")],
    "its worker was killed before it began": [*CUT, *fault("restart_worker", 2.0, 3.1, "engine-0")],
    "its worker was killed after it": [*CUT, *fault("crash_worker", 7.15, 8.0, "engine-0")],
    "the store was away long before it": [*CUT, *fault("store_down", 0.0, 3.1 - CONTACT_S)],
    "it was cut in the second after the grace time": stream(cut_s=GRACE_S + 0.9),
    "it was refused though it ran": refused(503, has_run=True),
}


def cases_of(records):
    return list(stop_cuts_only_excused(history(*STOP, *records)))


@pytest.mark.parametrize("records", NO_CASES.values(), ids=NO_CASES)
def test_what_is_excused_or_had_another_cause_is_no_case(records):
    assert cases_of(records) == []


@pytest.mark.parametrize("records", HELD.values(), ids=HELD)
def test_a_whole_answer_is_one_case_and_no_breach(records):
    assert cases_of(records) == [None]


@pytest.mark.parametrize("records", BROKEN.values(), ids=BROKEN)
def test_a_request_that_a_stop_loses_is_a_breach(records):
    """Guards against streams on kept connections that a stopping node begins late and cuts."""
    (violation,) = [case for case in cases_of(records) if case is not None]
    assert violation.subject == "r"


def test_a_cut_request_is_reported_with_its_times_since_the_signal():
    (violation,) = cases_of(BROKEN["the last byte of its body was sent late"])
    assert "cut with 200 7.10 s after a SIGTERM of node-0; sent at 2.50 s, whole at 3.10 s" in violation.detail
    assert "ran at engine-0.1 from 2.51 s until 7.10 s" in violation.detail


def test_a_cut_beside_another_stop_breaks_no_other_invariant():
    records = [*STOP, *stream(sent_s=3.2)]
    assert [each.invariant for each in check_invariants(history(*records)).breaches] == ["stop_cuts_only_excused"]


def test_a_stop_that_the_run_did_not_record_is_no_case():
    assert list(stop_cuts_only_excused(history(*fault("stop_node", 0.0, 8.0, "node-0"), *CUT))) == []


@pytest.mark.parametrize(
    ("records", "counted"),
    [
        (stream(whole=True, cut_s=6.0), "requests begun after a SIGTERM"),
        (stream(whole=True, sent_s=-1.0, cut_s=4.0), "answers ended while connections close"),
        (refused(408), "refused after a SIGTERM"),
        (stream(sent_s=-1.0), "cut at work at the end"),
        ([each for each in stream(sent_s=-1.0) if not isinstance(each, Ended)], "broken off by their workers"),
    ],
)
def test_what_a_stop_met_is_counted(records, counted):
    counts = count_around_stops(history(*STOP, *records))
    assert counts == {**dict.fromkeys(counts, 0), "stops": 1, counted: 1}


def test_a_run_without_a_stop_counts_nothing():
    assert set(count_around_stops(history(*CUT)).values()) == {0}
