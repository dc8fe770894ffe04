"""Promises about what a fleet does with workers that leave, callers that left, keys, limits and weights.

Where a promise binds nodes in touch only, spans with a fault on nodes, links or the store are left out, see
:meth:`wallwell.soak.history.History.calm`.
"""

from __future__ import annotations

from collections import defaultdict

from wallwell.soak.history import Began, NodeExited, OrderTaken, Sent, WeightsNamed, WorkerState
from wallwell.soak.schedule import (
    DRAIN_BOUND_S,
    GRACE_S,
    LIMIT_BURST,
    LIMIT_RATE_PER_S,
    LIMITED_KEY,
    REVOKE_S,
    VERSION_S,
)
from wallwell.soak.timeline import History
from wallwell.soak.verdicts import HELD, Cases

CANCEL_S = 0.5
"""Time after a caller's close in which its work ends."""
STILL_WORKED_SHARE = 0.25
LEAST_LEFT = 4
BACK_SLACK_S = 0.25
"""Time after the first effect of a configuration in which an older one may still be seen at the same node."""
GRACE_FRACTION = 5 / 6
DEADLINE_SLACK_S = 0.02
"""How much before its deadline an answer may end because of it: clocks are read at both ends, and timers round."""
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 0.1
LIMIT_SLACK = 8.0
UNKNOWN_KEY = 401


def drained_gets_nothing(history: History) -> Cases:
    """A worker that is draining or gone gets no request later than a bound after the store acknowledged it."""
    leaving: dict[str, float] = {}
    reached: set[str] = set()
    for record in history.records:
        if isinstance(record, WorkerState) and record.state != "ready":
            leaving.setdefault(record.worker, record.at_s)
        elif isinstance(record, WorkerState):
            leaving.pop(record.worker, None)  # An entry that lapsed is back.
        if not isinstance(record, Began) or record.worker not in leaving:
            continue
        since_s = record.at_s - leaving[record.worker]
        if since_s > DRAIN_BOUND_S and history.calm(leaving[record.worker], record.at_s):
            reached.add(record.worker)
            yield record.at_s, record.request, f"reached {record.worker} {since_s:.2f} s after it left"
    for worker, left_s in leaving.items():
        if worker not in reached and history.calm(left_s, left_s + DRAIN_BOUND_S):
            yield HELD


def left_is_cancelled(history: History) -> Cases:
    """When callers have left, workers soon stop what they would still have done for them."""
    at_work = []
    for left in history.left.values():
        if not history.calm(left.at_s, left.at_s + CANCEL_S) or history.sent[left.request].kind.value == "unsafe":
            continue
        for began in history.began.get(left.request, ()):
            if began.at_s < left.at_s and began.would_end_s > left.at_s + CANCEL_S:
                ended_s = history.ended_s(began)
                if ended_s is not None and ended_s > left.at_s:
                    at_work.append((left.at_s, left.request, ended_s - left.at_s))
    late = [each for each in at_work if each[2] > CANCEL_S]
    if len(at_work) < LEAST_LEFT:
        return
    if len(late) <= STILL_WORKED_SHARE * len(at_work):
        yield HELD
    else:
        at_s, request, took_s = late[0]
        yield at_s, request, f"{len(late)} of {len(at_work)} left requests went on, this one {took_s:.2f} s"


def planned_stop_cuts_nothing(history: History) -> Cases:
    """What a node has passed on when it is told to stop, or passes on until it ends, gets its whole answer.

    Left out is what a worker would still be at work on in the last sixth of the time that a planned stop is given,
    and what ends at its caller's deadline.
    """
    for stop, exited_s in history.planned_stops():
        for sent in history.sent.values():
            answer = history.answers.get(sent.request)
            if sent.node != stop.target or answer is None or sent.request in history.left:
                continue
            if not sent.at_s < exited_s or not stop.at_s < answer.at_s:
                continue
            began = history.began.get(sent.request, ())
            if not began or any(each.would_end_s > stop.at_s + GRACE_S * GRACE_FRACTION for each in began):
                continue
            if not history.calm(sent.at_s, answer.at_s, besides=stop):
                continue
            if sent.deadline_s and answer.at_s >= sent.at_s + sent.deadline_s - DEADLINE_SLACK_S:
                continue
            if answer.whole:
                yield HELD
            else:
                yield answer.at_s, sent.request, f"cut with {answer.status} by the stop of {sent.node}"


