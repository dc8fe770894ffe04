"""All that a node reports of its own load, and what it learns of the others'. Pure.

Owns nothing of its own: it puts together what is counted in ``routing/`` and :mod:`.demand`, and passes on what is
received. Relies on :mod:`.load_reporter` to exchange it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from wallwell.cluster.demand import FleetDemand
from wallwell.cluster.load_reports import Load
from wallwell.cluster.stated_limits import StatedLimits
from wallwell.routing.admission.fleet_limits import FleetLimits
from wallwell.routing.health.backend_registry import BackendRegistry
from wallwell.routing.retry.first_token import DelayCounts, FirstTokenDelays


@dataclass
class FleetLoad:
    """The parts of a node's state that count what all nodes do together."""

    backends: BackendRegistry = field(default_factory=BackendRegistry)
    demand: FleetDemand = field(default_factory=FleetDemand)
    first_token_delays: FirstTokenDelays = field(default_factory=FirstTokenDelays)
    limits: FleetLimits = field(default_factory=FleetLimits)
    stated_limits: StatedLimits = field(init=False)
    own_configuration: int = 0
    """Version of the configuration in force that this node reports, 0 for none."""
    peers_configuration: int = 0
    """Newest version that any other node has reported."""

    def __post_init__(self) -> None:
        self.stated_limits = StatedLimits(self.backends, self.limits)

    def own(self, now_s: float) -> Load:
        """Return what this node reports."""
        return Load(
            requests=self.backends.own_loads(),
            generations=self.demand.own.count(now_s),
            delays=self.first_token_delays.own_counts(now_s),
            asked=self.limits.own_demand(now_s),
            nodes=1,
            stated_limits=self.stated_limits.own(now_s),
            configuration=self.own_configuration or msgspec.UNSET,
        )

    def learn(self, others: Load, nodes: int, now_s: float) -> None:
        """Take what all other nodes have reported; ``nodes`` is the size of the fleet, 0 if it is not known."""
        self.stated_limits.on_reported(others.stated_limits, now_s)
        if others.configuration is not msgspec.UNSET:
            self.peers_configuration = max(self.peers_configuration, others.configuration)
        self.backends.learn_peer_loads(others.requests)
        self.demand.peers_generations = others.generations
        self.first_token_delays.peer_counts = others.delays
        self.limits.on_fleet_report(others.asked, others.nodes, nodes)

    def forget(self, nodes: int) -> None:
        """Drop what other nodes reported: it is too old."""
        self.backends.forget_peer_loads()
        self.demand.peers_generations = None
        self.first_token_delays.peer_counts = DelayCounts()
        self.limits.forget_fleet_report(nodes)
