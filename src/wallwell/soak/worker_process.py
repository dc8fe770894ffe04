"""A worker of a run: an engine that streams or an instance that answers calls, with switches for bad software.

Records each request before it works on it, so that a kill hides nothing.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

from aiohttp import web

from wallwell.address import parse_address
from wallwell.cluster.peer_link import PeerLink
from wallwell.emulator.kv_store import EngineCache
from wallwell.emulator.platform_worker import ACCEPTED, PlatformWorkerEmulator, UnframedResponse
from wallwell.errors import PeerUnavailableError
from wallwell.platform import names
from wallwell.soak import broken_answers
from wallwell.soak.answers import CRASH_STATUS, CRASHING_BODY, call_body, event_text, pace_of
from wallwell.soak.control import Announcement, Done, Farewell, Heartbeat, announce
from wallwell.soak.history import (
    Arrived,
    Began,
    Ended,
    HistoryWriter,
    LeavingStated,
    LimitStated,
    OrderTaken,
    PartsUsed,
    SentAgain,
    SentBroken,
)
from wallwell.soak.schedule import BACKOFF_S, STATED_LIMIT_PER_S
from wallwell.soak.second_answers import STREAM_BODY, AnswerRepeater
from wallwell.soak.worker_settings import WorkerSettings

CONTROL_TIMEOUT_S = 1.0
"""Seconds for a heartbeat, twice the time between two."""
MISDIRECTED = HTTPStatus.MISDIRECTED_REQUEST.value
FULL = HTTPStatus.SERVICE_UNAVAILABLE.value
FAILED = HTTPStatus.INTERNAL_SERVER_ERROR.value
BUSY = HTTPStatus.CONFLICT.value
FENCED = HTTPStatus.PRECONDITION_FAILED.value
CRASH_AFTER_S = 0.05
"""How long a worker runs a request that crashes it: other requests run beside it."""
REJECTED_SHARE = 0.4
"""Share of the requests that a worker rejects though it has room, where answers come twice: many are then sent to
the worker again that rejected them."""
UNFRAMED_FRACTION = 0.2
"""Fraction of the answers without a length or chunks, where some are."""
QUEUE_LENGTH = 4
"""Requests that a worker queues beyond its slots before it refuses."""


class SoakWorker(PlatformWorkerEmulator):
    """One incarnation."""

    def __init__(self, settings: WorkerSettings) -> None:
        super().__init__(settings.incarnation, settings.service, settings.model, settings.software)
        self.zone = settings.zone
        self.slots = settings.slots
        self.version = settings.weights
        self._settings = settings
        self._history = HistoryWriter(Path(settings.history))
        self._running = 0
        self._parts = EngineCache()
        self._is_shedding = False
        self._highest_fence = 0
        self._started_s = time.monotonic()
        self._born_unix_ms = int(time.time() * 1000)
        self._store = PeerLink(parse_address(settings.store_control))
        self._store_lock = asyncio.Lock()
        self._generator = random.Random(f"{settings.seed}/second answers/{settings.incarnation}")
        self._repeater = AnswerRepeater(self._generator, self._record_repeated)

    def entry(self) -> dict[str, Any]:
        """See :class:`PlatformWorkerEmulator`."""
        return {**super().entry(), "addr": self._settings.listed_address, "born": self._born_unix_ms}

    async def run(self) -> None:
        """Serve until SIGTERM; SIGUSR1 begins a planned leave, SIGUSR2 begins or ends a time in which it refuses
        everything, SIGHUP one in which it states a limit. The entry is kept by heartbeats."""
        loop = asyncio.get_running_loop()
        leaving, ending = asyncio.Event(), asyncio.Event()
        loop.add_signal_handler(signal.SIGUSR1, leaving.set)
        loop.add_signal_handler(signal.SIGUSR2, self._toggle_shedding)
        loop.add_signal_handler(signal.SIGHUP, self._toggle_limit)
        loop.add_signal_handler(signal.SIGTERM, ending.set)
        await self.start(self._settings.host)
        announce(Announcement((self.address,)))
        beating = asyncio.create_task(self._beat())
        leave = asyncio.create_task(self._leave(leaving, ending))
        await ending.wait()
        beating.cancel()
        leave.cancel()
        await self._report(Farewell(self.incarnation))
        await self.stop()

    async def _leave(self, leaving: asyncio.Event, ending: asyncio.Event) -> None:
        await leaving.wait()
        self.draining = self.leaving = True
        await self._report(Heartbeat(self.incarnation, self.entry()))
        await asyncio.sleep(self._settings.drain_s)
        ending.set()

    def _toggle_shedding(self) -> None:
        self._is_shedding = not self._is_shedding

    def _toggle_limit(self) -> None:
        self.limit_per_s = STATED_LIMIT_PER_S if self.limit_per_s is None else None

    async def _beat(self) -> None:
        while True:
            await self._report(Heartbeat(self.incarnation, self.entry()))
            await asyncio.sleep(self._settings.heartbeat_s)

    async def _report(self, message: Heartbeat | Farewell) -> None:
        try:
            async with self._store_lock:
                await self._store.ask(message, Done, CONTROL_TIMEOUT_S)
        except PeerUnavailableError:
            pass  # The run is over or the store is being ended; the next heartbeat reports again.

    # --- requests --------------------------------------------------------------------------------------

    def headers(self, request: web.BaseRequest, **more: str) -> dict[str, str]:
        """See :class:`PlatformWorkerEmulator`; what an answer states of a limit is recorded."""
        if self.limit_per_s is not None:
            identity = request.headers.get(names.REQUEST_ID, "")
            self._history.add(LimitStated(time.monotonic(), identity, self.incarnation, self.limit_per_s))
        return super().headers(request, **more)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await super()._handle(request)
        if self._settings.second_answers and not isinstance(response, UnframedResponse):
            self._repeater.plan(request, request.headers.get(names.REQUEST_ID, ""), response)
        return response

    def _record_repeated(self, identity: str, status: int) -> None:
        self._history.add(SentAgain(time.monotonic(), identity, self.incarnation, status))

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Refuse, or run and record it."""
        body = await request.read()
        identity = request.headers.get(names.REQUEST_ID, "")
        refusal = self._refusal(request)
        if self.leaving:
            self._history.add(LeavingStated(time.monotonic(), identity, self.incarnation))
        if refusal:
            return self._refuse(request, identity, refusal)
        self._running += 1
        badness = self._settings.badness
        is_struck = badness.strikes(time.monotonic() - self._started_s, self._running, request.path)
        factor = badness.slowness if is_struck else 1.0
        generator = random.Random(f"{self._settings.seed}/{self.incarnation}/{identity}")
        fails = is_struck and generator.random() < badness.failure_share
        self._history.add(self._began(request, identity, factor))
        if self._settings.keeps_parts and _is_stream(request):
            await self._use_parts(request, identity)
        if body == CRASHING_BODY:
            asyncio.get_running_loop().call_later(CRASH_AFTER_S, os._exit, CRASH_STATUS)
        status = 0
        try:
            response = await self._run(request, identity, factor, fails)
            status = response.status
            return response
        finally:
            self._running -= 1
            self._history.add(Ended(time.monotonic(), identity, self.incarnation, status, fails or factor > 1))

    def _refuse(self, request: web.BaseRequest, identity: str, status: int) -> web.Response:
        backoff_s = BACKOFF_S if status == FULL and self._is_shedding else 0.0
        now_s = time.monotonic()
        self._history.add(
            Arrived(now_s, identity, self.incarnation, status, self.service, self.software, backoff_s)
        )
        headers = self.headers(request, **{names.NOT_RUN: "1"})
        if backoff_s:
            headers[names.RETRY_AFTER] = f"{backoff_s:g}"
        return web.Response(status=status, headers=headers)

    def _refusal(self, request: web.BaseRequest) -> int:
        if request.headers.get(names.EXPECT_INSTANCE, self.incarnation) != self.incarnation:
            return MISDIRECTED
        if request.headers.get(names.EXPECT_VERSION, str(self.version)) != str(self.version):
            return MISDIRECTED
        if self._is_shedding or self.busy or self._running >= self.slots + QUEUE_LENGTH:
            return FULL
        if self._settings.second_answers and self._generator.random() < REJECTED_SHARE:
            return FULL
        return 0

    def _began(self, request: web.BaseRequest, identity: str, factor: float) -> Began:
        now_s = time.monotonic()
        events = _events(request) - _number(request.headers.get(names.RESUME_AFTER, ""))
        takes_s = (self._work_s(request) + max(0, events) * self._event_s(request)) * factor
        return Began(
            at_s=now_s,
            request=identity,
            worker=self.incarnation,
            service=self.service,
            tenant=request.headers.get(names.TENANT, ""),
            path=request.path,
            software=self.software,
            weights=self.version,
            resume_after=_number(request.headers.get(names.RESUME_AFTER, "")),
            would_end_s=now_s + takes_s,
        )

    async def _use_parts(self, request: web.BaseRequest, identity: str) -> None:
        """Find, fetch, read and save the parts of a prompt; record whose parts it used."""
        ran = await self._parts.run(request.headers)
        tenant = request.headers.get(names.TENANT, "")
        makers = ran.makers_beside(tenant)
        if makers:
            scope = request.headers.get(names.CACHE_SALT, "")
            self._history.add(PartsUsed(time.monotonic(), identity, self.incarnation, tenant, scope, makers))

    def _work_s(self, request: web.BaseRequest) -> float:
        """Return how long a call takes, or a stream until its first event."""
        pace_s = None if _is_stream(request) else pace_of(request.path)
        return self._settings.work_s if pace_s is None else pace_s

    def _event_s(self, request: web.BaseRequest) -> float:
        pace_s = pace_of(request.path)
        return self._settings.event_s if pace_s is None else pace_s

    async def _run(self, request: web.BaseRequest, identity: str, factor: float, fails: bool) -> web.StreamResponse:
        await asyncio.sleep(self._work_s(request) * factor)
        if fails:
            return web.Response(status=FAILED, headers=self.headers(request), body=b"failed")
        form = broken_answers.draw_form(self._settings.seed, self.incarnation, identity)
        if self._settings.broken_answers and form is not None:
            return self._send_broken(request, identity, form)
        if not _is_stream(request):
            return await self._answer_call(request, identity)
        return await self._stream(request, identity, factor)

    def _send_broken(self, request: web.BaseRequest, identity: str, form: int) -> web.Response:
        """Send what is no answer and close the connection; return a response that is not sent any more."""
        if request.transport is not None:
            self._history.add(SentBroken(time.monotonic(), identity, self.incarnation, form))
            request.transport.write(broken_answers.broken_answer(form, identity, call_body(identity)))
            request.transport.close()
        return web.Response(status=FAILED)

    def _begins_to_crash(self, request: web.BaseRequest) -> bool:
        """Whether a part of the prompt other than the last one crashes this worker."""
        parts = request.headers.get(names.PROMPT_PARTS, "").split(",")[:-1]
        return any(part.partition(":")[0] in self._settings.bad_parts for part in parts)

    def _is_unframed(self, identity: str) -> bool:
        drawn = random.Random(f"{self._settings.seed}/unframed/{self.incarnation}/{identity}").random()
        return self._settings.unframed and drawn < UNFRAMED_FRACTION

    async def _answer_call(self, request: web.BaseRequest, identity: str) -> web.StreamResponse:
        if not self._is_unframed(identity):
            return web.Response(body=call_body(identity), headers=self.headers(request))
        response = UnframedResponse(headers=self.headers(request))
        await response.prepare(request)
        await response.write(call_body(identity))
        return response

    async def _stream(self, request: web.BaseRequest, identity: str, factor: float) -> web.StreamResponse:
        more = {"Content-Type": names.EVENT_STREAM, names.WEIGHT_VERSION: str(self.version)}
        kind = UnframedResponse if self._is_unframed(identity) else web.StreamResponse
        response = kind(headers=self.headers(request, **more))
        if self._begins_to_crash(request):
            asyncio.get_running_loop().call_later(CRASH_AFTER_S, os._exit, CRASH_STATUS)
        transport = request.transport
        self._repeater.begin_answer(request)
        try:
            await response.prepare(request)
            response[STREAM_BODY] = b""
            first = _number(request.headers.get(names.RESUME_AFTER, "")) + 1
            for number in range(first, _events(request) + 1):
                event = event_text(identity, number, self.software)
                await response.write(event)
                response[STREAM_BODY] += event
                await asyncio.sleep(self._event_s(request) * factor)
            await response.write_eof()
        finally:
            self._repeater.end_answer(transport)
        return response

    # --- orders ----------------------------------------------------------------------------------------

    async def handle_order(self, order: dict[str, Any]) -> web.Response:
        """Load new weights after a while, unless another order is being carried out or a later fence was seen."""
        fence, version = int(order["fence"]), int(order["version"])
        holder = str(order["holder"])
        self._history.add(OrderTaken(time.monotonic(), self.incarnation, holder, fence, version))
        if fence < self._highest_fence:
            return web.Response(status=FENCED)
        if self.busy:
            return web.Response(status=BUSY)
        self._highest_fence = fence
        if version == self.version:
            return web.Response(status=200)
        self.busy = True
        self._load = asyncio.create_task(self._load_weights(version))
        return web.Response(status=ACCEPTED)

    async def _load_weights(self, version: int) -> None:
        await asyncio.sleep(self._settings.load_s)
        self.version = version
        self.busy = False
        await self._report(Heartbeat(self.incarnation, self.entry()))


def _is_stream(request: web.BaseRequest) -> bool:
    return bool(request.headers.get(names.TOKEN_USAGE))


def _events(request: web.BaseRequest) -> int:
    """Return how many events a stream has by what its caller asks for, 0 for a call."""
    return _number(request.headers.get(names.TOKEN_USAGE, "").rpartition(",")[2])


def _number(text: str) -> int:
    return int(text) if text.isdecimal() else 0
