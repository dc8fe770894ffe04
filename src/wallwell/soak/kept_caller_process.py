"""Callers that use open connections until the router's process is gone, one process apart from the other callers.

Each sends one request after the other to its node: at once after an answer, shortly after it, or while it still
comes. A caller whose connection ends opens the next one as soon as the node takes it. Nothing is sent twice.
"""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import msgspec

from wallwell.platform import names
from wallwell.soak.answers import HARMLESS_BODY, paced_path
from wallwell.soak.caller_process import (
    CONNECT_TIMEOUT_S,
    GIVE_UP_SLACK_S,
    PATHS,
    Collected,
    headers_of,
)
from wallwell.soak.control import Announcement, announce
from wallwell.soak.history import HistoryWriter, Left, Sent, SentWhole
from wallwell.soak.kept_requests import draw_kept_request
from wallwell.soak.raw_http import CHUNKED, encode_head, read_body, read_head, send_chunks
from wallwell.soak.schedule import GoesOn, KeptCaller, PlannedRequest

PAUSES_S = {GoesOn.AFTER_5_MS: 0.005, GoesOn.AFTER_30_MS: 0.03}
"""Seconds between an answer and the next request, of callers that wait."""
CHUNKS = 4
"""Chunks of a body that comes in chunks."""
SLOW_CHUNKS_S = (0.05, 0.75)
"""Least and most seconds that a slow body takes."""
AFTER_REFUSAL_S = 0.1
"""Seconds after an answer that is no success, and between two tries to connect."""


class KeptCallerSettings(msgspec.Struct, frozen=True):
    """Settings of the process. ``nodes`` are the routers' addresses for callers."""

    history: str
    nodes: tuple[str, ...]
    start_s: float
    callers: tuple[KeptCaller, ...]


class KeptCallerProcess:
    """All callers that keep their connections."""

    def __init__(self, settings: KeptCallerSettings) -> None:
        self._settings = settings
        self._history = HistoryWriter(Path(settings.history))

    async def run(self) -> None:
        """Send everything and wait for the ends."""
        announce(Announcement(()))
        async with asyncio.TaskGroup() as callers:
            for caller in self._settings.callers:
                address = self._settings.nodes[caller.node]
                callers.create_task(_Caller(caller, address, self._settings.start_s, self._history).run())


class _Made(msgspec.Struct):
    """A request that was sent, and when its caller gives it up."""

    planned: PlannedRequest
    gives_up_s: float


class _Caller:
    """One caller. It may have two requests on its connection, if it sends one while an answer comes."""

    def __init__(self, caller: KeptCaller, address: str, start_s: float, history: HistoryWriter) -> None:
        self._caller = caller
        self._address = address
        self._from_s = start_s + caller.from_s
        self._until_s = start_s + caller.until_s
        self._history = history
        self._is_chunked = caller.goes_on in (GoesOn.CHUNKED, GoesOn.SLOW_CHUNKS)
        self._count = 0

    async def run(self) -> None:
        """Use one connection after the other until the time has come."""
        await asyncio.sleep(self._from_s - time.monotonic())
        while not self._is_over():
            try:
                reader, writer = await self._connect()
            except (OSError, TimeoutError):
                await asyncio.sleep(AFTER_REFUSAL_S)  # The node is stopping or has ended; it starts again.
                continue
            try:
                is_served = await self._use(reader, writer)
            finally:
                writer.close()
            if not is_served:
                await asyncio.sleep(AFTER_REFUSAL_S)

    def _is_over(self) -> bool:
        return time.monotonic() >= self._until_s

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self._address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(host, int(port))

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request after the other until the connection ends or the time has come; returns whether the last
        answer was a whole success."""
        made: _Made | None = await self._send(writer)
        while made is not None:
            collected = Collected(made.planned, made.planned.request)
            following = await self._read(made, collected, reader, writer)
            made = await self._go_on(collected, following, writer)
        return collected.whole and collected.is_success

    async def _go_on(
        self, collected: Collected, following: _Made | None, writer: asyncio.StreamWriter
    ) -> _Made | None:
        """Return the next request, which was perhaps sent already; None where the connection is not used again."""
        is_usable = collected.whole and collected.kept
        if following is not None and not is_usable:
            # Its answer cannot come any more. Its record says so.
            self._history.add(Collected(following.planned, following.planned.request).answered(time.monotonic()))
            return None
        if not is_usable or self._caller.goes_on is GoesOn.NEW_CONNECTION:
            return None
        if following is None:
            pause_s = PAUSES_S.get(self._caller.goes_on, 0.0)
            if not collected.is_success:
                pause_s = AFTER_REFUSAL_S
            if pause_s:
                await asyncio.sleep(pause_s)
            following = None if self._is_over() else await self._send(writer)
        return following

    async def _read(
        self, made: _Made, collected: Collected, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> _Made | None:
        """Read an answer as far as it comes and record it; returns the request that was sent meanwhile."""
        following = None
        try:
            async with asyncio.timeout(made.gives_up_s - time.monotonic()):
                head = await read_head(reader)
                collected.status = head.status
                collected.seal = head.headers.get(names.SEAL.lower(), "")
                collected.identity = head.headers.get(names.REQUEST_ID.lower(), "")
                collected.kept = head.keeps_connection
                if collected.kept and self._caller.goes_on is GoesOn.PIPELINED and not self._is_over():
                    following = await self._send(writer, behind=made.planned.request)
                await read_body(reader, head, collected.take)
                collected.whole = True
        except TimeoutError:
            self._history.add(Left(time.monotonic(), made.planned.request))
        except (OSError, EOFError):
            pass  # The answer ended early or never came. The record says how far it got.
        self._history.add(collected.answered(time.monotonic()))
        return following

    async def _send(self, writer: asyncio.StreamWriter, behind: str = "") -> _Made:
        """Send the next request and record it."""
        planned = draw_kept_request(self._caller, self._count)
        self._count += 1
        path = PATHS[planned.kind]
        now_s = time.monotonic()
        self._history.add(
            Sent(
                now_s,
                planned.request,
                planned.kind,
                path,
                planned.key,
                f"node-{planned.node}",
                planned.events,
                deadline_s=planned.deadline_s,
                behind=behind,
                in_chunks=self._is_chunked,
            )
        )
        try:
            await self._write(writer, planned, paced_path(path, planned.pace_s, planned.request))
        except OSError:
            pass  # The connection has ended; that is found as the answer is read.
        return _Made(planned, now_s + planned.deadline_s + GIVE_UP_SLACK_S)

    async def _write(self, writer: asyncio.StreamWriter, planned: PlannedRequest, path: str) -> None:
        headers = headers_of(planned, planned.request, planned.deadline_s)
        if not self._is_chunked:
            head = encode_head(path, {**headers, "Content-Length": str(len(HARMLESS_BODY))})
            writer.write(head + HARMLESS_BODY)
            return
        writer.write(encode_head(path, {**headers, "Transfer-Encoding": CHUNKED}))
        is_slow = self._caller.goes_on is GoesOn.SLOW_CHUNKS
        lasts_s = random.Random(f"{planned.request}/body").uniform(*SLOW_CHUNKS_S) if is_slow else 0.0
        await send_chunks(writer, HARMLESS_BODY, CHUNKS, lasts_s)
        self._history.add(SentWhole(time.monotonic(), planned.request))
