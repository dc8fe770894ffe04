"""Divides each tenant's rate limit between the nodes of the fleet.

Each node's token bucket refills at its share of the rate: an equal part per configured zone, divided by the live
nodes of its zone. A node grants tokens to another by removing them from its own bucket first, so the sum over
connected nodes cannot exceed the limit, and a lost grant only loses tokens. A zone that is cut off keeps its own
share. Shares depend on the *configured* zones, not the reachable ones, since otherwise both sides of a partition
would use the whole limit.

Keeps this node's buckets and its open token requests. Does no I/O; times are in seconds on the caller's clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from wallwell.standalone.cluster.messages import Action, Send, TokenGrant, TokenRequest
from wallwell.standalone.routing.token_bucket import TokenBucket

CONCURRENCY_RETRY_AFTER_S = 0.1
"""Seconds of Retry-After when a tenant is at its concurrency limit. Short, since any of its requests may end."""
TENANT_IDLE_TIMEOUT_S = 300.0
"""Seconds after which the state of a tenant without requests is removed."""
TOKEN_REQUEST_INTERVAL_S = 0.25
"""Minimum seconds between two token requests for one tenant: at most four datagrams a second."""
_MAX_GRANT_FRACTION = 0.5
"""Maximum fraction of its tokens that a node grants, so that tokens remain for its own next requests."""
_MIN_GRANT_TOKENS = 1.0
"""Minimum tokens of a grant; a smaller one would not admit a request."""
_MAX_OPEN_REQUESTS = 256
"""Maximum open token requests; grants of older ones are dropped, which only loses tokens."""


@dataclass
class _TenantShare:
    bucket: TokenBucket
    concurrency: int
    in_flight: int = 0
    demand: float = 0.0
    next_request_s: float = 0.0


@dataclass(frozen=True)
class TenantRateLimit:
    """Limits of one tenant over the whole fleet: rate, bucket capacity and concurrent requests."""

    requests_per_s: float
    burst: float
    concurrency: int


@dataclass
class SharedLimits:
    """This node's shares of tenants' limits; keeps state only of tenants with recent requests at this node."""

    rng: random.Random
    _shares: dict[str, _TenantShare] = field(default_factory=dict)
    _fraction: float = 1.0
    _sequence: int = 0
    _open_requests: set[int] = field(default_factory=set)
    _refused_tenants: set[str] = field(default_factory=set)

    def set_fraction(self, configured_zones: int, live_nodes_in_zone: int) -> None:
        """Set this node's fraction of every limit from the number of zones and of nodes in its zone."""
        self._fraction = 1.0 / (max(1, configured_zones) * max(1, live_nodes_in_zone))

    @property
    def fraction(self) -> float:
        """This node's fraction of every limit."""
        return self._fraction

    def _updated_share(self, tenant: str, limit: TenantRateLimit, now_s: float) -> _TenantShare:
        share = self._shares.get(tenant)
        capacity = max(1.0, limit.burst * self._fraction)
        rate = limit.requests_per_s * self._fraction
        if share is None:
            share = _TenantShare(TokenBucket(rate, capacity, capacity, now_s), limit.concurrency)
            self._shares[tenant] = share
        share.bucket.refill(now_s)
        share.bucket.rate_per_s = rate
        share.bucket.capacity = capacity
        share.concurrency = max(1, round(limit.concurrency * self._fraction))
        return share

    def admit(self, tenant: str, limit: TenantRateLimit, now_s: float) -> float | None:
        """Admit one request and return None, or refuse it and return the seconds after which to retry."""
        share = self._updated_share(tenant, limit, now_s)
        if share.in_flight >= share.concurrency:
            return CONCURRENCY_RETRY_AFTER_S
        if not share.bucket.try_spend(now_s):
            share.demand += 1.0
            self._refused_tenants.add(tenant)
            return share.bucket.wait_s()
        share.in_flight += 1
        return None

    def finish(self, tenant: str) -> None:
        """Count the end of an admitted request, which frees its concurrency."""
        share = self._shares.get(tenant)
        if share is not None:
            share.in_flight = max(0, share.in_flight - 1)

    @property
    def has_demand(self) -> bool:
        """Whether a tenant was refused for lack of tokens since tokens were last requested for it."""
        return bool(self._refused_tenants)

    def tick(self, now_s: float, peers: list[str]) -> list[Action]:
        """Request tokens from one peer for each refused tenant; ``peers`` are cluster addresses."""
        actions: list[Action] = []
        for tenant in list(self._refused_tenants):
            share = self._shares[tenant]
            if now_s < share.next_request_s or not peers:
                continue
            self._refused_tenants.discard(tenant)
            share.next_request_s = now_s + TOKEN_REQUEST_INTERVAL_S
            self._sequence += 1
            self._open_requests = {s for s in self._open_requests if s > self._sequence - _MAX_OPEN_REQUESTS}
            self._open_requests.add(self._sequence)
            amount = max(_MIN_GRANT_TOKENS, share.demand)
            actions.append(Send(self.rng.choice(peers), TokenRequest(self._sequence, tenant, amount)))
            share.demand = 0.0
        return actions

    def on_token_request(
        self, message: TokenRequest, sender_address: str, limit: TenantRateLimit, now_s: float
    ) -> list[Action]:
        """Grant part of this node's tokens, unless it refused the tenant's requests itself for lack of tokens."""
        share = self._updated_share(message.tenant, limit, now_s)
        available = share.bucket.tokens * _MAX_GRANT_FRACTION if share.demand <= 0 else 0.0
        amount = min(message.amount, available)
        if amount < _MIN_GRANT_TOKENS:
            return []
        share.bucket.tokens -= amount
        return [Send(sender_address, TokenGrant(message.sequence, message.tenant, amount))]

    def on_token_grant(self, message: TokenGrant) -> None:
        """Add granted tokens to the bucket; ignores a duplicate grant and one for a request that is too old."""
        if message.sequence not in self._open_requests:
            return
        self._open_requests.discard(message.sequence)
        share = self._shares.get(message.tenant)
        if share is not None:
            share.bucket.tokens += message.amount

    def forget_idle(self, now_s: float, idle_timeout_s: float = TENANT_IDLE_TIMEOUT_S) -> None:
        """Remove the state of tenants that have had no requests for ``idle_timeout_s``."""
        for tenant, share in list(self._shares.items()):
            if share.in_flight == 0 and now_s - share.bucket.updated_s > idle_timeout_s:
                del self._shares[tenant]
                self._refused_tenants.discard(tenant)

    def tokens(self, tenant: str) -> float:
        """Return the tokens in this node's bucket of a tenant."""
        share = self._shares.get(tenant)
        return share.bucket.tokens if share else 0.0

    def __len__(self) -> int:
        return len(self._shares)
