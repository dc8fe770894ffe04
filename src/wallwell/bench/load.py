"""Open-loop load over sockets: arrivals do not wait for answers; latency counts from the intended start.

Owns the requests in flight. Relies on the callers' interface of the standalone router; what becomes of the requests
is kept in :mod:`.load_result`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from http import HTTPStatus

import aiohttp
import msgspec

from wallwell.bench.load_result import LoadResult, PriorityResult
from wallwell.bench.received_stream import ReceivedStream
from wallwell.bench.workload import GenerationRequest, ServiceRequest, TraceRequest
from wallwell.errors import ConnectionEndedError, NotReadyError
from wallwell.outcomes import Outcome
from wallwell.standalone.callers.caller import (
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    CallerErrorBody,
)

CONNECTION_LOST = "connection_lost"
"""Outcome of a request whose connection broke before the answer began."""
CUT = "cut"
"""Outcome of a stream that ended without its terminal marker."""
STOPPING = "stopping"
"""Answer of a router that is stopping: the request goes to the next one."""
STOPPING_ERRORS = (NotReadyError, ConnectionEndedError)
ExpectedWord = Callable[[bytes, int], str]
"""Returns the token that an engine must generate for a prompt at an index."""


class LoadDriver:
    """Sends a trace to routers, round robin, and checks every answer.

    Like any caller it goes to the next router when a connection is refused or a router says that it is stopping.
    Requests that arrive in the first ``warm_up_s`` are sent and checked, but not counted.
    """

    def __init__(
        self,
        addresses: Callable[[], Sequence[str]],
        token_of: Callable[[str], str],
        expected_word: ExpectedWord | None = None,
        on_progress: Callable[[int], None] = lambda _done: None,
        warm_up_s: float = 0.0,
    ) -> None:
        self._addresses = addresses
        self._token_of = token_of
        self._expected_word = expected_word
        self._on_progress = on_progress
        self._warm_up_s = warm_up_s
        self._done = 0
        self.result = LoadResult()

    async def run(self, trace: Sequence[TraceRequest]) -> LoadResult:
        """Send every request at its time; returns when all have ended."""
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            self._session = session
            start_s = time.monotonic()
            tasks = []
            for request in trace:
                delay_s = start_s + request.arrival_s - time.monotonic()
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                tasks.append(asyncio.create_task(self._send(request, start_s + request.arrival_s)))
            await asyncio.gather(*tasks)
        return self.result

    async def _send(self, request: TraceRequest, intended_s: float) -> None:
        counted = request.arrival_s >= self._warm_up_s
        result = self.result.of(request.priority) if counted else PriorityResult()
        result.requests += 1
        outcome = await self._send_somewhere(request, intended_s, result)
        result.outcomes[outcome] += 1
        self._done += 1
        self._on_progress(self._done)

    async def _send_somewhere(self, request: TraceRequest, intended_s: float, result: PriorityResult) -> str:
        addresses = self._addresses()
        for attempt in range(len(addresses)):
            base = f"http://{addresses[(request.number + attempt) % len(addresses)]}"
            try:
                if isinstance(request, GenerationRequest):
                    outcome = await self._generate(base, request, intended_s, result)
                else:
                    outcome = await self._call(base, request)
            except aiohttp.ClientConnectorError:
                continue  # Nothing was sent, so the next router may get the request.
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                self._violate(request, type(error).__name__)
                return CONNECTION_LOST
            if outcome != STOPPING:
                return outcome
        return Outcome.NOT_RUN.value

    def _violate(self, request: TraceRequest, detail: str) -> None:
        self.result.violations.append(f"request {request.number}: {detail}")

    def _headers(self, request: TraceRequest) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._token_of(request.tenant)}",
            PRIORITY_HEADER: request.priority,
            REQUEST_ID_HEADER: f"load-{request.number}",
        }

    async def _generate(
        self, base: str, request: GenerationRequest, intended_s: float, result: PriorityResult
    ) -> str:
        body = {
            "model": request.model,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "stream": True,
        }
        url = base + "/v1/completions"
        async with self._session.post(url, json=body, headers=self._headers(request)) as response:
            if response.status != HTTPStatus.OK:
                return await self._refusal(response)
            return await self._read_stream(request, response, intended_s, result)

    async def _read_stream(
        self,
        request: GenerationRequest,
        response: aiohttp.ClientResponse,
        intended_s: float,
        result: PriorityResult,
    ) -> str:
        """Check that every token arrives once and in order, and that the terminal marker is the last."""
        stream = ReceivedStream()
        async for data in response.content.iter_any():
            stream.receive(data, time.monotonic())
        stream.record(result, intended_s)
        if stream.error and not stream.done:
            return Outcome.FAILED.value
        self._check_words(request, stream.words, stream.done)
        return Outcome.COMPLETED.value if stream.done else CUT

    def _check_words(self, request: GenerationRequest, words: list[str], done: bool) -> None:
        if not done or len(words) != request.max_tokens:
            self._violate(request, f"cut after {len(words)} tokens")
        if self._expected_word is None:
            return
        prompt = request.prompt.encode()
        expected = [self._expected_word(prompt, index) for index in range(len(words))]
        if words != expected:
            self._violate(request, "tokens of another request or order")

    async def _call(self, base: str, request: ServiceRequest) -> str:
        headers = self._headers(request)
        if request.key:
            headers[IDEMPOTENCY_HEADER] = request.key
        url = f"{base}/{request.service}/{request.path}"
        async with self._session.request(
            request.method, url, data=request.body.encode(), headers=headers
        ) as response:
            await response.read()
            return await self._refusal(response)

    async def _refusal(self, response: aiohttp.ClientResponse) -> str:
        """Return the outcome a router names, or that it is stopping."""
        if response.status in {error.http_status for error in STOPPING_ERRORS}:
            error = msgspec.json.decode(await response.read(), type=CallerErrorBody)
            if error.code in {error.code for error in STOPPING_ERRORS}:
                return STOPPING
        return response.headers.get(OUTCOME_HEADER, f"status_{response.status}")
