"""A generation's answer to its caller: a stream as it is received, or one whole body at the end.

Owns the caller's side of the answer. A stream that cannot be completed ends with a typed error event and without
the terminal marker, so that no caller takes it for a whole one.
"""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp import web

from wallwell.errors import RequestError
from wallwell.events import Event, emit
from wallwell.outcomes import Outcome
from wallwell.standalone.backends.engine_protocol import DONE_EVENT
from wallwell.standalone.callers.caller import OUTCOME_HEADER, REQUEST_ID_HEADER, error_body
from wallwell.standalone.callers.generation_run import GenerationRun
from wallwell.standalone.callers.openai_format import whole_answer
from wallwell.standalone.metrics import NodeMetrics


@dataclass(frozen=True)
class GenerationAnswer:
    """Answers ``request`` with what ``run`` receives; ``buffer_bytes`` bounds what is held for a slow caller."""

    request: web.Request
    run: GenerationRun
    buffer_bytes: int

    async def forward(self, event: bytes) -> None:
        """Pass on one stream event, if the caller asked for a stream."""
        if not self.run.body.stream:
            return
        response = self.run.response
        if response is None:
            response = await self._begin_stream()
        # Awaits the socket, so a slow caller slows reading from the engine instead of filling memory.
        await response.write(event)

    async def _begin_stream(self) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                REQUEST_ID_HEADER: self.run.caller.request_id,
            }
        )
        # Noted before the head is sent: once a byte may have left, an error can only be an event of the stream.
        self.run.response = response
        await response.prepare(self.request)
        if self.request.transport is not None:
            self.request.transport.set_write_buffer_limits(high=self.buffer_bytes)
        return response

    async def complete(self) -> web.StreamResponse:
        """End the stream, or return the whole answer."""
        run = self.run
        if run.response is not None:
            await run.response.write(DONE_EVENT + b"\n\n")
            await run.response.write_eof()
            return run.response
        request_id = run.caller.request_id
        payload = whole_answer(run.body, request_id, run.events, run.head.prompt_tokens)
        headers = {REQUEST_ID_HEADER: request_id, OUTCOME_HEADER: Outcome.COMPLETED.value}
        return web.Response(body=payload, content_type="application/json", headers=headers)

    async def end_broken(self, response: web.StreamResponse, error: RequestError) -> web.StreamResponse:
        """End a started stream with a typed error event."""
        request_id = self.run.caller.request_id
        emit(Event.STREAM_BROKEN, request_id=request_id, code=error.code)
        payload = error_body(error, request_id)
        await response.write(b'event: error\ndata: {"error": %s}\n\n' % payload)
        await response.write_eof()
        return response


def count_generation(metrics: NodeMetrics, run: GenerationRun, outcome: Outcome) -> None:
    """Count an ended generation and its mean time between tokens."""
    caller = run.caller
    metrics.requests.labels("generation", caller.priority_name, outcome.value).inc()
    tokens = len(run.events)
    if run.first_token_s is not None and tokens > 1:
        since_start_s = run.last_token_s - caller.started_s
        between_s = (since_start_s - run.first_token_s) / (tokens - 1)
        metrics.between_tokens_s.labels(caller.priority_name).observe(between_s)
