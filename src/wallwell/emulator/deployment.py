"""A deployment in one process: routers, engines, services and the platform over loopback sockets.

Used by the demo, the load tool and tests. The configuration files are those of ``examples/``; only the back ends'
addresses are replaced, by ports that the operating system chose.

Owns every component from start to stop. Applies files through the operator interface of the standalone router.
"""

from __future__ import annotations

import asyncio
import re
import secrets
from pathlib import Path

import aiohttp
from aiohttp import web

from wallwell.background import BackgroundTasks
from wallwell.cli.operator_client import OperatorClient
from wallwell.emulator.engine_model import EngineProfile
from wallwell.emulator.engine_server import EngineServer
from wallwell.emulator.faults import abort_listener
from wallwell.emulator.platform_server import PlatformServer
from wallwell.emulator.service_server import ServiceServer
from wallwell.standalone.config.commit import ApplyRequest
from wallwell.standalone.config.parse import ConfigFile, parse_file
from wallwell.standalone.config.schema import EnginePoolSpec, ServiceSpec, ZoneSpec
from wallwell.standalone.router_node import RouterNode
from wallwell.standalone.settings import ClusterSettings, NodeSettings, PlatformAddresses

OPERATOR_TOKEN = "fleet-operator-token"
"""Operator token of every router; like the cluster key, only suitable on loopback."""
CLUSTER_KEY = "fleet-cluster-key-0123456789"
HOST = "127.0.0.1"
RESTART_DELAY_S = 1.2
"""Seconds until a crashed emulator listens again."""
SHUTDOWN_TIMEOUT_S = 0.05
"""Seconds to wait for handlers at shutdown: short, since an emulator has nothing to finish."""
CALLS_PER_S = 2000.0
"""Calls per second that the platform serves: high enough not to limit a deployment in one process."""
SYNC_INTERVAL_S = 0.2
"""Seconds between two reconciliations of routers: short, so that tests need not wait."""
SUSPICION_TIMEOUT_S = 1.0
"""Seconds until a suspected router counts as failed: short, so that tests need not wait."""
READY_TIMEOUT_S = 15.0
"""Seconds within which all routers must be ready, given that one process starts them all."""
READY_CHECK_INTERVAL_S = 0.05
"""Seconds between two checks of whether all routers are ready."""
APPLY_ID_BYTES = 12
"""Random bytes in the id of a configuration change."""
_ADDRESS_PATTERN = re.compile(r"\d+(?:\.\d+){3}:\d+")
"""``IP:PORT`` in a configuration file."""


