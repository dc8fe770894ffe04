"""Shards of the directory of cached prefixes: shard assignment, readers of engines' cache events, and lookups.

A region's block chains are assigned to its live nodes by rendezvous hash of the chain's first block, so nested
prefixes share a shard. Only checkpoints (the first block and every 32nd) are recorded, so the reader of an engine's
events reports only one block in 32. Slow periodic re-announcement of all checkpoints makes up for lost reports and
moved shards. A shard is only a hint; the engine's own cache is authoritative.

Owns a node's shard and the checkpoints of the engines that it reads. Does no I/O: times come from the caller.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from wallwell.errors import ClusterMessageError
from wallwell.routing.rendezvous import owner
from wallwell.standalone.backends.engine_protocol import (
    CacheLine,
    EngineDataError,
    pack_hashes,
    parse_hash,
    unpack_hashes,
)
from wallwell.standalone.cluster.messages import BlockReport, DispatchReport, Lookup, LookupReply
from wallwell.standalone.routing.blocks import CHECKPOINT_STRIDE, checkpoint_depths, is_checkpoint
from wallwell.standalone.routing.directory import EngineIncarnation, PrefixDirectory
from wallwell.standalone.routing.table import CompactTable

MAX_LOOKUP_HASHES = 96
"""Maximum hashes in one lookup: 96 take 1,024 of a datagram's 1,200 bytes, and cover some 49,000 tokens of prompt
at 16 tokens a block."""
MAX_REPORT_HASHES = 72
"""Maximum hashes in one report, stored and removed together: they take 768 of a datagram's 1,200 bytes, in addition
to the names of engine and incarnation."""
REANNOUNCE_PERIOD_S = 120.0
"""Seconds in which each checkpoint is announced again once, which makes up for lost reports."""
MAX_RECENT_LOOKUPS = 256
"""Maximum recent lookups of other nodes for which a dispatch report is accepted; the oldest is dropped."""
MAX_SHARD_ENTRIES = 200_000
"""Maximum checkpoints in one shard."""


class DirectoryShard:
    """This node's shard: which engines hold the checkpoints of the chains assigned to it."""

    def __init__(self, rng: random.Random, max_entries: int = MAX_SHARD_ENTRIES) -> None:
        self.directory = PrefixDirectory(max_entries)
        self._rng = rng
        self._recent_lookups: OrderedDict[tuple[str, int], list[int]] = OrderedDict()

    def on_block_report(self, report: BlockReport) -> None:
        """Record the stored and removed checkpoints that an engine's reader reports.

        Raises :class:`ClusterMessageError` if the hashes cannot be read.
        """
        holder = EngineIncarnation(report.engine, report.incarnation)
        stored, removed = _unpack_received(report.stored), _unpack_received(report.removed)
        if stored:
            self.directory.add(holder, stored, self._rng)
        if removed:
            self.directory.remove(holder, removed)

    def on_lookup(self, message: Lookup, sender: str) -> LookupReply:
        """Return the holders of leading checkpoints; keep the hashes for the dispatch report that may follow.

        Raises :class:`ClusterMessageError` if the hashes cannot be read.
        """
        hashes = _unpack_received(message.hashes)
        self._recent_lookups[(sender, message.sequence)] = hashes
        if len(self._recent_lookups) > MAX_RECENT_LOOKUPS:
            self._recent_lookups.popitem(last=False)
        held = self.directory.lookup(hashes, range(len(hashes)))
        holders = tuple((each.holder.engine, each.holder.incarnation, each.blocks) for each in held)
        return LookupReply(message.sequence, holders)

    def on_dispatch_report(self, message: DispatchReport, sender: str) -> None:
        """Record that an engine will soon hold the chain of a recent lookup; ignore reports of older lookups."""
        hashes = self._recent_lookups.pop((sender, message.sequence), None)
        if hashes is not None:
            self.directory.add(EngineIncarnation(message.engine, message.incarnation), hashes, self._rng)


def _unpack_received(text: str) -> list[int]:
    """Return the hashes that a peer has packed. Raises :class:`ClusterMessageError`."""
    try:
        return unpack_hashes(text)
    except EngineDataError as error:
        raise ClusterMessageError(str(error)) from error


def lookup_hashes(chain: Sequence[int]) -> list[int]:
    """Return the hashes of a chain's leading checkpoints, as many as a lookup carries."""
    return [chain[depth] for depth in checkpoint_depths(len(chain))][:MAX_LOOKUP_HASHES]


def blocks_of_checkpoints(count: int) -> int:
    """Return the number of blocks covered by the first ``count`` checkpoints of a chain."""
    if count <= 1:
        return count
    return (count - 1) * CHECKPOINT_STRIDE


