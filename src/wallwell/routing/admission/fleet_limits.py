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
from wallwell.routing.admission.backend_rate import REQUEST_UNITS, backend_rate, backend_subject, largest_debt
from wallwell.routing.admission.fleet_bucket import ASKED_WINDOW_S, FleetBucket
from wallwell.routing.admission.fleet_share import spendable_fraction
from wallwell.routing.admission.relay_spending import RelaySpending

SPEND_DOWN_S = 0.5
"""Seconds in which saved tokens are spent, and in which a debt is worked off, while demand exceeds the limit.

Longer than the age of what nodes know of each other."""
LIFE_BITS = 48
"""Random bits of a life's number: two lives of a node do not get the same one, and it is exact in any JSON."""
LEVELS_VALID_S = 0.3
"""Seconds for which reported levels hold: the time between two reports over a thin link (0.25 s; 0.05 s over
others) and a little more."""
SHORTEST_WAIT_S = 0.2
"""Least Retry-After of a refused caller, in seconds: sooner, what others spend is unknown."""
LONGEST_WAIT_S = 5.0
"""Most Retry-After of a refused caller, in seconds: an excess may end before it is worked off."""
RETURN_SPREAD = 0.3
"""Fraction of the wait over which refused callers are spread, so that they do not return together."""


class Admitted(msgspec.Struct, frozen=True):
    """Tokens taken for a request; refunded if it turns out not to have run."""

    subject: str
    """Whose limit they were taken of: a tenant, or a back end as :func:`backend_subject` names it."""
    tokens: int


class OverLimit(msgspec.Struct, frozen=True):
    """The limit is used up; ``wait_s`` is when the tokens can be expected to be there."""

    wait_s: float


class TenantUse(msgspec.Struct, frozen=True):
    """How one tenant stands against its limit, for operators. Amounts are tokens, or requests if those count."""

    tenant: str
    left: float
    """For the whole fleet, as far as this node knows; negative if more was spent than the limit gave."""
    asked_per_s: float
    """By all nodes."""
    refused: int
    """Requests that this node refused since it started."""


