"""One router: wires the node's objects together, starts them, and stops them without cutting a request."""

from __future__ import annotations

import asyncio
import random
import ssl
import time
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
from aiohttp import web

from wallwell.clock import TICK_S, SuspensionWatch, boot_time_s
from wallwell.errors import AddressInUseError, PeerUnavailableError, PlatformUnavailableError
from wallwell.events import Event, emit
from wallwell.standalone.backends.engine_client import client_session
from wallwell.standalone.backends.engine_watch import EngineWatch
from wallwell.standalone.backends.service_client import ServiceClient
from wallwell.standalone.callers.app import CallersApp
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.cluster.claims import ClaimTable
from wallwell.standalone.cluster.codec import LineCodec
from wallwell.standalone.cluster.members import MembershipTimings
from wallwell.standalone.cluster.messages import MemberStatus
from wallwell.standalone.cluster.node import ClusterIdentity, ClusterNode
from wallwell.standalone.cluster.transport import ClusterTransport
from wallwell.standalone.config.commit import ConfigCommitter
from wallwell.standalone.crash_memory import CrashMemory
from wallwell.standalone.machines import HttpMachineList, MachineState
from wallwell.standalone.metrics import NodeMetrics
from wallwell.standalone.operators_app import OperatorsApp
from wallwell.standalone.placement.controller import PlacementController
from wallwell.standalone.routing.policy import POLICIES
from wallwell.standalone.routing.selector import EngineSelector
from wallwell.standalone.settings import Listener, NodeSettings
from wallwell.standalone.table_client import HttpTableService

READINESS_INTERVAL_S = 0.05
"""Seconds between two looks at readiness while starting: how late a ready node says so."""
PLATFORM_POLL_S = 5.0
"""Mean time between two reads of the configuration by a delegate; rumours bring changes sooner."""
MACHINE_POLL_S = 1.0
"""Longest time between two reads of the machine list: leaving machines must be known within 3 s."""
POLL_SPREAD = (0.5, 1.5)
"""Multiples of the polling interval, so that delegates do not read together."""
MACHINE_POLL_SPREAD = (0.5, 1.0)
"""The same for the machine list, whose interval is the longest allowed."""
HOUSEKEEPING_S = 10.0
"""Seconds between two removals of idle state."""
STOP_NOTICE_S = 1.0
"""Seconds for which a stopping node still serves what arrives, until callers have seen that it is not ready."""
REFRESH_DELAY_S = (0.2, 1.0)
"""Range of the delay after which a starting node asks the platform beside its seeds: they mostly answer first."""
KEEPALIVE_S = 75.0
"""Seconds for which an idle connection of a caller is kept. Chosen, not measured: a minute and a little more."""
STOP_TICK_S = 0.02
"""Seconds between two looks at whether the last open request has ended."""
LOOP_RESTART_S = 1.0
"""Pause before a loop that ended with an unexpected error is started again."""
MEMBER_EVENTS = {
    MemberStatus.ALIVE: Event.MEMBER_JOINED,
    MemberStatus.SUSPECT: Event.MEMBER_SUSPECT,
    MemberStatus.DEAD: Event.MEMBER_DEAD,
    MemberStatus.LEFT: Event.MEMBER_LEFT,
}


