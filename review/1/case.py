"""Calls that may not be repeated, at workers that reject part of them and send some of their answers twice."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path

from standins import (
    KEY,
    NET,
    TROUBLE,
    Platform,
    Record,
    Routers,
    address_of,
    encode,
    exchange,
    read_message,
    run,
)

SERVICES = tuple(f"order-api-{number}" for number in range(1, 5))
ROUTES = [
    {
        "name": service,
        "host": "orders.example",
        "path_prefix": f"/{service}/",
        "kind": "unsafe",
        "service": service,
        "attempts": 1,
        "timeout_ms": 2000,
        "slo_ms": 300,
        "priority": 2,
    }
    for service in SERVICES
]
SLOTS, QUEUE = 6, 4
WORK_S = 0.06
REJECTED_SHARE = 0.5
"""Share of the requests that a worker rejects (`srv_grey`, how `shed all`; the sites have 0.45), trouble or not."""
EXTRA_SHARE = 0.06
"""Share of a worker's answers that it sends twice (`garble`, how `extra late`; the sites have 0.03)."""
EXTRA_DELAY_S = (0.002, 0.03)
SECONDS, CALLS_PER_S = 65.0, 48.0
"""Calls a second of all services together."""
PROMISES = {408, 421, 429, 503}


class Worker:
    """Works on ``SLOTS`` requests at once, queues a few more, and rejects the others with 503 and X-Not-Run."""

    def __init__(self, identity: str, record: Record, runs: Counter[str], rng: random.Random) -> None:
        self.identity, self._record, self._runs, self._rng = identity, record, runs, rng
        self._slots = asyncio.Semaphore(SLOTS)
        self._inside = 0
        self._extras: set[asyncio.Task[None]] = set()
        self.extras = 0

    async def start(self, host: str) -> str:
        server = await asyncio.start_server(self._serve, host, 0)
        return address_of(server)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, headers, _ = await read_message(reader)
                answer = await self._answer(headers)
                writer.write(answer)
                if TROUBLE and self._rng.random() < EXTRA_SHARE:
                    extra = asyncio.create_task(self._send_again(writer, answer, headers.get("x-request-id", "")))
                    self._extras.add(extra)
                    extra.add_done_callback(self._extras.discard)
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _send_again(self, writer: asyncio.StreamWriter, answer: bytes, request_id: str) -> None:
        await asyncio.sleep(self._rng.uniform(*EXTRA_DELAY_S))
        if not writer.is_closing():
            self.extras += 1
            self._record.add(f"{self.identity} sends its answer to {request_id} once more: {answer[:12].decode()}")
            writer.write(answer)

    async def _answer(self, headers: dict[str, str]) -> bytes:
        request_id = headers.get("x-request-id", "")
        own = {"X-Request-Id": request_id, "X-Instance-Id": self.identity, "Content-Length": 0}
        if headers.get("x-expect-instance", self.identity) != self.identity:
            return encode("HTTP/1.1 421 Misdirected Request", {**own, "X-Not-Run": 1})
        if self._inside >= SLOTS + QUEUE or self._rng.random() < REJECTED_SHARE:
            self._record.add(f"{self.identity} rejects {request_id}")
            return encode("HTTP/1.1 503 Service Unavailable", {**own, "X-Not-Run": 1})
        self._inside += 1
        try:
            async with self._slots:
                self._runs[request_id] += 1
                self._record.add(f"{self.identity} runs {request_id} (run {self._runs[request_id]})")
                await asyncio.sleep(WORK_S)
        finally:
            self._inside -= 1
        body = f"booked {request_id}".encode()
        seal = f"seal.{self.identity}.{request_id}"
        return encode("HTTP/1.1 200 OK", {**own, "X-Response-Seal": seal, "Content-Length": len(body)}, body)


async def call(address: str, service: str, request_id: str, record: Record, answers: dict[str, int]) -> None:
    headers = {
        "Host": "orders.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": 4000,
        "X-Credential": KEY,
        "Content-Length": 5,
    }
    try:
        status, _, _ = await exchange(address, encode(f"POST /{service}/1 HTTP/1.1", headers, b"order"))
    except (OSError, TimeoutError) as error:
        status = 0
        record.add(f"client: {request_id} has no answer: {error}")
    answers[request_id] = status
    record.add(f"client: {request_id} gets {status}")


async def case(record: Record, folder: Path) -> int:
    rng = random.Random()
    runs: Counter[str] = Counter()
    answers: dict[str, int] = {}
    platform = Platform(record)
    routers = Routers(folder, record, await platform.start(), ("front-1", "front-2"))
    workers = []
    try:
        for number in range(2 * len(SERVICES)):
            service = SERVICES[number // 2]
            worker = Worker(f"i-{service}-{number % 2 + 1}", record, runs, rng)
            entry = {
                "service": service,
                "addr": await worker.start(f"{NET}.2.{number + 1}"),
                "zone": ("zone-a", "zone-b")[number % 2],
                "version": "1",
                "slots": SLOTS,
                "state": "ready",
                "cold_left_ms": 0,
            }
            platform.list_worker(worker.identity, entry)
            workers.append(worker)
        platform.configure(1, ROUTES, [{"name": service, "max_conns": 100} for service in SERVICES])
        for name in routers.front:
            routers.start(name)
        for name in routers.front:
            await routers.until_ready(name)
        await asyncio.sleep(4.0)
        fronts = list(routers.front.values())
        calls: list[asyncio.Task[None]] = []
        for number in range(int(SECONDS * CALLS_PER_S)):
            request_id = f"r{number:04d}"
            calls.append(
                asyncio.create_task(call(rng.choice(fronts), rng.choice(SERVICES), request_id, record, answers))
            )
            await asyncio.sleep(rng.expovariate(CALLS_PER_S))
        await asyncio.gather(*calls)
        await asyncio.sleep(1.0)
    finally:
        routers.close()
        await platform.close()
    twice = [each for each, count in runs.items() if count > 1]
    refused = [each for each, status in answers.items() if status in PROMISES and runs[each]]
    for each in twice:
        record.add(f"TWICE: {each} ran {runs[each]} times, its client got {answers[each]}")
    for each in refused:
        record.add(f"REFUSED: {each} got {answers[each]} and ran {runs[each]} times")
    extras = sum(each.extras for each in workers)
    record.add(f"{len(answers)} requests, statuses {dict(Counter(answers.values()))}, {extras} answers sent again")
    print(
        f"{len(answers)} requests, {dict(Counter(answers.values()))}, {extras} answers sent again, "
        f"TWICE {len(twice)}, REFUSED {len(refused)}"
    )
    if not twice and 2 * sum(status == 200 for status in answers.values()) < len(answers):
        raise RuntimeError("under half of the calls were served, so the run shows nothing")
    return len(twice)


run(Path(__file__).parent, case)
