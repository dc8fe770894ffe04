"""The processes of one run and how they are wired; routers start as a deployment starts them.

Owns addresses, settings files, incarnations and links. Relies on :mod:`wallwell.soak.supervisor` for processes.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp

from wallwell.address import parse_address
from wallwell.background import BackgroundTasks
from wallwell.cluster.peer_link import PeerLink, PeerMessage
from wallwell.errors import SoakError
from wallwell.platform import names
from wallwell.soak.caller_process import MODEL
from wallwell.soak.configuration import BOUNDS, ENGINES, KV_STORE, ORDERS, configuration, tenant_name
from wallwell.soak.control import AimLink, Done, HarmLink, KnowNode, LinkAddress, OpenLink, PutRow, ReadRow, RowText
from wallwell.soak.history import (
    HISTORY_SUFFIX,
    HistoryWriter,
    KeysInForce,
    NodeExited,
    NodeReady,
    NodeStarted,
    StopRequested,
)
from wallwell.soak.kv_store_process import KvStoreSettings
from wallwell.soak.schedule import BETWEEN_REGIONS, ENGINE_SLOTS, FIRST_KEYS, STORE, Schedule
from wallwell.soak.store_process import StoreSettings
from wallwell.soak.supervisor import ChildProcess, Supervisor
from wallwell.soak.versions import FIRST_VERSION, Badness, version_of_engine
from wallwell.soak.worker_settings import WorkerSettings

REGION_DELAY_S = 0.02
"""Seconds of one way between regions."""
REGION_BYTES_PER_S = 30e6 / 8
"""Width each way between regions, for all connections of nodes to the other region: 30 Mbit/s."""
CALL_S = 0.15
"""Time of a call: long enough that faults on its worker strike some that run."""
PROMPT_S = 0.02
"""Time to a stream's first event."""
HEARTBEAT_S = 0.5
"""Seconds between two heartbeats of a worker; an entry goes after three without one."""
CONTROL_TIMEOUT_S = 3.0
"""Seconds for a message to the store or the proxy: the machine may be busy."""
READY_TIMEOUT_S = 20.0
"""Seconds until every router must be ready: processes start together on a busy machine."""
READY_PERIOD_S = 0.05
"""Seconds between two readiness checks."""
PEER_PORTS = 8
"""Ports after the first one that a node may use for its peers."""


