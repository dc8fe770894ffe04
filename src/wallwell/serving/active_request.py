"""State of one request in the pipeline.

Owned by the pipeline that serves the request, from its admission to its single answer, and shared with no other
component. :class:`~wallwell.routing.retry.attempt_history.AttemptHistory` holds what the retry policy needs,
:class:`~wallwell.routing.retry.attempt_outcome.AttemptLog` the proven outcome of all attempts together.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from functools import cached_property
from typing import Any, Protocol

from wallwell.clock import boot_time_s
from wallwell.deployment.routes import Route
from wallwell.deployment.tenants import TenantAccess
from wallwell.routing.admission.fleet_limits import Admitted
from wallwell.routing.admission.part_quarantine import MAX_PARTS_OF_REQUEST, part_digest
from wallwell.routing.admission.request_content import content_digest
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_history import AttemptHistory
from wallwell.routing.retry.attempt_outcome import AttemptLog
from wallwell.routing.selection.prefix_home import placement_key
from wallwell.serving.event_stream import StreamPosition
from wallwell.serving.liveness import WatchedAttempt
from wallwell.serving.messages import CachePlan, CallerReply, CallerRequest, SendProgress


@dataclass
class AnswerTiming:
    """When the events of an answer arrived, for logs and latency averages; in seconds on this node's clock."""

    first_event_s: float | None = None
    """When the first event of the answer was forwarded, in whichever attempt."""
    last_event_s: float = 0.0
    """When the last event was forwarded."""
    max_gap_s: float = 0.0
    """Longest pause between two events in seconds, over all attempts."""
    unanswered_since_s: float | None = None
    """When the current attempt was sent; None once its first event has arrived or the attempt has ended."""
    attempt_sent_s: float = 0.0
    """When the current attempt was sent."""
    load_when_sent: int = 0
    """Load of the back end when the current attempt was sent, including the attempt itself."""
    attempt_first_event_s: float | None = None
    """When the first event of the current attempt was forwarded."""
    attempt_event_reads: int = 0
    """Number of reads of the current attempt that contained complete events."""

    is_past_beginning: bool = False
    """Whether the current attempt has been writing too long to crash its back end by beginning."""
    is_silence_recorded: bool = False
    """Whether it has been recorded that the back end was silent for too long in the current attempt."""

    def on_sent(self, now_s: float, load: int) -> None:
        """Record that an attempt is sent to a back end with this load."""
        self.unanswered_since_s = self.attempt_sent_s = now_s
        self.load_when_sent = load
        self.attempt_first_event_s = None
        self.attempt_event_reads = 0
        self.is_past_beginning = self.is_silence_recorded = False

    def on_events_forwarded(self, now_s: float) -> None:
        """Record that events are forwarded to the caller."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            self.max_gap_s = max(self.max_gap_s, now_s - self.last_event_s)
        if self.attempt_first_event_s is None:
            self.attempt_first_event_s = now_s
        self.attempt_event_reads += 1
        self.last_event_s = now_s

    def writing_s(self, now_s: float) -> float:
        """Return the seconds since the current attempt's first event was forwarded; 0 if it has none."""
        return now_s - self.attempt_first_event_s if self.attempt_first_event_s is not None else 0.0

    def silent_s(self, now_s: float) -> float:
        """Return the seconds since the current attempt was sent or its last event was forwarded."""
        return now_s - max(self.attempt_sent_s, self.last_event_s)


@dataclass
class ReplyClaim:
    """An attempt's claim to pass its answer on to the caller. One that has no other beside it need not ask."""

    is_contested: bool = False
    """Whether another attempt of the request is still open, and goes on if this one fails."""
    taken: asyncio.Future[None] | None = None
    """Done once the attempt has something to pass on, and does; None if no other attempt waits for that."""

    def take(self) -> None:
        """Call before anything is passed on to the caller: it tells the other attempt to end."""
        if self.taken is not None and not self.taken.done():
            self.taken.set_result(None)

    @property
    def is_taken(self) -> bool:
        """Whether the attempt has passed something on, or is about to."""
        return self.taken is not None and self.taken.done()


class SecondAttempt(Protocol):
    """A second attempt in flight; see :class:`wallwell.serving.hedging.Hedge`."""

    active: ActiveRequest
    """The request as that attempt sees it."""
    backend: Backend

    @property
    def has_delivered(self) -> bool:
        """Whether it has taken the caller's reply."""
        ...

    @property
    def is_done(self) -> bool:
        """Whether it has ended."""
        ...

    async def wait(self, other: asyncio.Future[Any]) -> None:
        """Wait until it has delivered or ended, or ``other`` is done."""
        ...

    async def finish(self) -> bool:
        """Wait for its end; as :meth:`wallwell.serving.attempt.AttemptRunner.make_attempt`."""
        ...

    async def withdraw(self) -> None:
        """Cancel it."""
        ...


