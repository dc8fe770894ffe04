"""Timing and cache model of an inference engine: continuous batching with a prefix cache.

Does no I/O: the caller passes the time and runs each step. A step prefills up to ``max_prefill_tokens`` tokens of
waiting requests, in priority order, and decodes one token of every running request. Its duration grows with both.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from wallwell.standalone.routing.load import LoadReport


@dataclass(frozen=True)
class EngineProfile:
    """Speed and capacity of one engine; the defaults are on the order of a small model on one accelerator."""

    block_tokens: int = 16
    """Tokens per cached block."""
    bytes_per_token: int = 4
    """Bytes of text that count as one token."""
    cache_blocks: int = 4000
    """Capacity of the cache in blocks."""
    max_batch: int = 32
    """Maximum number of requests that decode at the same time."""
    max_prefill_tokens: int = 1024
    """Maximum number of prompt tokens that one step computes."""
    step_base_s: float = 0.008
    """Seconds that a step takes without any requests."""
    decode_s_per_request: float = 0.0004
    """Seconds that each decoding request adds to a step."""
    prefill_s_per_token: float = 1 / 16_000
    """Seconds that each prompt token adds to a step."""

    @property
    def block_bytes(self) -> int:
        """Bytes of prompt text in one block."""
        return self.block_tokens * self.bytes_per_token

    def count_tokens(self, prompt: bytes) -> int:
        """Return the number of tokens of a prompt, at least 1."""
        return max(1, -(-len(prompt) // self.bytes_per_token))


@dataclass
class EngineRequest:
    """One request. ``chain`` holds its prompt's block hashes; output tokens are numbered from ``first_index``."""

    request_id: str
    chain: Sequence[int]
    prompt_tokens: int
    max_tokens: int
    rank: int = 0
    first_index: int = 0
    arrived_s: float = 0.0
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    produced_tokens: int = 0
    started: bool = False
    computed_tokens: int = 0

    @property
    def remaining_prefill_tokens(self) -> int:
        """Prompt tokens still to compute."""
        return self.prompt_tokens - self.cached_tokens - self.prefilled_tokens


class BlockPosition(NamedTuple):
    """Position of a block: the hash of its chain's first block, and its index in the chain."""

    root: int
    depth: int


@dataclass(frozen=True)
class CacheEvent:
    """Consecutive blocks of one chain that were stored, or blocks of one chain that were evicted.

    ``depth`` is the chain index of ``blocks[0]``; evicted blocks need not be consecutive.
    """

    sequence: int
    stored: bool
    root: int
    depth: int
    blocks: tuple[int, ...]


@dataclass
class StepResult:
    """Result of one step: its duration, ``(request, token index)`` pairs and the requests that finished."""

    duration_s: float
    tokens: list[tuple[EngineRequest, int]] = field(default_factory=list)
    finished: list[EngineRequest] = field(default_factory=list)