class RunProcesses:
    """All processes of a run in one folder."""

    def __init__(self, schedule: Schedule, folder: Path, checkout: Path, production: Path | None = None) -> None:
        """Each node's first process is of the build in ``production``, every later one of that in ``checkout``:
        faults that start nodes again replace the first build by the second, node by node."""
        self.schedule = schedule
        self.folder = folder
        self.supervisor = Supervisor(folder)
        self.history = HistoryWriter(folder / f"run{HISTORY_SUFFIX}")
        self._router = _router_of(checkout)
        first_router = _router_of(production or checkout)
        self._first_routers = dict.fromkeys(schedule.shape.node_names(), first_router)
        """By nodes that have not been started yet."""
        self.weights = 1
        """Newest weights version that was named."""
        self.software: dict[str, tuple[str, Badness]] = {}
        """Software and badness by worker's name, of those that do not run the first version."""
        self.retired: set[str] = set()
        """Names of workers that a rollout has replaced; none is started under them any more."""
        self._incarnations: dict[str, int] = {}
        self._links: dict[str, str] = {}
        self._kv_store = ""
        """Address of the KV store, empty if there is none."""
        self._front: dict[str, str] = {}
        self._ready: dict[str, str] = {}
        self._watchers = BackgroundTasks()

    @property
    def callers_addresses(self) -> tuple[str, ...]:
        """Where callers reach the routers."""
        return tuple(self._front[node] for node in self.schedule.shape.node_names())

    async def start(self, before_nodes: Callable[[], Awaitable[None]]) -> None:
        """Start everything and wait until every router is ready; ``before_nodes`` is done before the first one
        starts. Raises :class:`SoakError`, and TimeoutError where routers are not ready in time.
        """
        await self._start_store()
        if self.schedule.shape.isolation:
            settings = KvStoreSettings("127.1.4.1", MODEL)
            (self._kv_store,) = (await self.supervisor.start_own("kv_store", KV_STORE, settings)).addresses
        self._proxy = PeerLink(parse_address((await self.supervisor.start_own("proxy", "proxy")).control))
        await self._open_links()
        await asyncio.gather(*(self.start_worker(name) for name in self.schedule.shape.worker_names()))
        await self.put_configuration(1, FIRST_KEYS)
        await before_nodes()
        for node in self.schedule.shape.node_names():
            self._write_node_settings(node)
            await self.start_node(node)
        async with asyncio.timeout(READY_TIMEOUT_S):
            await asyncio.gather(*(self._until_ready(node) for node in self.schedule.shape.node_names()))

    async def close(self) -> None:
        """End everything."""
        for watcher in self._watchers:
            watcher.cancel()
        await self.supervisor.close()
        self.history.close()

    # --- store and links -------------------------------------------------------------------------------

    async def _start_store(self) -> None:
        nodes = self.schedule.shape.node_names()
        hosts = tuple(store_host(index) for index in range(len(nodes)))
        settings = StoreSettings(str(self.folder / f"store{HISTORY_SUFFIX}"), hosts, HEARTBEAT_S)
        announced = await self.supervisor.start_own("store", "store", settings)
        self._store_addresses = dict(zip(nodes, announced.addresses, strict=True))
        self._store_control = announced.control
        self._store = PeerLink(parse_address(announced.control))
        self._store_lock = asyncio.Lock()
        self._proxy_lock = asyncio.Lock()

    async def control_store(self, message: PeerMessage) -> None:
        """Send the store a message; returns when it has been carried out."""
        async with self._store_lock:
            await self._store.ask(message, Done, CONTROL_TIMEOUT_S)

    async def control_proxy(self, message: PeerMessage) -> None:
        """Send the proxy a message; returns when it has been carried out."""
        async with self._proxy_lock:
            await self._proxy.ask(message, Done, CONTROL_TIMEOUT_S)

    async def put_row(self, table: str, key: str, text: str) -> float:
        """Write a row as the operator; returns when it was acknowledged."""
        await self.control_store(PutRow(table, key, text))
        return time.monotonic()

    async def put_configuration(
        self, version: int, keys: tuple[str, ...], more_routes: int = 0, isolated: tuple[str, ...] = ()
    ) -> None:
        """Put a configuration in force and record it. ``isolated`` are keys of isolated tenants, perhaps not all of
        them in force."""
        timeout_s, slots = self.schedule.shape.route_timeout_s, self.schedule.engine_slots
        values = configuration(version, keys, slots, more_routes, timeout_s, isolated, self._kv_store)
        at_s = await self.put_row(names.OPERATOR_TABLE, names.CONFIG_KEY, json.dumps(values))
        names_isolated = tuple(tenant_name(key) for key in keys if key in isolated)
        self.history.add(KeysInForce(at_s, version, keys, names_isolated))

    async def read_row(self, table: str, key: str) -> str | None:
        """Read a row as the operator."""
        async with self._store_lock:
            return (await self._store.ask(ReadRow(table, key), RowText, CONTROL_TIMEOUT_S)).text

    async def _open_links(self) -> None:
        shape = self.schedule.shape
        ends = {f"{node}>{STORE}": STORE for node in shape.node_names()}
        ends |= {worker: worker for worker in shape.worker_names() + shape.target_names()}
        for index, (link, end) in enumerate(ends.items()):
            request = OpenLink(link, f"127.1.1.{index + 1}", shape.region_of(end))
            self._links[link] = (await self._proxy.ask(request, LinkAddress, CONTROL_TIMEOUT_S)).address
        for node, address in self._store_addresses.items():
            await self.control_proxy(AimLink(f"{node}>{STORE}", address))
        await self.control_proxy(sound_link(BETWEEN_REGIONS))

    # --- workers ---------------------------------------------------------------------------------------

    async def start_worker(self, name: str, keeps_identity: bool = False) -> None:
        """Start a worker behind its link, with the newest weights and the software of its name.

        It is a new incarnation, or has the identity of the one before.
        """
        if name in self.retired:
            return
        software, badness = self.software.get(name, (FIRST_VERSION, Badness()))
        number = self._incarnations[name] = self._incarnations.get(name, 0) + (not keeps_identity)
        incarnation = f"{name}.{number}"
        service = ENGINES if name.startswith("engine") else ORDERS
        versions = self.schedule.shape.versions
        if service == ENGINES and versions > 1:
            software = version_of_engine(int(name.rpartition("-")[2]), number, versions)
        worker_names = self.schedule.shape.worker_names() + self.schedule.shape.target_names()
        settings = WorkerSettings(
            incarnation=incarnation,
            service=service,
            model=MODEL,
            host=f"127.1.2.{worker_names.index(name) + 1}",
            listed_address=self._links[name],
            store_control=self._store_control,
            history=str(self.folder / f"{incarnation}{HISTORY_SUFFIX}"),
            seed=self.schedule.seed,
            work_s=CALL_S if service == ORDERS else PROMPT_S,
            zone=f"z{self.schedule.shape.region_of(name)}",
            slots=self.schedule.engine_slots if service == ENGINES else ENGINE_SLOTS,
            software=software,
            weights=self.weights,
            badness=badness,
            heartbeat_s=HEARTBEAT_S,
            bad_parts=tuple({each.bad_part for each in self.schedule.requests if each.bad_part}),
            unframed=self.schedule.shape.unframed,
            second_answers=self.schedule.shape.second_answers,
            keeps_parts=self.schedule.shape.isolation and service == ENGINES,
            broken_answers=self.schedule.shape.broken_answers,
        )
        announced = await self.supervisor.start_own("worker", incarnation, settings)
        await self.control_proxy(AimLink(name, announced.addresses[0]))

    def worker_incarnation(self, name: str) -> str:
        """Return the newest incarnation's identity; its process may have ended or be starting."""
        return f"{name}.{self._incarnations[name]}"

    def worker(self, name: str) -> ChildProcess:
        """Return the newest incarnation's process. Raises KeyError while it has none."""
        return self.supervisor.child(self.worker_incarnation(name))

    # --- routers ---------------------------------------------------------------------------------------

    def _write_node_settings(self, node: str) -> None:
        index = self.schedule.shape.node_names().index(node)
        host = f"127.1.0.{index + 1}"
        front, ready, first_peer = (_free_port(host) for _ in range(3))
        self._front[node] = f"{host}:{front}"
        self._ready[node] = f"{host}:{ready}"
        values = {**BOUNDS, "grace_s": self.schedule.shape.grace_s}
        bounds = "\n".join(f"{name} = {json.dumps(value)}" for name, value in values.items())
        zones = ", ".join(f'z{region} = "region-{region}"' for region in range(self.schedule.shape.regions))
        text = f"""node = "{node}"
zone = "z{self.schedule.shape.region_of(node)}"
region = "region-{self.schedule.shape.region_of(node)}"
zones = {{ {zones} }}
ip = "{host}"
port_range = [{first_peer}, {first_peer + PEER_PORTS}]
listen = {{ front = "{self._front[node]}", ready = "{self._ready[node]}" }}
provider = {{ addr = "{self._links[f"{node}>store"]}" }}
[bounds]
{bounds}
"""
        (self.folder / f"{node}.toml").write_text(text)

    async def start_node(self, node: str) -> None:
        """Start a router with the settings file that was written for it."""
        environment = {names.SETTINGS_VARIABLE: str(self.folder / f"{node}.toml")}
        router = self._first_routers.pop(node, self._router)
        child = await self.supervisor.start(node, (sys.executable, str(router)), environment)
        await self.control_proxy(KnowNode(node, child.pid, self.schedule.shape.region_of(node)))
        self._watchers.start(self._watch(child))
        if self.schedule.shape.odd_entries:
            self.history.add(NodeStarted(time.monotonic(), node))
            self._watchers.start(self._watch_start(node, child))

    async def _watch_start(self, node: str, child: ChildProcess) -> None:
        """Record when a router that has just been started is ready, unless it ends before."""
        ready = asyncio.create_task(self._until_ready(node))
        ended = asyncio.create_task(child.wait())
        await asyncio.wait((ready, ended), return_when=asyncio.FIRST_COMPLETED)
        if ready.done() and not ready.exception():
            self.history.add(NodeReady(time.monotonic(), node))
        ready.cancel()
        await asyncio.gather(ready, ended, return_exceptions=True)

    async def _watch(self, child: ChildProcess) -> None:
        status = await child.wait()
        self.history.add(NodeExited(time.monotonic(), child.name, status, child.asked_to_end, child.had_handler))

    def node(self, name: str) -> ChildProcess:
        """Return a router's newest process."""
        return self.supervisor.child(name)

    async def stop_nodes(self) -> None:
        """Stop all routers as planned, at the same time."""
        names_left = [name for name in self.schedule.shape.node_names() if self.node(name).status is None]
        await asyncio.gather(*(self.stop_node(name) for name in names_left))
        await asyncio.gather(*self._watchers)

    async def stop_node(self, name: str) -> None:
        """Stop a router as planned, and record when it was asked to."""
        grace_s = self.schedule.shape.grace_s
        self.history.add(StopRequested(time.monotonic(), name, grace_s))
        await self.node(name).end(signal.SIGTERM)

    async def _until_ready(self, node: str) -> None:
        url = f"http://{self._ready[node]}{names.READY_PATH}"
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass  # It does not listen yet.
                await asyncio.sleep(READY_PERIOD_S)


def _router_of(checkout: Path) -> Path:
    """Return the program of a checkout's router. Raises :class:`SoakError`."""
    router = checkout / "deploy" / "router.py"
    if not router.is_file():
        raise SoakError(f"{router} is not there; run in a checkout or name one with --checkout")
    return router


def store_host(index: int) -> str:
    """Return the store's address for the node of an index: the store knows its callers by it."""
    return f"127.1.3.{index + 1}"


def sound_link(link: str, node: str = "") -> HarmLink:
    """Return what a link does without a fault: nothing, but for the delay and width between regions."""
    if link == BETWEEN_REGIONS:
        return HarmLink(link, delay_s=REGION_DELAY_S, bytes_per_s=REGION_BYTES_PER_S)
    return HarmLink(link, node)


def _free_port(host: str) -> int:
    """Return a port that was free a moment ago; only runs of this tool use these hosts."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])