class EmulatedBackend:
    """An emulator and its listener."""

    def __init__(self, server: EngineServer | ServiceServer | PlatformServer) -> None:
        self.server = server
        self.crashes = 0
        self._restarts = BackgroundTasks()
        server.faults.on_crash = self._crash
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listen on ``port``, or any free port if 0; return ``IP:port``."""
        self._runner = web.AppRunner(
            self.server.app(), handler_cancellation=True, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, HOST, port).start()
        self.address = f"{HOST}:{self._runner.addresses[0][1]}"
        return self.address

    def _crash(self) -> None:
        assert self._runner is not None
        self.crashes += 1
        abort_listener(self._runner)
        self._restarts.start(self._restart())

    async def _restart(self) -> None:
        await self.stop()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start(int(self.address.rpartition(":")[2]))

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


class EmulatedDeployment:
    """One deployment. ``start`` starts all components, applies the configuration files and waits for readiness."""

    def __init__(
        self,
        directory: Path,
        policy: str = "expected_first_token",
        profile: EngineProfile | None = None,
    ) -> None:
        self._directory = directory
        self._policy = policy
        self._profile = profile or EngineProfile()
        self.platform = EmulatedBackend(PlatformServer(calls_per_s=CALLS_PER_S))
        self.engines: dict[str, EmulatedBackend] = {}
        self.services: dict[str, EmulatedBackend] = {}
        self.routers: list[RouterNode] = []
        self.files: list[ConfigFile] = []

    @property
    def platform_server(self) -> PlatformServer:
        """The platform emulator."""
        assert isinstance(self.platform.server, PlatformServer)
        return self.platform.server

    def engine(self, name: str) -> EngineServer:
        """Return the emulator of one engine."""
        server = self.engines[name].server
        assert isinstance(server, EngineServer)
        return server

    def service(self, name: str) -> ServiceServer:
        """Return the emulator of one service instance."""
        server = self.services[name].server
        assert isinstance(server, ServiceServer)
        return server

    async def start(self) -> None:
        """Start all components, apply the configuration files and wait until all routers are ready."""
        await self.platform.start()
        bodies = [path.read_text(encoding="utf-8") for path in sorted(self._directory.glob("*.yaml"))]
        parsed = [file for file, _ in map(parse_file, bodies) if file is not None]
        new_addresses = await self._start_backends(parsed)
        self.files = [self._replace_addresses(file, new_addresses) for file in parsed]
        zones = {file.key.name: file.spec.region for file in parsed if isinstance(file.spec, ZoneSpec)}
        for zone, region in zones.items():
            await self.start_router(f"{zone}-r1", zone, region)
        await self.apply(self.files)
        await self.wait_ready()

    async def _start_backends(self, files: list[ConfigFile]) -> dict[str, str]:
        new_addresses: dict[str, str] = {}
        models = {
            file.key.name: file.spec.weights_version for file in files if hasattr(file.spec, "weights_version")
        }
        for file in files:
            if isinstance(file.spec, EnginePoolSpec):
                for entry in file.spec.engines:
                    weights = {model: models[model] for model in file.spec.models}
                    backend = EmulatedBackend(EngineServer(entry.name, weights, self._profile))
                    self.engines[entry.name] = backend
                    new_addresses[entry.address] = await backend.start()
            elif isinstance(file.spec, ServiceSpec):
                for instance in file.spec.instances:
                    backend = EmulatedBackend(ServiceServer(instance.name))
                    self.services[instance.name] = backend
                    new_addresses[instance.address] = await backend.start()
        return new_addresses

    def _replace_addresses(self, file: ConfigFile, new_addresses: dict[str, str]) -> ConfigFile:
        body = _ADDRESS_PATTERN.sub(lambda match: new_addresses.get(match.group(), match.group()), file.body)
        changed, _ = parse_file(body)
        assert changed is not None
        return changed

    async def start_router(self, name: str, zone: str, region: str) -> RouterNode:
        """Start one router that joins the others."""
        seeds = tuple(router.transport.address for router in self.routers)
        platform = f"http://{self.platform.address}"
        settings = NodeSettings(
            node=name,
            zone=zone,
            region=region,
            operator_token=OPERATOR_TOKEN,
            policy=self._policy,
            cluster=ClusterSettings(
                key=CLUSTER_KEY,
                seeds=seeds,
                sync_interval_s=SYNC_INTERVAL_S,
                suspicion_timeout_s=SUSPICION_TIMEOUT_S,
            ),
            platform=PlatformAddresses(table=platform, machines=platform),
        )
        router = RouterNode(settings, seed=1 + len(self.routers))
        await router.start()
        self.routers.append(router)
        return router

    async def apply(self, files: list[ConfigFile], router_index: int = 0) -> int:
        """Apply files through one router's operator listener; return the highest revision."""
        revision = 0
        async with aiohttp.ClientSession() as session:
            client = self.operator_client(router_index, session)
            for file in files:
                answer = await client.apply(ApplyRequest(secrets.token_hex(APPLY_ID_BYTES), "fleet", file.body))
                revision = max(revision, answer.revision)
        return revision

    def operator_client(self, router_index: int, session: aiohttp.ClientSession) -> OperatorClient:
        """Return an operator client for one router."""
        return OperatorClient(f"http://{self.routers[router_index].operators_address}", OPERATOR_TOKEN, session)

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every router serves the newest revision and reads all engines' events. Raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while not self._is_ready():
                await asyncio.sleep(READY_CHECK_INTERVAL_S)

    def _is_ready(self) -> bool:
        head = max(router.context.node.config.head for router in self.routers)
        for router in self.routers:
            node = router.context.node
            if not router.context.ready or node.config.head < head or head == 0:
                return False
            if len(node.engines.serving_engines()) < len(self.engines):
                return False
        return True

    def idempotency_keys(self) -> list[str]:
        """Return the idempotency keys of the service calls that ran, over all instances."""
        entries = [entry for name in self.services for entry in self.service(name).journal]
        return [entry.key for entry in entries if entry.key]

    async def stop(self) -> None:
        """Stop all routers, then all emulators."""
        await asyncio.gather(*(router.close() for router in self.routers))
        backends = [self.platform, *self.engines.values(), *self.services.values()]
        await asyncio.gather(*(backend.stop() for backend in backends))
