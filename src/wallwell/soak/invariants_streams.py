"""Invariants about streams that go on after a break, in one answer or in a request that takes them up."""

from __future__ import annotations

from collections.abc import Iterator

from wallwell.soak.cases import HELD, Cases, Violation
from wallwell.soak.history import Answered, Sent
from wallwell.soak.timeline import History

LEAST_TAKEN_UP = 12
"""Streams taken up below which a fraction that goes on says nothing."""
LEAST_GOING_ON = 0.5
"""Fraction of the share of new streams that begin, which streams that are taken up reach at least."""
SERVING_S = 1.0
"""Seconds around a moment in which workers that begin to run requests count as serving then."""
LEAST_SERVING = 2
"""Workers of a version that must serve, so that its streams are expected to go on."""


def one_version_per_stream(history: History) -> Cases:
    """All events that a caller has of a stream were written by workers of one software version."""
    for answer, later in _streams(history):
        runs = history.began.get(answer.request, ())
        went_on = len(runs) > 1 or (later is not None and bool(later.events))
        if not answer.versions or not went_on:
            continue
        versions = set(answer.versions) | (set(later.versions) if later is not None else set())
        if len(versions) == 1:
            yield HELD
        else:
            yield Violation(answer.at_s, answer.request, f"events of {', '.join(sorted(versions))}")


def resumed_streams_go_on(history: History) -> Cases:
    """Streams that are taken up while two workers of their version serve go on half as often as new ones begin."""
    taken_up = [
        later
        for answer, later in _streams(history)
        if later is not None and _is_expected_to_go_on(history, answer, history.sent[later.request])
    ]
    began = [answer for answer, _ in _streams(history) if _is_undisturbed(history, history.sent[answer.request])]
    if len(taken_up) < LEAST_TAKEN_UP or not began:
        return
    share_begun = sum(bool(answer.events) for answer in began) / len(began)
    went_on = sum(bool(answer.events) for answer in taken_up)
    if went_on >= LEAST_GOING_ON * share_begun * len(taken_up):
        yield HELD
    else:
        detail = f"{went_on} of {len(taken_up)} streams taken up went on; of new ones {share_begun:.2f} begin"
        yield Violation(taken_up[0].at_s, "streams", detail)


def _streams(history: History) -> Iterator[tuple[Answered, Answered | None]]:
    """Yield the answer to each request that begins a stream, and to the one that takes it up, if there is one."""
    later = {
        sent.resumes: history.answers[sent.request]
        for sent in history.sent.values()
        if sent.resumes and sent.request in history.answers
    }
    for answer in history.answers.values():
        sent = history.sent[answer.request]
        if sent.kind.is_stream and not sent.resumes:
            yield answer, later.get(answer.request)


def _is_undisturbed(history: History, sent: Sent) -> bool:
    return history.is_fault_free(sent.at_s, sent.at_s + sent.deadline_s)


def _is_expected_to_go_on(history: History, answer: Answered, sent: Sent) -> bool:
    if not _is_undisturbed(history, sent):
        return False
    serving = {
        began.worker
        for began in history.begins
        if began.software in answer.versions and abs(began.at_s - sent.at_s) <= SERVING_S
    }
    return len(serving) >= LEAST_SERVING
