"""Invariants about what workers state about themselves in their answers: that they leave, want no requests, or how
many they take.

The first two bind one node at a time, the third all of them together, by what each node has read itself. A node
that has ended, stood still or had a link harmed since then is left out.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from http import HTTPStatus

from wallwell.soak.cases import HELD, Cases, Violation
from wallwell.soak.history import Arrived, Began, LeavingStated, LimitStated
from wallwell.soak.schedule import (
    BACKOFF_SLACK_S,
    DRAIN_BOUND_S,
    LATE_REQUESTS,
    LIMIT_CONTACT_S,
    LIMIT_EXTRA,
    LIMIT_FACTOR,
    LIMIT_KNOWN_S,
    LIMIT_WINDOW_S,
)
from wallwell.soak.timeline import History


def announced_gets_nothing(history: History) -> Cases:
    """A worker gets no request that was sent to a node later than a bound after that node passed on its answer
    saying that it leaves."""
    arrivals = list(_arrivals(history))
    for (worker, node), passed_on_s in _leaving_known_s(history).items():
        from_s, until_s = passed_on_s + DRAIN_BOUND_S, history.life_ends_s(node, passed_on_s)
        requests = {
            sent.request: sent.at_s
            for sent in history.sent.values()
            if sent.node == node and from_s < sent.at_s < until_s
        }
        reached = [each for each in arrivals if each.worker == worker and each.request in requests]
        if reached:
            since_s = requests[reached[0].request] - passed_on_s
            detail = f"sent {since_s:.2f} s after {node} had passed on that {worker} leaves, and reached it"
            yield Violation(reached[0].at_s, reached[0].request, detail)
        elif requests:
            yield HELD


def _leaving_known_s(history: History) -> dict[tuple[str, str], float]:
    """Return when each node first passed on an answer that says that a worker leaves, by worker and node."""
    return {key: min(times) for key, times in _passed_on_s(history, LeavingStated).items()}


def _passed_on_s(
    history: History, statement: type[LeavingStated | LimitStated]
) -> dict[tuple[str, str], list[float]]:
    """Return when each node passed on answers with a statement of their worker, by worker and node."""
    passed_on_s: dict[tuple[str, str], list[float]] = defaultdict(list)
    for record in history.records:
        if not isinstance(record, statement):
            continue
        sent, answer = history.sent.get(record.request), history.answers.get(record.request)
        if sent is not None and answer is not None and answer.seal == f"seal-{record.worker}":
            passed_on_s[(record.worker, sent.node)].append(answer.at_s)
    return passed_on_s


def backoff_kept(history: History) -> Cases:
    """A worker that asked a node for no requests gets hardly any from it until the end of that time."""
    arrived_s: dict[tuple[str, str], list[float]] = defaultdict(list)
    for each in _arrivals(history):
        arrived_s[(each.worker, history.sent[each.request].node)].append(each.at_s)
    for record in history.records:
        if not isinstance(record, Arrived) or not record.backoff_s or record.request not in history.sent:
            continue
        node = history.sent[record.request].node
        from_s, until_s = record.at_s + BACKOFF_SLACK_S, record.at_s + record.backoff_s
        if history.life_ends_s(node, record.at_s) < until_s:
            continue
        late = sum(from_s < at_s < until_s for at_s in arrived_s[(record.worker, node)])
        if late <= LATE_REQUESTS:
            yield HELD
        else:
            detail = f"{late} requests of {node} reached {record.worker} while it wanted none"
            yield Violation(record.at_s, record.request, detail)


def stated_limit_kept(history: History) -> Cases:
    """A worker that states a limit gets not much more, in any span, from all nodes together that know of it."""
    stated: dict[str, list[LimitStated]] = defaultdict(list)
    for record in history.records:
        if isinstance(record, LimitStated):
            stated[record.worker].append(record)
    passed_on_s = _passed_on_s(history, LimitStated)
    for worker, statements in stated.items():
        arrivals = [each for each in _arrivals(history) if each.worker == worker]
        by_node = {node: times for (to, node), times in passed_on_s.items() if to == worker}
        yield from _limit_cases(history, arrivals, by_node, statements)


def _limit_cases(
    history: History,
    arrivals: list[Began | Arrived],
    passed_on_s: dict[str, list[float]],
    statements: list[LimitStated],
) -> Cases:
    """Judge each span that ends with an arrival while one worker's limit binds; one case for all that hold."""
    first_s, last_s, per_s = statements[0].at_s, statements[-1].at_s, statements[0].per_s
    allowed = LIMIT_FACTOR * per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
    is_judged = False
    for arrival in arrivals:
        end_s = arrival.at_s
        if not first_s + LIMIT_CONTACT_S <= end_s <= last_s:
            continue
        knowing = {node for node, times in passed_on_s.items() if _has_known(history, node, times, end_s)}
        counted = sum(
            end_s - LIMIT_WINDOW_S < each.at_s <= end_s and history.sent[each.request].node in knowing
            for each in arrivals
        )
        if counted > allowed:
            detail = f"{counted} requests in {LIMIT_WINDOW_S:g} s reached {arrival.worker}; {allowed:g} are allowed"
            yield Violation(end_s, arrival.request, detail)
            return
        is_judged = is_judged or bool(knowing)
    if is_judged:
        yield HELD


def _has_known(history: History, node: str, passed_on_s: list[float], end_s: float) -> bool:
    """Whether a node has known of a limit for long enough, and ran undisturbed since and through the span."""
    known_s = [at_s for at_s in passed_on_s if at_s <= end_s - LIMIT_KNOWN_S]
    return bool(known_s) and history.life_ends_s(node, min(known_s[-1], end_s - LIMIT_WINDOW_S)) > end_s


def _arrivals(history: History) -> Iterator[Began | Arrived]:
    """Yield each arrival of a caller's request at the worker that it was meant for."""
    for record in history.records:
        if isinstance(record, Began):
            is_meant = True
        elif isinstance(record, Arrived):
            is_meant = record.status != HTTPStatus.MISDIRECTED_REQUEST
        else:
            continue
        if is_meant and record.request in history.sent:
            yield record
