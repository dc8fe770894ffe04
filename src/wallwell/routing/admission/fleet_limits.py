"""Whether a limit that holds for the whole fleet is used up, from what nodes report to each other. Pure.

There are two kinds of limits: those that operators set for tenants, and those that back ends state. For each limit,
every node keeps an estimate of the fleet's token bucket (``fleet_bucket``). Nodes report what they spend within a
few hundred milliseconds, and time refills all estimates alike. During that delay, every node would spend what is
left as if it were alone. So the tokens that may be spent now are divided by demand: while demand exceeds the limit,
each node admits the same fraction of its own demand. Nodes need not agree on shares, and a single node can use a
whole limit.

A node that reaches no other node spends only an equal share, and nodes that reach only a part of the fleet leave
the shares of the others unspent, so that a partitioned fleet does not spend the limit twice (``fleet_share``).

Until a partition between regions is detected, each side spends the tokens saved by both. Afterwards, each side
assumes that the other has spent as much as itself, in proportion to its size, and works off that debt.

Inputs: limits from the configuration and from back ends, requests, and reports of members, relays and regions,
which ``cluster/load_reporter.py`` receives. Outputs: ``Admitted`` or ``OverLimit`` for a request, and what this
node reports.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import msgspec

from wallwell.deployment.tenants import TenantLimit
from wallwell.routing.admission.backend_rate import UNITS_PER_REQUEST, backend_limit_key, backend_rate, max_debt
from wallwell.routing.admission.fleet_bucket import DEMAND_WINDOW_S, FleetBucket
from wallwell.routing.admission.fleet_share import spendable_fraction
from wallwell.routing.admission.relay_spending import RelaySpending

SETTLING_S = 0.5
"""Seconds in which saved tokens are spent, and in which a debt is worked off, while demand exceeds the limit.

It is longer than the age of the reports that nodes have of each other."""
NODE_INCARNATION_BITS = 48
"""Random bits of a node's incarnation number: a node does not draw one twice, and JSON parsers read it exactly."""
MAX_LEVELS_AGE_S = 0.3
"""Seconds for which reported levels are valid: slightly longer than the interval of reports over links of low
bandwidth (0.25 s; 0.05 s over others)."""
MIN_LIMIT_WAIT_S = 0.2
"""Shortest Retry-After of a refused caller, in seconds. Earlier, this node does not know yet what others spend."""
MAX_LIMIT_WAIT_S = 5.0
"""Longest Retry-After of a refused caller, in seconds: demand may drop before the excess is worked off."""
LIMIT_WAIT_JITTER = 0.3
"""Refused callers wait longer by up to this fraction at random, so that they do not all retry at once."""


class Admitted(msgspec.Struct, frozen=True):
    """Tokens spent on a request; refunded if the request turns out not to have run."""

    limit_key: str
    """The limit they count against: a tenant's name, or the key of a back end from :func:`backend_limit_key`."""
    tokens: int


class OverLimit(msgspec.Struct, frozen=True):
    """The limit is used up; the tokens are expected to be available in ``wait_s`` seconds."""

    wait_s: float


class TenantUsage(msgspec.Struct, frozen=True):
    """How much of its limit a tenant uses, for operators. Amounts are in the limit's unit, tokens or requests."""

    tenant: str
    level: float
    """This node's estimate for the whole fleet; negative if more was spent than the limit allowed."""
    demand_per_s: float
    """Demand at all nodes together."""
    refused_requests: int
    """Requests that this node has refused since it started."""


