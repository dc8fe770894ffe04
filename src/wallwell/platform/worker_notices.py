"""What a worker's answer states about the worker: that it leaves, for how long it wants nothing, how much it takes.

Owns the meaning of the three headers. Decides nothing; what follows is decided in ``routing/health``. Relies on the
caller to pass the head of each answer, also of those that are no answer to a request of a caller.
"""

from __future__ import annotations

from http import HTTPStatus

from aiohttp.http_parser import RawResponseMessage

from wallwell.events import Event, emit
from wallwell.platform import names
from wallwell.routing.health.backend_notice import NO_NOTICE, BackendNotice, BackendNotices
from wallwell.routing.health.backoff import MAX_LOGGED_CHARS, parse_retry_after
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, LimitStatement, parse_limit_headers

BACKOFF_STATUSES = frozenset((HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE))
"""Statuses on which ``names.RETRY_AFTER`` asks this node to send the worker nothing, as HTTP defines both."""
LEAVING_VALUE = "1"
"""Value of ``names.LEAVING`` by which a worker says that it leaves."""


def deliver_notice(
    notices: BackendNotices, message: RawResponseMessage, incarnation: str, sent_s: float | None = None
) -> None:
    """Hand on what an answer to a call of ``incarnation`` states about it, unless that is nothing.

    ``sent_s`` is when the request was sent that it answers, None for other calls.
    """
    notice = parse_notice(message, incarnation, sent_s)
    if notice != NO_NOTICE:
        notices.on_notice(incarnation, notice)


def parse_notice(message: RawResponseMessage, incarnation: str, sent_s: float | None = None) -> BackendNotice:
    """Return what an answer to a call of ``incarnation`` states about it; nothing if another one has answered.

    ``sent_s`` as for :func:`deliver_notice`.
    """
    if message.headers.get(names.INSTANCE_ID, incarnation) != incarnation:
        return NO_NOTICE
    leaving = message.headers.get(names.LEAVING) == LEAVING_VALUE
    return BackendNotice(leaving, _backoff_s(message, incarnation), _limit_statement(message, incarnation, sent_s))


def _backoff_s(message: RawResponseMessage, incarnation: str) -> float:
    """Return for how long the worker wants nothing, 0 if it does not say; what cannot be understood is logged."""
    if message.code not in BACKOFF_STATUSES:
        return 0.0
    stated = parse_retry_after(message.headers.getall(names.RETRY_AFTER, ()))
    for text in stated.unreadable:
        emit(Event.BACKEND_NOTICE_UNREADABLE, backend=incarnation, retry_after=text)
    return stated.seconds


def _limit_statement(message: RawResponseMessage, incarnation: str, sent_s: float | None) -> LimitStatement | None:
    """Return what an answer says of its worker's limit; that it names none means something for requests only."""
    texts = message.headers.getall(names.REQUEST_LIMIT, ())
    per_s = parse_limit_headers(texts)
    if per_s is None:
        text = ", ".join(texts)[:MAX_LOGGED_CHARS]
        emit(Event.BACKEND_NOTICE_UNREADABLE, backend=incarnation, request_limit=text)
        return None
    if sent_s is not None:
        return LimitStatement(per_s, sent_s)
    return None if per_s == NO_LIMIT_PER_S else LimitStatement(per_s)
