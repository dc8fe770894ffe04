"""One node's part in the cluster, as a single sans-I/O object.

It joins membership, region exchange, configuration spread, directory shards and shared limits behind three
calls: ``tick``, ``handle`` and the methods of the request path. The router drives it over sockets; tests
drive the same object over an in-memory network in virtual time.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from wallwell.routing.rendezvous import key_of, owner
from wallwell.standalone.cluster import messages as msg
from wallwell.standalone.cluster.crash_notices import CrashNotices
from wallwell.standalone.cluster.limits import SharedLimits, TenantRates
from wallwell.standalone.cluster.members import GossipMember, MemberChange, MembershipTimings
from wallwell.standalone.cluster.membership import Membership
from wallwell.standalone.cluster.messages import Action, FetchConfig, HeadNotice, Send
from wallwell.standalone.cluster.regions import CONTACTS, RegionDelegate
from wallwell.standalone.cluster.shards import DirectoryShard, EngineReader, lookup_hashes, shard_owner
from wallwell.standalone.config.store import ConfigDelta, ConfigStore
from wallwell.standalone.routing.directory import EngineIncarnation

HEAD_FANOUT = 3
"""Members that hear of a new configuration head at once; the rest learns it by rumour."""
REPORT_INTERVAL_S = 0.25
"""Seconds between two reports of stored and removed blocks to the owners of their shards."""
LOAD_INTERVAL_S = 1.0
"""Seconds between two updates of the load that this node's digests carry."""
MAX_REMEMBERED_OWNERS = 4096
"""Owners of chains remembered, so that rendezvous hashing is not done for each lookup. Chosen, not measured."""


@dataclass(frozen=True)
class NodeIdentity:
    """Who and where a node is; ``incarnation`` rises with every start (milliseconds of wall time)."""

    node: str
    zone: str
    region: str
    address: str
    incarnation: int


