"""Answers without a length or chunks, from workers that crash: while they leave, or while the routers are frozen.

Part A: a worker says that it leaves, and is killed before the time is over for which it would serve on.
Part B: the routers freeze; meanwhile a worker is killed and starts again under its id and address.
"""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time
from pathlib import Path

from standins import BOUNDS, KEY, NET, TROUBLE, Platform, Record, Routers, encode, exchange, run

CALLS, CHATS = "order-api", "chat-llm"
ROUTES = [
    {
        "name": "book",
        "host": "site.example",
        "path_prefix": "/book/",
        "kind": "unsafe",
        "service": CALLS,
        "attempts": 1,
        "timeout_ms": 6000,
        "slo_ms": 2000,
        "priority": 2,
    },
    {
        "name": "chat",
        "host": "site.example",
        "path_prefix": "/chat/",
        "kind": "stream",
        "service": CHATS,
        "attempts": 1,
        "timeout_ms": 6000,
        "slo_ms": 800,
        "priority": 1,
        "gap_slo_ms": 500,
    },
]
NAMES = ("front-1", "front-2")
PAUSE_S, PIECES = 0.15, 16
REQUESTS = 6
ROUNDS = 3
"""Rounds of each part."""
CRASH_AFTER_S = 0.7
"""Seconds after a worker has said that it leaves; it would serve on for `drain_ms` (2 s) and a little longer."""
FROZEN_S, DOWN_S = 1.8, 1.3
"""Clients give a stream up after a gap of eight times `gap_slo_ms`, 4 s here; the freeze is shorter."""


class Worker:
    """A worker's process."""

    def __init__(self, identity: str, service: str, host: str, record: Record) -> None:
        self.identity, self.service, self._host, self._record = identity, service, host, record
        self._output = ""
        self._start(0)

    def _start(self, port: int) -> None:
        program = str(Path(__file__).parent / "worker.py")
        command = [sys.executable, program, self.identity, self._host, str(port), str(PAUSE_S), str(PIECES)]
        self._born = int(time.time() * 1000)
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self._process.stdout is not None
        self.address = self._process.stdout.readline().strip()
        self._record.add(f"{self.identity} starts at {self.address}")

    def entry(self, state: str = "ready") -> dict[str, object]:
        entry: dict[str, object] = {
            "service": self.service,
            "addr": self.address,
            "zone": "zone-a",
            "version": "1",
            "slots": 16,
            "state": state,
            "cold_left_ms": 0,
            "born": self._born,
        }
        if self.service == CHATS:
            entry |= {"stage": "colocated", "models": [{"name": "m0", "version": 1, "adapters": []}]}
        return entry

    def signal(self, number: int) -> None:
        self._process.send_signal(number)
        self._record.add(f"{self.identity} gets {signal.Signals(number).name}")

    def end(self) -> None:
        """Wait until it has ended."""
        output, _ = self._process.communicate(timeout=10)
        self._output += output

    def start_again(self) -> None:
        """Start again under the same id and address, after a crash."""
        self._start(int(self.address.rpartition(":")[2]))

    def sent(self) -> dict[str, int]:
        """Return how many pieces of each answer it has sent."""
        return {line.split()[0]: int(line.split()[1]) for line in self._output.splitlines()}

    def kill(self) -> None:
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()


async def request(address: str, path: str, request_id: str, record: Record) -> tuple[str, str, bytes]:
    """Return the request's id, what the client makes of the answer, and the body of a whole answer."""
    headers = {
        "Host": "site.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": 6000,
        "X-Credential": KEY,
        "Content-Length": 2,
    }
    if path == "/chat/":
        headers |= {"X-Model": "m0", "X-Token-Usage": f"100,{PIECES}", "X-Prefix-Hash": "aa01:60,bb02:40"}
    try:
        status, answer, body = await exchange(address, encode(f"POST {path}1 HTTP/1.1", headers, b"{}"))
    except (OSError, TimeoutError) as error:
        record.add(f"client: {request_id} has no whole answer: {error}")
        return request_id, "cut", b""
    seal = answer.get("x-response-seal", "")
    record.add(f"client: {request_id} gets {status}, seal {seal!r}, a whole answer of {len(body)} bytes")
    return request_id, "success" if 200 <= status < 300 and seal else f"failure {status}", body


def whole_body(request_id: str) -> bytes:
    if request_id.startswith("chat"):
        return "".join(f"id: {n}\ndata: {request_id} {n}\n\n" for n in range(1, PIECES + 1)).encode()
    return "".join(f"{request_id} {n};" for n in range(1, PIECES + 1)).encode()