class FleetLimits:
    """One node's share in keeping the limits of all tenants and back ends that have one."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self.life = self._rng.getrandbits(LIFE_BITS)
        """Random number that sets the totals of this node's life apart from those of earlier ones."""
        self._tenants: dict[str, FleetBucket] | None = None
        """By tenant; None before any limits are known."""
        self._backends: dict[str, FleetBucket] = {}
        """By the subject of a back end."""
        self._all: dict[str, FleetBucket] = {}
        """Both of them."""
        self._relays = RelaySpending()
        self._near_totals: dict[str, dict[str, int]] = {}
        """By region, what had been spent in this one when the other was last heard, by subject."""
        self._heard_nodes: int | None = None
        """Nodes of which anything is known, this one among them; None if no other is heard."""
        self._fraction = spendable_fraction(None, 0)
        """Fraction of each limit that the nodes which hear each other may spend together."""
        self._levels_received_s: float | None = None
        """When a relay last reported the levels, None if this node follows none. When they are too old, nothing is
        known of what others spend, so nothing is earned until the next report."""

    def set_limits(self, limits: Mapping[str, TenantLimit]) -> None:
        """Take the limits in force, by tenant.

        A node that starts does not know what was spent before: its buckets begin empty, so that nodes which start
        together do not spend everything saved up once more.
        """
        known, is_start = self._tenants or {}, self._tenants is None
        self._tenants = {}
        for tenant, limit in limits.items():
            bucket = known.get(tenant)
            if bucket is None:
                bucket = FleetBucket(limit, 0.0 if is_start else limit.burst)
            bucket.change(limit)
            self._tenants[tenant] = bucket
        self._all = {**self._tenants, **self._backends}

    def limit_backend(self, incarnation: str, per_s: float, sent: int) -> None:
        """Keep a limit in requests a second from now on; ``sent`` requests of this node count already."""
        rate = backend_rate(per_s)
        subject = backend_subject(incarnation)
        bucket = self._backends.get(subject)
        if bucket is None:
            bucket = self._backends[subject] = FleetBucket(rate, rate.burst)
            self._all[subject] = bucket
        bucket.change(rate)
        bucket.largest_debt = largest_debt(rate)
        bucket.spend(sent * REQUEST_UNITS)

    def forget_backend(self, incarnation: str) -> None:
        """Drop the limit of a back end that has ended, or has stated none for long."""
        subject = backend_subject(incarnation)
        self._backends.pop(subject, None)
        self._all.pop(subject, None)

    def _set_fraction(self, nodes: int) -> None:
        """Set which fraction of each limit may be spent here, in a fleet of ``nodes``, 0 if unknown."""
        before = self._fraction
        self._fraction = spendable_fraction(self._heard_nodes, nodes)
        for bucket in self._all.values():
            if bucket.level < 0:  # The rate that works a debt off has become smaller.
                bucket.level *= min(1.0, self._fraction / before)

    # --- requests --------------------------------------------------------------------------------------

    def admit(self, subject: str, tokens: int, now_s: float) -> Admitted | OverLimit | None:
        """Take a request's tokens, or say when they can be expected; None if the subject has no limit."""
        bucket = self._all.get(subject)
        if bucket is None:
            return None
        self._refill(bucket, now_s)
        # A request larger than the bucket is served from a full one; it does not ask for more than all of it.
        bucket.asked.add(now_s, min(tokens, bucket.limit.burst))
        if self._rng.random() >= self._admitted_fraction(bucket, now_s):
            bucket.refused += 1
            return OverLimit(self._wait_s(bucket, tokens, now_s))
        bucket.spend(tokens)
        return Admitted(subject, tokens)

    def has_headroom(self, subject: str, now_s: float) -> bool:
        """Whether some requests of a subject would be admitted now."""
        bucket = self._all.get(subject)
        if bucket is None:
            return True
        self._refill(bucket, now_s)
        return self._admitted_fraction(bucket, now_s) > 0.0

    def _refill(self, bucket: FleetBucket, now_s: float) -> None:
        if self._levels_received_s is None or now_s - self._levels_received_s <= LEVELS_VALID_S:
            bucket.refill(now_s, self._fraction)

    def _admitted_fraction(self, bucket: FleetBucket, now_s: float) -> float:
        """Return the fraction of what is asked for that may be served now."""
        spendable = self._rate_per_s(bucket) * ASKED_WINDOW_S + bucket.level * ASKED_WINDOW_S / SPEND_DOWN_S
        return max(0.0, spendable) / max(1.0, self._asked(bucket, now_s))

    def _rate_per_s(self, bucket: FleetBucket) -> float:
        return bucket.limit.rate_per_s * self._fraction

    def _asked(self, bucket: FleetBucket, now_s: float) -> float:
        """Return the tokens that all nodes were asked for in the last window."""
        return bucket.asked.total(now_s) + (bucket.asked_of_peers if self._heard_nodes is not None else 0)

    def _wait_s(self, bucket: FleetBucket, tokens: int, now_s: float) -> float:
        """Return when a request can expect to be served: its own tokens behind those that were asked for."""
        rate_per_s = max(1.0, self._rate_per_s(bucket))
        waiting = max(float(tokens), self._asked(bucket, now_s) - rate_per_s * ASKED_WINDOW_S) - bucket.level
        wait_s = waiting / rate_per_s * self._rng.uniform(1.0, 1.0 + RETURN_SPREAD)
        return min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, wait_s))

    def refund(self, admitted: Admitted) -> None:
        """A request has not run."""
        self._spend(admitted.subject, -admitted.tokens)

    def charge_retry(self, admitted: Admitted) -> None:
        """A request that may have run is sent to another back end."""
        self._spend(admitted.subject, admitted.tokens)

    def _spend(self, subject: str, tokens: int) -> None:
        bucket = self._all.get(subject)
        if bucket is not None:
            bucket.spend(tokens)

    def most_refused(self, count: int, now_s: float) -> list[TenantUse]:
        """Return the tenants of which this node refused most, those that ask for most first among equals."""
        uses = [
            TenantUse(tenant, bucket.level, self._asked(bucket, now_s) / ASKED_WINDOW_S, bucket.refused)
            for tenant, bucket in (self._tenants or {}).items()
        ]
        uses.sort(key=lambda use: (use.refused, use.asked_per_s), reverse=True)
        return uses[:count]

    # --- what a node reports ---------------------------------------------------------------------------

    def asked(self, now_s: float) -> dict[str, int]:
        """Return the tokens that this node was asked for lately, by subject, without those that were not."""
        totals = {subject: round(bucket.asked.total(now_s)) for subject, bucket in self._all.items()}
        return {subject: total for subject, total in totals.items() if total}

    def asked_of_peers(self, subject: str) -> int:
        """Return the tokens that all other nodes were asked for lately, as they reported."""
        bucket = self._all.get(subject)
        return bucket.asked_of_peers if bucket is not None else 0

    def begin_report(self) -> dict[str, int]:
        """Return what this node has spent since the last report that was taken, by subject."""
        for bucket in self._all.values():
            bucket.begin_report()
        return {subject: bucket.reporting for subject, bucket in self._all.items() if bucket.reporting}

    def end_report(self, taken: bool) -> None:
        """A report was answered, or may be lost: what it contained is then reported again."""
        for bucket in self._all.values():
            bucket.end_report(taken)

    def spent_totals(self) -> dict[str, int]:
        """Return what was spent through this node and those that report to it since it started, by subject."""
        return {subject: bucket.spent_total for subject, bucket in self._all.items() if bucket.spent_total}

    def levels(self, now_s: float) -> dict[str, int]:
        """Return what is left of each limit, by subject, without those of tenants that are full."""
        levels = {}
        for subject, bucket in self._all.items():
            self._refill(bucket, now_s)
            if bucket.level < bucket.limit.burst * self._fraction or subject in self._backends:
                levels[subject] = round(bucket.level)
        return levels

    # --- what a node learns ----------------------------------------------------------------------------

    def take_member(self, spent: Mapping[str, int], now_s: float) -> None:
        """A member that reports to this node has spent something."""
        for subject, tokens in spent.items():
            bucket = self._all.get(subject)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.take_member(tokens)

    def take_relay(
        self, relay: str, life: int, totals: Mapping[str, int], now_s: float, is_near: bool = True
    ) -> None:
        """Another relay reports what was spent through it in its life; what is new since its last report counts.

        ``is_near`` marks relays of this node's region.
        """
        for subject, spent in self._relays.take(relay, life, totals, now_s).items():
            bucket = self._all.get(subject)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.take_relay(spent, is_near)

    def on_region_heard(self, region: str) -> None:
        """Another region has reported what was spent there until now."""
        self._near_totals[region] = {subject: bucket.near_total for subject, bucket in self._all.items()}

    def on_region_lost(self, region: str, size: float, now_s: float) -> None:
        """Another region, ``size`` times this one, is silent for too long: it may have spent as much as this."""
        for subject, known in self._near_totals.pop(region, {}).items():
            bucket = self._all.get(subject)
            if bucket is not None:
                self._refill(bucket, now_s)
                bucket.level -= (bucket.near_total - known) * size

    def _stop_following_levels(self) -> None:
        """From here on time earns again; what it earned before is not known."""
        if self._levels_received_s is not None:
            self._levels_received_s = None
            for bucket in self._all.values():
                bucket.updated_s = None

    def learn_levels(self, levels: Mapping[str, int], now_s: float) -> None:
        """The relay of this node reports what is left; what was spent since its report is taken off.

        A tenant's limit that it leaves out is full. Of a back end's it knows nothing yet, or never will if it is of
        an older version: nothing is saved up then, and the rate is shared by demand.
        """
        self._levels_received_s = now_s
        for subject, bucket in self._all.items():
            full = bucket.limit.burst * self._fraction
            unnamed = 0.0 if subject in self._backends else full
            bucket.level = min(full, levels.get(subject, unnamed)) - bucket.unreported
            bucket.updated_s = now_s

    def learn_fleet(self, asked_of_peers: Mapping[str, int], other_nodes: int, nodes: int) -> None:
        """Take what all other nodes are asked for, how many of them are heard, and the size of the fleet."""
        self._heard_nodes = other_nodes + 1
        self._stop_following_levels()
        self._set_fraction(nodes)
        for subject, bucket in self._all.items():
            bucket.asked_of_peers = asked_of_peers.get(subject, 0)

    def forget_fleet(self, nodes: int) -> None:
        """Other nodes have not been heard for too long: an equal share of each limit is left to this node."""
        self._heard_nodes = None
        self._stop_following_levels()
        self._set_fraction(nodes)
