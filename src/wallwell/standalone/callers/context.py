"""What the handlers of one node share: its objects, its readiness, and what it has learned of back ends.

Owns the state that outlives a request but belongs to no other object: refuted reports of engines, pauses and
breakers of service instances, calls in flight, work in the background. ``standalone.router_node`` builds it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

import aiohttp

from wallwell.background import BackgroundTasks
from wallwell.errors import WallwellError
from wallwell.events import Event, emit
from wallwell.standalone.backends.service_client import ServiceClient
from wallwell.standalone.cluster.claims import ClaimTable
from wallwell.standalone.cluster.messages import EngineRecord
from wallwell.standalone.cluster.node import ClusterNode
from wallwell.standalone.cluster.transport import ClusterTransport
from wallwell.standalone.config.commit import ConfigCommitter
from wallwell.standalone.config.compiled import CompiledConfig, Engine
from wallwell.standalone.crash_memory import CrashMemory
from wallwell.standalone.metrics import NodeMetrics
from wallwell.standalone.routing.retry import CircuitBreaker, RetryBudget
from wallwell.standalone.routing.selector import EngineSelector
from wallwell.standalone.settings import NodeSettings
from wallwell.standalone.unreadable import UnreadableEntries
from wallwell.storage.table import TableService

T = TypeVar("T")


@dataclass
class NodeContext:
    """One node's objects, wired together by ``standalone.router_node``."""

    settings: NodeSettings
    rng: random.Random
    node: ClusterNode
    transport: ClusterTransport
    selector: EngineSelector
    session: aiohttp.ClientSession
    services: ServiceClient
    table: TableService
    claims: ClaimTable
    committer: ConfigCommitter
    metrics: NodeMetrics
    crashes: CrashMemory
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    refuted_news: dict[str, EngineRecord] = field(default_factory=dict)
    """By engine, the published state that the engine has contradicted by refusing a dispatch."""
    service_in_flight: dict[str, int] = field(default_factory=dict)
    """Calls in flight by service instance."""
    service_paused_until_s: dict[str, float] = field(default_factory=dict)
    """By service instance, until when it gets no calls because it is leaving; on this node's clock."""
    service_breakers: dict[str, CircuitBreaker] = field(default_factory=dict)
    unreadable_counts: UnreadableEntries = field(default_factory=lambda: UnreadableEntries("counts of engines"))
    """Engines whose counts of tokens cannot be read."""
    ready: bool = False
    """Whether the node has a configuration to serve by."""
    draining: bool = False
    """Whether the node is stopping: it reports that it is not ready, and still serves."""
    refusing: bool = False
    """Whether new requests are refused because the node is stopping."""
    in_flight: int = 0
    """Admitted requests that have not ended."""
    background: BackgroundTasks = field(default_factory=BackgroundTasks)
    _region_engines: dict[str, Engine] = field(default_factory=dict)
    _region_revision: int = -1

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run work that outlives its caller; a planned stop waits for it."""
        task = self.background.start(work)
        task.add_done_callback(_retrieve_exception)
        return task

    @property
    def config(self) -> CompiledConfig:
        """The configuration in force."""
        return self.node.config.compiled

    def region_engines(self) -> dict[str, Engine]:
        """Return the engines in the zones of this node's region; rebuilt when the configuration changes."""
        config = self.config
        if self._region_revision != config.revision:
            region = self.settings.region
            local = {zone for zone, spec in config.zones.items() if spec.region == region}
            self._region_engines = {name: each for name, each in config.engines.items() if each.zone in local}
            self._region_revision = config.revision
        return self._region_engines

    def trusted_news(self) -> dict[str, EngineRecord]:
        """Return serving engines as published, without those that refused a dispatch since they published that."""
        return {
            name: news for name, news in self.node.serving_engines().items() if self.refuted_news.get(name) != news
        }

    def engines_for(self, model: str) -> dict[str, Engine]:
        """Return the engines of the region that serve ``model`` and are not leaving."""
        leaving = self.node.leaving_addresses()
        return {
            name: engine
            for name, engine in self.region_engines().items()
            if model in engine.models and not engine.leaving and engine.address not in leaving
        }


def _retrieve_exception(task: asyncio.Task[Any]) -> None:
    """Retrieve a task's exception: if the caller that awaited it has left, asyncio would log it as never
    retrieved. One that no caller is told of by its type is logged here, since the caller may have left."""
    error = None if task.cancelled() else task.exception()
    if error is not None and not isinstance(error, WallwellError):
        emit(Event.TASK_FAILED, error=repr(error), where=_coroutine_name(task), raised_at="")


def _coroutine_name(task: asyncio.Task[Any]) -> str:
    return str(getattr(task.get_coro(), "__qualname__", task.get_name()))
