"""Invariants about single requests, about recovery, and about router processes that must not end by themselves.

They hold at any time, faults or none, but for :func:`crashes_few`.
"""

from __future__ import annotations

import signal
from collections.abc import Iterator, Sequence

from wallwell.soak.broken_answers import BROKEN_SEAL
from wallwell.soak.cases import HELD, Cases, Violation
from wallwell.soak.history import (
    Answered,
    Began,
    Ended,
    FaultBegan,
    FaultEnded,
    NodeExited,
    Sent,
    SentAgain,
    SentBroken,
)
from wallwell.soak.lost_crashes import is_forgotten
from wallwell.soak.schedule import RECOVERY_S, FaultKind
from wallwell.soak.timeline import CONTACT_S, History

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses by which a router states that a request has not run and never will."""
SUCCESS_STATUS = 200
"""Status of a worker's success in a run."""
DEADLINE_SLACK_S = 0.02
"""Seconds before its deadline in which an answer may end because of it: clocks are read at both ends, and timers
round."""
LEAST_SERVED_SHARE = 0.25
"""Fraction of requests that a fleet which has recovered serves at least: one tenant asks for more than its limit,
and engines are full at times."""
CRASHES_TO_QUARANTINE = 3
"""Crashed workers after which routers send a request to no other."""
LATER_CRASHES = 3
"""Workers that a request may crash later than the time of contact after the third: what nodes send before they
know."""
CRASH_SEEN_S = 1.0
"""Seconds in which a node that lives tells of a crash: the worker's end, some probes of its address, the write."""
LEAST_REQUESTS = 8
"""Requests below which a fraction served says nothing."""


def own_answer_whole(history: History) -> Cases:
    """A success is the whole answer of a worker that ran this request, and nothing of another."""
    for answer in history.answers.values():
        if not 200 <= answer.status < 300:
            continue
        seals = {f"seal-{began.worker}" for began in history.began.get(answer.request, ())}
        if not answer.own:
            yield Violation(answer.at_s, answer.request, "bytes of another request")
        elif answer.seal not in seals:
            yield Violation(
                answer.at_s, answer.request, f"sealed {answer.seal or 'by nobody'}; it ran at {sorted(seals)}"
            )
        else:
            yield HELD


def at_most_once(history: History) -> Cases:
    """A request of a kind that must not run twice runs once at most."""
    for request, began in history.began.items():
        sent = history.sent.get(request)
        if sent is None or not sent.kind.at_most_once:
            continue
        if len(began) == 1:
            yield HELD
        else:
            workers = ", ".join(each.worker for each in began)
            yield Violation(began[1].at_s, request, f"{sent.kind.value} ran {len(began)} times: {workers}")


def only_asked(history: History) -> Cases:
    """A worker runs only requests that a caller sent."""
    for request, began in history.began.items():
        if request in history.sent:
            yield HELD
        else:
            yield Violation(began[0].at_s, request, f"ran at {began[0].worker}, nobody sent it")


def refused_not_run(history: History) -> Cases:
    """A request of a kind that must not run twice and was refused has not run and never will."""
    for answer in history.answers.values():
        if answer.status not in NOT_RUN_STATUSES:
            continue
        if not history.sent[answer.request].kind.at_most_once:
            continue
        began = history.began.get(answer.request)
        if not began:
            yield HELD
        else:
            yield Violation(
                answer.at_s, answer.request, f"refused with {answer.status}, but {began[0].worker} ran it"
            )


def second_answers_end_nothing(history: History) -> Cases:
    """The success of a worker that had rejected the request before, and rejects it twice, reaches the caller,
    if the request must not run twice and no fault is near."""
    rejected_twice = {
        (copy.request, copy.worker)
        for copy in history.records
        if isinstance(copy, SentAgain) and copy.status in NOT_RUN_STATUSES
    }
    for ended in history.records:
        if not isinstance(ended, Ended) or ended.status != SUCCESS_STATUS:
            continue
        if (ended.request, ended.worker) not in rejected_twice:
            continue
        answer = _owed_answer(history, ended.request)
        if answer is None:
            continue
        if answer.status == SUCCESS_STATUS:
            yield HELD
        else:
            yield Violation(answer.at_s, ended.request, f"ended with {answer.status}; {ended.worker} answered it")


def broken_answers_reach_nobody(history: History) -> Cases:
    """What a worker sent and is no answer does not reach the caller."""
    for broken in history.records:
        if not isinstance(broken, SentBroken) or broken.request not in history.answers:
            continue
        answer = history.answers[broken.request]
        if answer.seal == BROKEN_SEAL:
            yield Violation(answer.at_s, broken.request, f"got form {broken.form} of {broken.worker}")
        else:
            yield HELD


def _owed_answer(history: History, request: str) -> Answered | None:
    """Return the answer to a request that must not run twice; None if there is none, or if a fault or the caller's
    deadline may have ended it."""
    sent = history.sent.get(request)
    if sent is None or not sent.kind.at_most_once:
        return None
    answer = history.undisturbed_answer(sent)
    return None if answer is None or is_at_its_deadline(sent, answer) else answer


