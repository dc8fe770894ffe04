"""Each promise holds on a sound history and fails on one with its fault, at the record that shows it."""

import pytest

from tests.unit.soak.records import answered, began, history, sent
from wallwell.soak.history import FaultBegan, FaultEnded, NodeExited, RequestKind
from wallwell.soak.promises import PROMISES, find_breaches
from wallwell.soak.schedule import RECOVERY_S

STREAM = sent(kind=RequestKind.STREAM, events=3)
RESUMABLE = sent(kind=RequestKind.RESUMABLE, events=3)
SAFE = sent(kind=RequestKind.SAFE)


def recovery(served, of):
    """All nodes killed and started; later than the bound, ``served`` of ``of`` requests are served."""
    records = [FaultBegan(5.0, "kill_all_nodes", "all"), FaultEnded(6.0, "kill_all_nodes", "all")]
    for index in range(of):
        at_s = 6.0 + RECOVERY_S + 0.1 * index
        records.append(sent(f"r{index}", RequestKind.SAFE, at_s))
        if index < served:
            records += [began(f"r{index}", at_s=at_s), answered(f"r{index}", at_s=at_s + 0.05)]
        else:
            records.append(answered(f"r{index}", 503, "", at_s + 0.05))
    return records


SOUND = {
    "a call": [sent(), began(), answered()],
    "a failure of the worker": [sent(), began(), answered(status=500)],
    "a refusal of what did not run": [sent(), answered(status=503, worker="")],
    "a safe call that ran twice": [SAFE, began(worker="w.1"), began(worker="w.2"), answered(worker="w.2")],
    "a refusal of a safe call that ran": [SAFE, began(), answered(status=503, worker="")],
    "no answer": [sent(), began(), answered(status=0, worker="", whole=False)],
    "a whole stream": [STREAM, began(), answered(events=(1, 2, 3))],
    "a stream that broke off": [STREAM, began(), answered(events=(1, 2), whole=False)],
    "a resumed stream": [RESUMABLE, began(), began(worker="w.2", resume_after=1), answered(events=(1, 2, 3))],
    "a planned stop": [NodeExited(1.0, "n", 0, "SIGTERM")],
    "a kill": [NodeExited(1.0, "n", -9, "SIGKILL")],
    "a recovery": recovery(served=4, of=10),
}
BROKEN = {
    "another request's bytes": ("own_answer_whole", [sent(), began(), answered(own=False)]),
    "the seal of a worker that did not run it": ("own_answer_whole", [sent(), began(), answered(worker="w.2")]),
    "a success without a seal": ("own_answer_whole", [sent(), began(), answered(worker="")]),
    "a success that nobody ran": ("own_answer_whole", [sent(), answered()]),
    "an unsafe call that ran twice": ("at_most_once", [sent(), began(), began(worker="w.2"), answered()]),
    "a stream that ran twice": ("at_most_once", [STREAM, began(), began(), answered(events=(1, 2, 3))]),
    "a request that nobody sent": ("only_asked", [began("unknown")]),
    "a refusal of what had run": ("refused_not_run", [sent(), began(), answered(status=503, worker="")]),
    "a refusal of what runs later": ("refused_not_run", [sent(), answered(status=429, worker=""), began(at_s=9)]),
    "a gap": ("stream_order", [STREAM, began(), answered(events=(1, 3), whole=False)]),
    "a double": ("stream_order", [STREAM, began(), answered(events=(1, 2, 2, 3))]),
    "a late start": ("stream_order", [STREAM, began(), answered(events=(2, 3))]),
    "an early end that looks complete": ("stream_order", [STREAM, began(), answered(events=(1, 2))]),
    "no recovery": ("recovers", recovery(served=2, of=10)),
    "a node that ends by itself": ("nodes_stay", [NodeExited(1.0, "n", 0, "")]),
    "a planned stop that fails": ("nodes_stay", [NodeExited(1.0, "n", 1, "SIGTERM")]),
    "a planned stop that never ends": ("nodes_stay", [NodeExited(1.0, "n", -9, "SIGTERM, SIGKILL")]),
}


@pytest.mark.parametrize("records", SOUND.values(), ids=SOUND)
def test_nothing_is_found_in_a_sound_history(records):
    assert find_breaches(history(*records)) == []


@pytest.mark.parametrize(("promise", "records"), BROKEN.values(), ids=BROKEN)
def test_a_broken_promise_is_found_by_name(promise, records):
    assert [breach.promise for breach in find_breaches(history(*records))] == [promise]


def test_every_promise_has_a_history_that_breaks_it():
    assert {promise for promise, _ in BROKEN.values()} == set(PROMISES)


def test_the_first_breach_comes_first():
    records = [sent("a"), began("a", at_s=3), began("a", at_s=4), sent("b"), began("b"), began("b", at_s=2)]
    assert [breach.subject for breach in find_breaches(history(*records))] == ["b", "a"]
