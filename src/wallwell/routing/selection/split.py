"""Smooth weighted round robin among the services of a route. Deterministic, so shares hold over short times. Pure.

Each choice credits every service with its weight. The service with the most credit is chosen and is debited the sum
of all weights. After a round, each service has been chosen in proportion to its weight, at even intervals.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from wallwell.deployment.routes import Route, WeightedService

CHOICES_PER_ROUND = 100
"""Choices after which the sequence repeats for weights in whole percent, and nearly repeats for others. Each node
computes a round once per route."""


@dataclass
class WeightedSplit:
    """Chooses services by their current credit, which is kept per route."""

    _credit_by_route: dict[str, dict[str, float]] = field(default_factory=dict)

    def choose(self, route: Route, offset: float) -> str:
        """Return the service for the next request of ``route``. ``offset`` in [0, 1) differs between nodes, so that
        they do not all start with the same service."""
        if len(route.services) == 1:
            return route.services[0].service
        credit = self._credit_by_route.get(route.name)
        if credit is None or set(credit) != {each.service for each in route.services}:
            credit = _initial_credit(route.services, offset)
            self._credit_by_route[route.name] = credit
        return _choose_next(route.services, credit)


def _choose_next(services: Sequence[WeightedService], credit: dict[str, float]) -> str:
    """Return the next service of a round and update the credit of all services."""
    for each in services:
        credit[each.service] += each.weight
    chosen = max(services, key=lambda each: credit[each.service]).service
    credit[chosen] -= sum(each.weight for each in services)
    return chosen


def _initial_credit(services: Sequence[WeightedService], offset: float) -> dict[str, float]:
    """Return the credit of a node that starts at the fraction ``offset`` of a round. Nodes that have each served
    only one or two requests since their start thus keep the shares between them. When only the first service's
    credit differed between nodes, the first requests of 64 nodes on a route with weights 50, 30 and 20 were split
    88, 12 and 0 in 100."""
    credit = {each.service: 0.0 for each in services}
    for _ in range(int(offset * CHOICES_PER_ROUND)):
        _choose_next(services, credit)
    return credit
