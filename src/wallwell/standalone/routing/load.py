"""Estimates the wait of new work at an engine from its load reports and this node's dispatches. Pure.

An engine's report is already old when it arrives. The estimate adds the work that this node dispatched after the
report and subtracts the prefill done meanwhile, so that nodes neither all choose the engine that was last reported
idle nor avoid one whose queue has emptied.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

DEFAULT_PREFILL_TOKENS_PER_S = 16_000.0
"""Prefill rate in tokens per second that is assumed of an engine until its own rate has been observed."""
_RATE_SMOOTHING = 0.2
"""Weight of an observed prefill rate that is higher than the estimate."""
_SLOWER_RATE_SMOOTHING = _RATE_SMOOTHING / 8
"""Weight of an observed rate below the estimate: less, since time in the engine's queue also lowers the rate."""
_MIN_OBSERVED_TOKENS = 256
"""A prefill of at most this many tokens does not update the rate: its time is mostly waiting and transport."""
_MAX_UNREPORTED = 512
"""Maximum number of dispatches recorded since an engine's last report; the oldest are dropped first."""
MAX_RANK = 15
"""Rank of the least urgent work. Lower ranks are served first; the interface allows 0 to 15."""


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of an engine as the engine reports it. ``taken_at_s`` is on the clock of the node that reads the report.

    ``waiting_prefill_tokens`` pairs each rank that has requests waiting with the prompt tokens still to compute.
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
    """This node's estimate of one engine's load."""

    report: LoadReport | None = None
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    in_flight: int = 0
    _unreported: deque[_Dispatch] = field(default_factory=lambda: deque(maxlen=_MAX_UNREPORTED))

    def on_report(self, report: LoadReport) -> None:
        """Replace an older report and drop the dispatches that the new report already includes."""
        if self.report is not None and report.taken_at_s < self.report.taken_at_s:
            return
        self.report = report
        while self._unreported and self._unreported[0].sent_at_s <= report.taken_at_s:
            self._unreported.popleft()

    def on_dispatch(self, request_id: str, prefill_tokens: int, rank: int, now_s: float) -> None:
        """Record a request that this node sent to the engine."""
        self.in_flight += 1
        self._unreported.append(_Dispatch(request_id, prefill_tokens, rank, now_s))

    def on_first_token(self, request_id: str, prefill_tokens: int, elapsed_s: float) -> None:
        """Update the prefill rate from ``elapsed_s``, the time to first token; the request no longer waits."""
        self._remove_unreported(request_id)
        if prefill_tokens > _MIN_OBSERVED_TOKENS and elapsed_s > 0:
            observed = prefill_tokens / elapsed_s
            # The rate seen by a queued request is only a lower bound, so lower rates get less weight.
            weight = _RATE_SMOOTHING if observed > self.prefill_tokens_per_s else _SLOWER_RATE_SMOOTHING
            self.prefill_tokens_per_s += weight * (observed - self.prefill_tokens_per_s)

    def on_finished(self, request_id: str) -> None:
        """Record the end of a request, whatever its outcome."""
        self.in_flight = max(0, self.in_flight - 1)
        self._remove_unreported(request_id)

    def _remove_unreported(self, request_id: str) -> None:
        for entry in self._unreported:
            if entry.request_id == request_id:
                self._unreported.remove(entry)
                return

    def wait_s(self, now_s: float, rank: int = MAX_RANK) -> float:
        """Return the expected wait of new work of ``rank`` before its own prefill starts, in seconds.

        Engines serve lower ranks first, so work of higher ranks adds no wait.
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
