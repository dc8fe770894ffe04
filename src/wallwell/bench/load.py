"""Open-loop load over sockets: arrivals do not wait for answers; latency counts from the intended start."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from wallwell.bench.workload import GenerationRequest, ServiceRequest, TraceRequest
from wallwell.errors import NotReadyError
from wallwell.outcomes import Outcome
from wallwell.standalone.callers.caller import (
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    CallerErrorBody,
)
from wallwell.standalone.callers.openai_format import chunk_text

CONNECTION_LOST = "connection_lost"
CUT = "cut"
STOPPING = "stopping"
_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 3


def latency_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to ten minutes."""
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


@dataclass
class PriorityResult:
    """What became of one priority's requests."""

    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    first_token_us: HdrHistogram = field(default_factory=latency_histogram)
    between_tokens_us: HdrHistogram = field(default_factory=latency_histogram)

    def first_token_s(self, percentile: float) -> float:
        """Return a percentile of the first-token time."""
        return float(self.first_token_us.get_value_at_percentile(percentile)) / 1e6


@dataclass
class LoadResult:
    """What became of a trace."""

    priorities: dict[str, PriorityResult] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    """What a caller saw that must not happen: a cut stream, another request's tokens, a lost connection."""

    def of(self, priority: str) -> PriorityResult:
        """Return the result of one priority."""
        return self.priorities.setdefault(priority, PriorityResult())

    def outcomes(self) -> Counter[str]:
        """Outcomes of all requests."""
        total: Counter[str] = Counter()
        for result in self.priorities.values():
            total.update(result.outcomes)
        return total


ExpectedWord = Callable[[bytes, int], str]


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
                continue
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
            if response.status != 200:
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
        words: list[str] = []
        first_s = last_s = 0.0
        done = failed = False
        buffer = b""
        async for data in response.content.iter_any():
            *events, buffer = (buffer + data).split(b"\n\n")
            for event in events:
                if event.startswith(b"data: [DONE]"):
                    done = True
                elif event.startswith(b"event: error"):
                    failed = True
                else:
                    words.append(chunk_text(event))
                    last_s = time.monotonic()
                    first_s = first_s or last_s
        if first_s:
            result.first_token_us.record_value(max(1, round((first_s - intended_s) * 1e6)))
        if len(words) > 1:
            result.between_tokens_us.record_value(max(1, round((last_s - first_s) / (len(words) - 1) * 1e6)))
        if failed and not done:
            return "failed"
        self._check_words(request, words, done)
        return Outcome.COMPLETED.value if done else CUT

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
        if response.status == NotReadyError.http_status:
            error = msgspec.json.decode(await response.read(), type=CallerErrorBody)
            if error.code == NotReadyError.code:
                return STOPPING
        return response.headers.get(OUTCOME_HEADER, f"status_{response.status}")
