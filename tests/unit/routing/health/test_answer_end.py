"""The table by which the end of an answer without a length is judged.

Guards against a part of an answer that is passed on as whole, and against whole answers that are called broken off.
"""

from __future__ import annotations

import itertools

import pytest

from wallwell.routing.health.answer_end import (
    EndEvidence,
    EndVerdict,
    SentinelState,
    judge_end,
    may_still_be_unlisted,
)

NONE, OPEN, ENDED = SentinelState.NONE, SentinelState.OPEN, SentinelState.ENDED
LIVES, LEFT = EndVerdict.PROCESS_LIVES, EndVerdict.LEFT_AS_PLANNED
DEAD, REPLACED, UNKNOWN = EndVerdict.PROCESS_ENDED, EndVerdict.PROCESS_REPLACED, EndVerdict.NOT_SHOWN

ANNOUNCED = {"is_leaving": True, "has_announced_leave": True}
TABLE = [
    # sentinel, port refuses, other evidence, verdict
    (NONE, False, {}, UNKNOWN),
    (NONE, False, {"port_accepted": True}, LIVES),
    (NONE, False, {"port_accepted": True, "is_read_late": True}, UNKNOWN),
    (NONE, False, {"is_read_late": True}, UNKNOWN),
    (NONE, False, {"is_read_late": True, "is_leaving": True}, UNKNOWN),
    (NONE, True, {}, DEAD),
    (NONE, True, {"outlived_answer": True}, DEAD),
    (NONE, True, {"is_unlisted_at_end": True}, DEAD),
    (NONE, True, {"is_leaving": True}, DEAD),
    (NONE, True, ANNOUNCED, DEAD),
    (NONE, True, {"is_leaving": True, "is_unlisted_at_end": True}, DEAD),  # Its heartbeats had stopped before.
    (ENDED, True, {"is_leaving": True, "is_unlisted_at_end": True}, DEAD),
    (ENDED, True, {"is_leaving": True, "is_unlisted_at_end": True, "outlived_answer": True}, LEFT),
    (NONE, True, {"is_leaving": True, "outlived_answer": True}, LEFT),
    (NONE, True, {"is_leaving": True, "outlived_answer": True, "is_read_late": True}, DEAD),
    (NONE, True, {**ANNOUNCED, "is_unlisted_at_end": True}, LEFT),
    (NONE, True, {**ANNOUNCED, "is_unlisted_at_end": True, "is_read_late": True}, LEFT),
    (OPEN, False, {}, LIVES),
    (OPEN, False, {"is_read_late": True}, LIVES),
    (OPEN, False, {"is_read_late": True, "is_leaving": True}, LIVES),
    (OPEN, False, {"is_replaced": True}, REPLACED),
    (OPEN, True, {}, DEAD),
    (ENDED, False, {}, DEAD),
    (ENDED, False, {"is_read_late": True}, DEAD),
    (ENDED, False, {"outlived_answer": True}, DEAD),
    (ENDED, False, {"is_leaving": True, "outlived_answer": True}, LEFT),
    (ENDED, True, {"is_leaving": True}, DEAD),
    (ENDED, True, {**ANNOUNCED, "is_unlisted_at_end": True}, LEFT),
    (ENDED, False, {"is_leaving": True, "is_unlisted_at_end": True, "is_replaced": True}, REPLACED),
]


@pytest.mark.parametrize(("sentinel", "port_refuses", "other", "verdict"), TABLE)
def test_verdict(sentinel, port_refuses, other, verdict):
    assert judge_end(EndEvidence(sentinel, port_refuses, **other)) is verdict


def all_evidence():
    for sentinel, *flags in itertools.product(SentinelState, *[(False, True)] * 8):
        yield EndEvidence(sentinel, *flags)


def test_a_process_that_has_ended_is_believed_to_have_finished_only_if_it_leaves():
    for evidence in all_evidence():
        has_ended = evidence.port_refuses or evidence.sentinel is ENDED
        if has_ended and not evidence.is_leaving:
            assert not judge_end(evidence).is_whole


def test_an_entry_that_goes_unannounced_says_nothing_of_the_end():
    """Guards against cut answers of a process whose heartbeats had stopped before it was killed."""
    for evidence in all_evidence():
        if not evidence.has_announced_leave:
            listed = EndEvidence(**{**evidence.__dict__, "is_unlisted_at_end": False})
            assert judge_end(evidence) is judge_end(listed)


def test_a_process_is_believed_to_live_only_if_something_shows_it():
    for evidence in all_evidence():
        if evidence.sentinel is NONE and not evidence.port_accepted:
            assert judge_end(evidence) is not LIVES


def test_the_removal_of_the_entry_is_awaited_only_where_it_decides():
    for evidence in all_evidence():
        unlisted = EndEvidence(**{**evidence.__dict__, "is_unlisted_at_end": True})
        decides = not judge_end(evidence).is_whole and judge_end(unlisted).is_whole
        assert may_still_be_unlisted(evidence) == decides
