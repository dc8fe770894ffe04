"""Request limits that back ends state: read from their answers, shared between nodes, and enforced fleet-wide.

A back end states in its answers how many requests per second it accepts from all nodes together. A single node does
not see the sum, so the limit is enforced by the mechanism that counts for the whole fleet, like tenants' limits. A
node that has not read the limit would keep sending, and a node that sends nothing would not learn of its end, so
nodes report the statements they have read to each other, with their age. A node reports only what it read itself;
relays combine the reports of others (:mod:`.load_reports`). So no statement gets newer by being forwarded.

Owns the set of back ends that stated a limit recently, and this node's requests of the last second. Relies on
:mod:`wallwell.routing.health.request_limit` for which statement is in force, and on
:mod:`wallwell.routing.admission.fleet_limits` to enforce the rate.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Annotated

import msgspec

from wallwell.deployment.backends import is_later_start
from wallwell.events import Event, emit
from wallwell.number_ranges import MAX_COUNT, Count
from wallwell.routing.admission.backend_rate import UNITS_PER_REQUEST, backend_limit_key
from wallwell.routing.admission.fleet_limits import Admitted, FleetLimits, OverLimit
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.backend_registry import BackendRegistry
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, LimitStatement, RequestLimit

REPORT_RETENTION_S = 60.0
"""Seconds for which a node reports a statement that it has read, and remembers a limit that has ended: longer than
any node takes to receive a newer statement of the same back end."""
RECENT_REQUESTS_S = 1.0
"""Requests of this many seconds before a new limit is learned count towards it: limits are rates per second."""
CHANGE_LOG_INTERVAL_S = 1.0
"""Least seconds from any log line about a back end to a line that its limit has changed, since the limit may change
with each answer. The start and the end of a limit are always logged."""


class ReportedLimit(msgspec.Struct, frozen=True, array_like=True):
    """A back end's statement of its limit as a node has read it."""

    per_s: Annotated[float, msgspec.Meta(ge=0.0)] | None
    """Requests per second from all nodes together; None if the back end no longer states a limit."""
    age_ms: Count
    """Milliseconds since the statement was read."""
    started_unix_ms: int | None = None
    """Start time of the back end that stated the limit; see :class:`wallwell.deployment.backends.BackendRecord`."""

    def aged_by(self, seconds: float) -> ReportedLimit:
        """Return the statement as it is reported ``seconds`` later, with a higher age."""
        return msgspec.structs.replace(self, age_ms=min(MAX_COUNT, self.age_ms + round(seconds * 1000)))


