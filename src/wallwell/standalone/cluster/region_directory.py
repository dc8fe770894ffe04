"""This node's part in the region's directory of cached prefixes: its shard, and the way to the others' shards.

Owns the shard this node keeps, the readers of engines' cache events, lookups in flight and the cache of shard
owners. Relies on :class:`.member_table.MemberTable` for the live nodes that the shards are spread over.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from wallwell.standalone.cluster.member_table import MemberTable
from wallwell.standalone.cluster.messages import Action, DispatchReport, Lookup, LookupReply, Send
from wallwell.standalone.cluster.shards import DirectoryShard, EngineReader, lookup_hashes, shard_owner
from wallwell.standalone.routing.directory import EngineIncarnation

REPORT_INTERVAL_S = 0.25
"""Seconds between two reports of stored and removed blocks to the owners of their shards: how long a new block
stays unknown to them."""
MAX_CACHED_OWNERS = 4096
"""Owners of chains remembered, so that rendezvous hashing is not done for each lookup."""


class RegionDirectory:
    """Directory of one region as one node takes part in it. Times are on the caller's clock, in seconds."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        self.shard = DirectoryShard(rng)
        self.readers: dict[str, EngineReader] = {}
        self.lookup_replies: dict[int, LookupReply | None] = {}
        """Lookups in flight by sequence number, None until answered; whoever began one takes it out."""
        self._lookup_sequence = 0
        self._next_report_s = 0.0
        self._last_report_s: float | None = None
        self._owners: dict[int, str] = {}
        self._owners_valid_for: list[str] = []
        """The list of live members for which ``_owners`` holds."""

    def owner_of(self, root: int) -> str:
        """Return the node that keeps the chain with first block ``root``."""
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
        """Send what the readers collected, if that is due."""
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

    def report_dispatch(
        self, lookup_sequence: int, engine: str, incarnation: str, chain: Sequence[int]
    ) -> list[Action]:
        """Report to the chain's owner that ``engine`` is about to hold the chain of an earlier lookup."""
        if not chain:
            return []
        owner = self.owner_of(chain[0])
        if owner == self._table.node:
            holder = EngineIncarnation(engine, incarnation)
            self.shard.directory.add(holder, lookup_hashes(chain), self._rng)
            return []
        report = DispatchReport(lookup_sequence, engine, incarnation)
        return [Send(self._table.address_of(owner), report)]

    # --- lookups ---------------------------------------------------------------------------------------

    def begin_lookup(self) -> int:
        """Return a sequence number for a lookup and expect its answer."""
        self._lookup_sequence += 1
        self.lookup_replies[self._lookup_sequence] = None
        return self._lookup_sequence

    def on_lookup(self, message: Lookup, sender_address: str) -> list[Action]:
        """Answer another node's lookup from this node's shard."""
        return [Send(sender_address, self.shard.on_lookup(message, sender_address))]

    def on_lookup_reply(self, message: LookupReply) -> None:
        """Keep an answer that is still waited for; a late one is dropped."""
        if message.sequence in self.lookup_replies:
            self.lookup_replies[message.sequence] = message
