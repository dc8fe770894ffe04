"""Whether a limit for the whole fleet is used up, by what nodes report to each other. Pure.

Two kinds of limits are kept: what operators allow a tenant, and what a back end says that it takes. Each node keeps
an estimate of the fleet's token bucket of each (``fleet_bucket``): what nodes spend is reported within some hundred
milliseconds, and time fills all buckets alike. In that delay every node would spend what is left as if it were
alone. So the tokens that may be spent now are shared by demand: while more is asked for than a limit gives, each
node admits the same fraction of what it is asked for. Nodes need not agree on shares, and a whole limit may be used
through a single node.

A node that hears nobody keeps to an equal share, and those that miss nodes leave these their shares, so that a
fleet that is cut in two does not spend the limit twice (``fleet_share``).

Until a cut between regions is noticed, each side spends what both of them had saved up. Each then takes the other
one to have spent as it did itself, and works that debt off.

Inputs: limits from the configuration and of back ends, requests, and reports of members, relays and regions,
brought by ``cluster/load_reporter.py``. Outputs: ``Admitted`` or ``OverLimit`` for a request, and what this node
reports.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import msgspec

from wallwell.deployment.routes import TenantLimit
from wallwell.routing.admission.backend_rate import (
    UNITS_PER_REQUEST,
    backend_limit_key,
    backend_rate,
    max_backend_debt,
)
from wallwell.routing.admission.fleet_bucket import DEMAND_WINDOW_S, FleetBucket
from wallwell.routing.admission.fleet_share import spendable_fraction
from wallwell.routing.admission.relay_spending import RelaySpending

LEVEL_TIME_CONSTANT_S = 0.5
"""Seconds in which saved tokens are spent, and in which a debt is worked off, while demand exceeds the limit.

Longer than the age of what nodes know of each other."""
NODE_INCARNATION_BITS = 48
"""Random bits of a life's number: two lives of a node do not get the same one, and it is exact in any JSON."""
MAX_LEVELS_AGE_S = 0.3
"""Seconds for which reported levels hold: the time between two reports over a thin link (0.25 s; 0.05 s over
others) and a little more."""
MIN_LIMIT_WAIT_S = 0.2
"""Least Retry-After of a refused caller, in seconds: sooner, what others spend is unknown."""
MAX_LIMIT_WAIT_S = 5.0
"""Most Retry-After of a refused caller, in seconds: an excess may end before it is worked off."""
LIMIT_WAIT_JITTER = 0.3
"""Fraction of the wait over which refused callers are spread, so that they do not return together."""


class Admitted(msgspec.Struct, frozen=True):
    """Tokens taken for a request; refunded if it turns out not to have run."""

    limit_key: str
    """Whose limit they were taken of: a tenant, or a back end as :func:`backend_subject` names it."""
    tokens: int


class OverLimit(msgspec.Struct, frozen=True):
    """The limit is used up; ``wait_s`` is when the tokens can be expected to be there."""

    wait_s: float


class TenantLimitUsage(msgspec.Struct, frozen=True):
    """How one tenant stands against its limit, for operators. Amounts are tokens, or requests if those count."""

    tenant: str
    level: float
    """For the whole fleet, as far as this node knows; negative if more was spent than the limit gave."""
    demand_per_s: float
    """By all nodes."""
    refused_requests: int
    """Requests that this node refused since it started."""


