"""One node of a fleet that keeps its lasting state in a store: followers, pipeline, rollouts, readiness, stop."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from wallwell.backends.http_connection import ConnectionPool
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.freshness import StoreClock
from wallwell.deployment.routes import DeploymentConfig
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.gateway.exchange import BackendClient, CallerReply, CallerRequest
from wallwell.gateway.fleet_state import FleetBounds, FleetState
from wallwell.gateway.pipeline import RequestPipeline
from wallwell.placement.rollout_driver import EngineControl, RolloutDriver
from wallwell.storage.feed import FeedPage, FeedRow, RowFollower, RowSource
from wallwell.storage.relay import RelayedRows, RelayServer
from wallwell.storage.table import Condition, Put, TableService, Transaction
from wallwell.storage.upstream import Member, UpstreamOrder

OPERATORS_WAIT_S = 0.8
BACKENDS_WAIT_S = 0.8
OWN_WAIT_S = 2.0
BACKENDS_PAUSE_S = 0.1
OWN_PAUSE_S = 0.2
SILENCE_S = 2.4
"""Age of the last word of the operators' rows beyond which the store counts as having been silent."""
MEMBER_PREFIX = "member/"
HOUSEKEEPING_S = 1.0
NOTICE_S = 2.6
"""How long a stopping node still takes requests, until every balancer has seen that it is not ready."""
DRAIN_TICK_S = 0.05
STOP_RESERVE_S = 0.4
"""Part of the grace period kept for closing."""


