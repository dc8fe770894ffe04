"""Which engines load which weights when: the decisions of a weights roll. No I/O.

A weights roll brings every engine to the newest version; :mod:`wallwell.placement.weights_roll_timing` decides when
it begins. Engines load a few at a time, so that the others keep serving and loads stay quick.

Inputs: the listed engines with the versions they are believed to have, the named versions
(:class:`WeightsTargets`), the fleet's generations a second, and ``now_s`` on this node's clock. Owns which loads
are in progress and when a failed one may be tried again. Orders that are sent show in the log as ``ORDER_SENT``
(7001).
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from wallwell.deployment.topology import ONE_REGION, Topology
from wallwell.deployment.weights import OVERDUE_FRACTION, NamedVersion, WeightsTargets
from wallwell.placement.weights_roll_timing import RollCircumstances, start_delay_s
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.prefix_home import PREFILL_CHUNK_TOKENS, engine_pool_of_all_regions

LONGEST_DELAY_FRACTION = 0.52
"""Fraction of the time allowed for a version (``version_s``) after which a weights roll begins at the latest, so
that the rest of that time covers the loads."""
CONCURRENT_LOADS_FRACTION = 0.4
"""Fraction of a pool's engines that load at the same time: more would finish sooner and leave fewer to serve."""
SERVING_FRACTION = 0.5
"""Fraction of all engines that must go on serving during a weights roll; crashed ones do not count as serving."""
RETRY_S = 0.8
"""Seconds after a load that failed until its engine is tried again."""


class OrderReply(enum.Enum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    IN_PLACE = "in_place"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer: the order may have been accepted, or may take effect later."""


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine reports of itself."""

    versions: Mapping[str, int]
    """Weights versions by model."""
    busy: bool
    """Whether it is carrying out an order."""
    orders_taken: int
    """Number of orders accepted so far: the precondition of the next one."""


class WeightsOrder(msgspec.Struct, frozen=True):
    """An order to load weights, fenced by the lease under which it is given.

    Streams in flight go on under the new weights: an engine that waited for them to end would serve nobody else.
    """

    model: str
    version: int
    holder: str
    """The node that holds the lease."""
    fence: int
    """The lease's fencing token: an engine refuses an order with a lower one than it has accepted."""
    expected_orders: int
    """Orders the engine must have accepted so far, so that an order that is sent twice is accepted once."""


class LoadTask(msgspec.Struct, frozen=True):
    """An engine that is to load a version now."""

    backend: Backend
    model: str
    version: int


def pools_by_prompt_length(
    engines: Sequence[Backend], topology: Topology = ONE_REGION
) -> tuple[list[Backend], list[Backend]]:
    """Return the pools for short and long prompts, each in the order in which its engines load."""
    short = engine_pool_of_all_regions(engines, 0, topology)
    long = [
        engine
        for engine in engine_pool_of_all_regions(engines, PREFILL_CHUNK_TOKENS + 1, topology)
        if engine not in short
    ]
    return short, long


def concurrent_loads(pool: Sequence[Backend]) -> int:
    """Return how many engines of a pool may load at the same time."""
    return max(1, round(len(pool) * CONCURRENT_LOADS_FRACTION))


@dataclass
class WeightsRollPlanner:
    """Brings engines towards the newest named versions."""

    targets: WeightsTargets
    allowance_s: float
    """Seconds from a version's naming for which generations on older weights are allowed."""
    generations_per_s: Callable[[float], float] = lambda now_s: 0.0
    """Returns the generations a second of all nodes at a time."""
    topology: Topology = ONE_REGION
    _in_progress: set[str] = field(default_factory=set)
    """Incarnations of the engines that load."""
    _delays: dict[tuple[str, int], float] = field(default_factory=dict)
    """Start delays worked out at ``_delays_at_s``, by model and missing version; engines that lack the same version
    share one."""
    _delays_at_s: float = float("-inf")
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
            if now_s - missing.known_since_s >= self._start_delay_s(model, missing, engines, now_s):
                return model
        return None

    def _start_delay_s(self, model: str, missing: NamedVersion, engines: Sequence[Backend], now_s: float) -> float:
        if now_s != self._delays_at_s:
            self._delays.clear()
            self._delays_at_s = now_s
        key = (model, missing.version)
        if key not in self._delays:
            self._delays[key] = self._decide_start_delay_s(model, missing, engines, now_s)
        return self._delays[key]

    def _decide_start_delay_s(
        self, model: str, missing: NamedVersion, engines: Sequence[Backend], now_s: float
    ) -> float:
        newest = self.targets.newest(model)
        lacking = [each for each in engines if each.believed_version(model) < newest]
        serving = all(each.is_serving(now_s) for each in engines if not each.is_leaving(now_s))
        circumstances = RollCircumstances(self.generations_per_s(now_s), len(lacking), serving)
        longest_s = self.allowance_s * LONGEST_DELAY_FRACTION
        return start_delay_s(self.targets.named(model), missing, circumstances, longest_s, now_s)

    def next_tasks(self, engines: Sequence[Backend], now_s: float) -> list[LoadTask]:
        """Return the loads to start now; the caller ends each with :meth:`finish`."""
        tasks: list[LoadTask] = []
        for pool in pools_by_prompt_length(engines, self.topology):
            spare = self._count_serving(engines, now_s) - math.ceil(len(engines) * SERVING_FRACTION)
            if not self._in_progress:
                # With half of the engines gone the roll still goes on, one engine at a time.
                spare = max(1, spare)
            tasks += self._next_of_pool(pool, engines, spare, now_s)
        return tasks

    def _count_serving(self, engines: Sequence[Backend], now_s: float) -> int:
        return sum(each.is_serving(now_s) and each.incarnation not in self._in_progress for each in engines)

    def _next_of_pool(
        self, pool: Sequence[Backend], engines: Sequence[Backend], spare: int, now_s: float
    ) -> list[LoadTask]:
        """Return the loads to start in one pool; ``spare`` more of all engines can stop serving now."""
        loading = sum(engine.incarnation in self._in_progress for engine in pool)
        free = min(spare, concurrent_loads(pool) - loading)
        tasks: list[LoadTask] = []
        for engine in pool:
            identity = engine.incarnation
            if identity in self._in_progress or now_s < self._retry_at_s.get(identity, 0.0):
                continue
            model = self._due_model(engine, engines, now_s)
            if model is None or (len(tasks) >= free and not self._is_overdue(engine, model, now_s)):
                continue
            tasks.append(LoadTask(engine, model, self.targets.newest(model)))
            self._in_progress.add(identity)
        return tasks

    def _is_overdue(self, engine: Backend, model: str, now_s: float) -> bool:
        """Whether the engine gets no generations any more, so that its load costs no capacity."""
        missing = self.targets.oldest_missing(model, engine.believed_version(model))
        return missing is not None and now_s - missing.known_since_s >= self.allowance_s * OVERDUE_FRACTION

    def finish(self, task: LoadTask, done: bool, now_s: float) -> None:
        """A load has ended (``done``), or its order could not be carried out and is tried again later."""
        identity = task.backend.incarnation
        self._in_progress.discard(identity)
        if done:
            task.backend.set_believed_version(task.model, task.version)
            self._retry_at_s.pop(identity, None)
        else:
            self._retry_at_s[identity] = now_s + RETRY_S