class StatedLimits:
    """The limits of back ends that one node knows, and the requests that it counts towards them."""

    def __init__(self, backends: BackendRegistry, limits: FleetLimits) -> None:
        self._backends = backends
        self._limits = limits
        self._limited_backends: dict[str, Backend] = {}
        """Back ends that stated a limit recently, by incarnation."""
        self._sent: deque[tuple[float, str]] = deque()
        """This node's requests of the last second: the time, and the incarnation of the back end."""
        self._logged_s: dict[str, float] = {}
        """Time of the last log line about each back end."""
        self.requests_passed_over = 0
        """Requests of this node that were sent elsewhere or refused because of a limit."""

    # --- received statements ---------------------------------------------------------------------------

    def on_answer(self, backend: Backend, statement: LimitStatement, now_s: float) -> None:
        """Handle the statement in an answer of a back end to this node."""
        if backend.request_limit is None and statement.per_s == NO_LIMIT_PER_S:
            return
        limit = self._ensure_limit(backend)
        previous_per_s = limit.per_s
        limit.on_answer(statement, now_s)
        self._on_limit_change(backend, limit, previous_per_s, now_s)

    def on_peer_report(self, reported: Mapping[str, ReportedLimit] | msgspec.UnsetType, now_s: float) -> None:
        """Handle the statements, by incarnation, that another node reports for itself and others."""
        if reported is msgspec.UNSET:
            return
        for incarnation, stated in reported.items():
            backend = self._backends.get(incarnation)
            if backend is None or _is_different_start(stated, backend):
                continue
            if backend.request_limit is None and stated.per_s is None:
                continue
            limit = self._ensure_limit(backend)
            previous_per_s = limit.per_s
            per_s = NO_LIMIT_PER_S if stated.per_s is None else stated.per_s
            limit.on_reported(per_s, now_s - stated.age_ms / 1000)
            self._on_limit_change(backend, limit, previous_per_s, now_s)

    def _ensure_limit(self, backend: Backend) -> RequestLimit:
        if backend.request_limit is None:
            backend.request_limit = RequestLimit()
            if backend.incarnation in self._limited_backends:  # An earlier start of the back end stated a limit.
                self._limits.remove_backend_limit(backend.incarnation)
            self._limited_backends[backend.incarnation] = backend
        return backend.request_limit

    def _on_limit_change(self, backend: Backend, limit: RequestLimit, previous_per_s: float, now_s: float) -> None:
        if limit.per_s == previous_per_s:
            return
        has_begun, has_ended = previous_per_s == NO_LIMIT_PER_S, limit.per_s == NO_LIMIT_PER_S
        if not has_ended:
            sent = self._recent_request_count(backend.incarnation, now_s) if has_begun else 0
            self._limits.set_backend_limit(backend.incarnation, limit.per_s, sent)
        logged_s = self._logged_s.get(backend.incarnation, float("-inf"))
        if has_begun or has_ended or now_s - logged_s >= CHANGE_LOG_INTERVAL_S:
            self._log(backend, limit, now_s)

    def _log(self, backend: Backend, limit: RequestLimit, now_s: float) -> None:
        self._logged_s[backend.incarnation] = now_s
        event = Event.BACKEND_LIMIT_ENDED if limit.per_s == NO_LIMIT_PER_S else Event.BACKEND_LIMIT_STATED
        emit(
            event,
            backend=backend.incarnation,
            service=backend.record.service,
            started_unix_ms=backend.record.started_unix_ms,
            limit_per_s=None if limit.per_s == NO_LIMIT_PER_S else limit.per_s,
            source="answer" if limit.read_at_s == limit.own_read_at_s else "peer",
            age_ms=round((now_s - limit.read_at_s) * 1000),
        )

    # --- counted requests ------------------------------------------------------------------------------

    def on_sent(self, incarnation: str, now_s: float) -> None:
        """Record that this node sends a request to a back end, whether or not the back end has a limit."""
        self._sent.append((now_s, incarnation))
        while self._sent[0][0] <= now_s - RECENT_REQUESTS_S:
            self._sent.popleft()

    def _recent_request_count(self, incarnation: str, now_s: float) -> int:
        return sum(receiver == incarnation and at_s > now_s - RECENT_REQUESTS_S for at_s, receiver in self._sent)

    def admit(self, backend: Backend, now_s: float) -> float | None:
        """Count a request about to be sent and return None, or return the seconds until the limit allows one."""
        if not backend.is_limited:
            return None
        admission = self._limits.admit(backend_limit_key(backend.incarnation), UNITS_PER_REQUEST, now_s)
        if not isinstance(admission, OverLimit):
            return None
        self.requests_passed_over += 1
        return admission.wait_s

    def refund(self, backend: Backend) -> None:
        """Uncount a request that was counted but did not reach its back end."""
        if backend.is_limited:
            self._limits.refund(Admitted(backend_limit_key(backend.incarnation), UNITS_PER_REQUEST))

    def has_headroom(self, backend: Backend, now_s: float) -> bool:
        """Return whether a back end's limit leaves room for a further request."""
        return not backend.is_limited or self._limits.has_headroom(backend_limit_key(backend.incarnation), now_s)

    # --- reported statements ---------------------------------------------------------------------------

    def own_reports(self, now_s: float) -> dict[str, ReportedLimit] | msgspec.UnsetType:
        """Return the statements that this node itself has read recently, by incarnation; UNSET if none."""
        self._forget_old(now_s)
        reported = {}
        for incarnation, backend in self._limited_backends.items():
            limit = backend.request_limit
            assert limit is not None
            age_s = now_s - limit.own_read_at_s
            if age_s < REPORT_RETENTION_S:
                per_s = None if limit.own_per_s == NO_LIMIT_PER_S else limit.own_per_s
                started_unix_ms = backend.record.started_unix_ms
                reported[incarnation] = ReportedLimit(per_s, round(age_s * 1000), started_unix_ms)
        return reported or msgspec.UNSET

    def _forget_old(self, now_s: float) -> None:
        """Drop back ends that are gone, and limits that ended ``REPORT_RETENTION_S`` ago."""
        for incarnation, backend in list(self._limited_backends.items()):
            limit = backend.request_limit
            assert limit is not None
            has_ended = limit.per_s == NO_LIMIT_PER_S and now_s - limit.read_at_s >= REPORT_RETENTION_S
            if has_ended or self._backends.get(incarnation) is not backend:
                del self._limited_backends[incarnation]
                self._logged_s.pop(incarnation, None)
                self._limits.remove_backend_limit(incarnation)
                backend.request_limit = None


def newest_limits(
    reports: list[Mapping[str, ReportedLimit]],
) -> dict[str, ReportedLimit] | msgspec.UnsetType:
    """Return the newest of the reported statements of each back end, by incarnation; UNSET if there are none."""
    newest: dict[str, ReportedLimit] = {}
    for report in reports:
        for incarnation, stated in report.items():
            newest_so_far = newest.get(incarnation)
            if newest_so_far is None or _supersedes(stated, newest_so_far):
                newest[incarnation] = stated
    return newest or msgspec.UNSET


def _supersedes(stated: ReportedLimit, known: ReportedLimit) -> bool:
    """Return whether ``stated`` is of a later start of the back end than ``known``, or of the same and newer."""
    if is_later_start(stated.started_unix_ms, known.started_unix_ms):
        return True
    is_of_earlier_start = is_later_start(known.started_unix_ms, stated.started_unix_ms)
    return not is_of_earlier_start and stated.age_ms < known.age_ms


def _is_different_start(stated: ReportedLimit, backend: Backend) -> bool:
    starts = stated.started_unix_ms, backend.record.started_unix_ms
    return is_later_start(*starts) or is_later_start(*reversed(starts))
