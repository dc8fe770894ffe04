"""Forwards the events of a streamed answer to the caller as they arrive.

Only complete events are forwarded, each number once and in order, also when another attempt resumes the stream:
:class:`~wallwell.serving.event_stream.StreamPosition` covers all attempts of the request. This module detects
stalled and broken streams; the retry policy sets the stall timeout.
"""

from __future__ import annotations

from contextlib import aclosing

from wallwell.clock import boot_time_s, time_limit
from wallwell.errors import StreamOrderError
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.retry.retry_policy import RetryPolicy
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.attempt_feedback import AttemptFeedback
from wallwell.serving.messages import AttemptError, BackendAnswer


class StreamForwarder:
    """Forwards streamed answers of one node."""

    def __init__(self, policy: RetryPolicy, feedback: AttemptFeedback) -> None:
        self._policy = policy
        self._feedback = feedback

    async def forward(self, active: ActiveRequest, backend: Backend, answer: BackendAnswer) -> None:
        """Forward events until the stream ends. Raises :class:`AttemptError` if the stream stalls or breaks off."""
        position = active.stream_position
        position.discard_partial_event()
        stall_s = self._policy.stall_timeout_s(active.route, active.history)
        async with aclosing(answer.chunks()) as chunks:  # type: ignore[type-var]
            while True:
                try:
                    async with time_limit(stall_s):
                        data = await anext(chunks, None)
                except TimeoutError:
                    raise AttemptError(TransportEvent.ANSWER_TIMEOUT, "the stream stalled") from None
                if data is None:
                    break
                self._feedback.on_stream_data(active, backend, boot_time_s())
                await self._write_events(active, answer, data)
        if position.has_partial_event or not position.events_forwarded:
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, "the stream ended empty or within an event")
        await active.reply.finish()

    async def _write_events(self, active: ActiveRequest, answer: BackendAnswer, data: bytes) -> None:
        try:
            events = active.stream_position.feed(data)
        except StreamOrderError as error:
            raise AttemptError(TransportEvent.FOREIGN_ANSWER, error.detail) from error
        if not events:
            return
        if not active.reply.started:
            await active.reply.start(answer.head)
        active.timing.on_events_forwarded(boot_time_s())
        await active.reply.write(b"".join(events))
