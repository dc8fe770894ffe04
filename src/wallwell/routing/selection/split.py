"""Smooth weighted choice among the services of a route: deterministic, so shares hold over short times. Pure.

Each choice adds every service its weight as credit; the service with most credit is chosen and pays the sum of all
weights. So after a round each service has been chosen in proportion to its weight, evenly spaced.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from wallwell.deployment.routes import Route, WeightedService

CHOICES_PER_ROUND = 100
"""Choices after which whole percentages recur; other weights come close. Computed once for a route and node."""


@dataclass
class WeightedSplit:
    """Current credit per route and service; the service with most credit is chosen and pays the total."""

    _credit_by_route: dict[str, dict[str, float]] = field(default_factory=dict)

    def choose(self, route: Route, offset: float) -> str:
        """Return the service of the next request of ``route``.

        ``offset`` in [0, 1) differs between nodes, so that they do not all begin with the same service.
        """
        if len(route.services) == 1:
            return route.services[0].service
        credit = self._credit_by_route.get(route.name)
        if credit is None or set(credit) != {each.service for each in route.services}:
            credit = _initial_credit(route.services, offset)
            self._credit_by_route[route.name] = credit
        return _choose_next(route.services, credit)


def _choose_next(services: Sequence[WeightedService], credit: dict[str, float]) -> str:
    """Return the next service of a round, and bring its credit up to date."""
    for each in services:
        credit[each.service] += each.weight
    chosen = max(services, key=lambda each: credit[each.service]).service
    credit[chosen] -= sum(each.weight for each in services)
    return chosen


def _initial_credit(services: Sequence[WeightedService], offset: float) -> dict[str, float]:
    """Return the credit of a node that joins a round at ``offset`` of it.

    So nodes that have served one or two requests each since they started keep the shares together. Where only the
    first service's credit differed, the first requests of 64 nodes on a route of 50, 30 and 20 went to its services
    as 88, 12 and 0 in 100.
    """
    credit = {each.service: 0.0 for each in services}
    for _ in range(int(offset * CHOICES_PER_ROUND)):
        _choose_next(services, credit)
    return credit