def stream_order(history: History) -> Cases:
    """Events of a stream come one after the other from the first; a stream that ends as complete has all."""
    for answer in history.answers.values():
        sent = history.sent[answer.request]
        if not sent.kind.is_stream or not 200 <= answer.status < 300:
            continue
        received = sent.resume_after + len(answer.events)
        if answer.events != tuple(range(sent.resume_after + 1, received + 1)):
            yield Violation(answer.at_s, answer.request, f"events {_shown(answer.events, sent.resume_after)}")
        elif answer.whole and received < sent.events:
            yield Violation(answer.at_s, answer.request, f"complete after {received} of {sent.events} events")
        else:
            yield HELD


def _shown(events: tuple[int, ...], resume_after: int) -> str:
    first = next(index for index, number in enumerate(events) if number != resume_after + index + 1)
    return f"{events[max(0, first - 2) : first + 2]} at place {first + 1}"


def crashes_few(history: History) -> Cases:
    """A request that has crashed three workers soon gets no more of them, whatever its ids and nodes.

    A crash counts among the three if the node that had sent the request lived to see it, unless it was lost with
    all nodes and the store.
    """
    by_content: dict[str, list[Began]] = {}
    for began in history.begins:
        sent = history.sent.get(began.request)
        if sent is not None and sent.content:
            by_content.setdefault(sent.content, []).append(began)
    for content, runs in by_content.items():
        seen = [run for run in runs if not ended_before_it_saw(history, run) and not is_forgotten(history, run)]
        if len(seen) < CRASHES_TO_QUARANTINE:
            continue
        known_s = seen[CRASHES_TO_QUARANTINE - 1].at_s
        later = [
            run for run in runs if run.at_s > known_s + CONTACT_S and history.is_fault_free(run.at_s, run.at_s)
        ]
        if len(later) <= LATER_CRASHES:
            yield HELD
        else:
            yield Violation(later[0].at_s, content, f"crashed {len(runs)} workers, {len(later)} of them late")


def ended_before_it_saw(history: History, run: Began) -> bool:
    """Whether the node that sent a request which crashes its worker ended before it can have told of the crash."""
    node = history.sent[run.request].node
    return any(
        isinstance(each, NodeExited) and each.node == node and run.at_s <= each.at_s < run.at_s + CRASH_SEEN_S
        for each in history.records
    )


def is_at_its_deadline(sent: Sent, answer: Answered) -> bool:
    """Whether a request ended when its caller's time ended."""
    return bool(sent.deadline_s) and answer.at_s >= sent.at_s + sent.deadline_s - DEADLINE_SLACK_S


def recovers(history: History) -> Cases:
    """After all nodes were killed and started again, requests are served again within a bound."""
    for from_s, until_s in _spans_after_recovery(history):
        asked = [sent for sent in history.sent.values() if from_s <= sent.at_s < until_s]
        answers = [history.answers[sent.request] for sent in asked if sent.request in history.answers]
        yield from check_served(answers, from_s, "fleet")


def check_served(answers: Sequence[Answered], at_s: float, subject: str) -> Cases:
    """Enough of the answers to requests that came ``RECOVERY_S`` after a start or later are whole successes."""
    if len(answers) < LEAST_REQUESTS:
        return
    served = sum(200 <= answer.status < 300 and answer.whole for answer in answers)
    if served >= LEAST_SERVED_SHARE * len(answers):
        yield HELD
    else:
        detail = f"{served} of {len(answers)} served later than {RECOVERY_S:g} s after the start"
        yield Violation(at_s, subject, detail)


def _spans_after_recovery(history: History) -> Iterator[tuple[float, float]]:
    """Yield spans in which a fleet has recovered from the end of all nodes: until the next fault or the end."""
    starts_s = [each.at_s for each in history.records if isinstance(each, FaultBegan)]
    for record in history.records:
        if isinstance(record, FaultEnded) and record.fault == FaultKind.KILL_ALL_NODES.value:
            until_s = min((at_s for at_s in starts_s if at_s > record.at_s), default=history.end_s)
            yield record.at_s + RECOVERY_S, until_s


def nodes_stay(history: History) -> Cases:
    """A router process ends only when the run stops it, and then with status 0.

    One whose interpreter has not read its first module yet has no handler, and the signal's own action ends it.
    """
    for record in history.records:
        if not isinstance(record, NodeExited):
            continue
        if not record.asked:
            yield Violation(record.at_s, record.node, f"ended by itself with status {record.status}")
        elif record.status == -signal.SIGTERM and record.asked == "SIGTERM" and not record.had_handler:
            yield HELD
        elif record.asked.startswith("SIGTERM") and record.status != 0:
            yield Violation(record.at_s, record.node, f"ended with status {record.status} after {record.asked}")
        else:
            yield HELD
