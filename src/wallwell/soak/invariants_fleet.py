"""Invariants about what a fleet does with workers that leave, callers that left, keys, limits and weights.

Those with a time bound leave out spans with a fault on nodes, links or the store, see
:meth:`wallwell.soak.timeline.History.is_fault_free`.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator

from wallwell.soak.cases import HELD, Cases, Violation
from wallwell.soak.history import (
    Answered,
    FaultBegan,
    Left,
    NodeExited,
    OrderTaken,
    RequestKind,
    Sent,
    WeightsNamed,
    WorkerState,
)
from wallwell.soak.invariants_requests import is_at_its_deadline
from wallwell.soak.schedule import (
    CONFIGURATION_S,
    DRAIN_BOUND_S,
    GRACE_S,
    LIMIT_BURST,
    LIMIT_RATE_PER_S,
    LIMITED_KEY,
    REVOKE_S,
    VERSION_S,
)
from wallwell.soak.timeline import History, worker_name

READY_STATE = "ready"
"""State of a worker that takes requests, see :class:`WorkerState`."""
CANCEL_S = 0.5
"""Seconds after a caller's close in which its work ends."""
STILL_WORKED_FRACTION = 0.25
"""Fraction of such work that may go on."""
LEAST_LEFT = 4
"""Requests left while they ran below which that fraction says nothing."""
BACK_SLACK_S = 0.25
"""Seconds after the first effect of a configuration in which an older one may still be seen at the same node:
records of callers and workers are written at different moments."""
GRACE_FRACTION = 5 / 6
"""What still runs in the last sixth of the time that a planned stop is given may be cut."""
LIMIT_WINDOW_S = 4.0
"""Window in which a tenant's requests are counted: several times what nodes need to hear of each other."""
LIMIT_OVERAGE = 0.1
"""Fraction beyond the limit that nodes may allow, since each learns late what the others have spent."""
LIMIT_SLACK = 8.0
"""Requests beyond that."""
UNKNOWN_KEY = 401
"""Status of a request whose key the node does not know."""


def drained_gets_nothing(history: History) -> Cases:
    """A worker that is draining or gone gets no request later than a bound after the store acknowledged it."""
    for worker, from_s, until_s in _absences(history):
        reached = [
            began
            for began in history.begins
            if began.worker == worker
            and from_s + DRAIN_BOUND_S < began.at_s < until_s
            and history.is_fault_free(from_s, began.at_s)
        ]
        for began in reached:
            detail = f"reached {worker} {began.at_s - from_s:.2f} s after it left"
            yield Violation(began.at_s, began.request, detail)
        lasted = until_s - from_s > DRAIN_BOUND_S
        if lasted and not reached and history.is_fault_free(from_s, from_s + DRAIN_BOUND_S):
            yield HELD


def _absences(history: History) -> Iterator[tuple[str, float, float]]:
    """Yield the times in which a worker was listed as draining or not at all; an entry that lapsed may be back."""
    left_s: dict[str, float] = {}
    for record in history.records:
        if not isinstance(record, WorkerState):
            continue
        if record.state != READY_STATE:
            left_s.setdefault(record.worker, record.at_s)
        elif record.worker in left_s:
            yield record.worker, left_s.pop(record.worker), record.at_s
    for worker, at_s in left_s.items():
        yield worker, at_s, math.inf


def left_stays_left(history: History) -> Cases:
    """A worker that has left, as nodes knew, gets nothing from them because a copy of the store lists it again."""
    lives = _Lives(history)
    for worker, from_s, until_s in _absences(history):
        for restore in history.restores():
            known_s = from_s + DRAIN_BOUND_S
            if not (known_s < restore.at_s < until_s and history.is_fault_free(from_s, known_s)):
                continue
            reached = [
                (began, history.sent[began.request])
                for began in history.begins
                if began.worker == worker and restore.at_s < began.at_s < until_s and began.request in history.sent
            ]
            broken = [(began, sent) for began, sent in reached if lives.at(sent.node, known_s) == lives.of(sent)]
            for began, sent in broken:
                detail = (
                    f"reached {worker} from {sent.node} after a restore, {began.at_s - from_s:.2f} s after it left"
                )
                yield Violation(began.at_s, began.request, detail)
            if not broken:
                yield HELD


