"""Which crashes of workers nobody can know any more, and what is asked of routers all the same."""

import pytest

from tests.unit.soak.test_invariants import CONTACT_S, crashing, history
from wallwell.soak.history import Began, FaultBegan, FaultEnded
from wallwell.soak.invariants import check_invariants
from wallwell.soak.lost_crashes import WRITTEN_AGAIN_S, is_forgotten
from wallwell.soak.schedule import COPY_AGE_S

CRASHED_S = 10.0


def restored(began_s, ended_s):
    return [FaultBegan(began_s, "store_restored", "store"), FaultEnded(ended_s, "store_restored", "store")]


def killed(at_s):
    return [FaultBegan(at_s, "kill_all_nodes", "all"), FaultEnded(at_s + 0.3, "kill_all_nodes", "all")]


FIRST = restored(11.0, 13.0)
COPIED_S = 11.0 - COPY_AGE_S


@pytest.mark.parametrize(
    ("records", "is_lost"),
    [
        ([], False),
        (FIRST, False),
        (killed(12.0), False),
        ([*FIRST, *killed(12.0)], True),
        ([*FIRST, *killed(13.0 + WRITTEN_AGAIN_S)], True),
        ([*FIRST, *killed(13.1 + WRITTEN_AGAIN_S)], False),
        ([*killed(10.9), *FIRST], False),
        ([*restored(CRASHED_S + COPY_AGE_S + 0.1, 15.0), *killed(14.0)], False),
        ([*FIRST, *restored(13.2 + COPY_AGE_S, 18.0), *killed(17.0)], True),
        ([*FIRST, *restored(13.1 + WRITTEN_AGAIN_S + COPY_AGE_S, 20.0), *killed(18.0)], False),
        ([*FIRST, FaultBegan(12.0, "kill_node", "node-0")], False),
    ],
    ids=[
        "no fault",
        "nodes live",
        "the store has it",
        "killed while the store is away",
        "killed before it is written again",
        "killed after it is written again",
        "killed before the store goes away",
        "the copy has it",
        "a copy from before it is written again",
        "a copy from after it is written again",
        "one node is killed",
    ],
)
def test_a_crash_is_lost_only_with_all_nodes_and_the_store(records, is_lost):
    assert is_forgotten(history(*records), Began(CRASHED_S, "r", "w.1", "svc")) is is_lost


def test_a_crash_before_the_copy_is_kept():
    begun = history(*FIRST, *killed(12.0))
    assert not is_forgotten(begun, Began(COPIED_S - 0.1, "r", "w.1", "svc"))
    assert is_forgotten(begun, Began(COPIED_S + 0.1, "r", "w.1", "svc"))


BEFORE_S = [9.0, 9.5, 10.0]
LATE_S = [17.0, 17.2, 17.4, 17.6]


@pytest.mark.parametrize(
    ("faults", "breaches"),
    [([*FIRST, *killed(12.0)], []), (FIRST, ["crashes_few"]), (killed(12.0), ["crashes_few"])],
    ids=["all lost", "nodes live", "the store has it"],
)
def test_a_request_counts_anew_after_its_crashes_were_lost(faults, breaches):
    """Guards against an invariant that asks of nodes what nobody can know, and against one that asks less."""
    assert LATE_S[-1] < LATE_S[2] + CONTACT_S
    records = sorted([*crashing(BEFORE_S + LATE_S), *faults], key=lambda each: each.at_s)
    assert [each.invariant for each in check_invariants(history(*records)).breaches] == breaches
