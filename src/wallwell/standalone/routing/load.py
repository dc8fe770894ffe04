"""How long new work would wait at an engine, estimated from late reports and own dispatches. Pure.

An engine's report is old when it arrives. Work this node dispatched after the report was taken is added, and
the prefill that passed meanwhile is taken off, so that a node neither herds onto the engine that looked idle
nor avoids one that has drained.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

DEFAULT_PREFILL_TOKENS_PER_S = 16_000.0
"""Prefill rate assumed until an engine's own has been observed, in tokens per second."""
_RATE_SMOOTHING = 0.2
"""Weight of the latest observation of the prefill rate if it is faster than the estimate."""
_SLOWER_RATE_SMOOTHING = _RATE_SMOOTHING / 8
"""Weight of a slower observation: less, since a request that waited in the engine's queue seems slow too."""
_MIN_OBSERVED_TOKENS = 256
"""A prefill of at most this many tokens teaches no rate: its time is mostly waiting and transport."""
_MAX_UNREPORTED = 512
"""Own dispatches remembered since an engine's last report; the oldest are forgotten first."""
MAX_RANK = 15
"""Least urgent rank; the interface allows 0 to 15."""


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """What an engine reports of itself. ``taken_at_s`` is on the clock of the node that reads it.

    ``waiting_prefill_tokens`` pairs each priority rank that has work waiting with its tokens still to compute.
    """

    running: int
    waiting: int
    waiting_prefill_tokens: tuple[tuple[int, int], ...]
    cache_blocks: int
    cache_used_blocks: int
    taken_at_s: float


@dataclass
class _Dispatch:
    request_id: str
    prefill_tokens: int
    rank: int
    sent_at_s: float


@dataclass
class EngineLoad:
    """One engine's load as this node sees it."""

    report: LoadReport | None = None
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    in_flight: int = 0
    _unreported: deque[_Dispatch] = field(default_factory=lambda: deque(maxlen=_MAX_UNREPORTED))

    def on_report(self, report: LoadReport) -> None:
        """Take a newer report; own dispatches it already covers are dropped."""
        if self.report is not None and report.taken_at_s < self.report.taken_at_s:
            return
        self.report = report
        while self._unreported and self._unreported[0].sent_at_s <= report.taken_at_s:
            self._unreported.popleft()

    def on_dispatch(self, request_id: str, prefill_tokens: int, rank: int, now_s: float) -> None:
        """Note own work sent to the engine."""
        self.in_flight += 1
        self._unreported.append(_Dispatch(request_id, prefill_tokens, rank, now_s))

    def on_first_token(self, request_id: str, prefill_tokens: int, elapsed_s: float) -> None:
        """Learn the prefill rate from one answer; the work no longer waits."""
        self._remove_unreported(request_id)
        if prefill_tokens > _MIN_OBSERVED_TOKENS and elapsed_s > 0:
            observed = prefill_tokens / elapsed_s
            # A queued request's rate is a lower bound only, so slow samples move the estimate less.
            weight = _RATE_SMOOTHING if observed > self.prefill_tokens_per_s else _SLOWER_RATE_SMOOTHING
            self.prefill_tokens_per_s += weight * (observed - self.prefill_tokens_per_s)

    def on_finished(self, request_id: str) -> None:
        """The request ended, however it ended."""
        self.in_flight = max(0, self.in_flight - 1)
        self._remove_unreported(request_id)

    def _remove_unreported(self, request_id: str) -> None:
        for entry in self._unreported:
            if entry.request_id == request_id:
                self._unreported.remove(entry)
                return

    def wait_s(self, now_s: float, rank: int = MAX_RANK) -> float:
        """Return the expected wait of new work of ``rank`` before its own prefill starts, in seconds.

        Engines serve lower ranks first, so work of higher ranks does not delay it.
        """
        reported = 0.0
        if self.report is not None:
            ahead = sum(tokens for each, tokens in self.report.waiting_prefill_tokens if each <= rank)
            reported = ahead / self.prefill_tokens_per_s
            reported -= max(0.0, now_s - self.report.taken_at_s)
        own: float = sum(entry.prefill_tokens for entry in self._unreported if entry.rank <= rank)
        own /= self.prefill_tokens_per_s
        oldest = self._unreported[0].sent_at_s if self._unreported else now_s
        own -= max(0.0, now_s - oldest)
        return max(0.0, reported) + max(0.0, own)
