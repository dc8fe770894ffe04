"""Decides which services this node can connect to no back end of. Pure.

Owns the set of these services. Inputs are the results of connections to back ends, the listed back ends of their
services, and the time in seconds on this node's clock. A refused connection counts like one that times out: a
firewall between the node and the back ends may do either.

A node may lose its links to all back ends while callers, the store and the other nodes still reach it.
"""

from __future__ import annotations

from collections.abc import Sequence

from wallwell.routing.health.backend import Backend


class ServiceReachability:
    """The services none of whose back ends this node can connect to."""

    def __init__(self) -> None:
        self._unreachable: set[str] = set()

    def is_unreachable(self, service: str) -> bool:
        """Whether the last connections to all back ends of a service failed."""
        return service in self._unreachable

    def unreachable_services(self) -> frozenset[str]:
        """Return the names of these services."""
        return frozenset(self._unreachable)

    def on_connect_failed(self, backend: Backend, listed: Sequence[Backend], now_s: float) -> bool:
        """Record a failed connection; returns True if no back end of the service can be reached since then.
        ``listed`` are the back ends of its service."""
        backend.on_connect_failed(now_s)
        service = backend.record.service
        if service in self._unreachable or not _are_all_unreachable(listed, now_s):
            return False
        self._unreachable.add(service)
        return True

    def on_reached(self, backend: Backend) -> bool:
        """Record an answer or a new connection; returns True if it is the first of its service since all failed."""
        backend.on_reached()
        if backend.record.service not in self._unreachable:
            return False
        self._unreachable.remove(backend.record.service)
        return True


def _are_all_unreachable(listed: Sequence[Backend], now_s: float) -> bool:
    remaining = [each for each in listed if not each.is_leaving(now_s)]
    return bool(remaining) and all(each.unreachable_since_s is not None for each in remaining)
