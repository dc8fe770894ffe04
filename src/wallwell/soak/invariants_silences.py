"""Invariants about requests at workers that are sound and send nothing for a second or so.

A worker's silence is no reason to end an answer sooner: nothing here depends on how long a silence lasts, or on
what other workers do meanwhile. What may run once only has one invariant, what may be repeated the other.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from wallwell.soak.cases import HELD, Cases, Violation
from wallwell.soak.history import Answered, Began, FaultBegan, Sent
from wallwell.soak.invariants_requests import is_at_its_deadline
from wallwell.soak.timeline import SILENCE, History, worker_name

GIVEN_UP_STATUSES = frozenset((0, 502, 504))
"""Statuses of a request that a router gave up, though it may have run."""
WAKE_S = 0.1
"""Seconds after a silence in which a worker begins what reached it meanwhile and lay unread."""
RETRY_WINDOW_S = 10.0
"""Seconds from a node's start to its share of the fleet's extra retries, the window of the routers' settings."""


def silence_ends_nothing(history: History) -> Cases:
    """What may run once only is not given up because its worker, which is sound, sends nothing for a second or so.

    Left out is what ends at its caller's deadline, what its caller left, what a worker did not end since it
    crashed, and what a worker sent broken bytes to in place of an answer.
    """
    for silence, ended_s in history.silences():
        for began in history.begins:
            sent, answer = history.sent.get(began.request), history.answers.get(began.request)
            if sent is None or answer is None or not sent.kind.at_most_once:
                continue
            if sent.request in history.left or sent.request in history.answered_brokenly:
                continue
            if not _is_struck(history, silence, ended_s, sent, began) or is_at_its_deadline(sent, answer):
                continue
            if not history.is_fault_free(began.at_s, answer.at_s):
                continue
            if answer.whole and answer.status not in GIVEN_UP_STATUSES:
                yield HELD
            else:
                detail = (
                    f"ended with {answer.status} in a silence of {ended_s - silence.at_s:.2f} s of {began.worker}"
                )
                yield Violation(answer.at_s, began.request, detail)


def _is_struck(history: History, silence: FaultBegan, ended_s: float, sent: Sent, began: Began) -> bool:
    """Whether a run was at a silent worker, which recorded its end later. It may have begun right after the silence
    with what reached the worker meanwhile."""
    if worker_name(began.worker) != silence.target:
        return False
    run_ended_s = history.ended_s(began)
    was_there = sent.at_s < ended_s and began.at_s < ended_s + WAKE_S
    return was_there and run_ended_s is not None and run_ended_s > silence.at_s


def silence_cuts_nothing(history: History) -> Cases:
    """What may be repeated gets a whole answer if it is at a worker while that is silent, wherever it runs besides.

    One case for each request, however many silences struck it. Left out is what ends at its caller's deadline or
    was left by its caller, what crashes workers or has lost its key, what ran at a worker that crashed, left or had
    any other fault meanwhile, what a fault on nodes, links or the store was near, and what
    :func:`_is_beyond_the_retry_budget` says.
    """
    others = [(fault, ended_s) for fault, ended_s in history.faults_of_workers() if fault.fault != SILENCE]
    gone_s = history.gone_s()
    taken_s = history.keys_taken_s()
    for request, silence_s in _struck_requests(history).items():
        sent, answer = history.sent.get(request), history.answers.get(request)
        if sent is None or answer is None or sent.kind.at_most_once or not _is_owed(history, sent, answer):
            continue
        if taken_s.get(sent.key, answer.at_s) < answer.at_s:
            continue
        runs = history.began[request]
        if not all(_lived(history, run, sent.at_s, answer.at_s, others, gone_s) for run in runs):
            continue
        if _is_beyond_the_retry_budget(history, sent, answer, runs):
            continue
        if _is_whole(sent, answer):
            yield HELD
        else:
            yield Violation(answer.at_s, request, _shown(sent, answer, runs, silence_s))


def _struck_requests(history: History) -> dict[str, float]:
    """Return each request that was at a worker during a silence of it, with the length of the last such silence."""
    struck: dict[str, float] = {}
    for silence, ended_s in history.silences():
        for began in history.begins:
            sent = history.sent.get(began.request)
            if sent is not None and _is_struck(history, silence, ended_s, sent, began):
                struck[began.request] = ended_s - silence.at_s
    return struck


def _is_owed(history: History, sent: Sent, answer: Answered) -> bool:
    """Whether neither the caller, the request itself nor a fault on nodes, links or the store may have ended it."""
    if sent.request in history.left or sent.content or sent.bad_part or is_at_its_deadline(sent, answer):
        return False
    return history.is_fault_free(sent.at_s, answer.at_s)


def _lived(
    history: History,
    run: Began,
    from_s: float,
    until_s: float,
    others: Iterable[tuple[FaultBegan, float]],
    gone_s: dict[str, float],
) -> bool:
    """Whether a run's worker recorded its end, stayed, and had no fault in a span but silences."""
    if history.ended_s(run) is None or gone_s.get(run.worker, until_s) < until_s:
        return False
    return not any(
        fault.target == worker_name(run.worker) and fault.at_s <= until_s and ended_s >= from_s
        for fault, ended_s in others
    )


def _is_beyond_the_retry_budget(history: History, sent: Sent, answer: Answered, runs: Sequence[Began]) -> bool:
    """Whether a worker sent no answer but other bytes to its only run, and the node may have no retry left for it.

    The silence has no part in such an end. A node that has just started has a small part of its retry budget.
    """
    if len(runs) != 1 or answer.events or (sent.request, runs[0].worker) not in history.sent_broken:
        return False
    return answer.at_s < history.life_begins_s(sent.node, sent.at_s) + RETRY_WINDOW_S


def _is_whole(sent: Sent, answer: Answered) -> bool:
    """Whether a caller has the whole answer of a worker: a success with all events, or the worker's own failure."""
    if not answer.whole or not answer.seal:
        return False
    is_stream = sent.kind.is_stream and 200 <= answer.status < 300
    return not is_stream or sent.resume_after + len(answer.events) >= sent.events


def _shown(sent: Sent, answer: Answered, runs: Iterable[Began], silence_s: float) -> str:
    end = f"{sent.kind.value} ended with {answer.status}"
    if sent.kind.is_stream:
        end += f" after {len(answer.events)} of {sent.events - sent.resume_after} events"
    return f"{end} beside a silence of {silence_s:.2f} s; it ran at {', '.join(run.worker for run in runs)}"
