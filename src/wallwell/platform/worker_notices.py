"""Parses a worker's statements about itself from its answers: whether it leaves, its back-off and request limit,
and whether it is brittle.

Owns the meaning of these headers; ``routing/health`` decides what follows from them. The calling code passes
the head of every answer, including answers to reports and orders.
"""

from __future__ import annotations

import math
from http import HTTPStatus

from aiohttp.http_parser import RawResponseMessage

from wallwell.events import Event, emit
from wallwell.platform import names
from wallwell.routing.admission.brittle_room import BrittleStatement
from wallwell.routing.health.backend_notice import NO_NOTICE, BackendNotice, BackendNotices
from wallwell.routing.health.backoff import MAX_LOGGED_CHARS, parse_retry_after
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, LimitStatement, parse_limit_headers

BACKOFF_STATUSES = frozenset((HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE))
"""Statuses with which ``names.RETRY_AFTER`` asks this node to send no requests meanwhile, as defined by HTTP."""
LEAVING_VALUE = "1"
"""Value of the ``names.LEAVING`` header with which a worker states that it leaves."""


def deliver_notice(
    notices: BackendNotices, message: RawResponseMessage, incarnation: str, sent_s: float | None = None
) -> BackendNotice:
    """Parse the notice in an answer to a call to ``incarnation``, deliver it unless it is empty, and return it.

    ``sent_s`` is when the answered request was sent; None for calls that are not requests, such as reports.
    """
    notice = parse_notice(message, incarnation, sent_s)
    if notice != NO_NOTICE:
        notices.on_notice(incarnation, notice)
    return notice


def parse_notice(message: RawResponseMessage, incarnation: str, sent_s: float | None = None) -> BackendNotice:
    """Return the notice in an answer to a call to ``incarnation``; empty if another incarnation answered.

    ``sent_s`` is as for :func:`deliver_notice`.
    """
    if message.headers.get(names.INSTANCE_ID, incarnation) != incarnation:
        return NO_NOTICE
    leaving = message.headers.get(names.LEAVING) == LEAVING_VALUE
    return BackendNotice(
        leaving,
        _backoff_s(message, incarnation),
        _limit_statement(message, incarnation, sent_s),
        _brittle_statement(message, incarnation, sent_s),
    )


def _backoff_s(message: RawResponseMessage, incarnation: str) -> float:
    """Return the back-off in seconds that the worker asks for, 0 if none; invalid values are logged."""
    if message.code not in BACKOFF_STATUSES:
        return 0.0
    stated = parse_retry_after(message.headers.getall(names.RETRY_AFTER, ()))
    for text in stated.unreadable:
        emit(Event.BACKEND_NOTICE_UNREADABLE, backend=incarnation, retry_after=text)
    return stated.seconds


def _limit_statement(message: RawResponseMessage, incarnation: str, sent_s: float | None) -> LimitStatement | None:
    """Return the limit that an answer states. Only in answers to requests does a missing header mean no limit."""
    texts = message.headers.getall(names.REQUEST_LIMIT, ())
    per_s = parse_limit_headers(texts)
    if per_s is None:
        text = ", ".join(texts)[:MAX_LOGGED_CHARS]
        emit(Event.BACKEND_NOTICE_UNREADABLE, backend=incarnation, request_limit=text)
        return None
    if sent_s is not None:
        return LimitStatement(per_s, sent_s)
    return None if per_s == NO_LIMIT_PER_S else LimitStatement(per_s)


def _brittle_statement(
    message: RawResponseMessage, incarnation: str, sent_s: float | None
) -> BrittleStatement | None:
    """Return what an answer states about refusals. Only in answers to requests does a missing header mean that the
    worker is not brittle."""
    text = message.headers.get(names.BRITTLE)
    if text is None:
        return None if sent_s is None else BrittleStatement(None, sent_s)
    try:
        tolerated_per_s = float(text)
    except ValueError:
        tolerated_per_s = math.nan
    if not 0.0 <= tolerated_per_s < math.inf:
        emit(Event.BACKEND_NOTICE_UNREADABLE, backend=incarnation, brittle=text[:MAX_LOGGED_CHARS])
        return None
    return BrittleStatement(tolerated_per_s, -math.inf if sent_s is None else sent_s)