def left_is_cancelled(history: History) -> Cases:
    """When callers have left, workers soon stop what they would still have done for them."""
    at_work = list(_work_after_leaving(history))
    late = [each for each in at_work if each[1] > CANCEL_S]
    if len(at_work) < LEAST_LEFT:
        return
    if len(late) <= STILL_WORKED_FRACTION * len(at_work):
        yield HELD
    else:
        left, took_s = late[0]
        detail = f"{len(late)} of {len(at_work)} left requests went on, this one {took_s:.2f} s"
        yield Violation(left.at_s, left.request, detail)


def _work_after_leaving(history: History) -> Iterator[tuple[Left, float]]:
    """Yield each run that went on when its caller left, and for how long. Unsafe calls are never cancelled, and a
    worker that stands still cannot stop anything."""
    silences = history.silences()
    for left in history.left.values():
        if history.sent[left.request].kind is RequestKind.UNSAFE:
            continue
        if not history.is_fault_free(left.at_s, left.at_s + CANCEL_S):
            continue
        for began in history.began.get(left.request, ()):
            ended_s = history.ended_s(began)
            would_go_on = began.at_s < left.at_s and began.would_end_s > left.at_s + CANCEL_S
            stood_still = any(
                worker_name(began.worker) == silence.target
                and silence.at_s <= left.at_s + CANCEL_S
                and silence_ended_s >= left.at_s
                for silence, silence_ended_s in silences
            )
            if would_go_on and not stood_still and ended_s is not None and ended_s > left.at_s:
                yield left, ended_s - left.at_s


def planned_stop_cuts_nothing(history: History) -> Cases:
    """What a node has passed on when its planned stop begins, or passes on until it ends, gets its whole answer.

    Left out is what a worker would still be at work on in the last sixth of the time that a planned stop is given,
    what ends at its caller's deadline, what a worker did not end since it crashed, and what was on its way from a
    worker that was killed.
    """
    for stop, exited_s in history.planned_stops():
        for sent in history.sent.values():
            answer = history.answers.get(sent.request)
            if answer is None or not _must_be_whole(history, stop, exited_s, sent, answer):
                continue
            if answer.whole:
                yield HELD
            else:
                detail = f"cut with {answer.status} by the stop of {sent.node}"
                yield Violation(answer.at_s, sent.request, detail)


def _must_be_whole(history: History, stop: FaultBegan, exited_s: float, sent: Sent, answer: Answered) -> bool:
    if sent.node != stop.target or sent.request in history.left:
        return False
    in_flight = sent.at_s < exited_s and stop.at_s < answer.at_s
    if not in_flight or not history.is_fault_free(sent.at_s, answer.at_s, besides=stop):
        return False
    if is_at_its_deadline(sent, answer):
        return False
    began = history.began.get(sent.request, ())
    if any(history.ended_s(each) is None for each in began):
        return False  # A worker records an end whenever its connection is closed, so it ended itself.
    if any(history.is_killed(each, answer.at_s) for each in began):
        return False
    ends_in_time = all(each.would_end_s <= stop.at_s + GRACE_S * GRACE_FRACTION for each in began)
    return bool(began) and ends_in_time


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
            detail = f"ran with {sent.key}, sent {late_s:.2f} s after it was taken away"
            yield Violation(sent.at_s, sent.request, detail)