@dataclass(frozen=True)
class NodeSources:
    """The store as this node sees it: rows of operators, back ends and this product, and their formats."""

    operators: RowSource
    backends: RowSource
    own: RowSource
    table: TableService
    config_key: str
    version_prefix: str
    decode_config: Callable[[bytes], DeploymentConfig]
    decode_version: Callable[[bytes], tuple[str, int]]
    decode_backend: Callable[[str, bytes], BackendRecord]


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
        pool: ConnectionPool,
        seed: int | None = None,
    ) -> None:
        rng = random.Random(seed if seed is not None else f"{node}/{time.time_ns()}")
        self.state = FleetState(node, zone, bounds, rng, started_s=time.monotonic())
        self.draining = False
        self.in_flight = 0
        self._sources = sources
        self._pool = pool
        self._pipeline = RequestPipeline(self.state, client)
        self._clock = StoreClock()
        self._rollout = RolloutDriver(self.state, sources.table, control, self._clock)
        self._registered = False
        self._order = UpstreamOrder(node, zone)
        self._own_row_version = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._relayed: dict[str, RelayedRows] = {}
        self._followers = (
            self._follower("operators", sources.operators, self._on_operator_rows, OPERATORS_WAIT_S, 0.0),
            self._follower("backends", sources.backends, self._on_backend_rows, BACKENDS_WAIT_S, BACKENDS_PAUSE_S),
            self._follower("own", sources.own, self._on_own_rows, OWN_WAIT_S, OWN_PAUSE_S),
        )
        self._relay = RelayServer(self._relayed)

    def _follower(
        self, name: str, store: RowSource, apply: Callable[[FeedPage, bool], None], wait_s: float, pause_s: float
    ) -> RowFollower:
        rows = RelayedRows(name, store, self._order, self._clock, wait_s, pause_s)
        self._relayed[name] = rows
        return RowFollower(name, rows, apply, wait_s, self._clock, self.state.rng)

    async def listen_for_peers(self, host: str, ports: Iterable[int]) -> None:
        """Serve peers on the first port that is free; without one, they follow the store themselves."""
        for port in ports:
            try:
                await self._relay.start(host, port)
                return
            except OSError:
                continue
        emit(Event.RELAY_NOT_SERVED, host=host)

    def start(self) -> None:
        """Start following the store."""
        loops: list[Callable[[], Coroutine[Any, Any, None]]] = [each.run for each in self._followers]
        loops += [self._rollout.run, self._housekeeping]
        self._tasks = [asyncio.create_task(self._supervise(loop)) for loop in loops]

    async def _supervise(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop for the node's life; an unexpected error is logged and the loop starts again."""
        while True:
            try:
                await loop()
            except Exception as error:
                emit(Event.INTERNAL_ERROR, error=f"{type(error).__name__}: {error}", where=loop.__qualname__)
            await asyncio.sleep(HOUSEKEEPING_S)

    # --- rows ------------------------------------------------------------------------------------------

    def _on_operator_rows(self, page: FeedPage, whole: bool) -> None:
        for row in page.rows:
            if row.value is None:
                continue
            try:
                self._on_operator_row(row.key, row.value)
            except msgspec.MsgspecError as error:
                emit(Event.CONFIG_REFUSED, row=row.key, error=str(error))
        if self.state.config is not None:
            self.state.freshness.confirm(self._followers[0].confirmed_at_s)

    def _on_operator_row(self, key: str, value: bytes) -> None:
        if key == self._sources.config_key:
            config = self._sources.decode_config(value)
            if self.state.apply_config(config):
                emit(Event.CONFIG_ADVANCED, version=config.version, routes=len(config.routes))
        elif key.startswith(self._sources.version_prefix):
            model, version = self._sources.decode_version(value)
            since_s, estimated = self._named_since_s()
            if self.state.weights.name(model, version, since_s, estimated):
                emit(Event.WEIGHTS_NAMED, model=model, version=version, estimated=estimated)

    def _named_since_s(self) -> tuple[float, bool]:
        """Return since when a version just seen counts as named, and whether that is a guess."""
        now_s = time.monotonic()
        before_s = self._followers[0].unconfirmed_since_s
        if before_s == float("-inf"):
            return self.state.estimated_naming_s(now_s), True
        # After a silence of the store, the version may have been named at any time within it.
        return (before_s if now_s - before_s > SILENCE_S else now_s), False

    def _on_backend_rows(self, page: FeedPage, whole: bool) -> None:
        registry = self.state.backends
        if whole:
            registry.retain({row.key for row in page.rows})
        for row in page.rows:
            if row.value is None:
                self._on_backend_gone(row.key)
                continue
            try:
                self._on_backend_row(row.key, row.value)
            except msgspec.MsgspecError as error:
                emit(Event.CONFIG_REFUSED, row=row.key, error=str(error))
        self.state.backends_known = True

    def _on_backend_row(self, incarnation: str, value: bytes) -> None:
        record = self._sources.decode_backend(incarnation, value)
        known = self.state.backends.get(incarnation)
        if known is None or known.record != record:
            emit(
                Event.BACKEND_LISTED,
                backend=incarnation,
                service=record.service,
                address=record.address,
                draining=record.draining,
                versions=dict(record.versions),
            )
        self.state.backends.upsert(record)

    def _on_backend_gone(self, incarnation: str) -> None:
        known = self.state.backends.get(incarnation)
        if known is None:
            return
        emit(Event.BACKEND_GONE, backend=incarnation)
        self._pool.forget(known.record.address)
        self.state.backends.remove(incarnation)

    def _on_own_rows(self, page: FeedPage, whole: bool) -> None:
        now_s = time.monotonic()
        members = {} if whole else dict(self._order.members)
        for row in page.rows:
            if row.key.startswith(MEMBER_PREFIX):
                self._on_member_row(members, row)
            else:
                self._rollout.on_row(row, now_s)
        self._order.members = members
        self.state.members = set(members)
        self._registered = members.get(self.state.node) == self._own_member()

    def _on_member_row(self, members: dict[str, Member], row: FeedRow) -> None:
        name = row.key[len(MEMBER_PREFIX) :]
        if name == self.state.node:
            self._own_row_version = row.version if row.value is not None else 0
        if row.value is None:
            members.pop(name, None)
            return
        try:
            members[name] = msgspec.json.decode(row.value, type=Member)
        except msgspec.MsgspecError:
            members[name] = Member(zone="")

    def _own_member(self) -> Member:
        return Member(self.state.zone, self._relay.address)

    async def _register(self) -> None:
        """Make this node count in the shares of the fleet's budgets, and known to its peers."""
        key = MEMBER_PREFIX + self.state.node
        put = Put(key, msgspec.json.encode(self._own_member()).decode())
        try:
            await self._sources.table.transact(Transaction((Condition(key, self._own_row_version),), (put,)))
        except (PlatformUnavailableError, TableConflictError):
            return

    async def _housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S * self.state.rng.uniform(0.8, 1.2))
            self._pool.sweep(time.monotonic())
            if not self._registered and self._followers[2].confirmed_at_s > 0:
                await self._register()

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
        from wallwell.gateway.fleet_metrics import render

        return render(self._pipeline.counters, self.state)

    def is_ready(self) -> bool:
        """Whether callers' new connections should come here."""
        return not self.draining and self.state.is_ready(time.monotonic())

    def closing_connections(self) -> bool:
        """Whether callers should take their next request to another node."""
        return self.draining or not self.state.is_fresh(time.monotonic())

    # --- stop ------------------------------------------------------------------------------------------

    async def drain(self, grace_s: float, close_listener: Callable[[], Awaitable[None]]) -> None:
        """Stop being ready, stop taking requests once callers have had time to notice, and finish what is open.

        ``close_listener`` ends the acceptance of connections and closes those that rest.
        """
        emit(Event.NODE_DRAINING, in_flight=self.in_flight)
        self.draining = True
        self._rollout.drain()
        self._relay.close()
        end_s = time.monotonic() + grace_s - STOP_RESERVE_S
        await asyncio.sleep(min(NOTICE_S, grace_s / 2))
        await close_listener()
        while self.in_flight and time.monotonic() < end_s:
            await asyncio.sleep(DRAIN_TICK_S)

    async def stop(self) -> None:
        """Stop following the store and close connections."""
        self._rollout.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._relay.close()
        for rows in self._relayed.values():
            rows.close()
        self._pool.close()
