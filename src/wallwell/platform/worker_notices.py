"""What a worker's answer states about the worker: that it leaves, or for how long it wants nothing from this node.

Owns the meaning of the two headers. Decides nothing; what follows is decided in ``routing/health``. Relies on the
caller to pass the head of each answer, also of those that are no answer to a request of a caller.
"""

from __future__ import annotations

from http import HTTPStatus

from aiohttp.http_parser import RawResponseMessage

from wallwell.events import Event, emit
from wallwell.platform import names
from wallwell.routing.health.backend_notice import NO_NOTICE, BackendNotice, BackendNotices
from wallwell.routing.health.backoff import stated_backoff

BACKOFF_STATUSES = frozenset((HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE))
"""Statuses on which ``names.RETRY_AFTER`` asks this node to send the worker nothing, as HTTP defines both."""
IS_LEAVING = "1"
"""Value of ``names.LEAVING`` by which a worker says that it leaves."""


def hand_on_notice(notices: BackendNotices, message: RawResponseMessage, incarnation: str) -> None:
    """Hand on what an answer to a call of ``incarnation`` states about it, unless that is nothing."""
    notice = backend_notice(message, incarnation)
    if notice != NO_NOTICE:
        notices.on_notice(incarnation, notice)


def backend_notice(message: RawResponseMessage, incarnation: str) -> BackendNotice:
    """Return what an answer to a call of ``incarnation`` states about it; nothing if another one has answered."""
    if message.headers.get(names.INSTANCE_ID, incarnation) != incarnation:
        return NO_NOTICE
    leaving = message.headers.get(names.LEAVING) == IS_LEAVING
    return BackendNotice(leaving, _backoff_s(message, incarnation))


def _backoff_s(message: RawResponseMessage, incarnation: str) -> float:
    """Return for how long the worker wants nothing, 0 if it does not say; what cannot be understood is logged."""
    if message.code not in BACKOFF_STATUSES:
        return 0.0
    stated = stated_backoff(message.headers.getall(names.RETRY_AFTER, ()))
    for text in stated.unreadable:
        emit(Event.BACKEND_NOTICE_UNREADABLE, backend=incarnation, retry_after=text)
    return stated.seconds
