"""What one node of a fleet knows and has counted. No I/O, and no decisions: those are in ``routing/``.

Each part is a type of its own, with one writer; everybody reads. All of them run in the process's one event loop,
so no part needs a lock. Times are on this node's clock (``wallwell.clock.boot_time_s``).

==========================================  ================================  ====================================
part                                        written by                        read by
==========================================  ================================  ====================================
config, weights, rollouts, members,         ``node`` (rows of the store)      ``serving``, ``placement``,
quarantine, backends_known, freshness                                         ``rollout``, metrics
store_era                                   ``platform`` (answers of the      ``node``, metrics
                                            store)
load (back ends, demand, first tokens,      ``cluster`` (loads of other       ``routing`` through ``serving``,
tenants' limits, configuration of peers)    nodes), ``serving`` (own ones),   metrics; ``node``
                                            ``node`` (own configuration)
kv_store_contents                           ``node/kv_store_watch.py``        ``serving/cache_planning.py``
prefill_rate, generation_time, call_time,   ``serving/backend_selector.py``   ``serving``
shortest_answers
zones                                       methods below, called by          ``serving``, ``node``
                                            ``serving``
retry budgets, split                        ``serving``                       ``serving``, metrics
region_traffic                              ``serving``, ``cluster``          metrics
node, zone, bounds, topology, started_s     the wiring, at the start          everybody
==========================================  ================================  ====================================
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from wallwell.cluster.demand import FleetDemand
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.region_traffic import RegionTraffic
from wallwell.deployment.freshness import ConfigurationFreshness
from wallwell.deployment.routes import DeploymentConfig
from wallwell.deployment.store_era import StoreEra
from wallwell.deployment.topology import SINGLE_REGION, Topology
from wallwell.deployment.weights import OVERDUE_FRACTION, WeightsTargets
from wallwell.events import Event, emit
from wallwell.rollout.model import RolloutBounds
from wallwell.rollout.records import RolloutRegistry
from wallwell.routing.admission.access import RevocationBound, is_fresh_enough
from wallwell.routing.admission.overload import AverageDuration
from wallwell.routing.admission.quarantine import Quarantine
from wallwell.routing.admission.remaining_time import ShortestAnswerTime
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.backend_registry import BackendRegistry
from wallwell.routing.health.zone_suspicion import ZoneSuspicion
from wallwell.routing.retry.first_token import FirstTokenDelays
from wallwell.routing.retry.retry_budget import FleetRetryBudget
from wallwell.routing.selection.kv_store import KvStoreContents
from wallwell.routing.selection.kv_store_choice import KvStores
from wallwell.routing.selection.prefill_rate import PrefillRate
from wallwell.routing.selection.split import WeightedSplit

DEFAULT_CALL_TIME_S = 0.05
"""Seconds of a call until some have been observed."""
STARTUP_FRACTION = 0.8
"""Fraction of the time given to a started machine after which versions of estimated age count as due."""


@dataclass(frozen=True)
class FleetBounds:
    """Bounds the operators set for every node. Times in seconds."""

    revocation_s: float = 5.0
    """How long after its removal a credential may still be accepted."""
    revocation_margin_s: float = 0.4
    """How much earlier this node stops relying on what the store confirmed."""
    strict_revocation: bool = True
    """Whether requests with credentials are refused when ``revocation_s`` cannot be kept."""
    retry_ratio: float = 0.2
    """Retries allowed per request of a service."""
    retry_extra: float = 50.0
    """Retries of a service that the whole fleet may send in a window beside that ratio."""
    retry_window_s: float = 10.0
    """Window over which requests and retries are counted."""
    lease_s: float = 3.0
    """How long a lease on a share of the control work holds."""
    startup_grace_s: float = 3.0
    """How long a machine that has started is given before bounds in time hold for it."""
    weights_deadline_s: float = 8.0
    """How long after its naming a weights version may be missing on an engine that gets generations."""
    rollout: RolloutBounds = field(default_factory=RolloutBounds)


@dataclass
class NodeState:
    """One node's state. The writers of its parts change them; see the module."""

    # --- who this node is, fixed at its start ----------------------------------------------------------
    node: str
    zone: str
    bounds: FleetBounds
    rng: random.Random
    """Random numbers of decisions on requests; tenants' limits have a generator of their own."""
    # --- what the store says ---------------------------------------------------------------------------
    config: DeploymentConfig | None = None
    """The configuration in force; None before the first one."""
    load: FleetLoad = field(default_factory=FleetLoad)
    """Back ends and what is in flight at them, here and at other nodes; tenants' limits."""
    backends_known: bool = False
    """Whether the listing of back ends has been read once."""
    weights: WeightsTargets = field(default_factory=WeightsTargets)
    """Weights versions that operators have named."""
    store_era: StoreEra = field(default_factory=StoreEra)
    """The era that the store is in."""
    freshness: ConfigurationFreshness = field(default_factory=ConfigurationFreshness)
    """When the store last confirmed the configuration."""
    split: WeightedSplit = field(default_factory=WeightedSplit)
    """Where each route over several services stands in its round."""
    members: set[str] = field(default_factory=set)
    """Names of the live nodes."""
    # --- what was learnt from answers ------------------------------------------------------------------
    prefill_rate: PrefillRate = field(default_factory=PrefillRate)
    generation_time: AverageDuration = field(default_factory=AverageDuration)
    """How long generations take from their sending to their end."""
    call_time: AverageDuration = field(default_factory=lambda: AverageDuration(DEFAULT_CALL_TIME_S))
    """The same of calls."""
    shortest_answers: dict[str, ShortestAnswerTime] = field(default_factory=dict)
    """By route."""
    kv_store_contents: dict[str, KvStoreContents] = field(default_factory=dict)
    """What each KV store holds, by address."""
    _retry_budgets: dict[str, FleetRetryBudget] = field(default_factory=dict)
    """Retry budgets by service."""
    zones: ZoneSuspicion = field(init=False)
    """Which zones are cut off from this node."""
    rollouts: RolloutRegistry = field(default_factory=RolloutRegistry)
    """Rollouts of services' software."""
    split_offset: float = 0.0
    """Where in [0, 1) this node begins in the round of a split, drawn at its start."""
    started_s: float = float("-inf")
    """When this node started."""
    topology: Topology = SINGLE_REGION
    """Which zones are near; without a map of regions all of them are of one."""
    region_traffic: RegionTraffic = field(default_factory=RegionTraffic)
    """What has crossed the link to other regions."""
    quarantine: Quarantine = field(default_factory=Quarantine)
    """Requests that crash the back ends that run them."""

    def __post_init__(self) -> None:
        self.split_offset = self.rng.random()
        self.zones = ZoneSuspicion(self.rng)
        self.rollouts.bounds = self.bounds.rollout

    @property
    def backends(self) -> BackendRegistry:
        """The back ends as the store lists them, with what was observed of each."""
        return self.load.backends

    @property
    def demand(self) -> FleetDemand:
        """How many generations callers ask for."""
        return self.load.demand

    @property
    def first_token_delays(self) -> FirstTokenDelays:
        """How soon answers begin."""
        return self.load.first_token_delays

    @property
    def node_count(self) -> int:
        """Nodes that share the fleet's budgets; this one at least."""
        return max(1, len(self.members | {self.node}))

    def apply_config(self, config: DeploymentConfig) -> bool:
        """Put a version in force; returns False for one that is not newer."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.load.limits.set_limits(config.limits_by_tenant)
        return True

    def knows_service(self, service: str) -> bool:
        """Whether the configuration or the listing names a service."""
        config = self.config
        if config is not None and any(service == each.name for each in config.services):
            return True
        if config is not None and any(
            service == each.service for route in config.routes for each in route.services
        ):
            return True
        return bool(self.backends.backends_of_service(service))

    def is_fresh(self, arrival_s: float) -> bool:
        """Whether a request that arrived then may rely on the configuration known here."""
        bounds = self.bounds
        bound = RevocationBound(bounds.strict_revocation, bounds.revocation_s, bounds.revocation_margin_s)
        return is_fresh_enough(self.freshness, bound, arrival_s)

    def is_ready(self, now_s: float) -> bool:
        """Whether this node can serve callers now."""
        return self.config is not None and self.backends_known and self.is_fresh(now_s)

    def retry_budget(self, service: str) -> FleetRetryBudget:
        """Return this node's share of a service's retry budget."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = FleetRetryBudget(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s, self.started_s)
            self._retry_budgets[service] = budget
        return budget

    def remaining_retries(self, now_s: float) -> dict[str, float]:
        """Return this node's retries left, by service."""
        return {
            service: budget.remaining_retries(now_s, self.node_count)
            for service, budget in self._retry_budgets.items()
        }

    def on_connect_timeout(self, backend: Backend, now_s: float) -> None:
        """A connection to a back end neither came up nor was refused."""
        if self.zones.on_connect_timeout(backend, self.backends.all_backends(), now_s):
            emit(Event.ZONE_SUSPECTED, zone=backend.record.zone)

    def on_sign_of_life(self, backend: Backend, now_s: float) -> None:
        """Something came from a back end's machine."""
        if self.zones.on_answer(backend, self.backends.all_backends(), now_s):
            emit(Event.ZONE_RETURNED, zone=backend.record.zone)

    @property
    def kv_stores(self) -> KvStores:
        """The KV stores in the configuration, with what each is known to hold."""
        listed = () if self.config is None else self.config.kv_stores
        return KvStores(listed, self.kv_store_contents, self.topology)

    def estimated_naming_s(self, now_s: float) -> float:
        """Return since when a weights version found at the start is taken to be named.

        It may be as old as any: it has to be due by the time that bounds hold for this node.
        """
        return now_s - (
            self.bounds.weights_deadline_s * OVERDUE_FRACTION - self.bounds.startup_grace_s * STARTUP_FRACTION
        )

    def on_version_refused(self, backend: Backend, model: str, reported: int) -> None:
        """A back end refused the expected weights version: believe the one it reports, else the newest named.

        ``reported`` is 0 if it reports none. If the newest was expected and refused, the listed one is believed
        again.
        """
        if reported:
            backend.set_believed_version(model, reported)
            return
        newest = self.weights.newest_version(model)
        listed = backend.record.versions.get(model, 0)
        believed = backend.believed_version(model)
        backend.set_believed_version(model, listed if believed == newest else max(newest, listed))
