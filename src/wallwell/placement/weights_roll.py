"""Plans a weights roll: which engines load which weights version, and when. No I/O.

A weights roll loads the newest version into every engine; :mod:`wallwell.placement.weights_roll_timing` decides
when the roll begins. Engines load a few at a time, so that the others keep serving and loads stay quick.

Inputs: the listed engines with the versions they are believed to have, the named versions
(:class:`WeightsTargets`), the fleet's generations per second, and ``now_s`` on this node's clock. Tracks the loads
in progress and when a failed load may be retried. Each order sent is logged as ``ORDER_SENT`` (7001).
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from wallwell.deployment.topology import SINGLE_REGION, Topology
from wallwell.deployment.weights import OVERDUE_FRACTION, NamedVersion, WeightsTargets
from wallwell.placement.weights_roll_timing import FleetConditions, start_delay_s
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.prefix_home import PREFILL_CHUNK_TOKENS, engine_pool_of_all_regions

MAX_START_DELAY_FRACTION = 0.52
"""Latest start of a weights roll, as a fraction of the time allowed for a version (``weights_staleness_s``): the
loads have to finish in the rest of that time."""
MAX_CONCURRENT_LOADS_FRACTION = 0.4
"""Fraction of a pool's engines that load at the same time: more would finish sooner but leave fewer to serve."""
MIN_SERVING_FRACTION = 0.5
"""Fraction of all engines that must keep serving during a weights roll; crashed engines do not count as serving."""
FAILED_LOAD_RETRY_S = 0.8
"""Delay in seconds before a failed load is retried on the same engine."""


