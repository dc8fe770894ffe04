"""Reads the status, load and cache events of the engines that are assigned to this node.

Each engine of a region is read by one node, chosen by rendezvous hashing over the live members; when the
membership changes, each node computes its own assignment anew. The reading node publishes the engine's incarnation
and waiting time through gossip and reports checkpoints to the shard owners. This module runs and reconnects the
reading tasks; ``ClusterNode`` provides membership and gossip, and the selector stores the loads.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import aiohttp
import msgspec

from wallwell.clock import boot_time_s
from wallwell.events import Event, emit
from wallwell.standalone.backends import engine_protocol as wire
from wallwell.standalone.backends.engine_client import EngineClient
from wallwell.standalone.cluster.messages import MAX_INTERACTIVE_RANK, MAX_NUMBER, EngineRecord
from wallwell.standalone.cluster.node import ClusterNode
from wallwell.standalone.cluster.shards import EngineReader
from wallwell.standalone.config.compiled import Engine
from wallwell.standalone.routing.load import MAX_RANK, LoadReport
from wallwell.standalone.routing.selector import EngineSelector
from wallwell.standalone.unreadable import UnreadableEntries

RECONCILE_INTERVAL_S = 0.5
"""Seconds between two checks of which engines this node reads; bounds the delay until a new engine is read."""
EVENTS_IDLE_TIMEOUT_S = 3.0
"""Seconds without data after which an engine's event stream counts as broken: six times the interval
at which the emulated engines report their load (0.5 s)."""
RECONNECT_DELAY_S = 0.5
"""Mean delay before an event stream is reopened; randomized so that nodes do not reconnect all at once."""
RECONNECT_JITTER = (0.5, 1.5)
"""Range of the random factor by which ``RECONNECT_DELAY_S`` is multiplied each time."""
MIN_SNAPSHOT_INTERVAL_S = 2.0
"""Minimum seconds between two snapshots of an engine after lost events, as each lists its whole cache."""
PEER_REPORT_AGE_S = 1.0
"""Assumed age of a load that another node has read, for the time until gossip delivers it here."""
_line_decoder: msgspec.json.Decoder[wire.EventLine] = msgspec.json.Decoder(wire.EventLine)


class EngineWatch:
    """Runs one reading task for each engine assigned to this node."""

    def __init__(
        self,
        node: ClusterNode,
        selector: EngineSelector,
        session: aiohttp.ClientSession,
        rng: random.Random,
        region_engines: Callable[[], dict[str, Engine]],
    ) -> None:
        self._node = node
        self._selector = selector
        self._session = session
        self._rng = rng
        self._region_engines = region_engines
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._snapshot_at_s: dict[str, float] = {}
        self._peer_versions: dict[str, int] = {}
        self._unreadable = UnreadableEntries("events of engines")
        self.status: dict[str, wire.StatusLine] = {}
        self.received_bytes = 0

    async def run(self) -> None:
        """Start and stop reading tasks as engines are assigned to this node, until cancelled."""
        try:
            while True:
                try:
                    self._reconcile()
                except Exception as error:  # The engines that are read already must be read on.
                    emit(Event.INTERNAL_ERROR, where="assignment of engines", key="", reason=repr(error))
                await asyncio.sleep(RECONCILE_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _reconcile(self) -> None:
        engines = self._region_engines()
        assigned = self._node.assigned_engines(engines)
        for name in [name for name in self._tasks if name not in assigned]:
            self._tasks.pop(name).cancel()
            self._node.readers.pop(name, None)
            self.status.pop(name, None)
            if name in engines:
                # The node that reads this engine next reports whether the engine is still leaving.
                self._node.leaving_by_engine_status.discard(engines[name].address)
        for name in assigned - self._tasks.keys():
            self._tasks[name] = asyncio.create_task(self._read_forever(engines[name]))
        self._publish(engines)

    def _publish(self, engines: dict[str, Engine]) -> None:
        """Publish the engines' incarnations, weights and waiting times in this node's gossip state."""
        now_s = boot_time_s()
        read_engines = sorted(name for name in self.status if name in engines)
        serving = [name for name in read_engines if self.status[name].state is wire.EngineState.SERVING]
        records = tuple(
            EngineRecord(name, self.status[name].incarnation, tuple(sorted(self.status[name].weights.items())))
            for name in serving
        )
        waiting = tuple(self._waiting_ms(name, now_s) for name in serving)
        for name in read_engines:
            self._update_leaving(engines[name], self.status[name].state is wire.EngineState.LEAVING)
        self._node.publish_engines(records, waiting)
        self._update_from_peers(now_s)

    def _waiting_ms(self, engine: str, now_s: float) -> tuple[int, int]:
        load = self._selector.load_of(engine)
        interactive = load.wait_s(now_s, MAX_INTERACTIVE_RANK)
        in_all = load.wait_s(now_s)
        return (_published_ms(interactive), _published_ms(in_all))

    def _update_from_peers(self, now_s: float) -> None:
        """Apply the waiting times that other nodes have published for the engines they read."""
        for engine, interactive_ms, total_ms, version in self._node.peer_waiting_ms():
            if self._peer_versions.get(engine) == version:
                continue
            self._peer_versions[engine] = version
            load = self._selector.load_of(engine)
            rate = load.prefill_tokens_per_s / 1000
            interactive = round(interactive_ms * rate)
            waiting = ((MAX_INTERACTIVE_RANK, interactive), (MAX_RANK, round(total_ms * rate) - interactive))
            load.on_report(LoadReport(0, 0, waiting, 0, 0, now_s - PEER_REPORT_AGE_S))

    def _update_leaving(self, engine: Engine, is_leaving: bool) -> None:
        """Record whether the engine reports that it is leaving; any other state makes its address usable again."""
        leaving_addresses = self._node.leaving_by_engine_status
        if is_leaving and engine.address not in leaving_addresses:
            emit(Event.BACKEND_LEAVING, backend=engine.name)
            leaving_addresses.add(engine.address)
        elif not is_leaving:
            leaving_addresses.discard(engine.address)

    async def _read_forever(self, engine: Engine) -> None:
        client = EngineClient(engine.address, self._session)
        while True:
            try:
                await self._read_events(engine.name, client)
            except (TimeoutError, aiohttp.ClientError, OSError, wire.EngineDataError) as error:
                emit(Event.ENGINE_UNREACHABLE, engine=engine.name, reason=type(error).__name__)
            except Exception as error:  # A fault of ours; without this task the engine would never be read again.
                emit(Event.INTERNAL_ERROR, where="events of an engine", key=engine.name, reason=repr(error))
            self.status.pop(engine.name, None)
            await asyncio.sleep(RECONNECT_DELAY_S * self._rng.uniform(*RECONNECT_JITTER))

    async def _read_events(self, engine: str, client: EngineClient) -> None:
        reader = self._node.readers.get(engine)
        after = reader.sequence if reader is not None else 0
        incarnation = reader.incarnation if reader is not None else ""
        async for text in client.events(after, incarnation, EVENTS_IDLE_TIMEOUT_S):
            try:
                self._on_line(engine, wire.decode_with(_line_decoder, text))
            except wire.EngineDataError as error:
                # The line counts as lost: a missing cache event shows by the next one's number.
                self._unreadable.report(f"{engine}: {error}", error)
            reader = self._node.readers.get(engine)
            if reader is not None and reader.needs_snapshot:
                await self._resynchronise(engine, client)

    def _on_line(self, engine: str, line: wire.EventLine) -> None:
        """Apply one line. Raises :class:`wire.EngineDataError`."""
        if isinstance(line, wire.StatusLine):
            self._on_status(engine, line)
        reader, status = self._node.readers.get(engine), self.status.get(engine)
        if reader is None or status is None:
            return  # The first line of a stream is a status; what comes without one says nothing.
        if isinstance(line, wire.LoadLine):
            self._on_load(engine, reader, status, line)
        elif isinstance(line, wire.CacheLine):
            reader.on_event(line)

    def _on_status(self, engine: str, line: wire.StatusLine) -> None:
        reader = self._node.readers.get(engine)
        if reader is None or reader.incarnation != line.incarnation:
            self._node.readers[engine] = EngineReader(engine, line.incarnation, 0)
            if self._selector.on_incarnation(engine, line.incarnation):
                emit(Event.ENGINE_INCARNATION, engine=engine, incarnation=line.incarnation)
        self.status[engine] = line

    def _on_load(self, engine: str, reader: EngineReader, status: wire.StatusLine, line: wire.LoadLine) -> None:
        # All cache events up to the previous load line should have arrived; if not, events were lost.
        reader.needs_snapshot |= reader.sequence < reader.last_load_sequence
        reader.last_load_sequence = line.sequence
        now_s = boot_time_s()
        report = LoadReport(
            line.running,
            line.waiting,
            line.waiting_prefill_tokens,
            status.cache_blocks,
            line.cache_used_blocks,
            now_s - max(0.0, line.age_s),
        )
        self._selector.load_of(engine).on_report(report)

    async def _resynchronise(self, engine: str, client: EngineClient) -> None:
        """Replace the recorded cache content by a snapshot, at most once per ``MIN_SNAPSHOT_INTERVAL_S``."""
        now_s = boot_time_s()
        if now_s - self._snapshot_at_s.get(engine, float("-inf")) < MIN_SNAPSHOT_INTERVAL_S:
            return
        self._snapshot_at_s[engine] = now_s
        emit(Event.ENGINE_EVENTS_GAP, engine=engine)
        snapshot = await client.snapshot()
        reader = self._node.readers.get(engine)
        if reader is None or reader.incarnation != snapshot.incarnation:
            return
        entries = [
            (wire.parse_hash(entry.root), entry.depth + offset, block)
            for entry in snapshot.entries
            for offset, block in enumerate(wire.unpack_hashes(entry.blocks))
        ]
        reader.apply_snapshot(snapshot.sequence, entries)


def _published_ms(wait_s: float) -> int:
    """Return a waiting time as it is published: in milliseconds, as far as a message can state it."""
    return round(min(wait_s * 1000, MAX_NUMBER))
