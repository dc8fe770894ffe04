"""Invariants about routers beside odd rows of another writer: such a row costs that row alone.

All are checked in runs that have such rows, and in no others. The bounds are those that hold without them.
"""

from __future__ import annotations

from collections.abc import Iterator

from wallwell.soak.cases import HELD, Cases, Violation
from wallwell.soak.configuration import ORDERS
from wallwell.soak.history import (
    Arrived,
    Began,
    KeysInForce,
    NodeExited,
    NodeReady,
    NodeStarted,
    OddRowWritten,
    RouterLogged,
    WorkerState,
)
from wallwell.soak.invariants_fleet import READY_STATE
from wallwell.soak.invariants_requests import check_served
from wallwell.soak.schedule import LIMITED_KEY, RECOVERY_S
from wallwell.soak.timeline import CONTACT_S, History, worker_name

INTERNAL_ERROR_STATUS = 500
"""Status of an answer that a router makes when something unexpected happens in it."""
REQUESTS_A_WORKER = 12
"""Calls for each worker of the service among which each worker gets one: the choice between equal ones is drawn."""


def starts_beside_odd_rows(history: History) -> Cases:
    """A router that starts while the store answers is ready within the time of a start without odd rows."""
    written_s = min((each.at_s for each in history.records if isinstance(each, OddRowWritten)), default=None)
    for start in history.records:
        if not isinstance(start, NodeStarted) or written_s is None or written_s > start.at_s:
            continue
        bound_s = start.at_s + RECOVERY_S
        ready_s = _next_s(history, NodeReady, start)
        ended_s = min(_next_s(history, NodeExited, start), history.end_s)
        if not history.is_start_undisturbed(start.node, start.at_s, min(ready_s, bound_s)):
            continue
        if ready_s <= min(bound_s, ended_s):
            yield HELD
        elif ended_s > bound_s:
            after = f"after {ready_s - start.at_s:.1f} s" if ready_s < ended_s else "in its life"
            yield Violation(bound_s, start.node, f"not ready {RECOVERY_S:g} s after its start; ready {after}")


def _is_owed(history: History, key: str) -> bool:
    """Whether a key is in every configuration, and its tenant does not ask beyond its limit."""
    in_force = [each.keys for each in history.records if isinstance(each, KeysInForce)]
    return key != LIMITED_KEY and all(key in keys for keys in in_force)


def _next_s(history: History, kind: type[NodeReady | NodeExited], start: NodeStarted) -> float:
    """Return when the next record of a kind comes for a node that started, infinity if none does."""
    later = (
        each.at_s
        for each in history.records
        if isinstance(each, kind) and each.node == start.node and each.at_s >= start.at_s
    )
    return next(later, float("inf"))


def nodes_serve_beside_odd_rows(history: History) -> Cases:
    """Each router serves requests once it has had the time that a fleet has to recover.

    Judged are requests with keys that no configuration takes away, and of tenants that keep to their limits.
    """
    if not _has_odd_rows(history):
        return
    owed = {sent.key for sent in history.sent.values() if _is_owed(history, sent.key)}
    for start in history.records:
        if not isinstance(start, NodeStarted):
            continue
        until_s = _next_s(history, NodeExited, start)
        answers = [
            answer
            for sent in history.sent.values()
            if sent.node == start.node
            and sent.key in owed
            and start.at_s + RECOVERY_S <= sent.at_s < until_s
            and (answer := history.undisturbed_answer(sent)) is not None
        ]
        yield from check_served(answers, start.at_s + RECOVERY_S, start.node)


def workers_serve_beside_odd_rows(history: History) -> Cases:
    """A sound worker of calls that is listed gets one of the next calls, once nodes must know it; no fault is near.

    Engines are not judged: streams go where parts of their prompts are, so a sound engine may get none for a while.
    """
    if not _has_odd_rows(history):
        return
    reached = _calls_reached(history)
    listings = [(listed, gone_s) for listed, gone_s in _listings(history) if listed.service == ORDERS]
    for listed, gone_s in listings:
        for quiet_from_s, quiet_until_s in history.quiet_spans(RECOVERY_S):
            from_s, until_s = _sound_span(history, listed, max(quiet_from_s, listed.at_s + CONTACT_S))
            until_s = min(until_s, quiet_until_s, gone_s)
            ready = sum(each.at_s <= from_s < until_s for each, until_s in listings)
            needed = REQUESTS_A_WORKER * ready
            near = [each for each in reached if from_s <= each.at_s < until_s][:needed]
            if not ready or len(near) < needed:
                continue
            if any(each.worker == listed.worker for each in near):
                yield HELD
            else:
                detail = f"got none of {len(near)} calls from {from_s - listed.at_s:.1f} s after it was listed"
                yield Violation(near[-1].at_s, listed.worker, detail)


def _calls_reached(history: History) -> list[Began | Arrived]:
    """Return the calls that reached workers, whether they ran them or not, by their times."""
    return [each for each in history.records if isinstance(each, Began | Arrived) and each.service == ORDERS]


def _listings(history: History) -> Iterator[tuple[WorkerState, float]]:
    """Yield each time from which a worker is listed as ready, with its end."""
    open_listings: dict[str, WorkerState] = {}
    for record in history.records:
        if not isinstance(record, WorkerState):
            continue
        if record.state == READY_STATE:
            open_listings.setdefault(record.worker, record)
        elif record.worker in open_listings:
            yield open_listings.pop(record.worker), record.at_s
    for listed in open_listings.values():
        yield listed, history.end_s


def _sound_span(history: History, listed: WorkerState, from_s: float) -> tuple[float, float]:
    """Return the first span from a time in which a worker has no fault."""
    spans_s = [
        (fault.at_s, ended_s + CONTACT_S)
        for fault, ended_s in history.faults_of_workers()
        if fault.target == worker_name(listed.worker)
    ]
    for begin_s, end_s in sorted(spans_s):
        if begin_s > from_s:
            return from_s, begin_s
        from_s = max(from_s, end_s)
    return from_s, float("inf")


def no_fault_beside_odd_rows(history: History) -> Cases:
    """No router answers with an internal error or logs one, whatever the rows hold.

    A case for each router that was started, and one for each answer.
    """
    if not _has_odd_rows(history):
        return
    for node in sorted({each.node for each in history.records if isinstance(each, NodeStarted)}):
        logged = [each for each in history.records if isinstance(each, RouterLogged) and each.node == node]
        if not logged:
            yield HELD
        for each in logged:
            yield Violation(each.at_s, node, f"logged {each.event or 'no event'}: {each.detail}")
    for answer in history.answers.values():
        if answer.status == INTERNAL_ERROR_STATUS and not answer.seal:
            yield Violation(answer.at_s, answer.request, "answered 500 by the router")
        else:
            yield HELD


def _has_odd_rows(history: History) -> bool:
    return any(isinstance(each, OddRowWritten) for each in history.records)
