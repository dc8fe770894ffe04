"""Streams of two software versions: the last worker of one version leaves, and all routers are killed at once."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path

from standins import KEY, NET, TROUBLE, Platform, Record, Routers, address_of, encode, parse_head, read_message, run

SERVICE = "chat-llm"
ROUTE = {
    "name": "chat",
    "host": "site.example",
    "path_prefix": "/chat/",
    "kind": "stream",
    "service": SERVICE,
    "attempts": 2,
    "timeout_ms": 6000,
    "slo_ms": 800,
    "priority": 1,
    "gap_slo_ms": 500,
    "can_resume": True,
}
NAMES = ("front-1", "front-2", "front-3")
DEADLINE_S = 6.0
PAUSE_S, PIECES = 0.1, 45
STREAMS = 12
ROUNDS = 4


class Worker:
    """A worker that streams numbered events, each marked with its software version."""

    def __init__(self, identity: str, software: str, record: Record) -> None:
        self.identity, self.software, self._record = identity, software, record
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = address_of(self._server)

    def entry(self, state: str = "ready") -> dict[str, object]:
        return {
            "service": SERVICE,
            "addr": self.address,
            "zone": "zone-a",
            "version": self.software,
            "slots": 64,
            "state": state,
            "cold_left_ms": 0,
            "stage": "colocated",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, _ = await read_message(reader)
                if first.startswith("GET /api/"):
                    writer.write(encode("HTTP/1.1 404 Not Found", {"Content-Length": 0}))
                    continue
                await self._stream(writer, headers)
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(self, writer: asyncio.StreamWriter, headers: dict[str, str]) -> None:
        request_id = headers.get("x-request-id", "")
        own: dict[str, object] = {"X-Request-Id": request_id, "X-Instance-Id": self.identity}
        if headers.get("x-expect-instance", self.identity) != self.identity:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", {**own, "X-Not-Run": 1, "Content-Length": 0}))
            return
        begin = int(headers.get("last-event-id", 0)) + 1
        self._record.add(f"{self.identity} (software {self.software}) runs {request_id} from event {begin}")
        own |= {
            "X-Response-Seal": f"seal.{self.identity}.{request_id}",
            "Content-Type": "text/event-stream",
            "X-Weight-Versions": 1,
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode("HTTP/1.1 200 OK", own))
        for number in range(begin, PIECES + 1):
            await asyncio.sleep(PAUSE_S)
            event = f"id: {number}\ndata: written by {self.software}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def end(self) -> None:
        """End: what still runs is broken off."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._record.add(f"{self.identity} ends")


class Stream:
    """A client's stream: it is taken up again after a break, within the client's deadline."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self._record = name, record
        self._part = f"{random.getrandbits(32):08x}"
        self.events: list[tuple[int, str]] = []
        self.ended = "deadline"

    async def run(self, fronts: list[str], first: int) -> None:
        end_s = time.monotonic() + DEADLINE_S
        attempt = 0
        while (left_s := end_s - time.monotonic()) > 0.1:
            address = fronts[(first + attempt) % len(fronts)]
            pause_s = 0.2
            try:
                async with asyncio.timeout(left_s):
                    pause_s = await self._try(address, f"{self.name}.{attempt}", left_s)
            except (OSError, EOFError, ValueError, TimeoutError) as error:
                self._record.add(
                    f"client: {self.name}.{attempt} is cut after {len(self.events)} events in all: "
                    f"{type(error).__name__}"
                )
            if self.ended == "whole":
                return
            attempt += 1
            await asyncio.sleep(min(pause_s, max(0.0, end_s - time.monotonic()) / 3))

    async def _try(self, address: str, request_id: str, left_s: float) -> float:
        """Make one try; return the seconds until the next if it was refused."""
        headers: dict[str, object] = {
            "Host": "site.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": int(left_s * 1000),
            "X-Credential": KEY,
            "X-Model": "m0",
            "X-Token-Usage": f"100,{PIECES}",
            "X-Prefix-Hash": f"{self._part}:60,bb02:40",
            "Content-Length": 2,
        }
        if self.events:
            headers |= {"Last-Event-Id": self.events[-1][0], "Resumes": self.first_id}
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode("POST /chat/1 HTTP/1.1", headers, b"{}"))
            line, answer = parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])
            status = int(line.split()[1])
            if status != 200:
                self._record.add(f"client: {request_id} gets {status}, Retry-After {answer.get('retry-after')}")
                return float(answer.get("retry-after", 0.2))
            while size := int(await reader.readuntil(b"\r\n"), 16):
                data = (await reader.readexactly(size + 2))[:-2].decode()
                for event in data.split("\n\n")[:-1]:
                    fields = dict(each.split(": ", 1) for each in event.split("\n"))
                    if not self.events:
                        self.first_id = request_id
                    self.events.append((int(fields["id"]), fields["data"].rpartition(" ")[2]))
            self.ended = "whole"
            return 0.0
        finally:
            writer.close()


async def one_round(number: int, platform: Platform, routers: Routers, record: Record) -> int:
    workers = [Worker(f"i-old-{number}", "1.0", record), Worker(f"i-new-{number}", "1.1", record)]
    for index, worker in enumerate(workers):
        await worker.start(f"{NET}.2.{2 * number + index + 1}")
        platform.list_worker(worker.identity, worker.entry())
    await asyncio.sleep(3.0)
    fronts = list(routers.front.values())
    streams = [Stream(f"s{number}-{each}", record) for each in range(STREAMS)]
    tasks = [asyncio.create_task(each.run(fronts, index)) for index, each in enumerate(streams)]
    old, new = workers
    await asyncio.sleep(0.5)
    platform.list_worker(old.identity, old.entry("draining"))
    record.add(f"{old.identity} is draining")
    await asyncio.sleep(2.2)
    old.end()
    platform.drop_worker(old.identity)
    if TROUBLE:
        for name in NAMES:
            routers.signal(name, signal.SIGKILL)
        await asyncio.sleep(0.2)
        for name in NAMES:
            routers.start(name)
    await asyncio.gather(*tasks)
    for name in NAMES:
        await routers.until_ready(name)
    new.end()
    platform.drop_worker(new.identity)
    broken = 0
    for each in streams:
        versions = sorted({software for _, software in each.events})
        record.add(f"client: {each.name} has {len(each.events)} events of versions {versions}, end: {each.ended}")
        broken += len(versions) > 1
    if not broken and any(not each.events for each in streams):
        raise RuntimeError("a stream had not begun, so the round shows nothing")
    return broken


async def case(record: Record, folder: Path) -> int:
    platform = Platform(record)
    routers = Routers(folder, record, await platform.start(), NAMES)
    mixed = 0
    try:
        engine = {"slots": 64, "kv_capacity": 100000, "models": [{"name": "m0"}]}
        platform.configure(1, [ROUTE], [{"name": SERVICE, "max_conns": 360, "engine": engine}])
        platform.store.put("op", "version/m0", {"model": "m0", "version": 1})
        for name in NAMES:
            routers.start(name)
        for name in NAMES:
            await routers.until_ready(name)
        await asyncio.sleep(3.0)
        for number in range(ROUNDS):
            mixed += await one_round(number, platform, routers, record)
    finally:
        routers.close()
        await platform.close()
    record.add(f"{mixed} streams hold events of two versions; the rule allows two")
    return mixed if mixed > 2 else 0


run(Path(__file__).parent, case)