class FleetLimits:
    """One node's share in keeping the limits of all tenants and back ends that have one."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self.node_incarnation = self._rng.getrandbits(NODE_INCARNATION_BITS)
        """Random number that sets the totals of this node's life apart from those of earlier ones."""
        self._tenant_buckets: dict[str, FleetBucket] | None = None
        """By tenant; None before any limits are known."""
        self._backend_buckets: dict[str, FleetBucket] = {}
        """By the limit_key of a back end."""
        self._buckets: dict[str, FleetBucket] = {}
        """Both of them."""
        self._relay_spending = RelaySpending()
        self._region_totals_at_report: dict[str, dict[str, int]] = {}
        """By region, what had been spent in this one when the other was last heard, by limit key."""
        self._reachable_nodes: int | None = None
        """Nodes of which anything is known, this one among them; None if no other is heard."""
        self._spendable_fraction = spendable_fraction(None, 0)
        """Fraction of each limit that the nodes which hear each other may spend together."""
        self._levels_received_s: float | None = None
        """When a relay last reported the levels, None if this node follows none. When they are too old, nothing is
        known of what others spend, so nothing is earned until the next report."""

    def set_limits(self, limits: Mapping[str, TenantLimit]) -> None:
        """Take the limits in force, by tenant.

        A node that starts does not know what was spent before: its buckets begin empty, so that nodes which start
        together do not spend everything saved up once more.
        """
        previous, is_first = self._tenant_buckets or {}, self._tenant_buckets is None
        self._tenant_buckets = {}
        for tenant, limit in limits.items():
            bucket = previous.get(tenant)
            if bucket is None:
                bucket = FleetBucket(limit, 0.0 if is_first else limit.burst)
            bucket.change_limit(limit)
            self._tenant_buckets[tenant] = bucket
        self._buckets = {**self._tenant_buckets, **self._backend_buckets}

    def set_backend_limit(self, incarnation: str, per_s: float, sent_requests: int) -> None:
        """Keep a limit in requests a second from now on; ``sent_requests`` requests of this node count already."""
        rate = backend_rate(per_s)
        limit_key = backend_limit_key(incarnation)
        bucket = self._backend_buckets.get(limit_key)
        if bucket is None:
            bucket = self._backend_buckets[limit_key] = FleetBucket(rate, rate.burst)
            self._buckets[limit_key] = bucket
        bucket.change_limit(rate)
        bucket.max_debt = max_backend_debt(rate)
        bucket.spend(sent_requests * UNITS_PER_REQUEST)

    def remove_backend_limit(self, incarnation: str) -> None:
        """Drop the limit of a back end that has ended, or has stated none for long."""
        limit_key = backend_limit_key(incarnation)
        self._backend_buckets.pop(limit_key, None)
        self._buckets.pop(limit_key, None)

    def _update_spendable_fraction(self, fleet_nodes: int) -> None:
        """Set which fraction of each limit may be spent here, in a fleet of ``nodes``, 0 if unknown."""
        previous_fraction = self._spendable_fraction
        self._spendable_fraction = spendable_fraction(self._reachable_nodes, fleet_nodes)
        for bucket in self._buckets.values():
            if bucket.level < 0:  # The rate that works a debt off has become smaller.
                bucket.level *= min(1.0, self._spendable_fraction / previous_fraction)

    # --- requests --------------------------------------------------------------------------------------

    def admit(self, limit_key: str, tokens: int, now_s: float) -> Admitted | OverLimit | None:
        """Take a request's tokens, or say when they can be expected; None if the limit_key has no limit."""
        bucket = self._buckets.get(limit_key)
        if bucket is None:
            return None
        self._refill(bucket, now_s)
        # A request larger than the bucket is served from a full one; it does not ask for more than all of it.
        bucket.demand.add(now_s, min(tokens, bucket.limit.burst))
        if self._rng.random() >= self._admitted_fraction(bucket, now_s):
            bucket.refused_requests += 1
            return OverLimit(self._wait_s(bucket, tokens, now_s))
        bucket.spend(tokens)
        return Admitted(limit_key, tokens)

    def has_headroom(self, limit_key: str, now_s: float) -> bool:
        """Whether some requests of a limit_key would be admitted now."""
        bucket = self._buckets.get(limit_key)
        if bucket is None:
            return True
        self._refill(bucket, now_s)
        return self._admitted_fraction(bucket, now_s) > 0.0

    def _refill(self, bucket: FleetBucket, now_s: float) -> None:
        if self._levels_received_s is None or now_s - self._levels_received_s <= MAX_LEVELS_AGE_S:
            bucket.refill(now_s, self._spendable_fraction)

    def _admitted_fraction(self, bucket: FleetBucket, now_s: float) -> float:
        """Return the fraction of what is asked for that may be served now."""
        spendable = (
            self._spendable_rate_per_s(bucket) * DEMAND_WINDOW_S
            + bucket.level * DEMAND_WINDOW_S / LEVEL_TIME_CONSTANT_S
        )
        return max(0.0, spendable) / max(1.0, self._fleet_demand(bucket, now_s))

    def _spendable_rate_per_s(self, bucket: FleetBucket) -> float:
        return bucket.limit.rate_per_s * self._spendable_fraction

    def _fleet_demand(self, bucket: FleetBucket, now_s: float) -> float:
        """Return the tokens that all nodes were asked for in the last window."""
        return bucket.demand.total(now_s) + (bucket.peer_demand if self._reachable_nodes is not None else 0)

    def _wait_s(self, bucket: FleetBucket, tokens: int, now_s: float) -> float:
        """Return when a request can expect to be served: its own tokens behind those that were asked for."""
        rate_per_s = max(1.0, self._spendable_rate_per_s(bucket))
        backlog = (
            max(float(tokens), self._fleet_demand(bucket, now_s) - rate_per_s * DEMAND_WINDOW_S) - bucket.level
        )
        wait_s = backlog / rate_per_s * self._rng.uniform(1.0, 1.0 + LIMIT_WAIT_JITTER)
        return min(MAX_LIMIT_WAIT_S, max(MIN_LIMIT_WAIT_S, wait_s))

    def refund(self, admitted: Admitted) -> None:
        """A request has not run."""
        self._spend(admitted.limit_key, -admitted.tokens)

    def charge_retry(self, admitted: Admitted) -> None:
        """A request that may have run is sent to another back end."""
        self._spend(admitted.limit_key, admitted.tokens)

    def _spend(self, limit_key: str, tokens: int) -> None:
        bucket = self._buckets.get(limit_key)
        if bucket is not None:
            bucket.spend(tokens)

    def most_refused_tenants(self, count: int, now_s: float) -> list[TenantLimitUsage]:
        """Return the tenants of which this node refused most, those that ask for most first among equals."""
        usages = [
            TenantLimitUsage(
                tenant, bucket.level, self._fleet_demand(bucket, now_s) / DEMAND_WINDOW_S, bucket.refused_requests
            )
            for tenant, bucket in (self._tenant_buckets or {}).items()
        ]
        usages.sort(key=lambda usage: (usage.refused_requests, usage.demand_per_s), reverse=True)
        return usages[:count]

    # --- what a node reports ---------------------------------------------------------------------------

    def own_demand(self, now_s: float) -> dict[str, int]:
        """Return the tokens that this node was asked for lately, by limit key, without those that were not."""
        totals = {limit_key: round(bucket.demand.total(now_s)) for limit_key, bucket in self._buckets.items()}
        return {limit_key: total for limit_key, total in totals.items() if total}

    def peer_demand(self, limit_key: str) -> int:
        """Return the tokens that all other nodes were asked for lately, as they reported."""
        bucket = self._buckets.get(limit_key)
        return bucket.peer_demand if bucket is not None else 0

    def begin_report(self) -> dict[str, int]:
        """Return what this node has spent since the last report that was taken, by limit key."""
        for bucket in self._buckets.values():
            bucket.begin_report()
        return {
            limit_key: bucket.unacknowledged for limit_key, bucket in self._buckets.items() if bucket.unacknowledged
        }

    def end_report(self, is_acknowledged: bool) -> None:
        """A report was answered, or may be lost: what it contained is then reported again."""
        for bucket in self._buckets.values():
            bucket.end_report(is_acknowledged)

    def spent_totals(self) -> dict[str, int]:
        """Return what was spent through this node and those that report to it since it started, by limit key."""
        return {limit_key: bucket.spent_total for limit_key, bucket in self._buckets.items() if bucket.spent_total}

    def levels(self, now_s: float) -> dict[str, int]:
        """Return what is left of each limit, by limit key, without those of tenants that are full."""
        levels = {}
        for limit_key, bucket in self._buckets.items():
            self._refill(bucket, now_s)
            if bucket.level < bucket.limit.burst * self._spendable_fraction or limit_key in self._backend_buckets:
                levels[limit_key] = round(bucket.level)
        return levels

    # --- what a node learns ----------------------------------------------------------------------------

    def on_member_spending(self, spent: Mapping[str, int], now_s: float) -> None:
        """A member that reports to this node has spent something."""
        for limit_key, tokens in spent.items():
            bucket = self._buckets.get(limit_key)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.add_member_spending(tokens)

    def on_relay_totals(
        self,
        relay: str,
        relay_incarnation: int,
        totals: Mapping[str, int],
        now_s: float,
        is_same_region: bool = True,
    ) -> None:
        """Another relay reports what was spent through it in its life; what is new since its last report counts.

        ``is_near`` marks relays of this node's region.
        """
        for limit_key, spent in self._relay_spending.add_report(relay, relay_incarnation, totals, now_s).items():
            bucket = self._buckets.get(limit_key)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.add_relay_spending(spent, is_same_region)

    def on_region_report(self, region: str) -> None:
        """Another region has reported what was spent there until now."""
        self._region_totals_at_report[region] = {
            limit_key: bucket.region_spent_total for limit_key, bucket in self._buckets.items()
        }

    def on_region_lost(self, region: str, size_ratio: float, now_s: float) -> None:
        """Another region, ``size`` times this one, is silent for too long: it may have spent as much as this."""
        for limit_key, total_at_report in self._region_totals_at_report.pop(region, {}).items():
            bucket = self._buckets.get(limit_key)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.level -= (bucket.region_spent_total - total_at_report) * size_ratio

    def _resume_refilling(self) -> None:
        """From here on time earns again; what it earned before is not known."""
        if self._levels_received_s is not None:
            self._levels_received_s = None
            for bucket in self._buckets.values():
                bucket.updated_s = None

    def on_relay_levels(self, levels: Mapping[str, int], now_s: float) -> None:
        """The relay of this node reports what is left; what was spent since its report is taken off.

        A tenant's limit that it leaves out is full. Of a back end's it knows nothing yet, or never will if it is of
        an older version: nothing is saved up then, and the rate is shared by demand.
        """
        self._levels_received_s = now_s
        for limit_key, bucket in self._buckets.items():
            full_level = bucket.limit.burst * self._spendable_fraction
            default_level = 0.0 if limit_key in self._backend_buckets else full_level
            bucket.level = min(full_level, levels.get(limit_key, default_level)) - bucket.unreported
            bucket.updated_s = now_s

    def on_fleet_report(self, peer_demand: Mapping[str, int], other_nodes: int, fleet_nodes: int) -> None:
        """Take what all other nodes are asked for, how many of them are heard, and the size of the fleet."""
        self._reachable_nodes = other_nodes + 1
        self._resume_refilling()
        self._update_spendable_fraction(fleet_nodes)
        for limit_key, bucket in self._buckets.items():
            bucket.peer_demand = peer_demand.get(limit_key, 0)

    def on_fleet_lost(self, fleet_nodes: int) -> None:
        """Other nodes have not been heard for too long: an equal share of each limit is left to this node."""
        self._reachable_nodes = None
        self._resume_refilling()
        self._update_spendable_fraction(fleet_nodes)
