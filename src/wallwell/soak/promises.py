"""The promises about requests, checked over a run's history. Pure: records in, breaches out."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wallwell.soak.history import FaultBegan, FaultEnded, History, NodeExited
from wallwell.soak.schedule import RECOVERY_S, FaultKind

PROMISES_THAT_IT_DID_NOT_RUN = frozenset((408, 421, 429, 503))
LEAST_SERVED_SHARE = 0.25
LEAST_REQUESTS = 8
"""Requests below which a share served says nothing."""


@dataclass(frozen=True)
class Breach:
    """A promise that was broken: when it shows, by which request or process, and what was seen."""

    at_s: float
    promise: str
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.promise} broken by {self.subject}: {self.detail}"


Check = Callable[[History], Iterator[tuple[float, str, str]]]
"""Yields time, subject and detail of each breach of one promise."""


def own_answer_whole(history: History) -> Iterator[tuple[float, str, str]]:
    """A success is the whole answer of a worker that ran this request, and nothing of another."""
    for answer in history.answers.values():
        if not 200 <= answer.status < 300:
            continue
        seals = {f"seal-{began.worker}" for began in history.began.get(answer.request, ())}
        if not answer.own:
            yield answer.at_s, answer.request, "bytes of another request"
        elif answer.seal not in seals:
            yield answer.at_s, answer.request, f"sealed {answer.seal or 'by nobody'}; it ran at {sorted(seals)}"


def at_most_once(history: History) -> Iterator[tuple[float, str, str]]:
    """A request that may not be repeated runs once at most."""
    for request, began in history.began.items():
        sent = history.sent.get(request)
        if sent is not None and sent.kind.at_most_once and len(began) > 1:
            workers = ", ".join(each.worker for each in began)
            yield began[1].at_s, request, f"{sent.kind.value} ran {len(began)} times: {workers}"


def only_asked(history: History) -> Iterator[tuple[float, str, str]]:
    """A worker runs only requests that a caller sent."""
    for request, began in history.began.items():
        if request not in history.sent:
            yield began[0].at_s, request, f"ran at {began[0].worker}, nobody sent it"


def refused_not_run(history: History) -> Iterator[tuple[float, str, str]]:
    """A request that may not be repeated and was refused has not run and never will."""
    for answer in history.answers.values():
        sent = history.sent[answer.request]
        began = history.began.get(answer.request)
        if answer.status in PROMISES_THAT_IT_DID_NOT_RUN and sent.kind.at_most_once and began:
            yield answer.at_s, answer.request, f"refused with {answer.status}, but {began[0].worker} ran it"


def stream_order(history: History) -> Iterator[tuple[float, str, str]]:
    """Events of a stream come one after the other from the first; a stream that ends as complete has all."""
    for answer in history.answers.values():
        sent = history.sent[answer.request]
        if not sent.kind.is_stream or not 200 <= answer.status < 300:
            continue
        if answer.events != tuple(range(1, len(answer.events) + 1)):
            yield answer.at_s, answer.request, f"events {_shown(answer.events)}"
        elif answer.whole and len(answer.events) < sent.events:
            yield answer.at_s, answer.request, f"complete after {len(answer.events)} of {sent.events} events"


def _shown(events: tuple[int, ...]) -> str:
    first = next(index for index, number in enumerate(events) if number != index + 1)
    return f"{events[max(0, first - 2) : first + 2]} at place {first + 1}"


def recovers(history: History) -> Iterator[tuple[float, str, str]]:
    """After all nodes were killed and started again, requests are served again within a bound."""
    ends = [each for each in history.records if isinstance(each, FaultEnded)]
    starts = [each for each in history.records if isinstance(each, FaultBegan)]
    for ended in ends:
        if ended.fault != FaultKind.KILL_ALL_NODES.value:
            continue
        from_s = ended.at_s + RECOVERY_S
        until_s = min((each.at_s for each in starts if each.at_s > ended.at_s), default=history.end_s)
        asked = [sent for sent in history.sent.values() if from_s <= sent.at_s < until_s]
        asked = [sent for sent in asked if sent.request in history.answers]
        answers = [history.answers[sent.request] for sent in asked]
        served = sum(200 <= answer.status < 300 and answer.whole for answer in answers)
        if len(asked) >= LEAST_REQUESTS and served < LEAST_SERVED_SHARE * len(asked):
            yield from_s, "fleet", f"{served} of {len(asked)} served later than {RECOVERY_S:g} s after the start"


def nodes_stay(history: History) -> Iterator[tuple[float, str, str]]:
    """A router process ends only when it is told to, and then with status 0."""
    for record in history.records:
        if not isinstance(record, NodeExited):
            continue
        if not record.asked:
            yield record.at_s, record.node, f"ended by itself with status {record.status}"
        elif record.asked.startswith("SIGTERM") and record.status != 0:
            yield record.at_s, record.node, f"ended with status {record.status} after {record.asked}"


PROMISES: dict[str, Check] = {
    "own_answer_whole": own_answer_whole,
    "at_most_once": at_most_once,
    "only_asked": only_asked,
    "refused_not_run": refused_not_run,
    "stream_order": stream_order,
    "recovers": recovers,
    "nodes_stay": nodes_stay,
}


def find_breaches(history: History) -> list[Breach]:
    """Return every breach of every promise, the first one first."""
    breaches = [
        Breach(at_s, promise, subject, detail)
        for promise, check in PROMISES.items()
        for at_s, subject, detail in check(history)
    ]
    return sorted(breaches, key=lambda breach: breach.at_s)
