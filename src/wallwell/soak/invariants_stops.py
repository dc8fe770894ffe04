"""What a planned stop of a node may do to the requests that this node took from callers. Pure.

A stop lasts from SIGTERM until a second after the grace time. Other planned work excuses nothing; an unplanned
fault on nodes, links or the store near a request does, see :meth:`wallwell.soak.timeline.History.is_undisrupted`.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from wallwell.soak.cases import HELD, Cases, Violation
from wallwell.soak.history import Answered, Sent, StopRequested
from wallwell.soak.invariants_requests import NOT_RUN_STATUSES, is_at_its_deadline
from wallwell.soak.timeline import History

SENT_LATE_S = 3.0
"""Seconds after SIGTERM until which a request may be sent that is cut while its worker is at work at the end."""
STILL_AT_WORK_FRACTION = 5 / 6
"""Fraction of the grace time after which such a request may be cut."""
UNANSWERED_S = 0.2
"""Seconds after its last byte in which a request that was not passed on may go unanswered (``loss_slack_ms``)."""
AT_WORK_SLACK_S = 0.05
"""Seconds before an answer's end in which its worker may have ended because of it: it may learn of it first."""
AFTER_GRACE_S = 1.0
"""Seconds after the grace time in which an end still belongs to the stop."""


def stop_cuts_only_excused(history: History) -> Cases:
    """What a node took from callers and read whole gets a whole answer around its planned stop.

    That holds once it was passed on to a worker, or if it has gone unanswered for a while. A refusal is a whole
    answer, and the request has not run then. Left out is what a worker broke off, and what one was still at work on
    as the grace time ended, see :func:`_is_at_work_at_the_end`.
    """
    for stop, exited_s in history.requested_stops():
        for sent, answer in _around(history, stop, exited_s):
            if not _is_owed(history, sent, answer):
                continue
            if not answer.whole and not _is_excused(history, stop, sent, answer):
                yield Violation(answer.at_s, sent.request, _shown(history, stop, sent, answer))
            elif answer.whole and _is_refused_though_it_ran(history, sent, answer):
                yield Violation(answer.at_s, sent.request, f"refused with {answer.status}, but it ran")
            elif answer.whole:
                yield HELD


def count_around_stops(history: History) -> dict[str, int]:
    """Return how many requests met planned stops, and how: a stop that met none shows nothing."""
    counts = dict.fromkeys(
        (
            "stops",
            "requests begun after a SIGTERM",
            "answers ended while connections close",
            "refused after a SIGTERM",
            "broken off by their workers",
            "cut at work at the end",
        ),
        0,
    )
    for stop, exited_s in history.requested_stops():
        counts["stops"] += 1
        for sent, answer in _around(history, stop, exited_s):
            is_after = sent.at_s > stop.at_s
            has_begun = any(began.at_s > stop.at_s for began in history.began.get(sent.request, ()))
            is_cut = not answer.whole and _is_owed(history, sent, answer)
            counts["requests begun after a SIGTERM"] += is_after and has_begun
            counts["answers ended while connections close"] += answer.kept and answer.whole and not is_after
            counts["refused after a SIGTERM"] += is_after and answer.status in NOT_RUN_STATUSES
            is_broken_off = is_cut and _broke_off(history, sent, answer)
            counts["broken off by their workers"] += is_broken_off
            is_late = is_cut and not is_broken_off
            counts["cut at work at the end"] += is_late and _is_at_work_at_the_end(history, stop, sent, answer)
    return counts


def _around(history: History, stop: StopRequested, exited_s: float) -> Iterator[tuple[Sent, Answered]]:
    """Yield the node's requests that ended in a stop, and were sent before its process had ended."""
    until_s = stop.at_s + stop.grace_s + AFTER_GRACE_S
    for sent in history.sent.values():
        answer = history.answers.get(sent.request)
        if answer is None or sent.node != stop.node or sent.at_s >= exited_s:
            continue
        if stop.at_s <= answer.at_s <= until_s:
            yield sent, answer


def _is_owed(history: History, sent: Sent, answer: Answered) -> bool:
    """Whether a whole request has begun or gone unanswered, and neither its caller nor its deadline nor an
    unplanned fault may have ended it. One that waited for an answer which was cut counts only if it has begun."""
    if sent.request in history.left or is_at_its_deadline(sent, answer):
        return False
    if sent.content or sent.bad_part or not history.is_undisrupted(sent.at_s, answer.at_s):
        return False
    if history.whole_s(sent) is None:
        return False
    return answer.whole or sent.request in history.began or _is_unanswered(history, sent, answer)


def _is_unanswered(history: History, sent: Sent, answer: Answered) -> bool:
    whole_s = history.whole_s(sent)
    before = history.answers.get(sent.behind)
    is_next = before is None or before.whole
    return is_next and whole_s is not None and answer.at_s > whole_s + UNANSWERED_S


def _is_excused(history: History, stop: StopRequested, sent: Sent, answer: Answered) -> bool:
    return _broke_off(history, sent, answer) or _is_at_work_at_the_end(history, stop, sent, answer)


def _is_at_work_at_the_end(history: History, stop: StopRequested, sent: Sent, answer: Answered) -> bool:
    """Whether a worker was still at work in the last sixth of the grace time on a request that was sent in time."""
    whole_s = history.whole_s(sent)
    in_time = whole_s is not None and whole_s <= stop.at_s + SENT_LATE_S
    runs = history.began.get(sent.request, ())
    work_until_s = max((history.ended_s(run) or 0.0 for run in runs), default=0.0)
    last_sixth_s = stop.at_s + stop.grace_s * STILL_AT_WORK_FRACTION
    return in_time and work_until_s >= last_sixth_s and answer.at_s >= last_sixth_s


def _broke_off(history: History, sent: Sent, answer: Answered) -> bool:
    """Whether the last worker broke the request off, or one before it did and none was at work to the end.

    A worker that the router has left for the last one may record its begin and its end late, if it stands still.
    """
    gone_s = history.gone_s()
    runs = [run for run in history.began.get(sent.request, ()) if run.at_s <= answer.at_s]
    broken_off = [
        run
        for run in runs
        if history.ended_s(run) is None  # A worker records an end unless it was killed before.
        or gone_s.get(run.worker, math.inf) <= answer.at_s
        or history.is_killed(run, answer.at_s)
    ]
    if not broken_off or runs[-1] in broken_off:
        return bool(broken_off)
    at_work_s = max((history.ended_s(run) or 0.0 for run in runs if run not in broken_off), default=0.0)
    return at_work_s < answer.at_s - AT_WORK_SLACK_S


def _is_refused_though_it_ran(history: History, sent: Sent, answer: Answered) -> bool:
    """Whether a refusal is untrue; what may be repeated may have been refused later elsewhere."""
    return answer.status in NOT_RUN_STATUSES and sent.kind.at_most_once and sent.request in history.began


def _shown(history: History, stop: StopRequested, sent: Sent, answer: Answered) -> str:
    whole_s = history.whole_s(sent)
    text = f"{sent.kind.value} cut with {answer.status} {answer.at_s - stop.at_s:.2f} s after a SIGTERM"
    text += f" of {sent.node}; sent at {sent.at_s - stop.at_s:.2f} s"
    if whole_s is not None and whole_s != sent.at_s:
        text += f", whole at {whole_s - stop.at_s:.2f} s"
    for run in history.began.get(sent.request, ()):
        ended_s = history.ended_s(run)
        until = f"{ended_s - stop.at_s:.2f} s" if ended_s is not None else "its crash"
        text += f"; ran at {run.worker} from {run.at_s - stop.at_s:.2f} s until {until}"
    return text
