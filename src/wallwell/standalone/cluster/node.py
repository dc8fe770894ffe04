"""The cluster protocol of one node, as a single object that does no I/O.

Combines membership, region exchange, propagation of the configuration, directory shards and shared limits behind
``tick``, ``handle`` and the methods that request handling calls. The router runs it over sockets; tests run the
same object over an in-memory network in virtual time.

Owns these components and the highest configuration revision that any node has announced.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from wallwell.standalone.cluster import messages as msg
from wallwell.standalone.cluster.crash_notices import CrashNotices
from wallwell.standalone.cluster.limits import SharedLimits, TenantRateLimit
from wallwell.standalone.cluster.members import GossipMember, MemberChange, MembershipTimings
from wallwell.standalone.cluster.membership import Membership
from wallwell.standalone.cluster.messages import Action, ConfigHeadNotice, FetchConfig, Send
from wallwell.standalone.cluster.published_engines import PeerWaiting, PublishedEngines, WaitingMs
from wallwell.standalone.cluster.region_directory import RegionDirectory
from wallwell.standalone.cluster.regions import CONTACT_COUNT, RegionDelegate
from wallwell.standalone.cluster.shards import EngineReader
from wallwell.standalone.config.store import ConfigDelta, ConfigStore

CONFIG_HEAD_FANOUT = 3
"""Members notified of a new configuration revision at once; gossip informs the others."""
LOAD_PUBLISH_INTERVAL_S = 1.0
"""Seconds between two updates of this node's load record."""


@dataclass(frozen=True)
class ClusterIdentity:
    """Name and location of a node; ``incarnation`` rises with every start (milliseconds of wall time)."""

    node: str
    zone: str
    region: str
    address: str
    incarnation: int


def _own_member(identity: ClusterIdentity) -> GossipMember:
    record = msg.MemberRecord(identity.node, identity.address, identity.zone, identity.incarnation, 1)
    load = msg.LoadRecord(identity.node, identity.incarnation, 1, 0)
    return GossipMember(record, load, incarnation=identity.incarnation)


