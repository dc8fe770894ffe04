"""The region's sharded directory of cached prefixes: this node's shard, and access to the shards of other nodes.

Owns this node's shard, the readers of engines' cache events, lookups in flight and the cache of shard owners. The
live nodes to which the shards are assigned are in :class:`.member_table.MemberTable`.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from wallwell.standalone.cluster.member_table import MemberTable
from wallwell.standalone.cluster.messages import Action, DispatchReport, Lookup, LookupReply, Send
from wallwell.standalone.cluster.shards import DirectoryShard, EngineReader, lookup_hashes, shard_owner
from wallwell.standalone.routing.directory import EngineIncarnation

REPORT_INTERVAL_S = 0.25
"""Seconds between two reports of stored and removed blocks to their shard owners: the maximum delay until an owner
is informed of a new block."""
MAX_CACHED_OWNERS = 4096
"""Maximum chains whose shard owners are cached, which saves the rendezvous hashing of each lookup."""


class RegionDirectory:
    """One node's access to its region's directory. Times are on the caller's clock, in seconds."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        self.shard = DirectoryShard(rng)
        self.readers: dict[str, EngineReader] = {}
        self.lookup_replies: dict[int, LookupReply | None] = {}
        """Replies by sequence number of the lookup, None until received; the caller of the lookup removes them."""
        self._lookup_sequence = 0
        self._next_report_s = 0.0
        self._last_report_s: float | None = None
        self._owners: dict[int, str] = {}
        self._owners_valid_for: list[str] = []
        """The list of live members from which ``_owners`` was computed."""

    def owner_of(self, root: int) -> str:
        """Return the node whose shard has the chain that begins with block hash ``root``."""
        alive = self._table.alive()
        if self._owners_valid_for is not alive:
            self._owners_valid_for = alive
            self._owners.clear()
        owner = self._owners.get(root)
        if owner is None:
            if len(self._owners) >= MAX_CACHED_OWNERS:
                self._owners.clear()
            owner = self._owners[root] = shard_owner(root, alive)
        return owner

    # --- reports ---------------------------------------------------------------------------------------

    def tick(self, now_s: float) -> list[Action]:
        """Return the reports of the readers' collected events, if the report interval has passed."""
        if now_s < self._next_report_s:
            return []
        self._next_report_s = now_s + REPORT_INTERVAL_S
        elapsed_s = now_s - self._last_report_s if self._last_report_s is not None else 0.0
        self._last_report_s = now_s
        actions: list[Action] = []
        for reader in self.readers.values():
            reader.queue_reannouncements(elapsed_s)
            actions.extend(self._flush(reader))
        return actions

    def _flush(self, reader: EngineReader) -> list[Action]:
        actions: list[Action] = []
        for name, report in reader.flush(self.owner_of):
            if name == self._table.node:
                self.shard.on_block_report(report)
            else:
                actions.append(Send(self._table.address_of(name), report))
        return actions

    def report_dispatch(self, sequence: int, engine: str, incarnation: str, chain: Sequence[int]) -> list[Action]:
        """Report to the chain's shard owner that ``engine`` will soon hold the chain of the lookup ``sequence``."""
        if not chain:
            return []
        owner = self.owner_of(chain[0])
        if owner == self._table.node:
            holder = EngineIncarnation(engine, incarnation)
            self.shard.directory.add(holder, lookup_hashes(chain), self._rng)
            return []
        report = DispatchReport(sequence, engine, incarnation)
        return [Send(self._table.address_of(owner), report)]

    # --- lookups ---------------------------------------------------------------------------------------

    def begin_lookup(self) -> int:
        """Register a lookup and return its sequence number."""
        self._lookup_sequence += 1
        self.lookup_replies[self._lookup_sequence] = None
        return self._lookup_sequence

    def on_lookup(self, message: Lookup, sender_address: str) -> list[Action]:
        """Reply to another node's lookup from this node's shard."""
        return [Send(sender_address, self.shard.on_lookup(message, sender_address))]

    def on_lookup_reply(self, message: LookupReply) -> None:
        """Store the reply to a lookup in flight; drop a reply that arrives after its lookup has ended."""
        if message.sequence in self.lookup_replies:
            self.lookup_replies[message.sequence] = message