class RouterNode:
    """One router process's worth of objects; several can share an event loop."""

    def __init__(self, settings: NodeSettings, seed: int | None = None) -> None:
        self.settings = settings
        self._rng = random.Random(seed if seed is not None else time.time_ns())
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.transport = ClusterTransport(
            LineCodec(settings.cluster.key), settings.cluster_listener, settings.cluster.budget_bytes_per_s
        )
        self.context: NodeContext
        self.callers_address = ""
        self.operators_address = ""

    # --- start -----------------------------------------------------------------------------------------

    async def start(self, seeds: tuple[str, ...] | None = None) -> None:
        """Bind every listener and start the node's loops. Raises :class:`AddressInUseError`."""
        settings = self.settings
        address = await self.transport.bind()
        self.context = self._build_context(address, settings.cluster.seeds if seeds is None else seeds)
        limits = settings.limits
        callers = CallersApp(self.context).app()
        self.callers_address = await self._listen(callers, settings.callers_listener, limits.max_header_bytes)
        operators = OperatorsApp(self.context).app()
        self.operators_address = await self._listen(operators, settings.operators_listener, limits.max_header_bytes)
        self.transport.run(self.context.node)
        self.transport.perform(self.context.node.membership.join(0))
        watch = EngineWatch(
            self.context.node,
            self.context.selector,
            self.context.session,
            self._rng,
            self.context.region_engines,
        )
        self.watch = watch
        placement = PlacementController(self.context)
        loops = (
            watch.run,
            placement.run,
            self._become_ready,
            self._poll_platform,
            self._poll_machines,
            self._housekeeping,
            self._watch_suspensions,
        )
        self._tasks = [asyncio.create_task(self._supervise(loop)) for loop in loops]
        emit(Event.NODE_STARTED, node=settings.node, callers=self.callers_address, cluster=address)

    def _build_context(self, address: str, seeds: tuple[str, ...]) -> NodeContext:
        settings = self.settings
        identity = ClusterIdentity(settings.node, settings.zone, settings.region, address, int(time.time() * 1000))
        timings = MembershipTimings(
            sync_interval_s=settings.cluster.sync_interval_s,
            suspicion_timeout_s=settings.cluster.suspicion_timeout_s,
        )
        node = ClusterNode(identity, self._rng, seeds, timings)
        session = client_session()
        platform = settings.platform
        self._platform_session = aiohttp.ClientSession()
        table = HttpTableService(platform.table, self._platform_session, platform.timeout_s)
        return NodeContext(
            settings=settings,
            rng=self._rng,
            node=node,
            transport=self.transport,
            selector=EngineSelector(POLICIES[settings.policy](), self._rng),
            session=session,
            services=ServiceClient(),
            table=table,
            claims=ClaimTable(table),
            committer=ConfigCommitter(table, node.config, self.transport.adopt),
            metrics=NodeMetrics(),
            crashes=CrashMemory(settings.node, node.crash_notices),
        )

    async def _listen(self, app: web.Application, listener: Listener, max_header_bytes: int) -> str:
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            max_line_size=max_header_bytes,
            max_field_size=max_header_bytes,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, listener.host, listener.port, ssl_context=self._tls_context())
        try:
            await site.start()
        except OSError as error:
            raise AddressInUseError(f"{listener.host}:{listener.port}: {error}") from error
        port = runner.addresses[0][1]
        return f"{listener.host}:{port}"

    def _tls_context(self) -> ssl.SSLContext | None:
        tls = self.settings.tls
        if tls is None:
            return None
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(tls.certificate_file, tls.key_file)
        return context

    async def _supervise(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop of the node; one that fails is logged and started again, never left dead."""
        while True:
            try:
                await loop()
                return
            except Exception as error:
                emit(Event.INTERNAL_ERROR, node=self.settings.node, loop=loop.__qualname__, reason=repr(error))
                await asyncio.sleep(LOOP_RESTART_S)

    # --- loops -----------------------------------------------------------------------------------------

    async def _become_ready(self) -> None:
        """Ask peers and platform together; serve from the highest revision any of them has."""
        started_s = boot_time_s()
        seeds = [seed for seed in self.context.node.membership.seeds if seed != self.transport.address]
        fetches = [asyncio.create_task(self._fetch_from(seed)) for seed in seeds]
        platform = asyncio.create_task(self._refresh())
        while not self._is_current(fetches, platform):
            await asyncio.sleep(READINESS_INTERVAL_S)
            if platform.done() and not platform.result():
                platform = asyncio.create_task(self._refresh_later())
        self.context.ready = True
        elapsed_ms = round((boot_time_s() - started_s) * 1000)
        emit(
            Event.NODE_READY,
            node=self.settings.node,
            revision=self.context.node.config.head,
            after_ms=elapsed_ms,
        )

    def _is_current(self, fetches: list[asyncio.Task[bool]], platform: asyncio.Task[bool]) -> bool:
        """Whether this node may serve: it has a configuration and nobody it can reach has a higher one.

        The platform's answer alone suffices. Without it, every seed must have answered or failed, and no
        member may have mentioned a higher revision.
        """
        node = self.context.node
        if node.config.head == 0 or node.config.head < node.highest_head_heard:
            return False
        if platform.done() and platform.result():
            return True
        return bool(fetches) and all(task.done() for task in fetches) and any(task.result() for task in fetches)

    async def _fetch_from(self, seed: str) -> bool:
        try:
            delta = await self.transport.fetch_config(seed, 0)
        except PeerUnavailableError as error:
            emit(Event.CONFIG_FETCH_FAILED, peer=seed, reason=str(error))
            return False
        self.transport.adopt(delta)
        return delta.head > 0

    async def _refresh(self) -> bool:
        """Read the configuration from the platform; returns whether it answered."""
        try:
            await self.context.committer.refresh()
        except PlatformUnavailableError as error:
            emit(Event.TABLE_UNAVAILABLE, detail=error.detail)
            return False
        return True

    async def _refresh_later(self) -> bool:
        await asyncio.sleep(self._rng.uniform(*REFRESH_DELAY_S))
        return await self._refresh()

    async def _poll_platform(self) -> None:
        """Delegates read the table rarely, for a change whose spread was lost; other nodes hear from them."""
        while True:
            await asyncio.sleep(PLATFORM_POLL_S * self._rng.uniform(*POLL_SPREAD))
            node = self.context.node
            if node.regions.is_delegate(node.membership.alive()):
                await self._refresh()

    async def _poll_machines(self) -> None:
        """Delegates read the machine list; leaving back ends spread through gossip."""
        url = self.settings.platform.machines
        if not url:
            return
        machines = HttpMachineList(url, self._platform_session, self.settings.platform.timeout_s)
        while True:
            await asyncio.sleep(MACHINE_POLL_S * self._rng.uniform(*MACHINE_POLL_SPREAD))
            node = self.context.node
            if not node.regions.is_delegate(node.membership.alive()):
                continue
            try:
                listed = await machines.read()
            except PlatformUnavailableError:
                emit(Event.MACHINE_LIST_UNAVAILABLE)
                continue
            leaving = {machine.address for machine in listed if machine.state is MachineState.LEAVING}
            node.engines.leaving_by_machine_list = leaving

    async def _watch_suspensions(self) -> None:
        suspensions = SuspensionWatch()
        while True:
            await asyncio.sleep(TICK_S)
            suspensions.look()

    async def _housekeeping(self) -> None:
        while True:
            self._log_member_changes()
            await asyncio.sleep(1.0)
            node = self.context.node
            for engine in node.engines.serving().values():
                node.directory.shard.directory.observe_incarnation(engine.name, engine.incarnation)
                self.context.selector.on_incarnation(engine.name, engine.incarnation)
            node.directory.shard.directory.sweep()
            self.context.selector.forget_missing(self.context.region_engines())
            node.limits.forget_idle(boot_time_s())

    def _log_member_changes(self) -> None:
        for change in self.context.node.take_member_changes():
            emit(MEMBER_EVENTS[change.status], node=self.settings.node, member=change.node)

    # --- stop ------------------------------------------------------------------------------------------

    async def stop(self) -> None:
        """Planned stop: announce, serve what still arrives for a moment, finish every open request, close."""
        context = self.context
        emit(Event.NODE_DRAINING, node=self.settings.node, in_flight=context.in_flight)
        context.draining = True
        self.transport.perform(context.node.membership.leave())
        await asyncio.sleep(STOP_NOTICE_S)
        context.refusing = True
        deadline_s = boot_time_s() + self.settings.limits.stop_grace_s
        while (context.in_flight or context.background) and boot_time_s() < deadline_s:
            await asyncio.sleep(STOP_TICK_S)
        await self.close()
        emit(Event.NODE_STOPPED, node=self.settings.node)

    async def close(self) -> None:
        """Close everything at once, as an abrupt stop does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.transport.close()
        for runner in self._runners:
            await runner.cleanup()
        await self.context.services.close()
        await self.context.session.close()
        await self._platform_session.close()
