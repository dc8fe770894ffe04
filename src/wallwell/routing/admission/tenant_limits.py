"""Tenants' limits over the whole fleet, kept by every node from what nodes tell each other. Pure.

Each node keeps an estimate of the fleet's token bucket of each tenant: what nodes spend is told within some hundred
milliseconds, and all of them earn the same rate. In that time every node would spend what is left as if it were
alone. So the tokens that may be spent now are shared by demand: while a tenant asks for more than its limit gives,
each node admits the same part of what it is asked for. Nodes need not agree on shares, and a tenant may use its
whole limit through a single node.

A node that hears nobody keeps to an equal part, and those that miss nodes leave these their parts. So the parts of
a fleet that is cut in two never add up to more than the limit.

Until a cut between regions is noticed, each side spends what both of them had saved up. Each then takes the other
one to have spent as it did itself, and pays that back.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from wallwell.deployment.routes import TenantLimit
from wallwell.routing.sliding_window import SlidingWindow

ASKED_WINDOW_S = 1.0
"""Time over which demand is counted; shorter than the time in which a bucket of one second's rate runs empty."""
SPEND_DOWN_S = 0.5
"""Time in which tokens saved up are spent, and in which a debt is paid back, while demand exceeds the limit.

Longer than what nodes know of each other is old. Twice as long, the fleet refuses up to 1% more of what the limit
allows, in a model of 79 nodes with four reports a second."""
TOLERATED_MISSING = 0.05
"""Part of the nodes that may be unheard without the others giving up their rate: stopped or replaced ones.

Only for a majority, so that two parts of a fleet cannot both use it."""
ASSUMED_NODES = 100
"""Size of the fleet for a node that knows of no others yet; it knows them within a second of its start."""
RELAY_SILENCE_S = 1.5
"""Time after which a relay that was not heard tells what happened without this node; the lifetime of its loads."""
LIFE_BITS = 48
"""Enough that two lives of a node do not get the same number, and exact in any JSON."""
TOLD_S = 0.3
"""Time for which the word of what is left holds: that between two reports, and a little more."""
SHORTEST_WAIT_S = 0.2
LONGEST_WAIT_S = 5.0
"""Bounds of the time after which a refused caller is told to come back."""
RETURN_SPREAD = 0.3
"""Part of that time over which refused callers are spread, so that they do not come back together."""


@dataclass(frozen=True)
class Admitted:
    """Tokens taken for a request; given back if it turns out not to have run."""

    tenant: str
    tokens: int


@dataclass(frozen=True)
class OverLimit:
    """The tenant's limit is used up; ``wait_s`` is when the tokens can be expected to be there."""

    wait_s: float


@dataclass(frozen=True)
class TenantUse:
    """How one tenant stands against its limit, for operators. Amounts are tokens, or requests if those count."""

    tenant: str
    left: float
    """For the whole fleet, as far as this node knows; negative if more was spent than the limit gave."""
    asked_per_s: float
    """By all nodes."""
    refused: int
    """Requests that this node refused since it started."""


@dataclass
class _Bucket:
    """What is left of one tenant's limit for the fleet, as far as this node knows. Amounts are tokens."""

    limit: TenantLimit
    level: float
    """Negative while the fleet has spent more than the limit gave."""
    updated_s: float | None = None
    """When what time has earned was last added; None before the first time."""
    unreported: int = 0
    """Spent by this node and not contained in any report yet."""
    reporting: int = 0
    """Contained in the report under way."""
    spent_total: int = 0
    """Spent by this node and those that report to it, since this node started."""
    near_total: int = 0
    """Spent in this node's region, as far as it was told; only differences mean anything."""
    asked: SlidingWindow = field(default_factory=lambda: SlidingWindow(ASKED_WINDOW_S))
    asked_of_peers: int = 0
    refused: int = 0

    def refill(self, now_s: float, part: float) -> None:
        """Add what time has earned of a part of the limit."""
        elapsed_s = max(0.0, now_s - self.updated_s) if self.updated_s is not None else 0.0
        self.level = min(self.limit.burst * part, self.level + elapsed_s * self.limit.rate_per_s * part)
        self.updated_s = now_s

    def change(self, limit: TenantLimit) -> None:
        """Take another limit: what it raises may be spent at once, what it lowers was not saved up."""
        self.level = min(limit.burst, self.level + max(0.0, limit.burst - self.limit.burst))
        self.limit = limit

    def spend(self, tokens: int) -> None:
        """Take tokens, or give them back if negative."""
        self.level -= tokens
        self.unreported += tokens
        self.spent_total += tokens
        self.near_total += tokens


@dataclass(frozen=True)
class _RelayTotals:
    """What a relay told to have been spent through it in one life, and when it said so."""

    life: int
    spent: Mapping[str, int]
    at_s: float


