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


class CallerSettings(msgspec.Struct, frozen=True):
    """Settings of the callers' process. ``nodes`` are the routers' addresses for callers."""

    history: str
    nodes: tuple[str, ...]
    start_s: float
    requests: tuple[PlannedRequest, ...]


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
        node = self._settings.nodes[planned.node]
        node_name = f"node-{planned.node}"
        path = PATHS[planned.kind]
        sent_s, events, content = time.monotonic(), planned.events, planned.content
        self._history.add(
            Sent(
                sent_s,
                planned.request,
                planned.kind,
                path,
                planned.key,
                node_name,
                events,
                content,
                planned.deadline_s,
            )
        )
        collected = Collected(planned)
        timeout_s = planned.leaves_after_s or planned.deadline_s + GIVE_UP_SLACK_S
        try:
            async with asyncio.timeout(timeout_s):
                url = f"http://{node}{path}{planned.content or planned.request}"
                await self._round_trip(planned, url, collected)
        except TimeoutError:
            self._history.add(Left(time.monotonic(), planned.request))
        except (aiohttp.ClientError, OSError):
            pass  # The answer ended early or never came. The record says how far it got.
        self._history.add(collected.answered(time.monotonic()))

    async def _round_trip(self, planned: PlannedRequest, url: str, collected: Collected) -> None:
        target = yarl.URL(url, encoded=True)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        headers = _headers(planned)
        body = CRASHING_BODY if planned.content else HARMLESS_BODY
        async with self._session.post(target, data=body, headers=headers, timeout=timeout) as response:
            collected.status = response.status
            collected.seal = response.headers.get(names.SEAL, "")
            collected.identity = response.headers.get(names.REQUEST_ID, "")
            async for data in response.content.iter_any():
                collected.body += data
            collected.whole = True


class Collected:
    """What has arrived of one answer so far."""

    def __init__(self, planned: PlannedRequest) -> None:
        self._planned = planned
        self.status = 0
        self.seal = ""
        self.identity = ""
        self.body = b""
        self.whole = False

    def answered(self, now_s: float) -> Answered:
        """Return the record of the answer as far as it came."""
        request = self._planned.request
        if not 200 <= self.status < 300:
            return Answered(now_s, request, self.status, self.seal, whole=self.whole)
        own_head = self.identity == request
        if self._planned.kind.is_stream:
            events, own_body = events_of(request, self.body)
            return Answered(now_s, request, self.status, self.seal, own_head and own_body, self.whole, events)
        expected = call_body(request)
        own_body = self.body == expected if self.whole else expected.startswith(self.body)
        return Answered(now_s, request, self.status, self.seal, own_head and own_body, self.whole)


def _headers(planned: PlannedRequest) -> dict[str, str]:
    headers = {
        "Host": ROUTE_HOST,
        names.REQUEST_ID: planned.request,
        names.CREDENTIAL: planned.key,
        names.DEADLINE_MS: str(round(planned.deadline_s * 1000)),
    }
    if planned.kind.is_stream:
        headers[names.MODEL] = MODEL
        headers[names.TOKEN_USAGE] = f"{planned.prompt_tokens},{planned.events}"
        headers[names.PROMPT_PARTS] = planned.prompt_parts
    return headers
