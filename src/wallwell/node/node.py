"""One node of a fleet with its lasting state in a store: followers, pipeline, weights rolls, readiness, stop."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any, Protocol

from wallwell.clock import SuspensionWatch, boot_time_s
from wallwell.cluster.crash_reports import CrashReports
from wallwell.cluster.load_messages import MemberLoad, RegionLoad, ZoneLoad
from wallwell.cluster.load_reporter import LoadReporter
from wallwell.cluster.peer_link import PeerServer
from wallwell.cluster.relay import RelayedRows, answer_from
from wallwell.cluster.row_messages import RowsRequest
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.freshness import StoreClock
from wallwell.deployment.topology import Topology
from wallwell.events import Event, emit
from wallwell.http_connection import ConnectionPool
from wallwell.node.crash_watch import CrashCheck, CrashWatch
from wallwell.node.kv_store_watch import CacheRequest, KvStoreWatch
from wallwell.node.loop_lag import TICK_S, LoopLag
from wallwell.node.rows import BackendRows, MemberRows, NodeSources, OperatorRows
from wallwell.node.state import FleetBounds, NodeState
from wallwell.placement.weights_roll_driver import EngineControl, WeightsRollDriver
from wallwell.rollout.driver import RolloutDriver
from wallwell.rollout.planner import RolloutPlanner
from wallwell.rollout.reporter import CountsReporter
from wallwell.rollout.reports import CountsReport, FleetCounts
from wallwell.serving.liveness import Liveness, ReachabilityCheck
from wallwell.serving.messages import BackendClient, CallerReply, CallerRequest
from wallwell.serving.pipeline import RequestPipeline
from wallwell.storage.feed import FollowedPage, RowFollower, RowSource

OPERATORS_WAIT_S = 0.8
BACKENDS_WAIT_S = 0.8
OWN_WAIT_S = 2.0
BACKENDS_PAUSE_S = 0.1
OWN_PAUSE_S = 0.2
HOUSEKEEPING_S = 1.0
FIRST_REGISTRATION_TICK_S = 0.1
NOTICE_S = 2.6
"""How long a stopping node still takes requests, until every balancer has seen that it is not ready."""
DRAIN_TICK_S = 0.05
STOP_RESERVE_FRACTION = 0.125
"""Part of the grace period kept for closing; what still runs in the last sixth may be cut (the users' rules)."""


class BackendCheck(ReachabilityCheck, CrashCheck, Protocol):
    """Tells by new connections how back ends fare."""


class FleetNode:
    """Wires one node's state, followers and pipeline together."""

    def __init__(
        self,
        node: str,
        zone: str,
        bounds: FleetBounds,
        sources: NodeSources,
        client: BackendClient,
        control: EngineControl,
        check: BackendCheck,
        pool: ConnectionPool,
        seed: int | None = None,
        link_mbps: float = 0.0,
        places: Topology | None = None,
    ) -> None:
        rng = random.Random(seed if seed is not None else f"{node}/{time.time_ns()}")
        places = places or Topology(zone)
        self.state = NodeState(node, zone, bounds, rng, started_s=boot_time_s(), topology=places)
        self.draining = False
        self.in_flight = 0
        self.lag = LoopLag()
        self._suspensions = SuspensionWatch()
        self._pool = pool
        self._liveness = Liveness(self.state, check)
        self._crashes = CrashWatch(self.state, check, sources.table, lambda: self._order.members)
        self._pipeline = RequestPipeline(self.state, client, liveness=self._liveness, crashes=self._crashes)
        self._clock = StoreClock()
        self._weights_roll = WeightsRollDriver(self.state, sources.table, control, self._clock)
        self._order = UpstreamOrder(node, zone, topology=places)
        self.state.zones.on_return = self._order.on_zone_returned
        counts = FleetCounts()
        self._rollouts = RolloutDriver(
            self.state, sources.table, sources.rollouts, RolloutPlanner(bounds.rollout), counts, self._clock
        )
        self._reporter = CountsReporter(
            node, self.state.rollouts.tally, counts, lambda: self._rollouts.holder, lambda: self._order.members
        )
        self._link_mbps = link_mbps
        self._tasks: list[asyncio.Task[None]] = []
        self._relayed: dict[str, RelayedRows] = {}
        self._operators = OperatorRows(self.state, sources)
        self._listing = BackendRows(self.state, sources, pool)
        self._members = MemberRows(
            self.state, sources.table, self._order, (self._weights_roll, self._rollouts, self._crashes)
        )
        self._followers = (
            self._follower("operators", sources.operators, self._operators.apply, OPERATORS_WAIT_S, 0.0),
            self._follower("backends", sources.backends, self._listing.apply, BACKENDS_WAIT_S, BACKENDS_PAUSE_S),
            self._follower("own", sources.own, self._members.apply, OWN_WAIT_S, OWN_PAUSE_S),
        )
        told = CrashReports(self._crashes.unwritten, self._crashes.on_told)
        self._exchange = LoadReporter(node, self.state.load, self._order, self.state.region_traffic, told)
        self._kv_store_watch = KvStoreWatch(self.state, sources.cache_events, self._order)
        self._peers = PeerServer(
            {
                RowsRequest: answer_from(self._relayed),
                MemberLoad: self._exchange.on_member,
                ZoneLoad: self._exchange.on_zone,
                RegionLoad: self._exchange.between_regions.on_region,
                CacheRequest: self._kv_store_watch.answer,
                CountsReport: self._reporter.on_report,
            }
        )

    def _follower(
        self, name: str, store: RowSource, apply: Callable[[FollowedPage], None], wait_s: float, pause_s: float
    ) -> RowFollower:
        rows = RelayedRows(name, store, self._order, self._clock, wait_s, pause_s)
        self._relayed[name] = rows
        return RowFollower(name, rows, apply, wait_s, self._clock, self.state.rng)

    async def listen_for_peers(self, host: str, ports: Iterable[int]) -> None:
        """Serve peers on the first port that is free; without one, they follow the store themselves."""
        for port in ports:
            try:
                await self._peers.start(host, port)
                return
            except OSError:
                continue
        emit(Event.RELAY_NOT_SERVED, host=host)

    def start(self) -> None:
        """Start following the store."""
        loops: list[Callable[[], Coroutine[Any, Any, None]]] = [each.run for each in self._followers]
        loops += [self._weights_roll.run, self._exchange.run, self._kv_store_watch.run, self._liveness.run]
        loops += [self._housekeeping, self._watch_lag, self._crashes.run]
        if self.state.topology.has_regions:
            loops.append(self._exchange.between_regions.run)
        loops += [self._rollouts.run, self._reporter.run]
        self._tasks = [asyncio.create_task(self._supervise(loop)) for loop in loops]

    async def _supervise(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop for the node's life; an unexpected error is logged and the loop starts again."""
        while True:
            try:
                await loop()
            except Exception as error:
                emit(Event.INTERNAL_ERROR, error=f"{type(error).__name__}: {error}", where=loop.__qualname__)
            await asyncio.sleep(HOUSEKEEPING_S)

    async def _watch_lag(self) -> None:
        while True:
            due_s = boot_time_s() + TICK_S
            await asyncio.sleep(TICK_S)
            now_s = boot_time_s()
            self._suspensions.look()
            self.lag.observe(now_s - due_s, now_s)

    async def _housekeeping(self) -> None:
        # Until a node is registered it cannot follow a peer, and each of its calls to the store counts.
        while not self._members.known:
            await asyncio.sleep(FIRST_REGISTRATION_TICK_S)
        while True:
            await self._members.register(NodeRecord(self.state.zone, self._peers.address, self._link_mbps))
            await asyncio.sleep(HOUSEKEEPING_S * self.state.rng.uniform(0.8, 1.2))
            self._pool.sweep(boot_time_s())
            self._listing.drop_lapsed(boot_time_s())

    # --- callers ---------------------------------------------------------------------------------------

    async def serve(self, request: CallerRequest, reply: CallerReply) -> None:
        """Answer one request."""
        self.in_flight += 1
        try:
            await self._pipeline.serve(request, reply)
        finally:
            self.in_flight -= 1

    def metrics_text(self) -> bytes:
        """Return this node's figures as text."""
        # Imported here, since the library costs memory that a node without the address need not spend.
        from wallwell.node.metrics import render

        return render(self._pipeline.counters, self.state)

    def is_ready(self) -> bool:
        """Whether callers' new connections should come here."""
        now_s = boot_time_s()
        if self.draining or self.lag.is_starved(now_s):
            return False
        # Until this product's own rows are read, the node does not know which versions are barred.
        return self._members.known and self.state.is_ready(now_s)

    def closing_connections(self) -> bool:
        """Whether callers should take their next request to another node."""
        return self.draining or not self.state.is_fresh(boot_time_s())

    # --- stop ------------------------------------------------------------------------------------------

    async def drain(self, grace_s: float, close_listener: Callable[[], Awaitable[None]]) -> None:
        """Stop being ready, stop taking requests once callers have had time to notice, and finish what is open.

        ``close_listener`` ends the acceptance of connections and closes those that rest.
        """
        emit(Event.NODE_DRAINING, in_flight=self.in_flight)
        self.draining = True
        self._weights_roll.drain()
        self._rollouts.drain()
        self._peers.close()
        end_s = boot_time_s() + grace_s * (1.0 - STOP_RESERVE_FRACTION)
        await asyncio.sleep(min(NOTICE_S, grace_s / 2))
        await close_listener()
        while self.in_flight and boot_time_s() < end_s:
            await asyncio.sleep(DRAIN_TICK_S)

    async def stop(self) -> None:
        """Stop following the store and close connections."""
        self._weights_roll.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._peers.close()
        self._exchange.close()
        self._kv_store_watch.close()
        self._reporter.close()
        for rows in self._relayed.values():
            rows.close()
        self._pool.close()