class FleetLimits:
    """One node's part in keeping the limits of all tenants that have one."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self.life = self._rng.getrandbits(LIFE_BITS)
        """Tells the totals of this node's life from those of earlier ones."""
        self._buckets: dict[str, _Bucket] | None = None
        """By tenant; None before any limits are known."""
        self._relays: dict[str, _RelayTotals] = {}
        """What other relays last told, by their names."""
        self._near_totals: dict[str, dict[str, int]] = {}
        """By region, what had been spent in this one when the other was last heard, by tenant."""
        self._heard_nodes: int | None = None
        """Nodes of which anything is known, this one among them; None if no other is heard."""
        self._part = 1.0 / ASSUMED_NODES
        """Part of each limit that the nodes which hear each other may spend together."""
        self._told_at_s: float | None = None
        """When another node last told what is left, None if none does. Without its word nothing is known of what
        others spend, so what time earns is added for a moment only."""

    def set_limits(self, limits: Mapping[str, TenantLimit]) -> None:
        """Take the limits in force, by tenant.

        A node that starts does not know what was spent before: its buckets begin empty, so that nodes which start
        together do not spend everything saved up once more.
        """
        known, is_start = self._buckets or {}, self._buckets is None
        self._buckets = {}
        for tenant, limit in limits.items():
            bucket = known.get(tenant)
            if bucket is None:
                bucket = _Bucket(limit, 0.0 if is_start else limit.burst)
            bucket.change(limit)
            self._buckets[tenant] = bucket

    def _set_part(self, nodes: int) -> None:
        """Work out which part of each limit may be spent here. ``nodes`` is the size of the fleet, 0 if unknown."""
        before = self._part
        self._part = self._part_of(nodes)
        for bucket in self._all.values():
            if bucket.level < 0:  # The rate that pays a debt back has become smaller.
                bucket.level *= min(1.0, self._part / before)

    def _part_of(self, nodes: int) -> float:
        if self._heard_nodes is None:
            return 1.0 / (nodes or ASSUMED_NODES)
        heard_part = min(1.0, self._heard_nodes / (nodes or ASSUMED_NODES))
        return min(1.0, heard_part + TOLERATED_MISSING) if heard_part > 0.5 else heard_part

    # --- requests --------------------------------------------------------------------------------------

    def admit(self, tenant: str, tokens: int, now_s: float) -> Admitted | OverLimit | None:
        """Take a request's tokens, or say when to come back; None if the tenant has no limit."""
        bucket = self._all.get(tenant)
        if bucket is None:
            return None
        self._refill(bucket, now_s)
        # A request larger than the bucket is served from a full one; it does not ask for more than all of it.
        bucket.asked.add(now_s, min(tokens, bucket.limit.burst))
        if self._rng.random() >= self._admitted_part(bucket, now_s):
            bucket.refused += 1
            return OverLimit(self._wait_s(bucket, tokens, now_s))
        bucket.spend(tokens)
        return Admitted(tenant, tokens)

    @property
    def _all(self) -> dict[str, _Bucket]:
        return self._buckets or {}

    def _refill(self, bucket: _Bucket, now_s: float) -> None:
        if self._told_at_s is None or now_s - self._told_at_s <= TOLD_S:
            bucket.refill(now_s, self._part)

    def _admitted_part(self, bucket: _Bucket, now_s: float) -> float:
        """Return the part of what is asked for that may be served now."""
        spendable = self._rate_per_s(bucket) * ASKED_WINDOW_S + bucket.level * ASKED_WINDOW_S / SPEND_DOWN_S
        return max(0.0, spendable) / max(1.0, self._asked(bucket, now_s))

    def _rate_per_s(self, bucket: _Bucket) -> float:
        return bucket.limit.rate_per_s * self._part

    def _asked(self, bucket: _Bucket, now_s: float) -> float:
        """Return the tokens that all nodes were asked for in the last window."""
        return bucket.asked.total(now_s) + (bucket.asked_of_peers if self._heard_nodes is not None else 0)

    def _wait_s(self, bucket: _Bucket, tokens: int, now_s: float) -> float:
        """Return when a request can expect to be served: its own tokens behind those that were asked for."""
        rate_per_s = max(1.0, self._rate_per_s(bucket))
        waiting = max(float(tokens), self._asked(bucket, now_s) - rate_per_s * ASKED_WINDOW_S) - bucket.level
        wait_s = waiting / rate_per_s * self._rng.uniform(1.0, 1.0 + RETURN_SPREAD)
        return min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, wait_s))

    def refund(self, admitted: Admitted) -> None:
        """A request has not run."""
        self._spend(admitted.tenant, -admitted.tokens)

    def charge_retry(self, admitted: Admitted) -> None:
        """A request that may have run is sent to another back end."""
        self._spend(admitted.tenant, admitted.tokens)

    def _spend(self, tenant: str, tokens: int) -> None:
        bucket = self._all.get(tenant)
        if bucket is not None:
            bucket.spend(tokens)

    def most_refused(self, count: int, now_s: float) -> list[TenantUse]:
        """Return the tenants of which this node refused most, those that ask for most first among equals."""
        uses = [
            TenantUse(tenant, bucket.level, self._asked(bucket, now_s) / ASKED_WINDOW_S, bucket.refused)
            for tenant, bucket in self._all.items()
        ]
        uses.sort(key=lambda use: (use.refused, use.asked_per_s), reverse=True)
        return uses[:count]

    # --- what a node tells -----------------------------------------------------------------------------

    def asked(self, now_s: float) -> dict[str, int]:
        """Return the tokens that this node was asked for lately, by tenant, without those that were not."""
        totals = {tenant: round(bucket.asked.total(now_s)) for tenant, bucket in self._all.items()}
        return {tenant: total for tenant, total in totals.items() if total}

    def asked_of_peers(self, tenant: str) -> int:
        """Return the tokens that all other nodes were asked for lately, as they told."""
        bucket = self._all.get(tenant)
        return bucket.asked_of_peers if bucket is not None else 0

    def begin_report(self) -> dict[str, int]:
        """Return what this node has spent since the last report that was taken, by tenant."""
        for bucket in self._all.values():
            bucket.reporting += bucket.unreported
            bucket.unreported = 0
        return {tenant: bucket.reporting for tenant, bucket in self._all.items() if bucket.reporting}

    def end_report(self, taken: bool) -> None:
        """A report was answered, or may be lost: what it contained is then told again."""
        for bucket in self._all.values():
            if not taken:
                bucket.unreported += bucket.reporting
            bucket.reporting = 0

    def spent_totals(self) -> dict[str, int]:
        """Return what was spent through this node and those that report to it since it started, by tenant."""
        return {tenant: bucket.spent_total for tenant, bucket in self._all.items() if bucket.spent_total}

    def levels(self, now_s: float) -> dict[str, int]:
        """Return what is left of each limit, by tenant, without those that are full."""
        levels = {}
        for tenant, bucket in self._all.items():
            self._refill(bucket, now_s)
            if bucket.level < bucket.limit.burst * self._part:
                levels[tenant] = round(bucket.level)
        return levels

    # --- what a node learns ----------------------------------------------------------------------------

    def take_member(self, spent: Mapping[str, int], now_s: float) -> None:
        """A member that reports to this node has spent something."""
        for tenant, tokens in spent.items():
            bucket = self._all.get(tenant)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.level -= tokens
                bucket.spent_total += tokens
                bucket.near_total += tokens

    def take_relay(
        self, relay: str, life: int, totals: Mapping[str, int], now_s: float, is_near: bool = True
    ) -> None:
        """Another relay tells what was spent through it in its life; what is new since its last word counts.

        Not after a silence: what was spent in it was earned in it. ``is_near`` tells relays of this node's region.
        """
        last = self._relays.get(relay)
        if last is None:
            self._forget_silent_relays(now_s)
        self._relays[relay] = _RelayTotals(life, totals, now_s)
        if last is None or last.life != life or now_s - last.at_s > RELAY_SILENCE_S:
            return
        known = last.spent
        for tenant, total in totals.items():
            bucket = self._all.get(tenant)
            if bucket is not None:
                self._refill(bucket, now_s)
                spent = total - known.get(tenant, 0)
                bucket.level -= spent
                bucket.near_total += spent * is_near

    def _forget_silent_relays(self, now_s: float) -> None:
        """Drop what counts no more: nodes are replaced under new names, and each tells all tenants that spend."""
        self._relays = {name: told for name, told in self._relays.items() if now_s - told.at_s <= RELAY_SILENCE_S}

    def on_region_heard(self, region: str) -> None:
        """Another region has told what was spent there until now."""
        self._near_totals[region] = {tenant: bucket.near_total for tenant, bucket in self._all.items()}

    def on_region_lost(self, region: str, size: float, now_s: float) -> None:
        """Another region, ``size`` times this one, is silent for too long: it may have spent as much as this one.

        Two regions that are cut off from each other right before an excess would else spend 1.14 times what a limit
        allows in 8 s (model of the tests).
        """
        for tenant, known in self._near_totals.pop(region, {}).items():
            bucket = self._all.get(tenant)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.level -= (bucket.near_total - known) * size

    def _end_being_told(self) -> None:
        """From here on time earns again; what it earned before is not known."""
        if self._told_at_s is not None:
            self._told_at_s = None
            for bucket in self._all.values():
                bucket.updated_s = None

    def learn_levels(self, levels: Mapping[str, int], now_s: float) -> None:
        """The node that this one reports to tells what is left; what was spent since its report is taken off."""
        self._told_at_s = now_s
        for tenant, bucket in self._all.items():
            full = bucket.limit.burst * self._part
            bucket.level = min(full, levels.get(tenant, full)) - bucket.unreported
            bucket.updated_s = now_s

    def learn_fleet(self, asked_of_peers: Mapping[str, int], other_nodes: int, nodes: int) -> None:
        """Take what all other nodes are asked for, how many of them are heard, and the size of the fleet."""
        self._heard_nodes = other_nodes + 1
        self._end_being_told()
        self._set_part(nodes)
        for tenant, bucket in self._all.items():
            bucket.asked_of_peers = asked_of_peers.get(tenant, 0)

    def forget_fleet(self, nodes: int) -> None:
        """Other nodes have not been heard for too long: an equal part of each limit is left to this node."""
        self._heard_nodes = None
        self._end_being_told()
        self._set_part(nodes)
