"""The callers of a run, one process: sends the planned requests at their times and records the answers.

Callers retry nothing: each request is sent once, so that what ran twice is the routers' doing.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import aiohttp
import msgspec
import yarl

from wallwell.platform import names
from wallwell.soak.answers import CRASHING_BODY, HARMLESS_BODY, call_body, events_of
from wallwell.soak.control import Announcement, announce
from wallwell.soak.history import Answered, HistoryWriter, Left, RequestKind, Sent
from wallwell.soak.schedule import PlannedRequest

ROUTE_HOST = "soak.example"
PATHS = {
    RequestKind.SAFE: "/read/",
    RequestKind.UNSAFE: "/book/",
    RequestKind.STREAM: "/chat/",
    RequestKind.RESUMABLE: "/resume/",
}
MODEL = "m"
GIVE_UP_SLACK_S = 1.0
"""How much longer than its deadline a caller waits for the end of an answer that has begun."""
CONNECT_TIMEOUT_S = 1.0
"""Seconds that a caller gives a new connection to come up."""


TAKE_UP_PAUSE_S = 0.05
"""Seconds from the end of a broken stream to the request that takes it up."""
LEAST_TAKE_UP_S = 0.3
"""Time that a caller must have left to take a stream up."""


class CallerSettings(msgspec.Struct, frozen=True):
    """Settings of the callers' process. ``nodes`` are the routers' addresses for callers."""

    history: str
    nodes: tuple[str, ...]
    start_s: float
    requests: tuple[PlannedRequest, ...]
    takes_up: bool = False
    """Whether callers take up streams that break off, if the route allows it."""


class _Try(msgspec.Struct, frozen=True):
    """One request of a caller: its first, or the one that takes up the stream that ``resumes`` began."""

    request: str
    node: int
    deadline_s: float
    resumes: str = ""
    resume_after: int = 0


class CallerProcess:
    """All callers."""

    def __init__(self, settings: CallerSettings) -> None:
        self._settings = settings
        self._history = HistoryWriter(Path(settings.history))

    async def run(self) -> None:
        """Send everything and wait for the ends."""
        announce(Announcement(()))
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        async with self._session, asyncio.TaskGroup() as callers:
            for planned in self._settings.requests:
                callers.create_task(self._call(planned))

    async def _call(self, planned: PlannedRequest) -> None:
        await asyncio.sleep(self._settings.start_s + planned.at_s - time.monotonic())
        sent_s = time.monotonic()
        answer = await self._try(planned, _Try(planned.request, planned.node, planned.deadline_s))
        again = self._take_up(planned, answer, sent_s)
        if again is not None:
            await asyncio.sleep(TAKE_UP_PAUSE_S)
            await self._try(planned, again)

    def _take_up(self, planned: PlannedRequest, answer: Answered, sent_s: float) -> _Try | None:
        """Return the request by which a caller gets the rest of a broken stream, at the same or the next node."""
        if not self._settings.takes_up or planned.kind is not RequestKind.RESUMABLE or planned.leaves_after_s:
            return None
        remaining_s = planned.deadline_s - (time.monotonic() - sent_s) - TAKE_UP_PAUSE_S
        if answer.whole or not answer.own or not answer.events or remaining_s < LEAST_TAKE_UP_S:
            return None
        node = (planned.node + len(answer.events) % 2) % len(self._settings.nodes)
        return _Try(f"{planned.request}-again", node, remaining_s, planned.request, answer.events[-1])

    async def _try(self, planned: PlannedRequest, attempt: _Try) -> Answered:
        """Send one request and return how it ended; both are recorded."""
        node = self._settings.nodes[attempt.node]
        path = PATHS[planned.kind]
        self._history.add(
            Sent(
                time.monotonic(),
                attempt.request,
                planned.kind,
                path,
                planned.key,
                f"node-{attempt.node}",
                planned.events,
                planned.content,
                attempt.deadline_s,
                attempt.resumes,
                attempt.resume_after,
                planned.bad_part,
                planned.skewed,
            )
        )
        collected = Collected(planned, attempt.request)
        timeout_s = planned.leaves_after_s or attempt.deadline_s + GIVE_UP_SLACK_S
        try:
            async with asyncio.timeout(timeout_s):
                url = f"http://{node}{path}{planned.content or planned.request}"
                await self._round_trip(planned, attempt, url, collected)
        except TimeoutError:
            self._history.add(Left(time.monotonic(), attempt.request))
        except (aiohttp.ClientError, OSError):
            pass  # The answer ended early or never came. The record says how far it got.
        answer = collected.answered(time.monotonic())
        self._history.add(answer)
        return answer

    async def _round_trip(self, planned: PlannedRequest, attempt: _Try, url: str, collected: Collected) -> None:
        target = yarl.URL(url, encoded=True)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        headers = headers_of(planned, attempt.request, attempt.deadline_s)
        if attempt.resumes:
            headers[names.RESUMES] = attempt.resumes
            headers[names.RESUME_AFTER] = str(attempt.resume_after)
        body = CRASHING_BODY if planned.content else HARMLESS_BODY
        async with self._session.post(target, data=body, headers=headers, timeout=timeout) as response:
            collected.status = response.status
            collected.seal = response.headers.get(names.SEAL, "")
            collected.identity = response.headers.get(names.REQUEST_ID, "")
            async for data in response.content.iter_any():
                collected.take(data)
            collected.whole = True


class Collected:
    """What has arrived of one answer so far."""

    def __init__(self, planned: PlannedRequest, request: str) -> None:
        self._planned = planned
        self._request = request
        self.status = 0
        self.seal = ""
        self.identity = ""
        self.body = b""
        self.whole = False
        self.kept = False
        """Whether the head leaves the connection open."""

    @property
    def is_success(self) -> bool:
        """Whether the head tells of a success."""
        return 200 <= self.status < 300

    def take(self, data: bytes) -> None:
        """Add a part of the body."""
        self.body += data

    def answered(self, now_s: float) -> Answered:
        """Return the record of the answer as far as it came."""
        request = self._request
        if not self.is_success:
            return Answered(now_s, request, self.status, self.seal, whole=self.whole, kept=self.kept)
        own_head = self.identity == request
        if self._planned.kind.is_stream:
            body = events_of(request, self.body)
            is_own = own_head and body.is_own
            return Answered(
                now_s, request, self.status, self.seal, is_own, self.whole, body.numbers, body.versions, self.kept
            )
        expected = call_body(request)
        own_body = self.body == expected if self.whole else expected.startswith(self.body)
        return Answered(now_s, request, self.status, self.seal, own_head and own_body, self.whole, kept=self.kept)


def headers_of(planned: PlannedRequest, request: str, deadline_s: float) -> dict[str, str]:
    """Return the headers of a request that is sent under an identity."""
    headers = {
        "Host": ROUTE_HOST,
        names.REQUEST_ID: request,
        names.CREDENTIAL: planned.key,
        names.DEADLINE_MS: str(round(deadline_s * 1000)),
    }
    if planned.kind.is_stream:
        headers[names.MODEL] = MODEL
        headers[names.TOKEN_USAGE] = f"{planned.prompt_tokens},{planned.events}"
        headers[names.PROMPT_PARTS] = planned.prompt_parts
    return headers