class Round:
    """One round: requests at two workers, which then crash."""

    def __init__(self, name: str, number: int, platform: Platform, routers: Routers, record: Record) -> None:
        self._name, self._platform, self._routers, self._record = name, platform, routers, record
        self.begun = 0
        """Answers that had begun; a request may also be refused, which breaks no rule."""
        self._workers = [
            Worker(f"i-{service}-{name}", service, f"{NET}.3.{2 * number + index + 1}", record)
            for index, service in enumerate((CALLS, CHATS))
        ]
        for worker in self._workers:
            platform.list_worker(worker.identity, worker.entry())

    async def _begin(self) -> list[asyncio.Task[tuple[str, str, bytes]]]:
        await asyncio.sleep(1.5)
        fronts = list(self._routers.front.values())
        tasks = [
            asyncio.create_task(
                request(fronts[n % len(fronts)], path, f"{path[1:5]}-{self._name}-{n}", self._record)
            )
            for path in ("/book/", "/chat/")
            for n in range(REQUESTS)
        ]
        await asyncio.sleep(0.5)
        return tasks

    async def leave(self) -> int:
        """Part A."""
        tasks = await self._begin()
        for worker in self._workers:
            worker.signal(signal.SIGUSR1)
            self._platform.list_worker(worker.identity, worker.entry("draining"))
            self._record.add(f"{worker.identity} is draining")
        await asyncio.sleep(CRASH_AFTER_S)
        if TROUBLE:
            for worker in self._workers:
                worker.signal(signal.SIGKILL)
                self._platform.stop_heartbeats(worker.identity)
        results = await asyncio.gather(*tasks)
        await asyncio.sleep(max(0.0, BOUNDS["drain_ms"] / 1000 - CRASH_AFTER_S))
        return self._judge(results)

    async def freeze(self) -> int:
        """Part B."""
        tasks = await self._begin()
        if TROUBLE:
            for name in NAMES:
                self._routers.signal(name, signal.SIGSTOP)
            frozen_s = time.monotonic()
            await asyncio.sleep(0.1)
            for worker in self._workers:
                worker.signal(signal.SIGKILL)
                worker.end()
                self._platform.stop_heartbeats(worker.identity)
            await asyncio.sleep(DOWN_S)
            for worker in self._workers:
                worker.start_again()
                self._platform.list_worker(worker.identity, worker.entry())
            await asyncio.sleep(max(0.0, frozen_s + FROZEN_S - time.monotonic()))
            for name in NAMES:
                self._routers.signal(name, signal.SIGCONT)
        return self._judge(await asyncio.gather(*tasks))

    def _judge(self, results: list[tuple[str, str, bytes]]) -> int:
        broken = 0
        sent: dict[str, int] = {}
        for worker in self._workers:
            try:
                worker.signal(signal.SIGTERM)
            except ProcessLookupError:
                pass
            worker.end()
            sent |= worker.sent()
            self._platform.drop_worker(worker.identity)
        self.begun = sum(bool(sent.get(request_id)) for request_id, _, _ in results)
        for request_id, outcome, body in results:
            if outcome == "success" and body != whole_body(request_id):
                broken += 1
                self._record.add(
                    f"MIXED: {request_id} is a success of {len(body)} bytes, the whole body has "
                    f"{len(whole_body(request_id))}; its worker sent {sent.get(request_id, 0)} of {PIECES} pieces"
                )
            elif outcome != "success" and not TROUBLE:
                raise RuntimeError(f"{request_id} ended as {outcome} without trouble")
        return broken

    def close(self) -> None:
        for worker in self._workers:
            worker.kill()


async def case(record: Record, folder: Path) -> int:
    platform = Platform(record)
    routers = Routers(folder, record, await platform.start(), NAMES)
    broken = {"A": 0, "B": 0}
    begun = {"A": 0, "B": 0}
    try:
        engine = {"slots": 16, "kv_capacity": 100000, "models": [{"name": "m0"}]}
        services = [{"name": CALLS, "max_conns": 100}, {"name": CHATS, "max_conns": 360, "engine": engine}]
        platform.configure(1, ROUTES, services)
        platform.store.put("op", "version/m0", {"model": "m0", "version": 1})
        for name in NAMES:
            routers.start(name)
        for name in NAMES:
            await routers.until_ready(name)
        await asyncio.sleep(3.0)
        for number in range(2 * ROUNDS):
            part = "A" if number < ROUNDS else "B"
            one = Round(f"{part}{number}", number, platform, routers, record)
            try:
                broken[part] += await (one.leave() if part == "A" else one.freeze())
                begun[part] += one.begun
            finally:
                one.close()
    finally:
        routers.close()
        await platform.close()
    for part, count in broken.items():
        record.add(
            f"part {part}: of {2 * REQUESTS * ROUNDS} answers {begun[part]} began, {count} are broken successes"
        )
        if not any(broken.values()) and 2 * begun[part] < 2 * REQUESTS * ROUNDS:
            raise RuntimeError(f"under half of the answers of part {part} began, so the run shows nothing")
    print(f"part A: {broken['A']}, part B: {broken['B']}, each of {2 * REQUESTS * ROUNDS} answers")
    return sum(broken.values())


run(Path(__file__).parent, case)
