"""The load that a node reports, and the load of the other nodes that it receives. Pure.

Combines the counts kept in ``routing/`` and :mod:`.demand` into a report, and distributes received reports to these
counters. Relies on :mod:`.load_reporter` to exchange the reports.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from wallwell.cluster.demand import FleetDemand
from wallwell.cluster.load_reports import Load
from wallwell.cluster.stated_limits import StatedLimits
from wallwell.number_ranges import MAX_AMOUNT, limit_amounts, limit_counts
from wallwell.routing.admission.fleet_limits import FleetLimits
from wallwell.routing.health.backend_registry import BackendRegistry
from wallwell.routing.retry.first_token import DelayCounts, FirstTokenDelays


@dataclass
class FleetLoad:
    """The parts of a node's state that depend on the load of all nodes."""

    backends: BackendRegistry = field(default_factory=BackendRegistry)
    demand: FleetDemand = field(default_factory=FleetDemand)
    first_token_delays: FirstTokenDelays = field(default_factory=FirstTokenDelays)
    limits: FleetLimits = field(default_factory=FleetLimits)
    stated_limits: StatedLimits = field(init=False)
    own_configuration_version: int = 0
    """Version of the configuration in force on this node, as reported to others; 0 for none."""
    peers_configuration_version: int = 0
    """Newest configuration version that any other node has reported."""

    def __post_init__(self) -> None:
        self.stated_limits = StatedLimits(self.backends, self.limits)

    def own_load(self, now_s: float) -> Load:
        """Return the load that this node reports of itself."""
        return Load(
            requests=limit_counts(self.backends.own_loads()),
            generations=self.demand.own_generations.count(now_s),
            delays=self.first_token_delays.own_counts(now_s),
            asked=limit_amounts(self.limits.own_demand(now_s)),
            nodes=1,
            stated_limits=self.stated_limits.own_reports(now_s),
            configuration=min(MAX_AMOUNT, self.own_configuration_version) or msgspec.UNSET,
        )

    def update_from_peers(self, others: Load, node_count: int, now_s: float) -> None:
        """Apply the summed load of all other nodes; ``node_count`` is the size of the fleet, 0 if unknown."""
        self.stated_limits.on_peer_report(others.stated_limits, now_s)
        if others.configuration is not msgspec.UNSET:
            self.peers_configuration_version = max(self.peers_configuration_version, others.configuration)
        self.backends.on_peer_loads(others.requests)
        self.demand.peers_generations = others.generations
        self.first_token_delays.peer_counts = others.delays
        self.limits.on_fleet_report(others.asked, others.nodes, node_count)

    def forget_peers(self, node_count: int) -> None:
        """Drop the expired loads of other nodes; ``node_count`` is the size of the fleet, 0 if unknown."""
        self.backends.forget_peer_loads()
        self.demand.peers_generations = None
        self.first_token_delays.peer_counts = DelayCounts()
        self.limits.forget_fleet_report(node_count)
