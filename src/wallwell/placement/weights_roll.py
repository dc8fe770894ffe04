"""Which engines get which weights when: decisions of a weights roll, without I/O.

A weights roll brings every engine to the newest version; :mod:`wallwell.placement.weights_roll_timing` says when it
begins.
Engines load a few at a time, so that the others keep serving and loads stay quick.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from wallwell.deployment.topology import ONE_REGION, Topology
from wallwell.deployment.weights import OVERDUE_FRACTION, NamedVersion, WeightsTargets
from wallwell.placement.weights_roll_timing import RollCircumstances, hold_s
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.prefix_home import CHUNK_TOKENS, regional_pools

HOLD_FRACTION = 0.52
"""Part of the allowance for which a weights roll waits at most."""
CONCURRENT_SHARE = 0.4
"""Share of each pool under order at the same time."""
SERVING_SHARE = 0.5
"""Share of all engines that go on serving during a weights roll; crashed ones do not count as serving."""
RETRY_S = 0.8


class OrderReply(enum.Enum):
    """What an engine said to an order."""

    ACCEPTED = "accepted"
    IN_PLACE = "in_place"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer: the order may have been taken, or may take effect later."""


@dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself. ``orders_taken`` is the precondition of the next order."""

    versions: Mapping[str, int]
    busy: bool
    orders_taken: int


@dataclass(frozen=True)
class LoadOrder:
    """An order to load weights, fenced by the lease under which it is given.

    Streams under way go on under the new weights: an engine that waited for them to end would serve nobody else.
    """

    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int


@dataclass(frozen=True)
class LoadTask:
    """An engine that is to get a version now."""

    backend: Backend
    model: str
    version: int


def divide(engines: Sequence[Backend], places: Topology = ONE_REGION) -> tuple[list[Backend], list[Backend]]:
    """Return the pools for short and long prompts, each in the order in which its engines are reloaded."""
    short = regional_pools(engines, 0, places)
    long = [engine for engine in regional_pools(engines, CHUNK_TOKENS + 1, places) if engine not in short]
    return short, long


def concurrent_loads(pool: Sequence[Backend]) -> int:
    """Return how many engines of a pool may be under order at the same time."""
    return max(1, round(len(pool) * CONCURRENT_SHARE))


@dataclass
class WeightsRollPlanner:
    """Reconciles engines towards the newest named versions."""

    targets: WeightsTargets
    allowance_s: float
    generations_per_s: Callable[[float], float] = lambda now_s: 0.0
    """Generations a second of all nodes at a time."""
    places: Topology = ONE_REGION
    _under_way: set[str] = field(default_factory=set)
    _holds: dict[tuple[str, int], float] = field(default_factory=dict)
    """Holds worked out at ``_holds_at_s`` by model and missing version; engines that lack the same share one."""
    _holds_at_s: float = float("-inf")
    _retry_at_s: dict[str, float] = field(default_factory=dict)

    def is_due(self, engines: Sequence[Backend], now_s: float) -> bool:
        """Whether an engine lacks a version that has been named long enough ago."""
        return any(self._due_model(engine, engines, now_s) is not None for engine in engines)

    def _due_model(self, engine: Backend, engines: Sequence[Backend], now_s: float) -> str | None:
        if engine.is_leaving(now_s):
            return None
        for model in engine.record.versions:
            missing = self.targets.oldest_missing(model, engine.believed_version(model))
            if missing is None:
                continue
            if now_s - missing.known_since_s >= self._hold_s(model, missing, engines, now_s):
                return model
        return None

    def _hold_s(self, model: str, missing: NamedVersion, engines: Sequence[Backend], now_s: float) -> float:
        if now_s != self._holds_at_s:
            self._holds.clear()
            self._holds_at_s = now_s
        key = (model, missing.version)
        if key not in self._holds:
            self._holds[key] = self._find_hold_s(model, missing, engines, now_s)
        return self._holds[key]

    def _find_hold_s(self, model: str, missing: NamedVersion, engines: Sequence[Backend], now_s: float) -> float:
        newest = self.targets.newest(model)
        lacking = [each for each in engines if each.believed_version(model) < newest]
        serving = all(each.is_open(now_s) for each in engines if not each.is_leaving(now_s))
        circumstances = RollCircumstances(self.generations_per_s(now_s), len(lacking), serving)
        longest_s = self.allowance_s * HOLD_FRACTION
        return hold_s(self.targets.named(model), missing, circumstances, longest_s, now_s)

    def next_tasks(self, engines: Sequence[Backend], now_s: float) -> list[LoadTask]:
        """Return the loads to start now; each is to be ended with :meth:`finish`."""
        tasks: list[LoadTask] = []
        for pool in divide(engines, self.places):
            spare = self._count_serving(engines, now_s) - math.ceil(len(engines) * SERVING_SHARE)
            if not self._under_way:
                spare = max(1, spare)
            tasks += self._next_of_pool(pool, engines, spare, now_s)
        return tasks

    def _count_serving(self, engines: Sequence[Backend], now_s: float) -> int:
        return sum(each.is_open(now_s) and each.incarnation not in self._under_way for each in engines)

    def _next_of_pool(
        self, pool: Sequence[Backend], engines: Sequence[Backend], spare: int, now_s: float
    ) -> list[LoadTask]:
        """Return the loads to start in one pool; ``spare`` engines of all can be missed now."""
        under_way = sum(engine.incarnation in self._under_way for engine in pool)
        free = min(spare, concurrent_loads(pool) - under_way)
        tasks: list[LoadTask] = []
        for engine in pool:
            identity = engine.incarnation
            if identity in self._under_way or now_s < self._retry_at_s.get(identity, 0.0):
                continue
            model = self._due_model(engine, engines, now_s)
            if model is None or (len(tasks) >= free and not self._is_overdue(engine, model, now_s)):
                continue
            tasks.append(LoadTask(engine, model, self.targets.newest(model)))
            self._under_way.add(identity)
        return tasks

    def _is_overdue(self, engine: Backend, model: str, now_s: float) -> bool:
        """Whether the engine gets no new generation any more, so that nothing is lost by its order."""
        missing = self.targets.oldest_missing(model, engine.believed_version(model))
        return missing is not None and now_s - missing.known_since_s >= self.allowance_s * OVERDUE_FRACTION

    def finish(self, task: LoadTask, done: bool, now_s: float) -> None:
        """A load has ended, or its order could not be carried out and is to be tried again."""
        identity = task.backend.incarnation
        self._under_way.discard(identity)
        if done:
            task.backend.learn_version(task.model, task.version)
            self._retry_at_s.pop(identity, None)
        else:
            self._retry_at_s[identity] = now_s + RETRY_S
