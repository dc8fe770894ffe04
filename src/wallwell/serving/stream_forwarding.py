"""Forwards the events of a streamed answer to the caller as they arrive.

Only complete events are forwarded, each number once and in order, also when another attempt resumes the stream:
:class:`~wallwell.serving.event_stream.StreamPosition` covers all attempts of the request. All events of a stream
come from back ends of one software version. This module detects stalled and broken streams; the retry policy sets
the stall timeout, and :mod:`wallwell.serving.hedging` makes a second attempt beside a stalled stream.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from wallwell.clock import boot_time_s
from wallwell.errors import StreamOrderError
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.retry.retry_policy import RetryPolicy
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.attempt_feedback import AttemptFeedback
from wallwell.serving.hedging import Hedger
from wallwell.serving.messages import AttemptError, BackendAnswer
from wallwell.serving.request_reports import RequestReporter
from wallwell.serving.stream_origin import StreamOriginBinder
from wallwell.serving.version_choice import known_software
from wallwell.task_wait import cancel_and_wait


class StreamForwarder:
    """Forwards streamed answers of one node."""

    def __init__(
        self,
        state: NodeState,
        policy: RetryPolicy,
        feedback: AttemptFeedback,
        reporter: RequestReporter,
        origins: StreamOriginBinder,
        hedger: Hedger,
    ) -> None:
        self._state = state
        self._hedger = hedger
        self._policy = policy
        self._feedback = feedback
        self._reporter = reporter
        self._origins = origins

    async def forward(self, active: ActiveRequest, backend: Backend, answer: BackendAnswer) -> None:
        """Forward events until the stream ends. Raises :class:`AttemptError` if the stream stalls or breaks off."""
        position = active.stream_position
        position.begin_attempt()
        async with aclosing(answer.chunks()) as chunks:  # type: ignore[type-var]
            while True:
                data = await self._next_data(active, backend, chunks)
                if data is None:
                    break
                self._feedback.on_stream_data(active, backend, boot_time_s())
                if active.watch is not None:
                    active.watch.on_received()
                await self._write_events(active, backend, answer, data)
        if position.has_partial_event or not position.events_forwarded:
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, "the stream ended empty or within an event")
        await self._hedger.settle(active, backend)
        await active.reply.finish()

    async def _next_data(
        self, active: ActiveRequest, backend: Backend, chunks: AsyncIterator[bytes]
    ) -> bytes | None:
        """Return the next bytes, None at the end.

        Raises :class:`AttemptError` if the stream stalls and another back end has gone on with it.
        """
        stall_s = self._policy.stall_timeout_s(active.route, active.history)
        if stall_s is None and active.hedge is None:
            return await anext(chunks, None)
        reading = asyncio.ensure_future(_read(chunks))
        try:
            return await self._hedger.await_result(active, backend, reading, stall_s)
        finally:
            await cancel_and_wait(reading)

    async def _on_first_events(self, active: ActiveRequest, backend: Backend) -> None:
        """Record where the stream begins or goes on; called before the first events of an attempt are forwarded."""
        software = known_software(self._state, backend)
        if active.stream_software not in (None, software):
            now_at = (
                f"with software {software}" if software is not None else "after a crash, and is not listed since"
            )
            raise AttemptError(TransportEvent.FOREIGN_ANSWER, f"the back end was started again {now_at}")
        await self._hedger.settle(active, backend)
        resumed_by_router = active.reply.started
        if resumed_by_router or active.request.resumes_stream:
            self._reporter.on_stream_resumed(active, backend, by_caller=not resumed_by_router)
        active.stream_software, active.is_stream_software_unknown = software, software is None
        if not resumed_by_router and software is not None:
            await self._origins.on_begun(active, software)

    async def _write_events(
        self, active: ActiveRequest, backend: Backend, answer: BackendAnswer, data: bytes
    ) -> None:
        try:
            batch = active.stream_position.feed(data)
        except StreamOrderError as error:
            raise AttemptError(TransportEvent.FOREIGN_ANSWER, error.detail) from error
        if not batch.events:
            return
        if active.timing.attempt_first_event_s is None:
            await self._on_first_events(active, backend)
        elif active.hedge is not None:
            await self._hedger.settle(active, backend)
        if not active.reply.started:
            await active.reply.start(answer.head)
        active.timing.on_events_forwarded(boot_time_s())
        active.stream_position.on_forwarded(batch)
        await active.reply.write(b"".join(batch.events))


async def _read(chunks: AsyncIterator[bytes]) -> bytes | None:
    return await anext(chunks, None)
