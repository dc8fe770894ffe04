"""Decides which services this node can connect to no back end of, and which back ends are probed to learn it. Pure.

Owns the failed connections of each service since one of its back ends was last reached. Inputs are the results of
connections and probes, the listed back ends of the service, the time in seconds on this node's clock, and a random
generator. A connection that is refused counts like one that times out: a fault between the node and the back ends
may cause either.

A node may lose its links to all back ends while callers, the store and the other nodes still reach it. It learns so
from a few back ends in different zones, since a service may have many, and since a cut zone or a crash affects only
some. While all connections fail, one back end is probed at intervals; the service counts as reachable again after
more than one success, so that an unstable link does not change the state with each connection.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wallwell.routing.health.backend import Backend

FAILURES_TO_PROBE = 2
"""Back ends of a service that could not be connected to, with none reached in between, from which others are
probed. One may have crashed or lost a packet."""
FAILURES_TO_DECIDE = 4
"""Back ends of a service that could not be connected to, with none reached in between, from which the service is
unreachable; all of them if there are fewer."""
ZONES_TO_DECIDE = 4
"""Zones that these back ends must be in, if there are as many: all but one may be cut off."""
FAILURE_WINDOW_S = 5.0
"""Seconds for which a failed connection counts; a node with few requests connects seldom."""
PROBES_AT_ONCE = 2
"""Back ends that are probed together to find out whether all are unreachable."""
DECISION_PROBE_INTERVAL_S = 0.15
"""Seconds between two such probes: longer than a probe waits for an answer from the same region."""
RETURN_PROBE_INTERVAL_S = 0.5
"""Seconds between two probes of an unreachable service. Shorter notices its return earlier, longer saves futile
connections."""
REACHES_TO_RETURN = 2
"""Connections to an unreachable service that must succeed, with no failure in between, before it is reachable."""


@dataclass
class _ServiceState:
    """Connections to one service since one of its back ends was last reached while it was reachable."""

    failed_at_s: dict[str, float] = field(default_factory=dict)
    """When the last connection to each back end failed, by incarnation."""
    is_unreachable: bool = False
    reached_count: int = 0
    """Back ends reached in a row while the service is unreachable."""
    probed_at_s: float = float("-inf")

    def recent_failures(self, now_s: float) -> set[str]:
        """Return the incarnations of the back ends whose failures still count."""
        return {each for each, at_s in self.failed_at_s.items() if now_s - at_s < FAILURE_WINDOW_S}


class ServiceReachability:
    """The services none of whose back ends this node can connect to."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._services: dict[str, _ServiceState] = {}
        """Services with failed connections since one of their back ends was last reached."""

    def is_unreachable(self, service: str) -> bool:
        """Whether connections to all back ends of a service fail, as far as this node knows."""
        state = self._services.get(service)
        return state is not None and state.is_unreachable

    def unreachable_services(self) -> list[str]:
        """Return the names of the unreachable services."""
        return [service for service, state in self._services.items() if state.is_unreachable]

    def on_connect_failed(self, backend: Backend, listed: Sequence[Backend], now_s: float) -> bool:
        """Record a connection that timed out or was refused; returns True if its service becomes unreachable by it.
        ``listed`` are the back ends of the service."""
        state = self._services.setdefault(backend.record.service, _ServiceState())
        state.failed_at_s[backend.incarnation] = now_s
        state.reached_count = 0
        if state.is_unreachable or not _is_cut_off(state.recent_failures(now_s), listed, now_s):
            return False
        state.is_unreachable = True
        state.probed_at_s = now_s
        return True

    def on_reached(self, backend: Backend) -> bool:
        """Record a new connection or the head of an answer; returns True if its service becomes reachable by it."""
        if not self._services:
            return False
        service = backend.record.service
        state = self._services.get(service)
        if state is None:
            return False
        if not state.is_unreachable:
            del self._services[service]
            return False
        state.reached_count += 1
        if state.reached_count < REACHES_TO_RETURN:
            return False
        del self._services[service]
        return True

    def begin_probes(self, listed_of: Callable[[str], Sequence[Backend]], now_s: float) -> list[Backend]:
        """Return the back ends to probe now, and record the probes. ``listed_of`` returns a service's back ends."""
        probed: list[Backend] = []
        for service, state in self._services.items():
            interval_s = RETURN_PROBE_INTERVAL_S if state.is_unreachable else DECISION_PROBE_INTERVAL_S
            if now_s - state.probed_at_s < interval_s:
                continue
            chosen = self._choose_probes(state, _not_leaving(listed_of(service), now_s), now_s)
            if chosen:
                state.probed_at_s = now_s
            probed += chosen
        return probed

    def _choose_probes(self, state: _ServiceState, backends: Sequence[Backend], now_s: float) -> Sequence[Backend]:
        if state.is_unreachable:
            return self._rng.sample(backends, min(1, len(backends)))
        failed = state.recent_failures(now_s)
        if len(failed) < FAILURES_TO_PROBE:
            return ()
        others = [each for each in backends if each.incarnation not in failed]
        self._rng.shuffle(others)
        failed_zones = {each.record.zone for each in backends if each.incarnation in failed}
        others.sort(key=lambda each: each.record.zone in failed_zones)
        return others[:PROBES_AT_ONCE]


def _is_cut_off(failed: set[str], listed: Sequence[Backend], now_s: float) -> bool:
    """Whether the failed back ends are enough of the listed ones to take all for unreachable."""
    backends = _not_leaving(listed, now_s)
    unreachable = [each for each in backends if each.incarnation in failed]
    zones = {each.record.zone for each in backends}
    unreachable_zones = {each.record.zone for each in unreachable}
    return (
        bool(unreachable)
        and len(unreachable) >= min(len(backends), FAILURES_TO_DECIDE)
        and len(unreachable_zones) >= min(len(zones), ZONES_TO_DECIDE)
    )


def _not_leaving(listed: Sequence[Backend], now_s: float) -> list[Backend]:
    return [each for each in listed if not each.is_leaving(now_s)]