class FleetLimits:
    """Enforces the limits of tenants and back ends on one node."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self.node_incarnation = self._rng.getrandbits(NODE_INCARNATION_BITS)
        """Random number that distinguishes this node's totals from those before its last restart."""
        self._tenant_buckets: dict[str, FleetBucket] | None = None
        """By tenant; None until the first limits are set."""
        self._backend_buckets: dict[str, FleetBucket] = {}
        """By the limit key of a back end."""
        self._buckets: dict[str, FleetBucket] = {}
        """The buckets of tenants and back ends together, by limit key."""
        self._relay_spending = RelaySpending()
        self._totals_at_report: dict[str, dict[str, int]] = {}
        """By other region: what this region had spent by limit key when the other one last reported."""
        self._reachable_nodes: int | None = None
        """Nodes whose reports arrive here, directly or through others, and this node; None if no other's does."""
        self._spendable_fraction = spendable_fraction(None, 0)
        """Fraction of each limit that the nodes which reach each other may spend together."""
        self._levels_received_s: float | None = None
        """When the relay last reported its levels; None if this node uses no relay's levels. If they are too old,
        the spending of other nodes is unknown, so buckets are not refilled until the next report."""

    def set_limits(self, limits: Mapping[str, TenantLimit]) -> None:
        """Set the limits in force, by tenant.

        A starting node does not know what was spent before. Its buckets start empty, so that nodes which start
        together do not spend the saved tokens a second time.
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
        """Set a back end's limit in requests per second and count ``sent_requests`` of this node against it."""
        rate = backend_rate(per_s)
        limit_key = backend_limit_key(incarnation)
        bucket = self._backend_buckets.get(limit_key)
        if bucket is None:
            bucket = self._backend_buckets[limit_key] = FleetBucket(rate, rate.burst)
            self._buckets[limit_key] = bucket
        bucket.change_limit(rate)
        bucket.max_debt = max_debt(rate)
        bucket.spend(sent_requests * UNITS_PER_REQUEST)

    def remove_backend_limit(self, incarnation: str) -> None:
        """Remove the limit of a back end that has stopped, or has not stated a limit for long."""
        limit_key = backend_limit_key(incarnation)
        self._backend_buckets.pop(limit_key, None)
        self._buckets.pop(limit_key, None)

    def _update_spendable_fraction(self, node_count: int) -> None:
        """Update the spendable fraction for a fleet of ``node_count`` nodes, 0 if unknown."""
        previous_fraction = self._spendable_fraction
        self._spendable_fraction = spendable_fraction(self._reachable_nodes, node_count)
        for bucket in self._buckets.values():
            if bucket.level < 0:  # If a debt is worked off at a lower rate now, reduce it as well.
                bucket.level *= min(1.0, self._spendable_fraction / previous_fraction)

    # --- requests --------------------------------------------------------------------------------------

    def admit(self, limit_key: str, tokens: int, now_s: float) -> Admitted | OverLimit | None:
        """Spend a request's tokens, or return when to expect them; None if ``limit_key`` has no limit."""
        bucket = self._buckets.get(limit_key)
        if bucket is None:
            return None
        self._refill(bucket, now_s)
        # A request larger than the bucket is admitted when the bucket is full, so its demand is at most the burst.
        bucket.demand.add(now_s, min(tokens, bucket.limit.burst))
        if self._rng.random() >= self._admitted_fraction(bucket, now_s):
            bucket.refused_requests += 1
            return OverLimit(self._wait_s(bucket, tokens, now_s))
        bucket.spend(tokens)
        return Admitted(limit_key, tokens)

    def has_headroom(self, limit_key: str, now_s: float) -> bool:
        """Whether at least some requests would be admitted now under ``limit_key``; true if it has no limit."""
        bucket = self._buckets.get(limit_key)
        if bucket is None:
            return True
        self._refill(bucket, now_s)
        return self._admitted_fraction(bucket, now_s) > 0.0

    def _refill(self, bucket: FleetBucket, now_s: float) -> None:
        if self._levels_received_s is None or now_s - self._levels_received_s <= MAX_LEVELS_AGE_S:
            bucket.refill(now_s, self._spendable_fraction)

    def _admitted_fraction(self, bucket: FleetBucket, now_s: float) -> float:
        """Return the fraction of the demand that may be admitted now; 1 or more if all of it may."""
        spendable = self._spendable_per_s(bucket) * DEMAND_WINDOW_S + bucket.level * DEMAND_WINDOW_S / SETTLING_S
        return max(0.0, spendable) / max(1.0, self._demand(bucket, now_s))

    def _spendable_per_s(self, bucket: FleetBucket) -> float:
        return bucket.limit.rate_per_s * self._spendable_fraction

    def _demand(self, bucket: FleetBucket, now_s: float) -> float:
        """Return the tokens requested at all nodes in the last window."""
        return bucket.demand.total(now_s) + (bucket.peer_demand if self._reachable_nodes is not None else 0)

    def _wait_s(self, bucket: FleetBucket, tokens: int, now_s: float) -> float:
        """Return in how many seconds a request can expect its tokens, behind the present excess of demand."""
        rate_per_s = max(1.0, self._spendable_per_s(bucket))
        backlog = max(float(tokens), self._demand(bucket, now_s) - rate_per_s * DEMAND_WINDOW_S) - bucket.level
        wait_s = backlog / rate_per_s * self._rng.uniform(1.0, 1.0 + LIMIT_WAIT_JITTER)
        return min(MAX_LIMIT_WAIT_S, max(MIN_LIMIT_WAIT_S, wait_s))

    def refund(self, admitted: Admitted) -> None:
        """Refund the tokens of a request that has not run."""
        self._spend(admitted.limit_key, -admitted.tokens)

    def charge_retry(self, admitted: Admitted) -> None:
        """Spend a request's tokens again, since it may have run and is sent to another back end."""
        self._spend(admitted.limit_key, admitted.tokens)

    def _spend(self, limit_key: str, tokens: int) -> None:
        bucket = self._buckets.get(limit_key)
        if bucket is not None:
            bucket.spend(tokens)

    def most_refused_tenants(self, count: int, now_s: float) -> list[TenantUsage]:
        """Return the tenants of which this node has refused most requests; of equals, higher demand comes first."""
        usages = [
            TenantUsage(
                tenant, bucket.level, self._demand(bucket, now_s) / DEMAND_WINDOW_S, bucket.refused_requests
            )
            for tenant, bucket in (self._tenant_buckets or {}).items()
        ]
        usages.sort(key=lambda usage: (usage.refused_requests, usage.demand_per_s), reverse=True)
        return usages[:count]

    # --- reports to other nodes ------------------------------------------------------------------------

    def own_demand(self, now_s: float) -> dict[str, int]:
        """Return the tokens requested at this node in the last window, by limit key, without zeros."""
        totals = {limit_key: round(bucket.demand.total(now_s)) for limit_key, bucket in self._buckets.items()}
        return {limit_key: total for limit_key, total in totals.items() if total}

    def peer_demand(self, limit_key: str) -> int:
        """Return the tokens requested at all other nodes in the last window, from their reports."""
        bucket = self._buckets.get(limit_key)
        return bucket.peer_demand if bucket is not None else 0

    def begin_report(self) -> dict[str, int]:
        """Start a report: return what this node has spent since the last acknowledged one, by limit key."""
        for bucket in self._buckets.values():
            bucket.begin_report()
        return {key: bucket.unacknowledged for key, bucket in self._buckets.items() if bucket.unacknowledged}

    def end_report(self, is_acknowledged: bool) -> None:
        """End a report; unless it was acknowledged, its amounts are reported again."""
        for bucket in self._buckets.values():
            bucket.end_report(is_acknowledged)

    def spent_totals(self) -> dict[str, int]:
        """Return what this node and the members that report to it have spent since it started, by limit key."""
        return {limit_key: bucket.spent_total for limit_key, bucket in self._buckets.items() if bucket.spent_total}

    def levels(self, now_s: float) -> dict[str, int]:
        """Return the level of each limit, by limit key, except for tenants whose bucket is full."""
        levels = {}
        for limit_key, bucket in self._buckets.items():
            self._refill(bucket, now_s)
            if bucket.level < bucket.limit.burst * self._spendable_fraction or limit_key in self._backend_buckets:
                levels[limit_key] = round(bucket.level)
        return levels

    # --- reports from other nodes ----------------------------------------------------------------------

    def on_member_report(self, spent: Mapping[str, int], now_s: float) -> None:
        """Count the tokens that a member of this relay reports as spent, by limit key."""
        for limit_key, tokens in spent.items():
            bucket = self._buckets.get(limit_key)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.add_member_spending(tokens)

    def on_relay_report(
        self,
        relay: str,
        node_incarnation: int,
        totals: Mapping[str, int],
        now_s: float,
        is_same_region: bool = True,
    ) -> None:
        """Count what another relay's totals since its start add to its last report.

        ``is_same_region`` is True for relays of this node's region.
        """
        for limit_key, spent in self._relay_spending.on_report(relay, node_incarnation, totals, now_s).items():
            bucket = self._buckets.get(limit_key)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.add_relay_spending(spent, is_same_region)

    def on_region_report(self, region: str) -> None:
        """Remember this region's totals at the time of another region's report of its spending."""
        self._totals_at_report[region] = {key: bucket.region_spent_total for key, bucket in self._buckets.items()}

    def on_region_lost(self, region: str, size_ratio: float, now_s: float) -> None:
        """Count what a region that stopped reporting may have spent since its last report.

        It is assumed to have spent as much as this region, times ``size_ratio``: its size relative to this one.
        """
        for limit_key, total_at_report in self._totals_at_report.pop(region, {}).items():
            bucket = self._buckets.get(limit_key)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.level -= (bucket.region_spent_total - total_at_report) * size_ratio

    def _resume_refilling(self) -> None:
        """Refill the buckets by time again, from now on: what they gained before is unknown."""
        if self._levels_received_s is not None:
            self._levels_received_s = None
            for bucket in self._buckets.values():
                bucket.updated_s = None

    def on_levels_report(self, levels: Mapping[str, int], now_s: float) -> None:
        """Set the levels reported by this node's relay, less what this node has spent since.

        A tenant's limit that is missing in the report is full. A back end's limit that is missing is not known to
        the relay yet, or not supported by its version: no tokens are saved then, and demand divides the rate.
        """
        self._levels_received_s = now_s
        for limit_key, bucket in self._buckets.items():
            full_level = bucket.limit.burst * self._spendable_fraction
            default_level = 0.0 if limit_key in self._backend_buckets else full_level
            bucket.level = min(full_level, levels.get(limit_key, default_level)) - bucket.unreported
            bucket.updated_s = now_s

    def on_fleet_report(self, peer_demand: Mapping[str, int], other_nodes: int, node_count: int) -> None:
        """Set the demand at all other nodes, how many of them are reachable, and the size of the fleet."""
        self._reachable_nodes = other_nodes + 1
        self._resume_refilling()
        self._update_spendable_fraction(node_count)
        for limit_key, bucket in self._buckets.items():
            bucket.peer_demand = peer_demand.get(limit_key, 0)

    def forget_fleet_report(self, node_count: int) -> None:
        """Limit this node to an equal share, since no other node has been heard from for too long."""
        self._reachable_nodes = None
        self._resume_refilling()
        self._update_spendable_fraction(node_count)