class ClusterNode:
    """Cluster state of one node."""

    def __init__(
        self,
        identity: NodeIdentity,
        rng: random.Random,
        seeds: tuple[str, ...] = (),
        timings: MembershipTimings | None = None,
    ) -> None:
        self.identity = identity
        self.rng = rng
        record = msg.MemberRecord(identity.node, identity.address, identity.zone, identity.incarnation, 1)
        load = msg.LoadRecord(identity.node, identity.incarnation, 1, 0)
        own = GossipMember(record, load, incarnation=identity.incarnation)
        self.membership = Membership(own, identity.region, timings or MembershipTimings(), rng, seeds=seeds)
        self.config = ConfigStore()
        self.regions = RegionDelegate(identity.node, identity.region, rng)
        self.shard = DirectoryShard(rng)
        self.limits = SharedLimits(rng)
        self.crash_notices = CrashNotices()
        self.readers: dict[str, EngineReader] = {}
        self.leaving_by_machine_list: set[str] = set()
        self.leaving_by_own_word: set[str] = set()
        self.highest_head_heard = 0
        self._next_report_s = 0.0
        self._last_announce_s: float | None = None
        self._next_load_s = 0.0
        self._lookup_sequence = 0
        self.lookup_replies: dict[int, msg.LookupReply | None] = {}
        self._reading_for: tuple[tuple[str, ...], frozenset[str]] = ((), frozenset())
        self._reading: set[str] = set()
        self._owners: dict[int, str] = {}
        self._owners_for: list[str] = []
        self._waiting_ms: tuple[tuple[int, int], ...] = ()

    # --- rounds ----------------------------------------------------------------------------------------

    def tick(self, now_s: float, now_ms: int) -> list[Action]:
        """Advance timers; returns what to do. Call about ten times a second."""
        head = self.config.head
        if now_s >= self._next_load_s:
            self._next_load_s = now_s + LOAD_INTERVAL_S
            self.membership.update_own_load(head, self.own_waiting_ms())
        actions = self.membership.tick(now_s, head)
        alive = self.membership.alive()
        if self.regions.is_due(now_s):
            self.regions.refresh_own(head, self._contacts(alive), now_ms)
            actions.extend(self.regions.tick(now_s, alive, self.membership.seeds))
            self._update_limit_fraction(alive)
        if now_s >= self._next_report_s:
            self._next_report_s = now_s + REPORT_INTERVAL_S
            actions.extend(self._flush_reports(now_s))
        if self.limits.has_demand:
            actions.extend(self.limits.tick(now_s, self._peer_addresses(alive)))
        for notice in self.crash_notices.due(now_s):
            actions.extend(self._tell_all(notice, alive))
        return actions

    def _tell_all(self, notice: msg.CrashNotice, alive: Sequence[str]) -> Iterator[Action]:
        """Yield a notice for each member of the region and for one of each other region."""
        for address in self._peer_addresses(alive):
            yield Send(address, notice)
        far = msg.CrashNotice(notice.content, notice.life, to_region=True)
        for region, summary in self.regions.summaries.items():
            if region != self.identity.region and summary.contacts:
                yield Send(self.rng.choice(summary.contacts), far)

    def own_waiting_ms(self) -> tuple[tuple[int, int], ...]:
        """Waiting time of the engines this node reads, in the order of its record; set by the owner."""
        return self._waiting_ms

    def set_engines(self, engines: tuple[msg.EngineNews, ...], waiting_ms: tuple[tuple[int, int], ...]) -> None:
        """Publish the engines this node reads, with incarnations and waiting times."""
        self.membership.update_own_record(engines, tuple(sorted(self.leaving)))
        self._waiting_ms = waiting_ms

    def peer_waiting_ms(self) -> Iterator[tuple[str, int, int, int]]:
        """Yield ``(engine, interactive wait, any wait, version)`` of the engines other nodes read, in ms."""
        for member in self.membership.members.values():
            load = member.load
            if load.record_version == member.record.version and member.status <= msg.MemberStatus.SUSPECT:
                for engine, (interactive, everything) in zip(member.record.engines, load.waiting_ms, strict=False):
                    yield engine.name, interactive, everything, load.version

    def owner_of(self, root: int) -> str:
        """Return the node that keeps the chain with first block ``root``; hot roots are remembered."""
        alive = self.membership.alive()
        if self._owners_for is not alive:
            self._owners_for = alive
            self._owners.clear()
        keeper = self._owners.get(root)
        if keeper is None:
            if len(self._owners) >= MAX_REMEMBERED_OWNERS:
                self._owners.clear()
            keeper = self._owners[root] = shard_owner(root, alive)
        return keeper

    def _contacts(self, alive: Sequence[str]) -> tuple[str, ...]:
        chosen = self.rng.sample(list(alive), min(len(alive), CONTACTS))
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

    def _flush_reports(self, now_s: float) -> list[Action]:
        elapsed = now_s - self._last_announce_s if self._last_announce_s is not None else 0.0
        self._last_announce_s = now_s
        actions: list[Action] = []
        for reader in self.readers.values():
            reader.announce(elapsed)
            for name, report in reader.flush(self.owner_of):
                if name == self.identity.node:
                    self.shard.on_report(report)
                else:
                    actions.append(Send(self.membership.address_of(name), report))
        return actions

    # --- messages --------------------------------------------------------------------------------------

    def handle(self, message: msg.ClusterMessage, sender: str, now_s: float) -> list[Action]:
        """Process one message from the node at address ``sender``."""
        head = self.config.head
        membership = self.membership
        match message:
            case msg.Sync():
                if message.region != self.identity.region:
                    return self._greet_other_region(sender)
                return membership.on_sync(message, sender, now_s, head) + self._heard(message.config_head, sender)
            case msg.SyncReply():
                actions = membership.on_sync_reply(message, sender, now_s, head)
                return actions + self._heard(message.config_head, sender)
            case msg.HeadNotice():
                return self._heard(message.config_head, sender)
            case msg.RegionNews():
                return self.regions.on_news(message, sender, head) + self._join_through(message)
            case msg.Ping():
                return membership.on_ping(message, sender)
            case msg.IndirectProbe():
                return membership.on_indirect_probe(message, sender, now_s)
            case msg.Ack():
                return membership.on_ack(message)
            case _:
                return self._handle_data(message, sender, now_s)

    def _handle_data(self, message: msg.ClusterMessage, sender: str, now_s: float) -> list[Action]:
        match message:
            case msg.Lookup():
                return [Send(sender, self.shard.on_lookup(message, sender))]
            case msg.DispatchReport():
                self.shard.on_dispatch(message, sender)
            case msg.LookupReply():
                if message.sequence in self.lookup_replies:
                    self.lookup_replies[message.sequence] = message
            case msg.BlockReport():
                self.shard.on_report(message)
            case msg.TokenRequest():
                limit = self.tenant_limit(message.tenant)
                return self.limits.on_request(message, sender, limit, now_s) if limit else []
            case msg.TokenGrant():
                self.limits.on_grant(message)
            case msg.CrashNotice():
                self.crash_notices.receive(message, now_s)
        return []

    def _join_through(self, message: msg.RegionNews) -> list[Action]:
        """A node that knows no member of its region learns of some from another region's node."""
        if len(self.membership.alive()) > 1:
            return []
        region = self.identity.region
        own = [summary.contacts for summary in message.summaries if summary.region == region]
        return self.membership.greet(own[0], self.config.head) if own else []

    def _greet_other_region(self, sender: str) -> list[Action]:
        if self.identity.region not in self.regions.summaries:
            return []
        summaries = tuple(self.regions.summaries.values())
        return [Send(sender, msg.RegionNews(summaries, wants_answer=True))]

    def tenant_limit(self, tenant: str) -> TenantRates | None:
        """Return the configured limit of a tenant."""
        found = self.config.compiled.tenants.get(tenant)
        if found is None:
            return None
        return TenantRates(found.spec.requests_per_s, found.spec.burst, found.spec.concurrency)

    # --- configuration ---------------------------------------------------------------------------------

    def _heard(self, head: int, sender: str) -> list[Action]:
        self.highest_head_heard = max(self.highest_head_heard, head)
        return [FetchConfig(sender, head)] if head > self.config.head else []

    def advance_config(self, delta: ConfigDelta) -> list[Action]:
        """Apply a delta from a peer or the platform; tells a few members if this node moved up."""
        if not self.config.apply(delta):
            return []
        self.membership.update_own_load(self.config.head, self.own_waiting_ms())
        addresses = self._peer_addresses(self.membership.alive())
        chosen = self.rng.sample(addresses, min(len(addresses), HEAD_FANOUT))
        return [Send(address, HeadNotice(self.config.head)) for address in chosen]

    # --- engines ---------------------------------------------------------------------------------------

    def engines_to_read(self, engines: Iterable[str]) -> set[str]:
        """Engines whose events this node reads, among the live members of its region.

        Recomputed only when the members or the engines changed: it costs a hash per pair of both.
        """
        alive = tuple(self.membership.alive())
        names = frozenset(engines)
        if self._reading_for != (alive, names):
            self._reading_for = (alive, names)
            own = self.identity.node
            self._reading = {name for name in names if owner(alive, key_of(f"reader/{name}")) == own}
        return self._reading

    def serving_engines(self) -> dict[str, msg.EngineNews]:
        """Every serving engine of the region as its reader last published it."""
        found: dict[str, msg.EngineNews] = {}
        for name in self.membership.alive():
            member = self.membership.member(name)
            if member is not None:
                found.update({engine.name: engine for engine in member.record.engines})
        return found

    @property
    def leaving(self) -> set[str]:
        """Addresses of back ends this node itself knows to be leaving."""
        return self.leaving_by_machine_list | self.leaving_by_own_word

    def leaving_addresses(self) -> set[str]:
        """Back ends that any live member knows to be leaving."""
        found = set(self.leaving)
        for member in self.membership.members.values():
            found.update(member.record.leaving)
        return found

    def report_dispatch(self, lookup: int, engine: str, incarnation: str, chain: Sequence[int]) -> list[Action]:
        """Tell the chain's owner that ``engine`` is about to hold the chain of an earlier lookup."""
        if not chain:
            return []
        keeper = self.owner_of(chain[0])
        if keeper == self.identity.node:
            holder = EngineIncarnation(engine, incarnation)
            self.shard.directory.add(holder, lookup_hashes(chain), self.rng)
            return []
        report = msg.DispatchReport(lookup, engine, incarnation)
        return [Send(self.membership.address_of(keeper), report)]

    def next_lookup(self) -> int:
        """Return a sequence number for a lookup and expect its answer."""
        self._lookup_sequence += 1
        self.lookup_replies[self._lookup_sequence] = None
        return self._lookup_sequence

    def take_member_changes(self) -> list[MemberChange]:
        """Return members' status changes since the last call."""
        return self.membership.take_changes()
