"""Invariants about what workers state about themselves in their answers: that they leave, or want no requests.

Both bind one node at a time, by what that node has read itself; a node that has ended, stood still or had a link
harmed since then is left out.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from http import HTTPStatus

from wallwell.soak.cases import HELD, Cases, Violation
from wallwell.soak.history import Arrived, Began, LeavingStated
from wallwell.soak.schedule import BACKOFF_SLACK_S, DRAIN_BOUND_S, LATE_REQUESTS
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
    known_s: dict[tuple[str, str], float] = {}
    for record in history.records:
        if not isinstance(record, LeavingStated):
            continue
        sent, answer = history.sent.get(record.request), history.answers.get(record.request)
        if sent is None or answer is None or answer.seal != f"seal-{record.worker}":
            continue
        key = (record.worker, sent.node)
        known_s[key] = min(known_s.get(key, answer.at_s), answer.at_s)
    return known_s


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
