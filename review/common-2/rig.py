"""Stand-ins for the scripts of this review: store, proxy, workers, a router's process, and a client.

Standard library only. Each case is a program that wires these on loopback addresses, in a temporary folder, and
writes what was sent, answered and run to ``record.txt`` in its folder.

Exit status of a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "model-a"
ENGINES = "engines"
CALLS = "orders"
HOST = "shop.example"

BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "skew_max_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 54,
    "recover_s": 12,
    "transit_ms": 120,
    "retry_after_s": 10,
    "require_fence": True,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "version_ms": 8000,
    "version_all_ms": 11000,
}
"""Bounds of a small deployment: those of the site ``hamta-klick``."""


class CannotRunError(Exception):
    """The case could not run; it shows nothing."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        path = folder / "record.txt"
        path.write_text("")
        self._file = path.open("a")
        self._start_s = time.monotonic()
        self._file.write(f"{self._start_s}\n")
        self._file.flush()

    @classmethod
    def appending(cls, path: Path) -> Record:
        """Return the same record for another process of the case."""
        record = cls.__new__(cls)
        record._file = path.open("a")
        record._start_s = float(path.open().readline())
        return record

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} {text}\n")
        self._file.flush()


def free_port(host: str) -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Request:
    """A request as it was read; header names are lower-case."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def get(self, name: str, default: str = "") -> str:
        return self.headers.get(name.lower(), default)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return a message's first line and headers; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


class HttpServer:
    """A server whose subclasses answer requests; one request at a time on a connection."""

    host = "127.0.0.1"
    port = 0

    async def start(self, host: str, port: int = 0) -> None:
        self.host = host
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 24)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection goes on."""
        raise NotImplementedError

    def crash(self) -> None:
        """End like a killed process: the port is closed, all connections are reset."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)


class Store(HttpServer):
    """The platform's store: rows, transactions, a feed. Answers are linearizable and nothing is lost."""

    def __init__(self, record: Record) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.changes: list[tuple[int, tuple[str, str, str]]] = []
        self.version = 0
        self._changed = asyncio.Event()
        self._record = record
        self.on_write: Callable[[str, str], None] = lambda _table, _key: None

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a worker; None deletes it. It is acknowledged when this returns."""
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self._write([((table, "", key), text)])
        if table == "op":
            self._record(f"store: {table}/{key} = {json.dumps(value)}")

    def text(self, table: str, key: str) -> str:
        row = self.rows.get((table, "", key))
        return "" if row is None else base64.b64decode(row[0]).decode()

    def _write(self, rows: list[tuple[tuple[str, str, str], str | None]]) -> None:
        self.version += 1
        for name, text in rows:
            if text is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (text, self.version)
            self.changes.append((self.version, name))
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, name: tuple[str, str, str]) -> dict[str, Any]:
        if name not in self.rows:
            return {"table": name[0], "part": name[1], "key": name[2], "gone": True, "ver": self.version}
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "ver": version}

    def _answer(self, rows: list[dict[str, Any]], status: int = 200, **more: Any) -> bytes:
        body = {"rows": rows, "ver": self.version, "now_ms": time.monotonic() * 1000, **more}
        return encode_answer(status, {"Content-Type": "application/json"}, json.dumps(body).encode())

    async def handle(self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if parts.path == "/api/rows-tx":
            answer = self._transact(json.loads(request.body))
        elif parts.path == "/api/rows-get":
            answer = self._get(query)
        elif parts.path == "/api/rows-feed":
            answer = await self._feed(query)
        else:
            answer = encode_answer(404, {}, b"")
        writer.write(answer)
        await writer.drain()
        return True

    def _transact(self, body: dict[str, Any]) -> bytes:
        def name(entry: dict[str, Any]) -> tuple[str, str, str]:
            return entry["table"], entry.get("part", ""), entry["key"]

        puts, deletes, expected = body.get("put", []), body.get("delete", []), body.get("expect_rev", [])
        if any(entry["table"] == "servers" for entry in [*puts, *deletes]):
            return encode_answer(403, {}, b"")
        if any(self.rows.get(name(entry), ("", 0))[1] != entry["ver"] for entry in expected):
            return self._answer([self._row(name(entry)) for entry in expected if name(entry) in self.rows], 412)
        self._write([*((name(e), e["value"]) for e in puts), *((name(e), None) for e in deletes)])
        for entry in puts:
            self.on_write(entry["table"], entry["key"])
        return self._answer([])

    def _get(self, query: dict[str, str]) -> bytes:
        limit = int(query.get("limit", "500"))
        names = sorted(n for n in self.rows if n[:2] == (query["table"], query.get("part", "")))
        names = [n for n in names if n[2] >= unquote(query.get("from", ""))]
        return self._answer([self._row(n) for n in names[:limit]], more=len(names) > limit)

    async def _feed(self, query: dict[str, str]) -> bytes:
        table, after = query["table"], int(query["after"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            names = dict.fromkeys(name for version, name in self.changes if version > after and name[0] == table)
            left_s = end_s - time.monotonic()
            if names or left_s <= 0:
                return self._answer([self._row(name) for name in names])
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


class Worker(HttpServer):
    """A worker that keeps its own entry; subclasses run requests in :meth:`run`."""

    def __init__(
        self, store: Store, record: Record, identity: str, service: str, slots: int = 64, zone: str = "z1"
    ) -> None:
        self.store, self.record, self.identity, self.service = store, record, identity, service
        self.slots, self.zone = slots, zone
        self.version = 1
        self.orders = 0
        self.state = "ready"
        self.listed_address = ""
        self.beats = 0

    def entry(self) -> dict[str, Any]:
        entry = {
            "service": self.service,
            "addr": self.listed_address or self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.beats,
        }
        if self.service == ENGINES:
            entry["models"] = [{"name": MODEL, "version": self.version, "adapters": []}]
            entry["stage"] = "colocated"
        return entry

    def write_entry(self) -> None:
        """Write the entry; called when more than ``seq`` has changed."""
        self.beats += 1
        self.store.put("servers", self.identity, self.entry())

    async def handle(self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        expected = request.get("X-Expect-Instance")
        path = request.target.partition("?")[0]
        if expected and expected != self.identity:
            writer.write(encode_answer(421, {"X-Instance-Id": self.identity}, b""))
        elif path == "/healthz":
            writer.write(encode_answer(200, {"X-Instance-Id": self.identity}, b""))
        elif path == "/api/report":
            writer.write(encode_answer(200, {"Content-Type": "application/json"}, self._report()))
        elif path == "/api/order":
            writer.write(encode_answer(await self.order(json.loads(request.body)), {}, b""))
        elif path == "/api/kv-events":
            await asyncio.sleep(int(request.get("Wait-Ms", "0")) / 1000)
            body = json.dumps({"epoch": 1, "next_token": 0, "lost": False, "events": []}).encode()
            writer.write(encode_answer(200, {"Content-Type": "application/json"}, body))
        elif not request.get("X-Request-Id"):
            writer.write(encode_answer(400, {"X-Not-Run": "1"}, b""))
        else:
            return await self.run(request, reader, writer)
        await writer.drain()
        return True

    def _report(self) -> bytes:
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        return json.dumps({"stage": "colocated", "models": models, "busy": False, "seq": self.orders}).encode()

    async def order(self, order: dict[str, Any]) -> int:
        """Take an order and return the status."""
        self.record(f"{self.identity}: order {json.dumps(order)}")
        if order.get("expect_rev", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.version = order["version"]
        self.write_entry()
        return 202

    def head(self, request: Request, **more: str) -> dict[str, str]:
        headers = {"X-Request-Id": request.get("X-Request-Id"), "X-Response-Seal": f"seal.{self.identity}"}
        if self.service == ENGINES:
            headers["X-Weight-Versions"] = str(self.version)
        return {**headers, **{name.replace("_", "-"): value for name, value in more.items()}}

    async def run(self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        raise NotImplementedError


class Proxy:
    """Forwards connections to an address; may go silent, delay or reset."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.silent = False
        self._heard = asyncio.Event()
        self._heard.set()
        self._pairs: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> str:
        self._server = await asyncio.start_server(self._serve, host, 0)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Pass nothing on any more, without a reset."""
        self.silent = True
        self._heard.clear()

    def heal(self) -> None:
        self.silent = False
        self._heard.set()

    def reset(self) -> None:
        """Reset all open connections; new ones work."""
        for writer in list(self._pairs):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._heard.wait()
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        self._pairs |= {writer, far_writer}
        try:
            await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        except asyncio.CancelledError:
            pass
        self._pairs -= {writer, far_writer}

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._heard.wait()
                writer.write(data)
                await writer.drain()
            await self._heard.wait()
            writer.close()
        except ConnectionError:
            reset(writer)


class Router:
    """One router's process, started with the ``run`` command of the deploy file."""

    def __init__(self, name: str, host: str, store: str, folder: Path, record: Record, zone: str = "z1") -> None:
        self.name, self.host, self._record, self._folder = name, host, record, folder
        self.front, self.ready = f"{host}:{free_port(host)}", f"{host}:{free_port(host)}"
        first = free_port(host)
        bounds = "\n".join(f"{key} = {json.dumps(value)}" for key, value in BOUNDS.items())
        self._path = folder / f"{name}.toml"
        self._path.write_text(f"""node = "{name}"
role = "router"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "r1"
port_range = [{first}, {first + 8}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
{zone} = "r1"
[listen]
front = "{self.front}"
ready = "{self.ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
{bounds}
[provider]
addr = "{store}"
form = "table"
""")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split(" ")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {"WALLWELL_BOOT": str(self._path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
        )
        self._record(f"{self.name}: started at {self.front}")

    async def until_ready(self, seconds: float = 20.0) -> None:
        """Wait until the router answers 200 to the platform's readiness check."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} was not ready within {seconds} s")

    async def is_ready(self) -> bool:
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"GET /api/readyz HTTP/1.1\r\nHost: {self.ready}\r\n\r\n".encode())
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and " 200 " in head[0]

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self._record(f"{self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    def resident_mb(self) -> float:
        """Return the memory that the process holds, in MB."""
        assert self.process is not None
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a client got: a status, or 0 with the way in which its connection ended."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, end: str) -> None:
        self.status, self.headers, self.body, self.end = status, headers, body, end

    def __str__(self) -> str:
        return f"{self.status or '-'} {self.end} {self.body[:60]!r}"


async def send(
    front: str,
    method: str,
    target: str,
    identity: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    deadline_ms: int = 4000,
) -> Answer:
    """Send one client attempt on a new connection and return what came until the client gave up."""
    host, _, port = front.rpartition(":")
    status, answer_headers, received = 0, {}, b""
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.3):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {identity}"]
            lines += [f"X-Deadline-Ms: {deadline_ms}", *(f"{k}: {v}" for k, v in (headers or {}).items())]
            lines += [f"Content-Length: {len(body)}"] if body or method == "POST" else []
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0, {}, b"", "closed without an answer")
            status, answer_headers = int(head[0].split(" ")[1]), head[1]
            if "chunked" in answer_headers.get("transfer-encoding", ""):
                while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                    received += (await reader.readexactly(size + 2))[:-2]
                await reader.readexactly(2)
            elif "content-length" in answer_headers:
                received = await reader.readexactly(int(answer_headers["content-length"]))
            else:
                while data := await reader.read(65536):
                    received += data
            return Answer(status, answer_headers, received, "whole")
    except TimeoutError:
        return Answer(status, answer_headers, received, "gave up")
    except (OSError, EOFError, ValueError) as error:
        return Answer(status, answer_headers, received, f"broken off ({type(error).__name__})")
    finally:
        if writer is not None:
            writer.transport.abort()


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    fields = {"timeout_ms": 6000, "slo_ms": 800, "priority": 1, "attempts": 2, "public": False}
    if kind == "stream":
        fields |= {"sticky": True, "can_resume": True, "gap_slo_ms": 500}
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "service": service, **fields, **more}


def engine_service(slots: int = 64, **more: Any) -> dict[str, Any]:
    """Return the language-model service of the configuration."""
    engine = {
        "slots": slots,
        "kv_capacity": 110556,
        "kv_token_bytes": 163840,
        "link_mbps": 1100000.0,
        "max_inflight": 12,
        "models": [{"name": MODEL}],
    }
    return {"name": ENGINES, "health_path": "/healthz", "max_conns": 360, "engine": {**engine, **more}}


def calls_service() -> dict[str, Any]:
    """Return the plain service of the configuration."""
    return {"name": CALLS, "health_path": "/healthz", "max_conns": 360}


def configuration(version: int, tenants: list[dict[str, Any]], routes: list[Any], services: list[Any]) -> Any:
    """Return a whole configuration."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants}


def main_loop(work: Coroutine[Any, Any, None]) -> None:
    """Run a stand-in's process until it is killed."""
    asyncio.run(work)


Case = Callable[[Record, Path, list[Router]], Awaitable[bool]]
"""A case: returns whether the rule was broken. It appends its routers, so that they are ended."""


def main(case: Case, folder: Path, seconds: float = 110.0) -> None:
    """Run a case, end all its processes, and exit with its result."""
    record = Record(folder)
    scratch = Path(tempfile.mkdtemp(prefix="wallwell-case-"))
    routers: list[Router] = []

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(seconds):
                return await case(record, scratch, routers)
        finally:
            await asyncio.gather(*(router.end() for router in routers))

    try:
        broken = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record(f"the case could not run: {type(error).__name__}: {error}")
        for log in sorted(scratch.glob("*.log")):
            record(f"{log.name} ends: {log.read_text(errors='replace')[-1500:]}")
        sys.exit(2)
    finally:
        if os.environ.get("KEEP"):
            shutil.copytree(scratch, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(scratch, ignore_errors=True)
    record("RESULT: the rule was broken" if broken else "RESULT: the rule held")
    sys.exit(1 if broken else 0)
