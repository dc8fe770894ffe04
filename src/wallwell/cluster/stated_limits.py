"""Limits that back ends state: read in their answers, reported between nodes, and kept by all nodes together.

A back end names in its answers how many requests a second it takes from all nodes. What one node sends says
nothing of the sum, so the limit is kept by the mechanism that counts for the whole fleet, as tenants' limits are.
A node that has not read it yet would go on sending, and one that sends nothing would not hear of the end, so
nodes report what they have read to each other, with its age. Only what a node read itself is reported by it;
relays put the reports of others together (:mod:`.load_reports`). So no report becomes newer by going
round.

Owns which back ends have stated a limit lately, and what this node sent in the last second. Relies on
:mod:`wallwell.routing.health.request_limit` for which statement holds, and on
:mod:`wallwell.routing.admission.fleet_limits` for keeping the rate.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

import msgspec

from wallwell.deployment.backends import is_later_start
from wallwell.events import Event, emit
from wallwell.routing.admission.backend_rate import UNITS_PER_REQUEST, backend_limit_key
from wallwell.routing.admission.fleet_limits import Admitted, FleetLimits, OverLimit
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.backend_registry import BackendRegistry
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, LimitStatement, RequestLimit

REPORTED_FOR_S = 60.0
"""Seconds for which what a node has read is reported, and for which an ended limit is remembered: longer than any
node takes to hear of something newer from the same back end."""
COUNTED_BEFORE_S = 1.0
"""Seconds before a limit is known whose requests count towards it: it is a rate by the second."""
LOG_INTERVAL_S = 1.0
"""Least seconds from a line about one back end to one that says that its limit has changed, which may happen with
each answer. Its beginning and its end are always logged."""


class ReportedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What a node has read of a back end's limit."""

    per_s: float | None
    """Requests a second from all nodes together; None if the back end states no limit any more."""
    age_ms: int
    """How long ago it was read."""
    started_unix_ms: int | None = None
    """Start of the back end that stated it; see :class:`wallwell.deployment.backends.BackendRecord`."""

    def older_by(self, seconds: float) -> ReportedLimit:
        """Return it as it is to be reported ``seconds`` later."""
        return msgspec.structs.replace(self, age_ms=self.age_ms + round(seconds * 1000))