@dataclass
class ActiveRequest:
    """One caller's request while the pipeline serves it. Times are in seconds on this node's clock."""

    request: CallerRequest
    reply: CallerReply
    route: Route
    tenant: TenantAccess | None
    """Tenant by the configuration under which the request was admitted; None for a caller without one. Access, rank
    and limit stay those of the admission; who may share cache is asked of the configuration in force."""
    service: str
    deadline_s: float
    attempt_log: AttemptLog
    limit_charge: Admitted | None = None
    """Tokens charged to the tenant's limit; None if the tenant has no limit."""
    history: AttemptHistory = field(default_factory=AttemptHistory)
    stream_position: StreamPosition = field(default_factory=StreamPosition)
    timing: AnswerTiming = field(default_factory=AnswerTiming)
    progress: SendProgress = field(default_factory=SendProgress)
    """Progress of the current attempt."""
    cache: CachePlan | None = None
    """Cache plan of the current attempt; None for a call, and before the first attempt."""
    stream_software: str | None = None
    """Software version whose back ends sent the events that the caller has; None if it has none, or not known."""
    is_stream_software_unknown: bool = False
    """Whether the caller has events of a back end that may run another version than is listed; then no back end may
    go on with the stream."""
    stream_known_by: str = ""
    """Node that knew the version of a stream which the caller resumes; empty if it was not in question."""
    stream_known_age_s: float = 0.0
    """Seconds since that node had learned it."""
    is_part_trial: bool = False
    """Whether the next attempt tries out a quarantined part of the prompt."""
    prefers_target: bool | None = None
    """Whether the target version of a rollout is tried first; None until the version has been drawn."""
    watch: WatchedAttempt | None = None
    """What is found out about the current attempt's back end; None if it is not watched."""
    reply_claim: ReplyClaim = field(default_factory=ReplyClaim)
    """Claim of the current attempt to the reply."""
    hedge: SecondAttempt | None = None
    """A second attempt that is open beside the current one."""
    successor: SecondAttempt | None = None
    """A second attempt that goes on alone once the current one has ended; kept in the pipeline's view only."""
    is_withdrawn: bool = False
    """Whether the current attempt was cancelled since the one that it was made beside goes on."""
    _pipeline_view: ActiveRequest | None = None
    """The pipeline's view of the request; None if this is it."""

    def hedge_view(self) -> ActiveRequest:
        """Return the request as a second attempt beside the current one sees it.

        It shares the history, the log of attempts and the reply, and has position, timing and progress of its own.
        """
        position = StreamPosition(self.stream_position.last_event_number, self.stream_position.events_forwarded)
        return replace(
            self,
            stream_position=position,
            timing=replace(self.timing),
            progress=SendProgress(),
            cache=None,
            watch=None,
            reply_claim=ReplyClaim(is_contested=True, taken=asyncio.get_running_loop().create_future()),
            hedge=None,
            successor=None,
            _pipeline_view=self._pipeline_view or self,
        )

    def hand_over(self) -> None:
        """Let the second attempt beside the current one go on as the request's only one, if there is one."""
        hedge = self.hedge
        if hedge is None:
            return
        self.hedge = None
        self.history.open_hedges -= 1
        hedge.active.reply_claim.is_contested = False
        (self._pipeline_view or self).successor = hedge

    def take_successor(self) -> SecondAttempt | None:
        """Return the second attempt that goes on, if there is one; its view of the request becomes this one."""
        successor = self.successor
        if successor is None:
            return None
        self.successor = None
        view = successor.active
        self.stream_position, self.timing, self.progress = view.stream_position, view.timing, view.progress
        self.cache, self.is_stream_software_unknown = view.cache, view.is_stream_software_unknown
        self.stream_software, self.prefers_target = view.stream_software, view.prefers_target
        return successor

    @property
    def rank(self) -> int:
        """Priority rank of the tenant, or of the route if the tenant has none; 0 is the most urgent."""
        if self.tenant is not None and self.tenant.rank is not None:
            return self.tenant.rank
        return self.route.rank

    @cached_property
    def placement_key(self) -> int:
        """Key of the longest shared prefix of a generation, by which its engine and KV store are chosen.

        The key includes the tenant's name if the tenant shared no cache with others when the request was admitted.
        It stays the same for all attempts: it says where parts are probably found, not who may use them.
        """
        assert self.request.generation is not None
        scope = self.tenant.name if self.tenant is not None and self.tenant.isolated else ""
        return placement_key(self.request.generation.parts, scope)

    @cached_property
    def content_digest(self) -> str:
        """Digest of the content of the request; unchanged when the caller sends the same request again."""
        request = self.request
        caller = self.tenant.name if self.tenant is not None else request.credential
        return content_digest(request.host, request.target, caller, request.body)

    @cached_property
    def part_digests(self) -> tuple[str, ...]:
        """Digests of the parts of the prompt under which crashes are counted: those before its own last part."""
        generation = self.request.generation
        parts = generation.parts[:-1][:MAX_PARTS_OF_REQUEST] if generation is not None else ()
        return tuple(part_digest(part.identity) for part in parts)

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline, which is set by the caller's or the route's timeout."""
        return self.deadline_s - boot_time_s()
