"""Smooth weighted choice among the services of a route: deterministic, so shares hold over short times. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from wallwell.deployment.routes import Route, WeightedService


@dataclass
class WeightedSplit:
    """Current credit per route and service; the service with most credit is chosen and pays the total."""

    _credit: dict[str, dict[str, float]] = field(default_factory=dict)

    def choose(self, route: Route, offset: float) -> str:
        """Return the service of the next request of ``route``.

        ``offset`` in [0, 1) differs between nodes, so that they do not all begin with the same service.
        """
        if len(route.services) == 1:
            return route.services[0].service
        credit = self._credit.get(route.name)
        if credit is None or set(credit) != {each.service for each in route.services}:
            credit = _initial_credit(route.services, offset)
            self._credit[route.name] = credit
        total = sum(each.weight for each in route.services)
        for each in route.services:
            credit[each.service] += each.weight
        chosen = max(route.services, key=lambda each: credit[each.service]).service
        credit[chosen] -= total
        return chosen


def _initial_credit(services: Sequence[WeightedService], offset: float) -> dict[str, float]:
    """Give the first service up to half the total, as if the node had joined a round under way."""
    total = sum(each.weight for each in services)
    credit = {each.service: 0.0 for each in services}
    credit[services[0].service] = (offset - 0.5) * total / 2
    return credit
