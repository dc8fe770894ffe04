"""State of one request on its way through the pipeline.

Owned by the pipeline that serves the request, from its admission to its one answer, and shared with nobody
else. What decides on further attempts is kept in
:class:`~wallwell.routing.retry.attempt_history.AttemptHistory`, what is proved of all attempts in
:class:`~wallwell.routing.retry.attempt_outcome.AttemptLog`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from wallwell.clock import boot_time_s
from wallwell.deployment.routes import Route, TenantAccess
from wallwell.routing.admission.fleet_limits import Admitted
from wallwell.routing.admission.request_content import content_digest
from wallwell.routing.retry.attempt_history import AttemptHistory
from wallwell.routing.retry.attempt_outcome import AttemptLog
from wallwell.routing.selection.prefix_home import placement_key
from wallwell.serving.event_stream import StreamPosition
from wallwell.serving.messages import CallerReply, CallerRequest


@dataclass
class AnswerTiming:
    """When the events of an answer came, for the log and for learning. Times in seconds on this node's clock."""

    first_event_s: float | None = None
    """When the first event of the whole answer came."""
    last_event_s: float = 0.0
    max_gap_s: float = 0.0
    """Longest pause between two events, over all runs."""
    unanswered_since_s: float | None = None
    """When the current attempt was sent; None once its first event has come or it was given up."""
    attempt_sent_s: float = 0.0
    """When the current attempt was sent."""
    load_when_sent: int = 0
    """Load of its back end then, its own included."""
    attempt_first_event_s: float | None = None
    """When the first event of the current attempt came."""
    attempt_event_reads: int = 0
    """Reads of the current attempt that held whole events."""

    def on_sent(self, now_s: float, load: int) -> None:
        """Note that an attempt is sent."""
        self.unanswered_since_s = self.attempt_sent_s = now_s
        self.load_when_sent = load
        self.attempt_first_event_s = None
        self.attempt_event_reads = 0

    def on_events_forwarded(self, now_s: float) -> None:
        """Note that events are passed on."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            self.max_gap_s = max(self.max_gap_s, now_s - self.last_event_s)
        if self.attempt_first_event_s is None:
            self.attempt_first_event_s = now_s
        self.attempt_event_reads += 1
        self.last_event_s = now_s


@dataclass
class ActiveRequest:
    """One caller's request on its way through the pipeline. Times are on this node's clock."""

    request: CallerRequest
    reply: CallerReply
    route: Route
    tenant: TenantAccess | None
    service: str
    deadline_s: float
    attempt_log: AttemptLog
    limit_charge: Admitted | None = None
    """What was taken of the tenant's limit; None if it has no limit."""
    history: AttemptHistory = field(default_factory=AttemptHistory)
    stream_position: StreamPosition = field(default_factory=StreamPosition)
    timing: AnswerTiming = field(default_factory=AnswerTiming)
    prefers_target: bool | None = None
    """Whether it goes to the target version of a rollout first; None before that is drawn."""

    @property
    def rank(self) -> int:
        """Urgency, 0 first."""
        if self.tenant is not None and self.tenant.rank is not None:
            return self.tenant.rank
        return self.route.rank

    @cached_property
    def prefix_key(self) -> int:
        """The key that places a generation: its longest shared prefix.

        Within the tenant only if the tenant shares no cache with others.
        """
        assert self.request.generation is not None
        scope = self.tenant.name if self.tenant is not None and self.tenant.isolated else ""
        return placement_key(self.request.generation.parts, scope)

    @cached_property
    def request_digest(self) -> str:
        """The digest of what the request holds; the same each time its caller sends it again."""
        request = self.request
        caller = self.tenant.name if self.tenant is not None else request.credential
        return content_digest(request.host, request.target, caller, request.body)

    def remaining_s(self) -> float:
        """Time left before the caller or the route gives the request up."""
        return self.deadline_s - boot_time_s()