class StatedLimits:
    """One node's part: what it knows of the limits of back ends, and the requests that it counts towards them."""

    def __init__(self, backends: BackendRegistry, limits: FleetLimits) -> None:
        self._backends = backends
        self._limits = limits
        self._known: dict[str, Backend] = {}
        """Back ends that stated a limit lately."""
        self._sent: deque[tuple[float, str]] = deque()
        """This node's requests of the last second: when, and to which back end."""
        self._logged_s: dict[str, float] = {}
        """When a line was last logged, by back end."""
        self.passed_over = 0
        """Requests of this node that went elsewhere or were refused on account of a limit."""

    # --- what is learned -------------------------------------------------------------------------------

    def on_answer(self, backend: Backend, statement: LimitStatement, now_s: float) -> None:
        """A back end answered this node."""
        if backend.request_limit is None and statement.per_s == NO_LIMIT_PER_S:
            return
        limit = self._limit_of(backend)
        before_per_s = limit.per_s
        limit.on_answer(statement, now_s)
        self._on_changed(backend, limit, before_per_s, now_s)

    def on_reported(self, reported: Mapping[str, ReportedLimit] | msgspec.UnsetType, now_s: float) -> None:
        """Another node reports what it and others have read."""
        if reported is msgspec.UNSET:
            return
        for incarnation, stated in reported.items():
            backend = self._backends.get(incarnation)
            if backend is None or _is_of_another_start(stated, backend):
                continue
            if backend.request_limit is None and stated.per_s is None:
                continue
            limit = self._limit_of(backend)
            before_per_s = limit.per_s
            per_s = NO_LIMIT_PER_S if stated.per_s is None else stated.per_s
            limit.on_reported(per_s, now_s - stated.age_ms / 1000)
            self._on_changed(backend, limit, before_per_s, now_s)

    def _limit_of(self, backend: Backend) -> RequestLimit:
        if backend.request_limit is None:
            backend.request_limit = RequestLimit()
            if backend.incarnation in self._known:  # An earlier start of it stated one.
                self._limits.remove_backend_limit(backend.incarnation)
            self._known[backend.incarnation] = backend
        return backend.request_limit

    def _on_changed(self, backend: Backend, limit: RequestLimit, before_per_s: float, now_s: float) -> None:
        if limit.per_s == before_per_s:
            return
        is_begun, is_ended = before_per_s == NO_LIMIT_PER_S, limit.per_s == NO_LIMIT_PER_S
        if not is_ended:
            sent = self._sent_lately(backend.incarnation, now_s) if is_begun else 0
            self._limits.set_backend_limit(backend.incarnation, limit.per_s, sent)
        logged_s = self._logged_s.get(backend.incarnation, float("-inf"))
        if is_begun or is_ended or now_s - logged_s >= LOG_INTERVAL_S:
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
            source="answer" if limit.read_s == limit.own_read_s else "peer",
            age_ms=round((now_s - limit.read_s) * 1000),
        )

    # --- what is counted -------------------------------------------------------------------------------

    def on_sent(self, incarnation: str, now_s: float) -> None:
        """A request is sent to a back end, limited or not."""
        self._sent.append((now_s, incarnation))
        while self._sent[0][0] <= now_s - COUNTED_BEFORE_S:
            self._sent.popleft()

    def _sent_lately(self, incarnation: str, now_s: float) -> int:
        return sum(to == incarnation and at_s > now_s - COUNTED_BEFORE_S for at_s, to in self._sent)

    def take(self, backend: Backend, now_s: float) -> float | None:
        """Count a request that is to go to a back end, None; or return in how many seconds its limit allows one."""
        if not backend.is_limited:
            return None
        taken = self._limits.admit(backend_limit_key(backend.incarnation), UNITS_PER_REQUEST, now_s)
        if not isinstance(taken, OverLimit):
            return None
        self.passed_over += 1
        return taken.wait_s

    def give_back(self, backend: Backend) -> None:
        """A request that was counted did not reach its back end."""
        if backend.is_limited:
            self._limits.refund(Admitted(backend_limit_key(backend.incarnation), UNITS_PER_REQUEST))

    def has_headroom(self, backend: Backend, now_s: float) -> bool:
        """Whether a back end may be taken to accept a further request."""
        return not backend.is_limited or self._limits.has_headroom(backend_limit_key(backend.incarnation), now_s)

    # --- what is reported ------------------------------------------------------------------------------

    def own(self, now_s: float) -> dict[str, ReportedLimit] | msgspec.UnsetType:
        """Return what this node has read itself lately; unset if that is nothing."""
        self._forget_old(now_s)
        reported = {}
        for incarnation, backend in self._known.items():
            limit = backend.request_limit
            assert limit is not None
            age_s = now_s - limit.own_read_s
            if age_s < REPORTED_FOR_S:
                per_s = None if limit.own_per_s == NO_LIMIT_PER_S else limit.own_per_s
                started_unix_ms = backend.record.started_unix_ms
                reported[incarnation] = ReportedLimit(per_s, round(age_s * 1000), started_unix_ms)
        return reported or msgspec.UNSET

    def _forget_old(self, now_s: float) -> None:
        """Drop back ends that have ended, and limits that ended long ago."""
        for incarnation, backend in list(self._known.items()):
            limit = backend.request_limit
            assert limit is not None
            has_ended = limit.per_s == NO_LIMIT_PER_S and now_s - limit.read_s >= REPORTED_FOR_S
            if has_ended or self._backends.get(incarnation) is not backend:
                del self._known[incarnation]
                self._logged_s.pop(incarnation, None)
                self._limits.remove_backend_limit(incarnation)
                backend.request_limit = None


def newest_limits(
    reports: list[Mapping[str, ReportedLimit]],
) -> dict[str, ReportedLimit] | msgspec.UnsetType:
    """Return the newest report on each back end; unset if there is none."""
    newest: dict[str, ReportedLimit] = {}
    for report in reports:
        for incarnation, stated in report.items():
            known = newest.get(incarnation)
            if known is None or _supersedes(stated, known):
                newest[incarnation] = stated
    return newest or msgspec.UNSET


def _supersedes(stated: ReportedLimit, known: ReportedLimit) -> bool:
    """Whether a report is of a later start of its back end, or of the same and newer."""
    if is_later_start(stated.started_unix_ms, known.started_unix_ms):
        return True
    is_of_earlier_start = is_later_start(known.started_unix_ms, stated.started_unix_ms)
    return not is_of_earlier_start and stated.age_ms < known.age_ms


def _is_of_another_start(stated: ReportedLimit, backend: Backend) -> bool:
    starts = stated.started_unix_ms, backend.record.started_unix_ms
    return is_later_start(*starts) or is_later_start(*reversed(starts))
