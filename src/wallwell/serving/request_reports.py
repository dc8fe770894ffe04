"""Logs and counts refused requests, answered requests and failed attempts. Makes no decisions."""

from __future__ import annotations

import enum

from wallwell.clock import boot_time_s
from wallwell.errors import RequestError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.counters import RequestCounters
from wallwell.serving.hedge_choice import HedgeObstacle
from wallwell.serving.messages import AttemptError, CallerRequest

NEVER_CONFIRMED_AGE_MS = -1
"""Logged as the age of the store's data until the store has confirmed it for the first time."""
MAX_LOGGED_SCOPE_CHARS = 200
"""Characters of a cache scope in the log; a caller may name a model of any length."""


class HedgeResult(enum.Enum):
    """How a second attempt beside a silent one ended."""

    MOVED = "moved"
    """It delivered first and goes on."""
    WOKE = "woke"
    """The silent back end went on."""
    FAILED = "failed"
    """It failed; the silent attempt is still open."""
    LEFT_ALONE = "left_alone"
    """The silent attempt failed; the second one is still open."""


class RequestReporter:
    """Logs and counts the requests of one node."""

    def __init__(self, state: NodeState, counters: RequestCounters) -> None:
        self._state = state
        self._counters = counters

    def on_refused(self, request: CallerRequest, error: RequestError, active: ActiveRequest | None) -> None:
        """Report a request that ends with an error of the router itself; ``active`` is None if it was not admitted.

        An answer that has begun is cut: its caller gets no error, only the end of its connection.
        """
        kind = _kind_of(request)
        self._counters.on_refused(kind, error.outcome.value, error.code)
        if active is not None and active.reply.started:
            self._counters.cut_answers[error.code] += 1
        emit(
            Event.REQUEST_REFUSED,
            request_id=request.request_id,
            code=error.code,
            outcome=error.outcome.value,
            reason=error.detail,
            config=self._state.config.version if self._state.config is not None else 0,
            store_age_ms=self._store_age_ms(),
            after_ms=round((boot_time_s() - request.arrived_s) * 1000),
            **self._progress_fields(active),
        )

    def on_refused_unread(self, request_id: str, error: RequestError) -> None:
        """Report a request that is refused before it has been read whole, so that its kind is not known."""
        self._counters.refusals[error.code] += 1
        emit(
            Event.REQUEST_REFUSED,
            request_id=request_id,
            code=error.code,
            outcome=error.outcome.value,
            reason=error.detail,
        )

    def on_cut_by_stop(self, active: ActiveRequest) -> None:
        """Report a request that a planned stop of this node ends before its answer is complete."""
        request, now_s, stop = active.request, boot_time_s(), self._state.stop
        requested_s = stop.requested_s if stop is not None else now_s
        kind = _kind_of(request)
        self._counters.cut_by_stop[kind] += 1
        emit(
            Event.REQUEST_CUT_BY_STOP,
            request_id=request.request_id,
            kind=kind,
            route=active.route.name,
            backends=",".join(sorted(active.history.tried_incarnations)),
            arrived_after_stop_ms=round((request.arrived_s - requested_s) * 1000),
            after_ms=round((now_s - request.arrived_s) * 1000),
            silent_ms=round(active.timing.silent_s(now_s) * 1000),
            **self._progress_fields(active),
        )

    def _progress_fields(self, active: ActiveRequest | None) -> dict[str, int | float | bool]:
        """Return the log fields that say what the caller had of an admitted request's answer when it ended, and how
        many retries this node had left for its service; empty if it was not admitted."""
        if active is None:
            return {}
        budget = self._state.retry_budget(active.service)
        return {
            "cut": active.reply.started,
            "events": active.stream_position.events_forwarded,
            "retries_left": round(budget.remaining_retries(boot_time_s(), self._state.node_count), 1),
        }

    def on_attempt_failed(self, active: ActiveRequest, backend: Backend, failure: AttemptError) -> None:
        """Report an attempt that ended without a complete answer."""
        reason = failure.event.value
        self._counters.attempts[reason] += 1
        if active.progress.via_peer:
            self._counters.attempts_by_peers[reason] += 1
        emit(
            Event.REQUEST_RETRIED,
            request_id=active.request.request_id,
            backend=backend.incarnation,
            software=backend.record.software,
            reason=reason,
            detail=failure.detail,
            attempts=active.attempt_log.attempts,
            events=active.stream_position.events_forwarded,
            silent_ms=round(active.timing.silent_s(boot_time_s()) * 1000),
            content=active.content_digest,
            **_connection_fields(active),
            **_prompt_fields(active),
            **cache_fields(active),
            **_path_field(active),
        )

    def on_hedge_ended(self, active: ActiveRequest, silent: Backend, other: Backend, result: HedgeResult) -> None:
        """Report what became of a second attempt at ``other``, made while ``silent`` sent nothing."""
        self._counters.hedges[result.value] += 1
        self._emit_silence(active, silent, result.value, other=other.incarnation)

    def on_silence_waited_out(self, active: ActiveRequest, silent: Backend, obstacle: HedgeObstacle) -> None:
        """Report a silence at whose end no second attempt was under way, and what had been in its way."""
        self._counters.hedges[obstacle.value] += 1
        self._emit_silence(active, silent, obstacle.value)

    def _emit_silence(self, active: ActiveRequest, silent: Backend, result: str, **fields: str) -> None:
        budget = self._state.retry_budget(active.service)
        silent_s = active.timing.silent_s(boot_time_s())
        emit(
            Event.SILENCE_ENDED,
            request_id=active.request.request_id,
            backend=silent.incarnation,
            result=result,
            silent_ms=round(silent_s * 1000),
            events=active.stream_position.events_forwarded,
            retries_left=round(budget.remaining_retries(boot_time_s(), self._state.node_count), 1),
            **fields,
        )

    def on_stream_resumed(self, active: ActiveRequest, backend: Backend, by_caller: bool) -> None:
        """Report that the first events of a back end that continues a stream have arrived.

        ``by_caller``: whether the caller sent a request for the rest; otherwise it goes on within one answer.
        """
        resumed_by = "caller" if by_caller else "router"
        self._counters.resumed_streams[resumed_by] += 1
        emit(
            Event.STREAM_RESUMED,
            request_id=active.request.request_id,
            first_request_id=active.request.first_request_id,
            by=resumed_by,
            backend=backend.incarnation,
            software=backend.record.software,
            software_before=active.stream_software,
            **_origin_fields(active),
        )

    def on_answered(self, active: ActiveRequest, backend: Backend, now_s: float) -> None:
        """Report a request that got a complete answer."""
        request, timing = active.request, active.timing
        first_event_s = timing.first_event_s or now_s
        gap_s = timing.max_gap_s if timing.first_event_s is not None else None
        kind = active.route.kind.value
        self._counters.on_answered(kind, first_event_s - request.arrived_s, now_s - request.arrived_s, gap_s)
        if active.progress.via_peer:
            self._counters.attempts_by_peers["answered"] += 1
        emit(
            Event.REQUEST_ENDED,
            request_id=request.request_id,
            route=active.route.name,
            tenant=active.tenant.name if active.tenant is not None else "",
            backend=backend.incarnation,
            software=backend.record.software,
            backend_in_flight=backend.in_flight,
            attempts=active.attempt_log.attempts + 1,
            prompt_tokens=request.generation.prompt_tokens if request.generation is not None else 0,
            first_ms=round((first_event_s - request.arrived_s) * 1000),
            max_gap_ms=round(timing.max_gap_s * 1000),
            total_ms=round((now_s - request.arrived_s) * 1000),
            **cache_fields(active),
            **_path_field(active),
        )

    def _store_age_ms(self) -> int:
        """Return the milliseconds since the store last confirmed this node's data."""
        confirmed_s = self._state.freshness.confirmed_at_s
        if confirmed_s == float("-inf"):
            return NEVER_CONFIRMED_AGE_MS
        return round((boot_time_s() - confirmed_s) * 1000)


