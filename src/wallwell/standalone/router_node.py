"""One router: wires the node's objects together, starts them, and stops them without cutting a request.

Owns the node's loops and the order of start and stop. What each part does stands in its own module; requests
come in through the callers' application.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp

from wallwell.build_info import build_commit, build_version
from wallwell.checked_connector import CheckedConnector
from wallwell.clock import SUSPENSION_CHECK_S, SuspensionWatch, boot_time_s, ends_within
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
from wallwell.standalone.listeners import Listeners
from wallwell.standalone.metrics import NodeMetrics
from wallwell.standalone.operators_app import OperatorsApp
from wallwell.standalone.placement.controller import PlacementController
from wallwell.standalone.platform_reads import PlatformReads
from wallwell.standalone.routing.policy import POLICIES
from wallwell.standalone.routing.selector import EngineSelector
from wallwell.standalone.settings import NodeSettings
from wallwell.standalone.table_client import HttpTableService

HOUSEKEEPING_S = 1.0
"""Seconds between two removals of idle state and of what dead engines held."""
STOP_NOTICE_S = 1.0
"""Seconds for which a stopping node still serves what arrives, until callers have seen that it is not ready."""
CLOSE_S = 1.0
"""Seconds that callers' connections get to end once the last open request has been answered: longer than the
answers that say that the router stops take, and than ended connections are still read."""
STOP_TICK_S = 0.02
"""Seconds between two checks whether anything is still owed to a caller."""
LOOP_RESTART_S = 1.0
"""Seconds before a loop that ended with an unexpected error is started again, so that it cannot flood the log."""
MEMBER_EVENTS = {
    MemberStatus.ALIVE: Event.MEMBER_JOINED,
    MemberStatus.SUSPECT: Event.MEMBER_SUSPECT,
    MemberStatus.DEAD: Event.MEMBER_DEAD,
    MemberStatus.LEFT: Event.MEMBER_LEFT,
}


class RouterNode:
    """The objects of one router process; several can share an event loop."""

    def __init__(self, settings: NodeSettings, seed: int | None = None) -> None:
        self.settings = settings
        self._rng = random.Random(seed if seed is not None else time.time_ns())
        self.listeners = Listeners(settings.tls, settings.limits.max_header_bytes)
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
        callers, operators = CallersApp(self.context).app(), OperatorsApp(self.context).app()
        self.callers_address = await self.listeners.listen(callers, settings.callers_listener)
        self.operators_address = await self.listeners.listen(operators, settings.operators_listener)
        self.transport.start(self.context.node)
        self.transport.perform(self.context.node.membership.join(0))
        self._tasks = [asyncio.create_task(self._supervise(loop)) for loop in self._loops()]
        emit(
            Event.NODE_STARTED,
            node=settings.node,
            callers=self.callers_address,
            cluster=address,
            version=build_version(),
            commit=build_commit(),
        )

    def _loops(self) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
        """Return what runs until the node stops, in the order of its start."""
        context = self.context
        watch = EngineWatch(context.node, context.selector, context.session, self._rng, context.region_engines)
        reads = PlatformReads(context, self._platform_session, self._rng)
        return (
            watch.run,
            PlacementController(context).run,
            reads.become_ready,
            reads.poll_configuration,
            reads.poll_machines,
            self._housekeeping,
            self._watch_suspensions,
        )

    def _build_cluster_node(self, address: str, seeds: tuple[str, ...]) -> ClusterNode:
        settings = self.settings
        # Wall time: it must rise from one start to the next, which a clock of one boot would not.
        incarnation = int(time.time() * 1000)
        identity = ClusterIdentity(settings.node, settings.zone, settings.region, address, incarnation)
        timings = MembershipTimings(
            sync_interval_s=settings.cluster.sync_interval_s,
            suspicion_timeout_s=settings.cluster.suspicion_timeout_s,
        )
        return ClusterNode(identity, self._rng, seeds, timings)

    def _build_context(self, address: str, seeds: tuple[str, ...]) -> NodeContext:
        settings = self.settings
        node = self._build_cluster_node(address, seeds)
        session = client_session()
        platform = settings.platform
        self._platform_session = aiohttp.ClientSession(connector=CheckedConnector())
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
            committer=ConfigCommitter(table, node.config, self.transport.apply_config_delta),
            metrics=NodeMetrics(),
            crashes=CrashMemory(settings.node, node.crash_notices),
        )

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

    async def _watch_suspensions(self) -> None:
        suspensions = SuspensionWatch()
        while True:
            await asyncio.sleep(SUSPENSION_CHECK_S)
            suspensions.check()

    async def _housekeeping(self) -> None:
        while True:
            self._log_member_changes()
            await asyncio.sleep(HOUSEKEEPING_S)
            node = self.context.node
            for engine in node.engines.serving_engines().values():
                node.directory.shard.directory.observe_incarnation(engine.name, engine.incarnation)
                self.context.selector.on_incarnation(engine.name, engine.incarnation)
            node.directory.shard.directory.sweep()
            self.context.selector.forget_unconfigured(self.context.region_engines())
            node.limits.forget_idle(boot_time_s())

    def _log_member_changes(self) -> None:
        for change in self.context.node.pop_member_changes():
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
        while self._is_owing() and boot_time_s() < deadline_s:
            await asyncio.sleep(STOP_TICK_S)
        await ends_within(self.listeners.close_idle(), CLOSE_S)
        await self.close()
        emit(Event.NODE_STOPPED, node=self.settings.node)

    def _is_owing(self) -> bool:
        """Whether a request has not ended, its answer has not left this process, or work of one goes on."""
        context = self.context
        return bool(context.in_flight or context.background) or self.listeners.has_unsent_bytes()

    async def close(self) -> None:
        """Close everything at once, as an abrupt stop does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.transport.close()
        await self.listeners.close()
        await self.context.services.close()
        await self.context.session.close()
        await self._platform_session.close()