def configuration_in_time(history: History) -> Cases:
    """A key that has come into force is known at each node after a bound, also after a restore of the store."""
    given_s = history.keys_given_s()
    for sent in history.sent.values():
        at_s = given_s.get(sent.key, 0.0)
        if not at_s or sent.at_s <= at_s + CONFIGURATION_S:
            continue
        if not history.is_fault_free(sent.at_s - CONFIGURATION_S, sent.at_s):
            continue
        if _status(history, sent.request) == UNKNOWN_KEY:
            detail = f"{sent.node} did not know {sent.key}, {sent.at_s - at_s:.2f} s after it came into force"
            yield Violation(sent.at_s, sent.request, detail)
        else:
            yield HELD


def configuration_never_back(history: History) -> Cases:
    """Once a node has shown a configuration, it does not go back to an older one while it lives."""
    taken_s = history.keys_taken_s()
    new_keys = {key for key, given_s in history.keys_given_s().items() if given_s > 0}
    lives = _Lives(history)
    shown_s = _first_shown_s(history, new_keys, lives)
    for sent in history.sent.values():
        life = lives.of(sent)
        if sent.at_s <= shown_s.get(life, float("inf")) + BACK_SLACK_S:
            continue
        if sent.key in taken_s and sent.request in history.began:
            detail = f"{life} ran it with {sent.key}, which it knew to be gone"
            yield Violation(sent.at_s, sent.request, detail)
        elif sent.key in new_keys and _status(history, sent.request) == UNKNOWN_KEY:
            yield Violation(sent.at_s, sent.request, f"{life} did not know {sent.key} any more")
        elif sent.key in taken_s or sent.key in new_keys:
            yield HELD


def _first_shown_s(history: History, new_keys: set[str], lives: _Lives) -> dict[str, float]:
    """Return when each life of a node first let a request with a new key run."""
    shown_s: dict[str, float] = {}
    for sent in history.sent.values():
        if sent.key in new_keys and sent.request in history.began:
            shown_s.setdefault(lives.of(sent), history.began[sent.request][0].at_s)
    return shown_s


class _Lives:
    """Names the life of a node's process that a request was sent to."""

    def __init__(self, history: History) -> None:
        self._ends_s: dict[str, list[float]] = defaultdict(list)
        for record in history.records:
            if isinstance(record, NodeExited):
                self._ends_s[record.node].append(record.at_s)

    def of(self, sent: Sent) -> str:
        """Return the node's name and how many of its lives had ended."""
        return self.at(sent.node, sent.at_s)

    def at(self, node: str, at_s: float) -> str:
        """Return the same of a node at a time."""
        return f"{node}/{sum(end_s < at_s for end_s in self._ends_s[node])}"


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
            detail = f"{count} requests ran in {LIMIT_WINDOW_S:g} s, {allowed:.0f} may"
            yield Violation(at_s, f"tenant-{LIMITED_KEY}", detail)
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
            yield Violation(record.at_s, record.worker, f"fence {record.fence} of {holder} and of {record.holder}")
        elif record.fence < highest[record.worker] and history.is_fault_free(record.at_s, record.at_s):
            yield Violation(record.at_s, record.worker, f"fence {record.fence} after {highest[record.worker]}")
        else:
            yield HELD
        highest[record.worker] = max(highest[record.worker], record.fence)


def weights_in_time(history: History) -> Cases:
    """A request that is sent later than a bound after weights were named does not begin on older ones."""
    named = [each for each in history.records if isinstance(each, WeightsNamed)]
    for sent in history.sent.values():
        wanted = [each for each in named if each.at_s + VERSION_S < sent.at_s]
        if not wanted or not sent.kind.is_stream or not history.is_fault_free(wanted[-1].at_s, sent.at_s):
            continue
        for began in history.began.get(sent.request, ()):
            if began.weights >= wanted[-1].version:
                yield HELD
            else:
                late_s = sent.at_s - wanted[-1].at_s
                yield Violation(
                    began.at_s, sent.request, f"on {began.weights}, {late_s:.1f} s after {wanted[-1].version}"
                )