def shard_owner(root: int, alive: Sequence[str]) -> str:
    """Return the node whose shard has the chain that begins with block hash ``root``."""
    return owner(alive, root)


@dataclass
class _ReportBatch:
    stored: list[int] = field(default_factory=list)
    removed: list[int] = field(default_factory=list)


class EngineReader:
    """Filters one engine's cache events to checkpoints and collects them in reports for the shard owners.

    Stores one 16-byte slot (24 bytes at the usual load factor) per checkpoint that the engine holds, independent of
    its number of blocks. The value is the chain's first block, which determines the shard owner.
    """

    def __init__(self, engine: str, incarnation: str, sequence: int) -> None:
        self.engine = engine
        self.incarnation = incarnation
        self.sequence = sequence
        self.last_load_sequence = sequence
        self.needs_snapshot = False
        self.gap_count = 0
        self._checkpoints = CompactTable()
        self._batches: dict[int, _ReportBatch] = {}
        self._reannouncing: Iterator[tuple[int, int]] | None = None
        self._reannounce_credit = 0.0

    def __len__(self) -> int:
        return len(self._checkpoints)

    @property
    def nbytes(self) -> int:
        """Size of the checkpoint table in bytes."""
        return self._checkpoints.nbytes

    def on_event(self, line: CacheLine) -> bool:
        """Apply one cache event; return False if events before it were lost.

        Raises :class:`EngineDataError` if it cannot be read; it then counts as lost.
        """
        if line.sequence <= self.sequence:
            return True
        root = parse_hash(line.root)
        hashes = unpack_hashes(line.blocks)
        contiguous = line.sequence == self.sequence + 1
        self.sequence = line.sequence
        if line.stored:
            self._store(root, line.depth, hashes)
        else:
            self._remove(hashes)
        if not contiguous:
            self.gap_count += 1
            self.needs_snapshot = True
        return contiguous

    def _store(self, root: int, depth: int, hashes: Sequence[int]) -> None:
        for offset, block in enumerate(hashes):
            if is_checkpoint(depth + offset):
                self._checkpoints.set(block, root or 1)
                self._batches.setdefault(root, _ReportBatch()).stored.append(block)

    def _remove(self, hashes: Sequence[int]) -> None:
        for block in hashes:
            root = self._checkpoints.get(block)
            if root:
                self._checkpoints.delete(block)
                self._batches.setdefault(root, _ReportBatch()).removed.append(block)

    def apply_snapshot(self, sequence: int, entries: Sequence[tuple[int, int, int]]) -> None:
        """Replace the checkpoints after a gap by a snapshot of ``(root, depth, block)``; report the differences."""
        held = {block: root for root, depth, block in entries if is_checkpoint(depth)}
        removed_blocks = [block for block, _ in self._checkpoints.items() if block not in held]
        self._remove(removed_blocks)
        for block, root in held.items():
            if not self._checkpoints.get(block):
                self._store(root, 0, [block])
        self.sequence = max(self.sequence, sequence)
        self.needs_snapshot = False

    def flush(self, owner_of: Callable[[int], str]) -> list[tuple[str, BlockReport]]:
        """Return ``(shard owner, report)`` pairs for the checkpoints collected since the last call."""
        by_owner: dict[str, _ReportBatch] = {}
        for root, batch in self._batches.items():
            target = by_owner.setdefault(owner_of(root), _ReportBatch())
            target.stored.extend(batch.stored)
            target.removed.extend(batch.removed)
        self._batches.clear()
        reports: list[tuple[str, BlockReport]] = []
        for name, batch in by_owner.items():
            reports.extend((name, report) for report in self._split_batch(batch))
        return reports

    def _split_batch(self, batch: _ReportBatch) -> Iterator[BlockReport]:
        for start in range(0, max(len(batch.stored), len(batch.removed)), MAX_REPORT_HASHES // 2):
            end = start + MAX_REPORT_HASHES // 2
            stored = pack_hashes(batch.stored[start:end])
            removed = pack_hashes(batch.removed[start:end])
            yield BlockReport(self.engine, self.incarnation, stored, removed)

    def queue_reannouncements(self, elapsed_s: float) -> None:
        """Queue the fraction of all checkpoints that corresponds to ``elapsed_s`` of the re-announcement period."""
        self._reannounce_credit += len(self._checkpoints) * elapsed_s / REANNOUNCE_PERIOD_S
        if self._reannouncing is None:
            self._reannouncing = iter(list(self._checkpoints.items()))
        while self._reannounce_credit >= 1.0:
            self._reannounce_credit -= 1.0
            entry = next(self._reannouncing, None)
            if entry is None:
                self._reannouncing = None
                return
            block, root = entry
            if self._checkpoints.get(block):
                self._batches.setdefault(root, _ReportBatch()).stored.append(block)