def revoked_key_unused(history: History) -> Cases:
    """A request sent later than a bound after its key was taken away does not run."""
    taken_s = history.keys_taken_s()
    for sent in history.sent.values():
        if sent.key not in taken_s or sent.at_s <= taken_s[sent.key] + REVOKE_S:
            continue
        if sent.request not in history.began:
            yield HELD
        else:
            late_s = sent.at_s - taken_s[sent.key]
            yield sent.at_s, sent.request, f"ran with {sent.key}, sent {late_s:.2f} s after it was taken away"


def configuration_never_back(history: History) -> Cases:
    """Once a node has shown a configuration, it does not go back to an older one while it lives."""
    taken_s, given_s = history.keys_taken_s(), history.keys_given_s()
    shown_s: dict[str, float] = {}
    lives = _Lives(history)
    for sent in history.sent.values():
        if sent.key in given_s and given_s[sent.key] > 0 and sent.request in history.began:
            life = lives.of(sent)
            shown_s.setdefault(life, history.began[sent.request][0].at_s)
    for sent in history.sent.values():
        life = lives.of(sent)
        if sent.at_s <= shown_s.get(life, float("inf")) + BACK_SLACK_S:
            continue
        if sent.key in taken_s and sent.request in history.began:
            yield sent.at_s, sent.request, f"{life} ran it with {sent.key}, which it knew to be gone"
        elif given_s.get(sent.key, 0) > 0 and _status(history, sent.request) == UNKNOWN_KEY:
            yield sent.at_s, sent.request, f"{life} did not know {sent.key} any more"
        elif sent.key in taken_s or given_s.get(sent.key, 0) > 0:
            yield HELD


class _Lives:
    """Names the life of a node's process that a request was sent to."""

    def __init__(self, history: History) -> None:
        self._ends_s: dict[str, list[float]] = defaultdict(list)
        for record in history.records:
            if isinstance(record, NodeExited):
                self._ends_s[record.node].append(record.at_s)

    def of(self, sent: Sent) -> str:
        """Return the node's name and how many of its lives had ended."""
        return f"{sent.node}/{sum(end_s < sent.at_s for end_s in self._ends_s[sent.node])}"


def _status(history: History, request: str) -> int:
    answer = history.answers.get(request)
    return answer.status if answer is not None else 0


def tenant_limit(history: History) -> Cases:
    """In no window do requests of a tenant run beyond what its limit allows for the whole fleet."""
    times = [
        each.at_s
        for each in history.begins
        if each.request in history.sent and history.sent[each.request].key == LIMITED_KEY
    ]
    allowed = (LIMIT_RATE_PER_S * LIMIT_WINDOW_S + LIMIT_BURST) * (1 + LIMIT_OVERAGE) + LIMIT_SLACK
    for index, at_s in enumerate(times):
        count = sum(at_s <= other < at_s + LIMIT_WINDOW_S for other in times[index:])
        if count <= allowed:
            yield HELD
        else:
            yield at_s, f"tenant-{LIMITED_KEY}", f"{count} requests ran in {LIMIT_WINDOW_S:g} s, {allowed:.0f} may"
            return


def fences_never_lower(history: History) -> Cases:
    """Two nodes never order with one fence, and a worker gets no lower fence after a higher one."""
    holders: dict[int, str] = {}
    highest: dict[str, int] = defaultdict(int)
    for record in history.records:
        if not isinstance(record, OrderTaken):
            continue
        holder = holders.setdefault(record.fence, record.holder)
        if holder != record.holder:
            yield record.at_s, record.worker, f"fence {record.fence} of {holder} and of {record.holder}"
        elif record.fence < highest[record.worker] and history.calm(record.at_s, record.at_s):
            yield record.at_s, record.worker, f"fence {record.fence} after {highest[record.worker]}"
        else:
            yield HELD
        highest[record.worker] = max(highest[record.worker], record.fence)


def weights_in_time(history: History) -> Cases:
    """A request that is sent later than a bound after weights were named does not begin on older ones."""
    named = [each for each in history.records if isinstance(each, WeightsNamed)]
    for sent in history.sent.values():
        wanted = [each for each in named if each.at_s + VERSION_S < sent.at_s]
        if not wanted or not sent.kind.is_stream or not history.calm(wanted[-1].at_s, sent.at_s):
            continue
        for began in history.began.get(sent.request, ()):
            if began.weights >= wanted[-1].version:
                yield HELD
            else:
                late_s = sent.at_s - wanted[-1].at_s
                yield (
                    began.at_s,
                    sent.request,
                    f"on {began.weights}, {late_s:.1f} s after {wanted[-1].version}",
                )
