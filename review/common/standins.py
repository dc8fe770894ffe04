"""Stand-ins for the platform, workers and clients, and the start of routers as the deploy file says.

The store is the emulator of the project. Workers and clients speak HTTP/1.1 on raw sockets, as PROTOCOL.md says.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from wallwell.emulator.platform_store import PlatformStoreEmulator

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 10, 0, 2
"""Exit statuses of a case. `run.sh` gives 1 for ``BROKEN`` alone: Python ends with 1 for any error of its own."""
HEARTBEAT_S = 1.2
NET = f"127.{20 + os.getpid() % 200}"
"""Loopback addresses of this process, so that several can run side by side."""
ZONES = {"zone-a": "home", "zone-b": "home"}
BOUNDS = {
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
"""The bounds of the small deployments (SYSTEM.md)."""
KEY, TENANT = "key-of-the-first-tenant", "first-tenant"


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start_s = time.monotonic()

    def add(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start_s:9.4f} {text}\n")

    def close(self) -> None:
        self._file.close()


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Routers:
    """Router processes, started with the command of deploy/system.toml."""

    def __init__(self, folder: Path, record: Record, store: str | dict[str, str], names: tuple[str, ...]) -> None:
        """``store`` is the store's address, for all routers or by router."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["router"]["run"].split()
        self._folder, self._record = folder, record
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.front: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        for number, name in enumerate(names, start=1):
            host = f"{NET}.0.{number}"
            front, ready, peers = free_port(host), free_port(host), free_port(host)
            peers = min(peers, 65000)
            self.front[name], self.ready[name] = f"{host}:{front}", f"{host}:{ready}"
            zone = list(ZONES)[(number - 1) % len(ZONES)]
            settings = {
                "node": name,
                "role": "router",
                "machine_class": "front",
                "serves": ["front"],
                "ip": host,
                "zone": zone,
                "region": ZONES[zone],
                "port_range": [peers, peers + 15],
                "bootstrap": True,
                "heartbeat_ms": int(HEARTBEAT_S * 1000),
            }
            tables = {
                "zones": ZONES,
                "listen": {"front": self.front[name], "ready": self.ready[name]},
                "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0},
                "bounds": BOUNDS,
                "provider": {
                    "addr": store if isinstance(store, str) else store[name],
                    "form": "table",
                    "writes_per_s": 600,
                    "reads_per_s": 2000,
                },
            }
            lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
            for table, values in tables.items():
                lines += [f"[{table}]", *(f"{key} = {json.dumps(value)}" for key, value in values.items())]
            (folder / f"{name}.toml").write_text("\n".join(lines) + "\n")

    def start(self, name: str) -> None:
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["WALLWELL_BOOT"] = str(self._folder / f"{name}.toml")
        log = (self._folder / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            self._command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self._record.add(f"router {name} started")

    def signal(self, name: str, number: int) -> None:
        self._processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self._processes[name].wait()
        self._record.add(f"router {name} gets {signal.Signals(number).name}")

    async def until_ready(self, name: str, limit_s: float = 20.0) -> None:
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            try:
                status, _, _ = await exchange(self.ready[name], b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                if status == 200:
                    self._record.add(f"router {name} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"router {name} was not ready in {limit_s} s")

    def close(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()


class Platform:
    """The store: the operator's rows and the workers' entries."""

    def __init__(self, record: Record) -> None:
        self.store = PlatformStoreEmulator()
        self._record = record
        self._entries: dict[str, dict[str, object]] = {}
        self._beats: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> str:
        await self.store.start((f"{NET}.1.1",))
        return self.store.address

    def configure(
        self,
        version: int,
        routes: list[dict[str, object]],
        services: list[dict[str, object]],
        tenants: list[dict[str, object]] | None = None,
    ) -> None:
        tenants = tenants or [{"name": TENANT, "api_keys": [KEY]}]
        limits = {
            "max_header_bytes": 65536,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 60000,
        }
        row = {"version": version, "routes": routes, "services": services, "tenants": tenants, "limits": limits}
        self.store.put("op", "config", row)
        self._record.add(f"configuration {version} acknowledged")

    def list_worker(self, identity: str, entry: dict[str, object]) -> None:
        """Write a worker's entry, and write it again each heartbeat with a higher seq."""
        self._entries[identity] = {"seq": 0, **entry}
        if identity not in self._beats:
            self._beats[identity] = asyncio.create_task(self._beat(identity))
        self._write(identity)

    def _write(self, identity: str) -> None:
        entry = self._entries[identity]
        entry["seq"] = int(str(entry["seq"])) + 1
        self.store.put("servers", identity, entry)

    async def _beat(self, identity: str) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._write(identity)

    def stop_heartbeats(self, identity: str) -> None:
        self._beats.pop(identity).cancel()

    def drop_worker(self, identity: str) -> None:
        """Remove a worker's entry, as once it has left."""
        if identity in self._beats:
            self.stop_heartbeats(identity)
        self.store.put("servers", identity, None)
        self._record.add(f"entry of {identity} goes")

    async def close(self) -> None:
        for beat in self._beats.values():
            beat.cancel()
        await self.store.stop()


# --- HTTP --------------------------------------------------------------------------------------------------


def address_of(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def parse_head(data: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one request with its body. Raises EOFError or OSError at the connection's end."""
    first, headers = parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])
    if "chunked" in headers.get("transfer-encoding", ""):
        return first, headers, await read_chunks(reader)
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


async def exchange(address: str, request: bytes, limit_s: float = 20.0) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection and return the whole answer. Raises OSError if there is none."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            return await read_answer(reader)
        except (EOFError, ValueError) as error:
            raise ConnectionError(f"no whole answer: {type(error).__name__}") from error
        finally:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read one answer. Raises EOFError, ValueError or OSError if it is not whole."""
    first, headers = parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read()
    return int(first.split()[1]), headers, body


def encode(first: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def run(folder: Path, case, limit_s: float = 105.0) -> None:
    """Run ``case(record, temporary folder)``, which returns how often the rule was broken; exit for run.sh.

    SIGTERM and SIGINT end the case early, with everything that it started.
    """
    record = Record(folder)
    status = COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, Path(temporary)), limit_s))
            status = BROKEN if broken else HELD
            record.add(f"result: broken {broken} times; trouble {'on' if TROUBLE else 'off'}")
            print(f"broken {broken} times; trouble {'on' if TROUBLE else 'off'}")
        except (Exception, KeyboardInterrupt) as error:
            record.add(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        finally:
            record.close()
    sys.exit(status)