class OrderReply(enum.Enum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "in_place"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer: the order may have been accepted, or may take effect later."""


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report of its own state."""

    versions: Mapping[str, int]
    """Weights versions by model."""
    busy: bool
    """Whether the engine is carrying out an order."""
    accepted_orders: int
    """Orders accepted so far; the next order must state this number as its precondition."""


class WeightsOrder(msgspec.Struct, frozen=True):
    """An order to load weights, fenced by the lease of the node that sends it.

    Streams in flight continue on the new weights: an engine that waited for their end could serve nothing else.
    """

    model: str
    version: int
    holder: str
    """Name of the node that holds the lease."""
    fence: int
    """The lease's fencing token: an engine refuses an order with a lower one than it has accepted."""
    expected_orders: int
    """Orders the engine must have accepted before this one, so that an order sent twice is accepted only once."""


class LoadTask(msgspec.Struct, frozen=True):
    """One load: an engine and the weights version that it is to load now."""

    backend: Backend
    model: str
    version: int


def pools_by_prompt_length(
    engines: Sequence[Backend], topology: Topology = SINGLE_REGION
) -> tuple[list[Backend], list[Backend]]:
    """Return the engines for short prompts and those for long prompts, each list in load order."""
    short = engine_pool_of_all_regions(engines, 0, topology)
    long = [
        engine
        for engine in engine_pool_of_all_regions(engines, PREFILL_CHUNK_TOKENS + 1, topology)
        if engine not in short
    ]
    return short, long


def max_concurrent_loads(pool: Sequence[Backend]) -> int:
    """Return how many engines of a pool may load at the same time, at least one."""
    return max(1, round(len(pool) * MAX_CONCURRENT_LOADS_FRACTION))


@dataclass
class WeightsRollPlanner:
    """Selects the loads that bring engines to the newest named versions."""

    targets: WeightsTargets
    max_staleness_s: float
    """Seconds after a version has been named during which generations on older weights are allowed."""
    generations_per_s: Callable[[float], float] = lambda now_s: 0.0
    """Returns the fleet's generations per second; takes the time on this node's clock."""
    topology: Topology = SINGLE_REGION
    _loading: set[str] = field(default_factory=set)
    """Incarnations of the engines with a load in progress."""
    _start_delays_s: dict[tuple[str, int], float] = field(default_factory=dict)
    """Start delays by model and missing version, valid for the time ``_start_delays_computed_at_s``."""
    _start_delays_computed_at_s: float = float("-inf")
    _retry_at_s: dict[str, float] = field(default_factory=dict)

    def is_any_load_due(self, engines: Sequence[Backend], now_s: float) -> bool:
        """Whether any engine lacks a version whose start delay has passed since the version was named."""
        return any(self._model_due_for_load(engine, engines, now_s) is not None for engine in engines)

    def _model_due_for_load(self, engine: Backend, engines: Sequence[Backend], now_s: float) -> str | None:
        if engine.is_leaving(now_s):
            return None
        for model in engine.record.versions:
            missing = self.targets.oldest_missing(model, engine.believed_version(model))
            if missing is None:
                continue
            if now_s - missing.named_at_s >= self._start_delay_s(model, missing, engines, now_s):
                return model
        return None

    def _start_delay_s(self, model: str, missing: NamedVersion, engines: Sequence[Backend], now_s: float) -> float:
        if now_s != self._start_delays_computed_at_s:
            self._start_delays_s.clear()
            self._start_delays_computed_at_s = now_s
        key = (model, missing.version)
        if key not in self._start_delays_s:
            self._start_delays_s[key] = self._compute_start_delay_s(model, missing, engines, now_s)
        return self._start_delays_s[key]

    def _compute_start_delay_s(
        self, model: str, missing: NamedVersion, engines: Sequence[Backend], now_s: float
    ) -> float:
        newest = self.targets.newest_version(model)
        outdated = [engine for engine in engines if engine.believed_version(model) < newest]
        serving = all(engine.is_serving(now_s) for engine in engines if not engine.is_leaving(now_s))
        conditions = FleetConditions(self.generations_per_s(now_s), len(outdated), serving)
        max_delay_s = self.max_staleness_s * MAX_START_DELAY_FRACTION
        return start_delay_s(self.targets.named_versions(model), missing, conditions, max_delay_s, now_s)

    def begin_due_loads(self, engines: Sequence[Backend], now_s: float) -> list[LoadTask]:
        """Mark the loads to start now as in progress and return them; each must be ended by :meth:`end_load`."""
        tasks: list[LoadTask] = []
        for pool in pools_by_prompt_length(engines, self.topology):
            spare_engines = self._count_serving(engines, now_s) - math.ceil(len(engines) * MIN_SERVING_FRACTION)
            if not self._loading:
                # Even with half of the engines gone the roll continues, one engine at a time.
                spare_engines = max(1, spare_engines)
            tasks += self._begin_loads_in_pool(pool, engines, spare_engines, now_s)
        return tasks

    def _count_serving(self, engines: Sequence[Backend], now_s: float) -> int:
        return sum(engine.is_serving(now_s) and engine.incarnation not in self._loading for engine in engines)

    def _begin_loads_in_pool(
        self, pool: Sequence[Backend], engines: Sequence[Backend], spare_engines: int, now_s: float
    ) -> list[LoadTask]:
        """Return the loads to start in one pool: at most ``spare_engines``, besides those of overdue engines."""
        loading_count = sum(engine.incarnation in self._loading for engine in pool)
        max_new_loads = min(spare_engines, max_concurrent_loads(pool) - loading_count)
        tasks: list[LoadTask] = []
        for engine in pool:
            incarnation = engine.incarnation
            if incarnation in self._loading or now_s < self._retry_at_s.get(incarnation, 0.0):
                continue
            model = self._model_due_for_load(engine, engines, now_s)
            if model is None or (len(tasks) >= max_new_loads and not self._is_overdue(engine, model, now_s)):
                continue
            tasks.append(LoadTask(engine, model, self.targets.newest_version(model)))
            self._loading.add(incarnation)
        return tasks

    def _is_overdue(self, engine: Backend, model: str, now_s: float) -> bool:
        """Whether the engine is too outdated to get new generations, so that its load costs no capacity."""
        missing = self.targets.oldest_missing(model, engine.believed_version(model))
        return missing is not None and now_s - missing.named_at_s >= self.max_staleness_s * OVERDUE_FRACTION

    def end_load(self, task: LoadTask, succeeded: bool, now_s: float) -> None:
        """Mark a load as ended; one that has not ``succeeded`` is retried after :data:`FAILED_LOAD_RETRY_S`."""
        incarnation = task.backend.incarnation
        self._loading.discard(incarnation)
        if succeeded:
            task.backend.set_believed_version(task.model, task.version)
            self._retry_at_s.pop(incarnation, None)
        else:
            self._retry_at_s[incarnation] = now_s + FAILED_LOAD_RETRY_S