class PrefixCache:
    """LRU cache of blocks by hash; the end of a chain is evicted before its start."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, BlockPosition] = OrderedDict()
        self.ever_evicted: set[int] = set()

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    def count_matched_blocks(self, chain: Sequence[int]) -> int:
        """Return how many leading blocks of ``chain`` are cached."""
        count = 0
        for block in chain:
            if block not in self._blocks:
                break
            count += 1
        return count

    def touch(self, chain: Sequence[int]) -> None:
        """Mark the cached blocks of ``chain`` as used; its first block becomes the most recently used."""
        for block in reversed(chain):
            if block in self._blocks:
                self._blocks.move_to_end(block)

    def insert(
        self, chain: Sequence[int]
    ) -> tuple[list[tuple[int, BlockPosition]], list[tuple[int, BlockPosition]]]:
        """Store a chain; return the newly stored and the evicted blocks with their positions."""
        stored = []
        for depth, block in enumerate(chain):
            if block not in self._blocks:
                self._blocks[block] = BlockPosition(chain[0], depth)
                stored.append((block, self._blocks[block]))
        self.touch(chain)
        evicted = []
        while len(self._blocks) > self._capacity:
            evicted.append(self._blocks.popitem(last=False))
        self.ever_evicted.update(block for block, _ in evicted)
        return stored, evicted

    def items(self) -> list[tuple[int, BlockPosition]]:
        """Return every cached block with its position."""
        return list(self._blocks.items())


MAX_EVENTS = 100_000
"""Cache events retained for readers that lag behind; far more than one run produces."""


class EngineModel:
    """Request queues, cache and cache events of one incarnation of an engine."""

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.cache = PrefixCache(profile.cache_blocks)
        self.waiting: list[EngineRequest] = []
        self.running: list[EngineRequest] = []
        self.events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0
        self.prefill_tokens_total = 0
        self.cached_tokens_total = 0
        self.recomputed_tokens = 0

    @property
    def idle(self) -> bool:
        """Whether no request is waiting or running."""
        return not self.waiting and not self.running

    def submit(self, request: EngineRequest, now_s: float) -> None:
        """Queue a request by rank, then by arrival."""
        request.arrived_s = now_s
        self.waiting.append(request)
        self.waiting.sort(key=lambda each: (each.rank, each.arrived_s))

    def cancel(self, request_id: str) -> bool | None:
        """Remove a request. Returns whether it had started, or None if there is no such request."""
        for queue in (self.waiting, self.running):
            for request in queue:
                if request.request_id == request_id:
                    queue.remove(request)
                    return request.started
        return None

    def load_report(self, now_s: float) -> LoadReport:
        """Return the current load, timestamped ``now_s``."""
        waiting_tokens: dict[int, int] = {}
        for request in self.waiting:
            tokens = max(0, request.remaining_prefill_tokens)
            waiting_tokens[request.rank] = waiting_tokens.get(request.rank, 0) + tokens
        return LoadReport(
            running=len(self.running),
            waiting=len(self.waiting),
            waiting_prefill_tokens=tuple(waiting_tokens.items()),
            cache_blocks=self.profile.cache_blocks,
            cache_used_blocks=len(self.cache),
            taken_at_s=now_s,
        )

    def step(self) -> StepResult:
        """Run one step; the caller waits ``duration_s`` before it delivers the tokens."""
        profile = self.profile
        decoding = list(self.running)
        prefill_tokens, prefilled = self._prefill()
        duration = profile.step_base_s
        duration += len(decoding) * profile.decode_s_per_request
        duration += prefill_tokens * profile.prefill_s_per_token
        result = StepResult(duration)
        for request in decoding + prefilled:
            index = request.first_index + request.produced_tokens
            request.produced_tokens += 1
            result.tokens.append((request, index))
            if request.produced_tokens >= request.max_tokens:
                result.finished.append(request)
        finished = set(map(id, result.finished))
        self.running = [request for request in self.running if id(request) not in finished]
        return result

    def _prefill(self) -> tuple[int, list[EngineRequest]]:
        budget = self.profile.max_prefill_tokens
        prefill_tokens = 0
        prefilled: list[EngineRequest] = []
        while self.waiting and budget > 0 and len(self.running) < self.profile.max_batch:
            request = self.waiting[0]
            if not request.started:
                self._start_prefill(request)
            tokens = min(budget, max(0, request.remaining_prefill_tokens))
            request.prefilled_tokens += tokens
            request.computed_tokens += tokens
            budget -= tokens
            prefill_tokens += tokens
            if request.remaining_prefill_tokens > 0:
                break
            self.waiting.pop(0)
            self._cache_chain(request.chain)
            self.running.append(request)
            prefilled.append(request)
        self.prefill_tokens_total += prefill_tokens
        return prefill_tokens, prefilled

    def _start_prefill(self, request: EngineRequest) -> None:
        request.started = True
        matched = self.cache.count_matched_blocks(request.chain)
        self.cache.touch(request.chain[:matched])
        # The last token is always computed: its logits produce the first new token.
        request.cached_tokens = min(matched * self.profile.block_tokens, request.prompt_tokens - 1)
        self.cached_tokens_total += request.cached_tokens
        recomputed_blocks = sum(block in self.cache.ever_evicted for block in request.chain[matched:])
        self.recomputed_tokens += recomputed_blocks * self.profile.block_tokens

    def _cache_chain(self, chain: Sequence[int]) -> None:
        stored, evicted = self.cache.insert(chain)
        for run in _consecutive_runs(stored):
            self._add_event(True, run)
        by_root: dict[int, list[tuple[int, BlockPosition]]] = {}
        for block, position in evicted:
            by_root.setdefault(position.root, []).append((block, position))
        for group in by_root.values():
            self._add_event(False, group)

    def _add_event(self, stored: bool, blocks: Sequence[tuple[int, BlockPosition]]) -> None:
        self._sequence += 1
        position = blocks[0][1]
        hashes = tuple(block for block, _ in blocks)
        self.events.append(CacheEvent(self._sequence, stored, position.root, position.depth, hashes))

    @property
    def last_sequence(self) -> int:
        """Sequence number of the newest event."""
        return self._sequence


def _consecutive_runs(stored: Sequence[tuple[int, BlockPosition]]) -> list[list[tuple[int, BlockPosition]]]:
    """Split stored blocks into runs of consecutive depths."""
    runs: list[list[tuple[int, BlockPosition]]] = []
    for entry in stored:
        if runs and runs[-1][-1][1].depth + 1 == entry[1].depth:
            runs[-1].append(entry)
        else:
            runs.append([entry])
    return runs
