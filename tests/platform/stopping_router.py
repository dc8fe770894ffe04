"""One router process that is stopped under callers who keep their connections, and what becomes of their requests.

Callers are raw sockets, so that the next request follows the end of an answer without a pause; some pipeline, some
send their bodies slowly. Workers stream events at an interval, so that streams outlast what a stop has left.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import itertools
import random
import signal
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from tests.platform.conftest import HOST, config, route
from tests.platform.fakes import FakeStore, FakeWorker
from tests.platform.router_process import SETTINGS, START, free_ports, start_router, until_ready
from tests.unit.serving.fakes import event
from wallwell.clock import boot_time_s

EVENT_INTERVAL_S = 0.08
EVENT_COUNTS = (15, 62)
"""Least and most events of a stream: 1.2 to 5 seconds."""
DEADLINE_MS = 15_000
READ_TIMEOUT_S = 20.0
ROUTES = [
    route("streams", "/stream/", "stream", timeout_ms=DEADLINE_MS, attempts=1),
    route("calls", "/call/", "unsafe", timeout_ms=DEADLINE_MS, attempts=1),
]


BUSY_SIGNAL = signal.SIGUSR1
"""Makes the router's event loop busy for a while; see :func:`start_busy_for`."""


def start_busy_for(busy_s: float) -> str:
    """Return code that starts a router whose event loop is busy for ``busy_s`` seconds from ``BUSY_SIGNAL`` on."""
    return f"""
import asyncio, time
from wallwell.node.node import FleetNode
start = FleetNode.start
def start_with_handler(self):
    start(self)
    asyncio.get_running_loop().add_signal_handler({int(BUSY_SIGNAL)}, time.sleep, {busy_s})
FleetNode.start = start_with_handler
{START}
"""


class GoesOn(enum.Enum):
    """How a caller goes on after an answer."""

    NEW_CONNECTION = "new connection"
    AT_ONCE = "at once"
    AFTER_5_MS = "after 5 ms"
    AFTER_30_MS = "after 30 ms"
    CHUNKED = "at once, body in chunks"
    SLOW_CHUNKS = "at once, chunks over 0.75 s"
    PIPELINED = "sent while the answer comes"
    CALLS = "calls, at once"


PAUSES_S = {GoesOn.AFTER_5_MS: 0.005, GoesOn.AFTER_30_MS: 0.03}
SLOW_CHUNKS_S = 0.75
BUSY_SIGNAL_S = 0.05
"""Seconds within which a router has received a signal."""
CALL_S = (0.5, 3.0)
"""Least and most seconds that a call takes."""


@dataclass
class Try:
    """One request of a caller. Times are seconds after the signal."""

    goes_on: GoesOn
    name: str
    sent_s: float
    """When its last byte was sent."""
    status: int = 0
    """0 if no answer has begun."""
    is_whole: bool = False
    ended_s: float = 0.0
    closes: bool = False
    """Whether the router closes the connection behind the answer, or has closed it."""
    began_s: float | None = None
    """When it reached a worker; None if it did not."""
    ran_until_s: float | None = None
    """When its worker had sent everything; None if it was cancelled or did not run."""

    @property
    def has_run(self) -> bool:
        """Whether it has reached a worker."""
        return self.began_s is not None

    @property
    def is_cut(self) -> bool:
        """Whether it has reached a worker and its caller has no whole answer."""
        return self.has_run and not self.is_whole

    def __str__(self) -> str:
        return (
            f"{self.goes_on.value}: {self.name} sent {self.sent_s:.2f} status {self.status} whole {self.is_whole}"
            f" ended {self.ended_s:.2f} ran from {self.began_s} until {self.ran_until_s}"
        )


@dataclass
class StoppedRouter:
    """What was seen of one stop."""

    tries: list[Try] = field(default_factory=list)
    log: str = ""
    exit_status: int | None = None
    lived_s: float = 0.0
    """Seconds from the signal to the end of the process."""

    def cut(self, goes_on: GoesOn | None = None) -> list[Try]:
        """Return the requests that were cut, of callers that go on in one way or of all."""
        return [each for each in self.tries if each.is_cut and goes_on in (None, each.goes_on)]


