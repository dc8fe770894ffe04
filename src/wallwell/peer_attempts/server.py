"""Makes single attempts for peers that cannot connect to the back ends of a service themselves.

Checks the request's access by this node's own configuration, and whether the back end may get requests from this
node: what a back end states in its answers binds each node that passed it on. The asking node chooses the back end,
counts the attempt and decides what follows; this one only records what the attempt shows about its own links to the
back end, and whether the request crashes back ends.

Owns the attempts in flight. Of a peer's message only what a caller could have sent is believed: tenant, priority,
expected weights and cache scope are this node's own. An attempt is declined while the asking node has a newer
configuration by which others may share the request's cache.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, aclosing, nullcontext

from wallwell.clock import boot_time_s, time_limit
from wallwell.cluster.peer_link import ReplyStream
from wallwell.error_frames import release_frames
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.peer_attempts.messages import (
    AttemptDeclined,
    AttemptFailed,
    AttemptRequest,
    PeerNotice,
)
from wallwell.peer_attempts.reply import PeerReply
from wallwell.routing.admission.access import AccessRequest, Denial, Granted, decide_access
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import AttemptLog, TransportEvent
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.attempt_feedback import AttemptFeedback
from wallwell.serving.cache_planning import CachePlanner
from wallwell.serving.counters import RequestCounters
from wallwell.serving.liveness import LivenessMonitor
from wallwell.serving.messages import (
    AttemptError,
    BackendClient,
    CallerRequest,
    Dispatch,
)
from wallwell.serving.quarantine_check import quarantine_refusal
from wallwell.serving.request_reports import cache_fields
from wallwell.serving.version_choice import known_software


class PeerAttemptServer:
    """Makes attempts for the peers of one node."""

    def __init__(
        self,
        state: NodeState,
        client: BackendClient,
        feedback: AttemptFeedback,
        liveness: LivenessMonitor,
        counters: RequestCounters,
        is_ready: Callable[[], bool],
    ) -> None:
        """``client`` sends to back ends directly. ``is_ready`` returns whether this node takes requests at all."""
        self._state = state
        self._client = client
        self._feedback = feedback
        self._liveness = liveness
        self._is_ready = is_ready
        self._cache_planner = CachePlanner(state)
        self._counters = counters

    async def serve(self, message: AttemptRequest, replies: ReplyStream) -> None:
        """Make the attempt, or decline it; cancel it if the peer closes the connection."""
        request = message.caller_request(boot_time_s())
        admitted = self._admit(message, request)
        if isinstance(admitted, AttemptDeclined):
            self._count(message, None, "declined", admitted.reason)
            await replies.send(admitted)
            return
        active = self._active_request(message, request, admitted, PeerReply(replies))
        attempt = asyncio.ensure_future(self._make_attempt(message, active, replies))
        disconnected = asyncio.ensure_future(replies.wait_disconnected())
        try:
            await asyncio.wait((attempt, disconnected), return_when=asyncio.FIRST_COMPLETED)
            if attempt.done():
                attempt.result()  # Raises what is no result of an attempt, so that it is logged.
            else:
                self._count(message, active, "cancelled")
        finally:
            attempt.cancel()
            disconnected.cancel()
            await asyncio.gather(attempt, disconnected, return_exceptions=True)

    # --- whether to make it ----------------------------------------------------------------------------

    def _admit(self, message: AttemptRequest, request: CallerRequest) -> Granted | AttemptDeclined:
        """Return the request's route and tenant, or why this node does not make the attempt."""
        if not self._is_ready():
            return AttemptDeclined("the node is not ready")
        access = self._decide_access(request)
        if isinstance(access, Denial):
            return AttemptDeclined(access.value)
        backend = self._state.backends.get(message.incarnation)
        if backend is None:
            return access  # The attempt ends before anything is sent.
        service = backend.record.service
        if all(each.service != service for each in access.route.services):
            return AttemptDeclined("the route does not lead to this service")
        if self._state.reachability.is_unreachable(service):
            return AttemptDeclined("the node cannot connect to the service either", is_unreachable=True)
        if self._is_group_outdated(message, access):
            return AttemptDeclined("the node has an older configuration, by which others share the cache")
        return access

    def _is_group_outdated(self, message: AttemptRequest, access: Granted) -> bool:
        """Whether the asking node has a newer configuration that lets others share the request's cache."""
        config = self._state.config
        if config is None or message.configuration <= config.version:
            return False
        return config.cache_groups.group_of(access.tenant) != message.cache_group

    def _decide_access(self, request: CallerRequest) -> Granted | Denial:
        state = self._state
        access_request = AccessRequest(request.host, request.path, request.credential, len(request.body))
        return decide_access(state.config, state.is_fresh(request.arrived_s), access_request)

    def _usable_backend(self, message: AttemptRequest, active: ActiveRequest, now_s: float) -> Backend:
        """Return the back end of an attempt. Raises :class:`AttemptError` if it must get nothing from this node."""
        backend = self._state.backends.get(message.incarnation)
        if backend is None or backend.is_leaving(now_s):
            raise AttemptError(TransportEvent.WITHDRAWN, "the back end is leaving or not listed")
        if message.started_unix_ms is not None and backend.record.started_unix_ms != message.started_unix_ms:
            raise AttemptError(TransportEvent.WITHDRAWN, "another start of the back end is listed")
        if message.required_software not in (None, known_software(self._state, backend)):
            raise AttemptError(
                TransportEvent.WITHDRAWN, "the back end may run other software than began the stream"
            )
        if not backend.backoff.allows_request(now_s):
            raise AttemptError(TransportEvent.WITHDRAWN, "the back end asked for no requests")
        if now_s < backend.suspended_until_s and self._is_any_open(backend.record.service, now_s):
            raise AttemptError(TransportEvent.WITHDRAWN, "the back end is suspended")
        if quarantine_refusal(self._state, active, now_s) is not None:
            raise AttemptError(TransportEvent.WITHDRAWN, "the request is in quarantine")
        return backend

    def _is_any_open(self, service: str, now_s: float) -> bool:
        return any(each.is_open(now_s) for each in self._state.backends.backends_of_service(service))

    # --- the attempt -----------------------------------------------------------------------------------

    async def _make_attempt(self, message: AttemptRequest, active: ActiveRequest, replies: ReplyStream) -> None:
        try:
            async with time_limit(message.remaining_s):
                status = await self._send_and_reply(message, active)
            self._count(message, active, "answered", str(status))
        except AttemptError as failure:
            release_frames(failure)
            self._count(message, active, failure.event.value, failure.detail)
            await replies.send(_failed(failure))
        except TimeoutError as timeout:
            release_frames(timeout)
            self._count(message, active, "deadline")
            await replies.send(AttemptFailed(TransportEvent.ANSWER_TIMEOUT.value, "the deadline passed"))

    async def _send_and_reply(self, message: AttemptRequest, active: ActiveRequest) -> int:
        """Send the request, pass on the answer, return its status. Raises :class:`AttemptError` or TimeoutError."""
        backend = self._usable_backend(message, active, boot_time_s())
        active.timing.attempt_sent_s = boot_time_s()
        self._on_sent(backend, active.timing.attempt_sent_s)
        try:
            async with self._watch(backend, active) if active.route.repeatable else nullcontext():
                return await self._pass_on(self._dispatch(message, active, backend), active, backend)
        except AttemptError as failure:
            self._feedback.on_failure(active, backend, failure, boot_time_s())
            raise
        finally:
            backend.in_flight -= 1

    def _watch(self, backend: Backend, active: ActiveRequest) -> AbstractAsyncContextManager[object]:
        """Return a context that ends the attempt if the back end's machine does not answer: the asking node, which
        decides on another attempt, learns of it in no other way."""
        return self._liveness.watch(backend, active.progress, ends_if_suspected=True)

    def _on_sent(self, backend: Backend, now_s: float) -> None:
        """Record a request in flight at the back end; its load is in the report of the asking node."""
        if not backend.in_flight:
            backend.silence.on_idle_ended(now_s)
        backend.in_flight += 1
        backend.backoff.on_sent(now_s)

    async def _pass_on(self, dispatch: Dispatch, active: ActiveRequest, backend: Backend) -> int:
        """Send the request and pass on the answer as it comes; return its status."""
        answer = await self._client.send(dispatch)
        try:
            self._feedback.on_head(active, backend, answer.head)
            await active.reply.start(answer.head)
            async with aclosing(answer.chunks()) as chunks:  # type: ignore[type-var]
                async for data in chunks:
                    active.timing.on_events_forwarded(boot_time_s())
                    self._feedback.on_stream_data(active, backend, boot_time_s())
                    await active.reply.write(data)
            backend.on_success(boot_time_s())
            await active.reply.finish()
            return answer.head.status
        finally:
            answer.close()

    def _active_request(
        self, message: AttemptRequest, request: CallerRequest, access: Granted, reply: PeerReply
    ) -> ActiveRequest:
        backend = self._state.backends.get(message.incarnation)
        return ActiveRequest(
            request=request,
            reply=reply,
            route=access.route,
            tenant=access.tenant,
            service=backend.record.service if backend is not None else "",
            deadline_s=boot_time_s() + message.remaining_s,
            attempt_log=AttemptLog(repeatable=access.route.repeatable),
        )

    def _dispatch(self, message: AttemptRequest, active: ActiveRequest, backend: Backend) -> Dispatch:
        generation = active.request.generation
        version = 0 if generation is None else backend.believed_version(generation.model)
        active.cache = None if generation is None else self._cache_planner.plan(active, backend, boot_time_s())
        return Dispatch(
            backend=backend.record,
            request=active.request,
            tenant=active.tenant.name if active.tenant is not None else "",
            remaining_s=active.remaining_s(),
            rank=active.rank,
            expected_version=version,
            resume_after=message.resume_after,
            cache=active.cache,
            listing_status=lambda: backend.listing_status(boot_time_s()),
            may_send=lambda: self._may_send(active, backend),
        )

    def _may_send(self, active: ActiveRequest, backend: Backend) -> bool:
        now_s = boot_time_s()
        if not self._cache_planner.is_current(active, active.cache):
            return False
        return not backend.backoff.is_in_force(now_s) and quarantine_refusal(self._state, active, now_s) is None

    def _count(self, message: AttemptRequest, active: ActiveRequest | None, result: str, detail: str = "") -> None:
        """Count and log how an attempt ended; ``active`` is None if it was declined."""
        self._counters.attempts_for_peers[result] += 1
        emit(
            Event.ATTEMPT_FOR_PEER,
            request_id=message.request_id,
            backend=message.incarnation,
            result=result,
            detail=detail,
            **({} if active is None else cache_fields(active)),
        )


def _failed(failure: AttemptError) -> AttemptFailed:
    return AttemptFailed(
        failure.event.value, failure.detail, failure.weights_version, PeerNotice.of(failure.notice)
    )