def cache_fields(active: ActiveRequest) -> dict[str, str | int]:
    """Return the log fields that name the cache scope of the current attempt and the version of the configuration
    that it follows; empty if this node did not send the attempt to an engine."""
    if active.cache is None or active.progress.via_peer:
        return {}
    return {"cache_scope": active.cache.scope[:MAX_LOGGED_SCOPE_CHARS], "config": active.cache.configuration}


def _kind_of(request: CallerRequest) -> str:
    """Return the kind of a request, as it is counted and logged."""
    return "generation" if request.generation is not None else "call"


def _origin_fields(active: ActiveRequest) -> dict[str, str | int]:
    """Return the log fields that say who knew the version of a resumed stream; empty if nobody was asked."""
    if not active.stream_known_by:
        return {}
    return {"known_by": active.stream_known_by, "known_age_ms": round(active.stream_known_age_s * 1000)}


def _prompt_fields(active: ActiveRequest) -> dict[str, str | int]:
    """Return the log fields that show which of several failed generations is the likely cause of a crash: the
    digests of the prompt's shared parts, and for how long the attempt had been writing its answer."""
    if active.request.generation is None:
        return {}
    return {
        "parts": ",".join(active.part_digests),
        "writing_ms": round(active.timing.writing_s(boot_time_s()) * 1000),
    }


def _path_field(active: ActiveRequest) -> dict[str, str]:
    """Return the log field that names the peer that made the current attempt; empty if this node made it."""
    via_peer = active.progress.via_peer
    return {"via": via_peer} if via_peer else {}


def _connection_fields(active: ActiveRequest) -> dict[str, int]:
    """Return the log fields that name the connection on which an attempt was sent, and which of its requests it
    was; empty if this node sent nothing."""
    progress = active.progress
    if not progress.connection:
        return {}
    return {"connection": progress.connection, "round_trip": progress.round_trip}