class ClusterNode:
    """Cluster state of one node. Times are on the caller's clock, in seconds unless stated otherwise."""

    def __init__(
        self,
        identity: ClusterIdentity,
        rng: random.Random,
        seeds: tuple[str, ...] = (),
        timings: MembershipTimings | None = None,
    ) -> None:
        self.identity = identity
        self.rng = rng
        own = _own_member(identity)
        self.membership = Membership(own, identity.region, timings or MembershipTimings(), rng, seeds=seeds)
        self.config = ConfigStore()
        self.regions = RegionDelegate(identity.node, identity.region, rng)
        self.engines = PublishedEngines(self.membership.table)
        self.directory = RegionDirectory(self.membership.table, rng)
        self.limits = SharedLimits(rng)
        self.crash_notices = CrashNotices()
        self.highest_config_head = 0
        self._next_load_s = 0.0

    # --- rounds ----------------------------------------------------------------------------------------

    def tick(self, now_s: float, now_ms: int) -> list[Action]:
        """Process expired timers and return the actions to perform. Call about ten times a second.

        ``now_ms`` is wall time, by which other regions order this region's summaries.
        """
        head = self.config.head
        if now_s >= self._next_load_s:
            self._next_load_s = now_s + LOAD_PUBLISH_INTERVAL_S
            self._publish_load()
        actions = self.membership.tick(now_s, head)
        alive = self.membership.alive()
        if self.regions.is_due(now_s):
            self.regions.update_own_summary(head, self._choose_contacts(alive), now_ms)
            actions.extend(self.regions.tick(now_s, alive, self.membership.seeds))
            self._update_limit_fraction(alive)
        actions.extend(self.directory.tick(now_s))
        if self.limits.has_demand:
            actions.extend(self.limits.tick(now_s, self._peer_addresses(alive)))
        for notice in self.crash_notices.collect_due(now_s):
            actions.extend(self._broadcast(notice, alive))
        return actions

    def _publish_load(self) -> None:
        self.membership.table.update_own_load(self.config.head, self.engines.waiting_ms)

    def _broadcast(self, notice: msg.CrashNotice, alive: Sequence[str]) -> Iterator[Action]:
        """Yield sends of a notice to each member of the region and to one contact of each other region."""
        for address in self._peer_addresses(alive):
            yield Send(address, notice)
        forwarded = msg.CrashNotice(notice.content, notice.life, to_region=True)
        for region, summary in self.regions.summaries.items():
            if region != self.identity.region and summary.contacts:
                yield Send(self.rng.choice(summary.contacts), forwarded)

    def _choose_contacts(self, alive: Sequence[str]) -> tuple[str, ...]:
        chosen = self.rng.sample(list(alive), min(len(alive), CONTACT_COUNT))
        return tuple(self.membership.address_of(name) for name in chosen)

    def _peer_addresses(self, alive: Sequence[str]) -> list[str]:
        return [self.membership.address_of(name) for name in alive if name != self.identity.node]

    def _update_limit_fraction(self, alive: Sequence[str]) -> None:
        same_zone = 0
        for name in alive:
            member = self.membership.member(name)
            if member is not None and member.record.zone == self.identity.zone:
                same_zone += 1
        self.limits.set_fraction(len(self.config.compiled.zones), same_zone)

    # --- messages --------------------------------------------------------------------------------------

    def handle(self, message: msg.ClusterMessage, sender: str, now_s: float) -> list[Action]:
        """Process one message from the node at address ``sender``; return the actions to perform."""
        head = self.config.head
        membership = self.membership
        match message:
            case msg.Sync():
                if message.region != self.identity.region:
                    return self._redirect_to_own_region(sender)
                actions = membership.on_sync(message, sender, now_s, head)
                return actions + self._fetch_if_behind(message.config_head, sender)
            case msg.SyncReply():
                actions = membership.on_sync_reply(message, sender, now_s, head)
                return actions + self._fetch_if_behind(message.config_head, sender)
            case msg.ConfigHeadNotice():
                return self._fetch_if_behind(message.config_head, sender)
            case msg.RegionExchange():
                return self.regions.on_region_exchange(message, sender, head) + self._join_own_region(message)
            case msg.Ping():
                return membership.detector.on_ping(message, sender)
            case msg.IndirectProbe():
                return membership.detector.on_indirect_probe(message, sender, now_s)
            case msg.Ack():
                return membership.detector.on_ack(message)
            case _:
                return self._handle_data(message, sender, now_s)

    def _handle_data(self, message: msg.ClusterMessage, sender: str, now_s: float) -> list[Action]:
        match message:
            case msg.Lookup():
                return self.directory.on_lookup(message, sender)
            case msg.LookupReply():
                self.directory.on_lookup_reply(message)
            case msg.DispatchReport():
                self.directory.shard.on_dispatch_report(message, sender)
            case msg.BlockReport():
                self.directory.shard.on_block_report(message)
            case msg.TokenRequest():
                limit = self.tenant_limit(message.tenant)
                return self.limits.on_token_request(message, sender, limit, now_s) if limit else []
            case msg.TokenGrant():
                self.limits.on_token_grant(message)
            case msg.CrashNotice():
                self.crash_notices.on_notice(message, now_s)
        return []

    def _join_own_region(self, message: msg.RegionExchange) -> list[Action]:
        """If no other member of the region is live, sync with the region's contacts in another region's message."""
        if len(self.membership.alive()) > 1:
            return []
        region = self.identity.region
        own = [summary.contacts for summary in message.summaries if summary.region == region]
        return self.membership.start_sync(own[0], self.config.head) if own else []

    def _redirect_to_own_region(self, sender: str) -> list[Action]:
        if self.identity.region not in self.regions.summaries:
            return []
        summaries = tuple(self.regions.summaries.values())
        return [Send(sender, msg.RegionExchange(summaries, wants_answer=True))]

    def tenant_limit(self, tenant: str) -> TenantRateLimit | None:
        """Return the configured limits of a tenant, None if it is not configured."""
        found = self.config.compiled.tenants.get(tenant)
        if found is None:
            return None
        return TenantRateLimit(found.spec.requests_per_s, found.spec.burst, found.spec.concurrency)

    def pop_member_changes(self) -> list[MemberChange]:
        """Return and clear the members' status changes since the last call."""
        return self.membership.table.pop_changes()

    # --- configuration ---------------------------------------------------------------------------------

    def _fetch_if_behind(self, head: int, sender: str) -> list[Action]:
        """Fetch the configuration from ``sender`` if its revision ``head`` is higher than this node's."""
        self.highest_config_head = max(self.highest_config_head, head)
        return [FetchConfig(sender, head)] if head > self.config.head else []

    def advance_config(self, delta: ConfigDelta) -> list[Action]:
        """Apply a delta from a peer or the platform; notify a few members if the revision advanced."""
        if not self.config.apply(delta):
            return []
        self._publish_load()
        addresses = self._peer_addresses(self.membership.alive())
        chosen = self.rng.sample(addresses, min(len(addresses), CONFIG_HEAD_FANOUT))
        return [Send(address, ConfigHeadNotice(self.config.head)) for address in chosen]

    # --- engines ---------------------------------------------------------------------------------------

    @property
    def readers(self) -> dict[str, EngineReader]:
        """Readers of engines' cache events, by engine name."""
        return self.directory.readers

    @property
    def leaving_by_engine_status(self) -> set[str]:
        """See :attr:`PublishedEngines.leaving_by_engine_status`."""
        return self.engines.leaving_by_engine_status

    def publish_engines(self, engines: tuple[msg.EngineRecord, ...], waiting_ms: WaitingMs) -> None:
        """See :meth:`PublishedEngines.publish`."""
        self.engines.publish(engines, waiting_ms)

    def assigned_engines(self, engines: Iterable[str]) -> set[str]:
        """See :meth:`PublishedEngines.assigned_engines`."""
        return self.engines.assigned_engines(engines)

    def serving_engines(self) -> dict[str, msg.EngineRecord]:
        """See :meth:`PublishedEngines.serving_engines`."""
        return self.engines.serving_engines()

    def peer_waiting_ms(self) -> Iterator[PeerWaiting]:
        """See :meth:`PublishedEngines.peer_waiting_ms`."""
        return self.engines.peer_waiting_ms()

    def leaving_addresses(self) -> set[str]:
        """See :meth:`PublishedEngines.leaving_addresses`."""
        return self.engines.leaving_addresses()

    def report_dispatch(self, sequence: int, engine: str, incarnation: str, chain: Sequence[int]) -> list[Action]:
        """See :meth:`RegionDirectory.report_dispatch`."""
        return self.directory.report_dispatch(sequence, engine, incarnation, chain)