class StoppingRouter:
    """A store, workers and one router process; callers that use it until it is gone."""

    def __init__(self, grace_s: float, callers_of_each: int, seed: int = 1, busy_s: float = 0.0) -> None:
        """``busy_s``: for how long the router's event loop is busy as the signal comes."""
        self._busy_s = busy_s
        self.event_counts = EVENT_COUNTS
        self._grace_s = grace_s
        self._callers_of_each = callers_of_each
        self._draws = random.Random(seed)
        self._term_s = float("inf")
        self._began_runs: dict[str, float] = {}
        self._ended_runs: dict[str, float] = {}
        self.result = StoppedRouter()
        self.workers = [FakeWorker(f"i-{index}") for index in range(4)]
        self.store = FakeStore()

    def _now_s(self) -> float:
        return boot_time_s() - self._term_s

    def _respond(self, worker):
        async def respond(request):
            name = request.headers["X-Request-Id"]
            self._began_runs[name] = boot_time_s()
            draws = random.Random(name)
            if request.path.startswith("/call/"):
                await asyncio.sleep(draws.uniform(*CALL_S))
                response = web.Response(body=b"ok", headers=worker.headers(request))
            else:
                response = await worker.begin_stream(request)
                for number in range(1, draws.randint(*self.event_counts) + 1):
                    await response.write(event(number))
                    await asyncio.sleep(EVENT_INTERVAL_S)
                await response.write_eof()
            self._ended_runs[name] = boot_time_s()
            return response

        return respond

    async def play(self, tmp_path: Path, forms: tuple[GoesOn, ...], before_s: float = 1.5) -> StoppedRouter:
        """Start, load for ``before_s`` seconds, stop, and return what became of all requests."""
        await self.store.start()
        for worker in self.workers:
            worker.slots = 100
            await worker.start()
            worker.respond = self._respond(worker)
            self.store.put("servers", worker.incarnation, worker.entry())
        self.store.put("op", "config", config(routes=ROUTES))
        front, ready, peer = free_ports(3)
        path = tmp_path / "settings.toml"
        path.write_text(
            SETTINGS.format(front=front, ready=ready, peer=peer, store=self.store.address, grace_s=self._grace_s)
        )
        log = tmp_path / "log"
        with log.open("wb") as stderr:
            process = await start_router(path, start_busy_for(self._busy_s), stderr)
        try:
            await until_ready(ready)
            self._front = front
            callers = [
                asyncio.create_task(self._call(form, f"{form.name.lower()}-{index}"))
                for form in forms
                for index in range(self._callers_of_each)
            ]
            await asyncio.sleep(before_s)
            if self._busy_s:
                process.send_signal(BUSY_SIGNAL)
                await asyncio.sleep(BUSY_SIGNAL_S)
            self._term_s = boot_time_s()
            process.send_signal(signal.SIGTERM)
            self.result.exit_status = await asyncio.wait_for(process.wait(), self._grace_s + 10)
            self.result.lived_s = self._now_s()
            await asyncio.gather(*callers)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            for worker in self.workers:
                await worker.stop()
            await self.store.stop()
        self._complete()
        self.result.log = log.read_text()
        return self.result

    def _complete(self) -> None:
        """Express all times from the signal on, which were taken before it was sent."""
        for each in self.result.tries:
            each.sent_s -= self._term_s
            each.ended_s -= self._term_s
            if each.name in self._began_runs:
                each.began_s = round(self._began_runs[each.name] - self._term_s, 3)
            if each.name in self._ended_runs:
                each.ran_until_s = round(self._ended_runs[each.name] - self._term_s, 3)

    async def _call(self, form: GoesOn, caller: str) -> None:
        """Send one request after the other until the router takes no more connections."""
        await asyncio.sleep(self._draws.random())
        names = (f"{caller}-{number}" for number in itertools.count())
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._front)
            except OSError:
                return
            try:
                await self._use_connection(form, names, reader, writer)
            finally:
                writer.close()

    async def _use_connection(self, form, names, reader, writer) -> None:
        """Send one request after the other until the router ends the connection."""
        made = await self._send(form, next(names), writer)
        while True:
            following = await self._read(made, reader, lambda: self._send_next(form, names, writer))
            made.ended_s = boot_time_s()
            if made.closes or form is GoesOn.NEW_CONNECTION:
                return
            if following is None:
                await asyncio.sleep(PAUSES_S.get(form, 0.0))
                following = await self._send(form, next(names), writer)
            made = following

    async def _send_next(self, form, names, writer) -> Try | None:
        """Send the next request although the answer to the one before still comes, if the caller does so."""
        return await self._send(form, next(names), writer) if form is GoesOn.PIPELINED else None

    async def _read(self, made, reader, on_kept) -> Try | None:
        """Read an answer as far as it comes; ``on_kept`` is called if its head does not end the connection."""
        following = None
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                made.status = int(head.split()[1])
                made.closes = "connection: close" in head
                if not made.closes:
                    following = await on_kept()
                await _read_body(head, reader)
                made.is_whole = True
        except (OSError, EOFError, TimeoutError):
            made.closes = True
        return following

    async def _send(self, form, name, writer) -> Try:
        """Send one request."""
        made = Try(form, name, boot_time_s())
        self.result.tries.append(made)
        with contextlib.suppress(OSError):  # The connection has ended; that is found as its answer is read.
            await self._write(form, name, writer)
        made.sent_s = boot_time_s()
        return made

    async def _write(self, form, name, writer) -> None:
        path = "/call/a" if form is GoesOn.CALLS else "/stream/a"
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\nX-Credential: k1\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Model: m\r\nX-Token-Usage: 10,5\r\n"
        )
        if form not in (GoesOn.CHUNKED, GoesOn.SLOW_CHUNKS):
            writer.write(f"{head}Content-Length: 4\r\n\r\nbody".encode())
            return
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        for chunk in (b"2\r\nbo\r\n", b"2\r\ndy\r\n", b"0\r\n\r\n"):
            if form is GoesOn.SLOW_CHUNKS:
                await asyncio.sleep(SLOW_CHUNKS_S / 3)
            writer.write(chunk)


async def _read_body(head: str, reader) -> None:
    """Read a body with a length or in chunks."""
    if "transfer-encoding: chunked" not in head:
        _, _, after = head.partition("content-length:")
        await reader.readexactly(int(after.split()[0]))
        return
    size = -1
    while size:
        size = int(await reader.readuntil(b"\r\n"), 16)
        await reader.readexactly(size + 2)
