"""The state of one node of a fleet, without I/O or decisions, which are made in ``routing/``.

Each part has its own type and the writers listed below; any module may read it. All code runs in the process's
single event loop, so no part needs a lock. Times are on this node's clock (``wallwell.clock.boot_time_s``).

==========================================  ================================  ====================================
part                                        written by                        read by
==========================================  ================================  ====================================
config, cache_group_changes, weights,       ``node`` (rows of the store)      ``serving``, ``placement``,
rollouts, members, quarantine,                                                ``rollout``, metrics
backends_known, freshness,
software_history
store_era                                   ``platform`` (answers of the      ``node``, metrics
                                            store)
load (back ends, demand, first tokens,      ``cluster`` (loads of other       ``routing`` through ``serving``,
tenants' limits, configuration of peers)    nodes), ``serving`` (own ones),   metrics; ``node``
                                            ``node`` (own configuration)
kv_store_contents                           ``node/kv_store_watch.py``        ``serving/cache_planning.py``
prefill_rate, generation_time, call_time,   ``serving/backend_selector.py``   ``serving``
shortest_answers
zones, reachability, brittleness            methods below, called by          ``serving``, ``node``
                                            ``serving``
retry budgets, split                        ``serving``                       ``serving``, metrics
region_traffic                              ``serving``, ``cluster``          metrics
row_errors                                  ``node``, ``cluster`` (rows of    metrics
                                            the store)
stop                                        ``node/planned_stop.py``          ``serving``
node, zone, bounds, topology, started_s     ``node``, at the start            all modules
==========================================  ================================  ====================================
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from wallwell.address import Address
from wallwell.clock import boot_time_s
from wallwell.cluster.demand import FleetDemand
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.region_traffic import RegionTraffic
from wallwell.cluster.stream_records import VersionView
from wallwell.deployment.freshness import ConfigurationFreshness
from wallwell.deployment.routes import DeploymentConfig
from wallwell.deployment.store_era import StoreEra
from wallwell.deployment.topology import SINGLE_REGION, Topology
from wallwell.deployment.weights import OVERDUE_FRACTION, WeightsTargets
from wallwell.events import Event, emit
from wallwell.rollout.model import RolloutBounds
from wallwell.rollout.records import RolloutRegistry
from wallwell.routing.admission.access import RevocationBound, is_fresh_enough
from wallwell.routing.admission.brittle_room import ServiceBrittleness, SlotUse
from wallwell.routing.admission.overload import AverageDuration
from wallwell.routing.admission.part_quarantine import PartQuarantine
from wallwell.routing.admission.quarantine import Quarantine
from wallwell.routing.admission.remaining_time import ShortestAnswerTime
from wallwell.routing.admission.stop_times import StopTimes
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.backend_registry import BackendRegistry
from wallwell.routing.health.reachability import ServiceReachability
from wallwell.routing.health.zone_suspicion import ZoneSuspicion
from wallwell.routing.retry.first_token import FirstTokenDelays
from wallwell.routing.retry.retry_budget import FleetRetryBudget
from wallwell.routing.selection.kv_store import KvStoreContents
from wallwell.routing.selection.kv_store_choice import KvStores
from wallwell.routing.selection.prefill_rate import PrefillRate
from wallwell.routing.selection.software_history import SoftwareHistory, stream_time_s
from wallwell.routing.selection.split import WeightedSplit

DEFAULT_CALL_TIME_S = 0.05
"""Assumed duration of a call in seconds until calls have been observed."""
STARTUP_FRACTION = 0.8
"""Fraction of ``startup_grace_s`` after which weights versions of estimated age count as due."""


@dataclass(frozen=True)
class FleetBounds:
    """Limits that operators set for every node. Times are in seconds."""

    revocation_s: float = 5.0
    """How long after its revocation a credential may still be accepted."""
    revocation_margin_s: float = 0.4
    """How much earlier than ``revocation_s`` this node stops relying on the last confirmed configuration."""
    strict_revocation: bool = True
    """Whether requests with credentials are refused when ``revocation_s`` cannot be guaranteed."""
    retry_ratio: float = 0.2
    """Retries allowed per request of a service."""
    retry_extra: float = 50.0
    """Retries of a service that the whole fleet may send in a window in addition to ``retry_ratio``."""
    retry_window_s: float = 10.0
    """Length of the window over which requests and retries are counted."""
    lease_s: float = 3.0
    """How long a lease on one kind of control work is valid."""
    startup_grace_s: float = 3.0
    """How long after its start a machine is exempt from time limits."""
    weights_staleness_s: float = 8.0
    """How long after operators name a weights version an engine without it may still get generations."""
    rollout: RolloutBounds = field(default_factory=RolloutBounds)


@dataclass
class NodeState:
    """One node's state. Each part is changed only by its writers; see the table at the head of the module."""

    # --- identity and limits, fixed at the start -------------------------------------------------------
    node: str
    zone: str
    bounds: FleetBounds
    rng: random.Random
    """Generator for decisions on requests; tenants' limits use another one."""
    # --- from the store --------------------------------------------------------------------------------
    config: DeploymentConfig | None = None
    """The configuration in force; None until one has been read."""
    cache_group_changes: int = 0
    """How often a configuration has changed who shares cache, so that shared parts had to be prefilled anew."""
    load: FleetLoad = field(default_factory=FleetLoad)
    """Back ends with their load from this node and from other nodes; tenants' limits."""
    stop: StopTimes | None = None
    """The planned stop that has begun; None before."""
    backends_known: bool = False
    """Whether the table of back ends has been read once."""
    software_history: SoftwareHistory = field(default_factory=SoftwareHistory)
    """Software versions that were listed lately, by service."""
    weights: WeightsTargets = field(default_factory=WeightsTargets)
    """Weights versions that operators have named for serving."""
    store_era: StoreEra = field(default_factory=StoreEra)
    """The store's current era."""
    freshness: ConfigurationFreshness = field(default_factory=ConfigurationFreshness)
    """When the store last confirmed the configuration."""
    split: WeightedSplit = field(default_factory=WeightedSplit)
    """Position of each route with several services in its weighted round robin."""
    members: set[str] = field(default_factory=set)
    """Names of the live nodes."""
    row_errors: Counter[str] = field(default_factory=Counter)
    """By table, how often an unexpected error kept a row from being applied."""
    # --- from answers of back ends and other nodes -----------------------------------------------------
    prefill_rate: PrefillRate = field(default_factory=PrefillRate)
    generation_time: AverageDuration = field(default_factory=AverageDuration)
    """Average seconds from sending a generation to its end."""
    call_time: AverageDuration = field(default_factory=lambda: AverageDuration(DEFAULT_CALL_TIME_S))
    """Average seconds from sending a call to its end."""
    shortest_answers: dict[str, ShortestAnswerTime] = field(default_factory=dict)
    """Shortest answer time by route."""
    kv_store_contents: dict[Address, KvStoreContents] = field(default_factory=dict)
    """Contents of each KV store, by address."""
    brittleness: dict[str, ServiceBrittleness] = field(default_factory=dict)
    """Services whose back ends have stated that they are brittle, by name."""
    _retry_budgets: dict[str, FleetRetryBudget] = field(default_factory=dict)
    """Retry budgets by service."""
    zones: ZoneSuspicion = field(init=False)
    """Zones suspected to be cut off from this node."""
    reachability: ServiceReachability = field(init=False)
    """Services none of whose back ends this node can connect to."""
    rollouts: RolloutRegistry = field(default_factory=RolloutRegistry)
    """Rollouts of software versions, by service."""
    split_offset: float = 0.0
    """Random offset in [0, 1) at which this node begins the round robin of each split."""
    started_s: float = float("-inf")
    """Start time of this node."""
    topology: Topology = SINGLE_REGION
    """Regions of the zones and distances between them; without a map, all zones are in one region."""
    region_traffic: RegionTraffic = field(default_factory=RegionTraffic)
    """Counts of messages and bytes exchanged with other regions."""
    quarantine: Quarantine = field(default_factory=Quarantine)
    part_quarantine: PartQuarantine = field(default_factory=PartQuarantine)
    """Requests suspected to crash the back ends that run them."""

    def __post_init__(self) -> None:
        self.split_offset = self.rng.random()
        self.zones = ZoneSuspicion(self.rng)
        self.reachability = ServiceReachability(self.rng)
        self.rollouts.bounds = self.bounds.rollout

    @property
    def backends(self) -> BackendRegistry:
        """The back ends listed in the store, with observations of each."""
        return self.load.backends

    @property
    def demand(self) -> FleetDemand:
        """Recent demand of callers for generations."""
        return self.load.demand

    @property
    def first_token_delays(self) -> FirstTokenDelays:
        """Delays of first tokens."""
        return self.load.first_token_delays

    @property
    def node_count(self) -> int:
        """Number of nodes that share the fleet's budgets, including this one."""
        return max(1, len(self.members | {self.node}))

    def own_and_peers_load(self) -> tuple[int, int]:
        """Return this node's load on all back ends, and that of all other nodes as far as they report it."""
        backends = self.backends.all_backends()
        return sum(each.load for each in backends), sum(each.peers_load or 0 for each in backends)

    def apply_config(self, config: DeploymentConfig) -> bool:
        """Put a configuration in force; returns False if its version is not newer than the current one."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.load.limits.set_limits(config.limits_by_tenant)
        return True

    def knows_service(self, service: str) -> bool:
        """Whether the configuration or a listed back end names a service."""
        config = self.config
        if config is not None and any(service == each.name for each in config.services):
            return True
        if config is not None and any(
            service == each.service for route in config.routes for each in route.services
        ):
            return True
        return bool(self.backends.backends_of_service(service))

    def stream_time_s(self, service: str) -> float:
        """Return the seconds after its beginning for which a stream of a service may be resumed."""
        longest = 0.0 if self.config is None else self.config.longest_stream_s.get(service, 0.0)
        return stream_time_s(longest)

    def recent_versions(self, service: str) -> set[str]:
        """Return the software versions that may have begun streams which callers still resume."""
        listed = self.backends.backends_of_service(service)
        return self.software_history.versions(service, listed, boot_time_s(), self.stream_time_s(service))

    def version_view(self, service: str) -> VersionView:
        """Return what this node knows of the software versions of a service."""
        stream_time_s = self.stream_time_s(service)
        is_complete = self.software_history.is_complete(boot_time_s(), stream_time_s)
        return VersionView(self.recent_versions(service), is_complete, stream_time_s)

    def version_views(self) -> dict[str, VersionView]:
        """Return what this node knows of the software versions of each listed service with resumable streams."""
        resumable = {} if self.config is None else self.config.longest_stream_s
        return {service: self.version_view(service) for service in self.backends.services() if service in resumable}

    def is_fresh(self, arrival_s: float) -> bool:
        """Whether a request that arrived at ``arrival_s`` may rely on this node's configuration."""
        bounds = self.bounds
        bound = RevocationBound(bounds.strict_revocation, bounds.revocation_s, bounds.revocation_margin_s)
        return is_fresh_enough(self.freshness, bound, arrival_s)

    def is_ready(self, now_s: float) -> bool:
        """Whether this node can serve callers now."""
        return not self.lacks_to_be_ready(now_s)

    def lacks_to_be_ready(self, now_s: float) -> list[str]:
        """Return what this node still lacks to serve callers, in words for the log."""
        lack = []
        if self.config is None:
            lack.append("a configuration")
        elif not self.is_fresh(now_s):
            lack.append("a recent confirmation of the configuration")
        if not self.backends_known:
            lack.append("the listing of back ends")
        return lack

    def retry_budget(self, service: str) -> FleetRetryBudget:
        """Return this node's share of a service's retry budget."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = FleetRetryBudget(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s, self.started_s)
            self._retry_budgets[service] = budget
        return budget

    def remaining_retries(self, now_s: float) -> dict[str, float]:
        """Return the number of retries that this node may still send, by service."""
        return {
            service: budget.remaining_retries(now_s, self.node_count)
            for service, budget in self._retry_budgets.items()
        }

    def brittle_wait_s(self, backend: Backend, duration_s: float, now_s: float) -> float | None:
        """Count a request about to be sent and return None, or return the seconds until a brittle back end probably
        has room; ``duration_s`` is the usual duration of such a request."""
        brittleness = self.brittleness.get(backend.record.service)
        if brittleness is None or not brittleness.is_brittle(now_s):
            return None
        listed = [
            each for each in self.backends.backends_of_service(backend.record.service) if not each.is_leaving(now_s)
        ]
        before = [each for each in listed if each.incarnation < backend.incarnation]
        use = SlotUse(
            incarnation=backend.incarnation,
            slots=backend.record.slots,
            slots_before=sum(each.record.slots for each in before),
            service_slots=sum(each.record.slots for each in listed),
            in_flight=backend.in_flight,
            node=self.node,
            members=self.members,
            duration_s=duration_s,
        )
        return brittleness.admit(use, now_s, self.rng)

    def on_connect_failed(self, backend: Backend, now_s: float) -> None:
        """Record that a connection to a back end timed out, or was refused or reset while it was made."""
        service = backend.record.service
        listed = self.backends.backends_of_service(service)
        if self.reachability.on_connect_failed(backend, listed, now_s):
            emit(
                Event.SERVICE_UNREACHABLE,
                service=service,
                backends=len(listed),
                zones=len({each.record.zone for each in listed}),
                peers_answer=backend.peers_load is not None,
            )

    def on_reached(self, backend: Backend) -> None:
        """Record that a back end answered, or accepted a new connection."""
        if self.reachability.on_reached(backend):
            emit(Event.SERVICE_REACHABLE, service=backend.record.service, backend=backend.incarnation)

    def on_connect_timeout(self, backend: Backend, now_s: float) -> None:
        """Record that a connection to a back end timed out: it was neither established nor refused."""
        if self.zones.on_connect_timeout(backend, self.backends.all_backends(), now_s):
            emit(Event.ZONE_SUSPECTED, zone=backend.record.zone)

    def on_sign_of_life(self, backend: Backend, now_s: float) -> None:
        """Record that something was received from a back end's machine."""
        if self.zones.on_answer(backend, self.backends.all_backends(), now_s):
            emit(Event.ZONE_RETURNED, zone=backend.record.zone)

    @property
    def kv_stores(self) -> KvStores:
        """The configured KV stores with their known contents."""
        listed = () if self.config is None else self.config.kv_stores
        return KvStores(listed, self.kv_store_contents, self.topology)

    def estimated_naming_s(self, now_s: float) -> float:
        """Return the time at which a weights version read at this node's start is assumed to have been named.

        Its real age is unknown, so the version has to become due before time limits apply to this node.
        """
        return now_s - (
            self.bounds.weights_staleness_s * OVERDUE_FRACTION - self.bounds.startup_grace_s * STARTUP_FRACTION
        )

    def on_version_refused(self, backend: Backend, model: str, reported: int) -> None:
        """Assume another weights version for a back end that refused the expected one.

        That is ``reported``; if it is 0 (none), the newest named one; if that was refused, the listed one.
        """
        if reported:
            backend.set_believed_version(model, reported)
            return
        newest = self.weights.newest_version(model)
        listed = backend.record.versions.get(model, 0)
        believed = backend.believed_version(model)
        backend.set_believed_version(model, listed if believed == newest else max(newest, listed))
