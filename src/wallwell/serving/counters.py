"""Request counters of one node: plain numbers, rendered as metrics only when these are fetched. Pure."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

from wallwell.errors import ConnectionEndedError

LATENCY_BOUNDS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
"""Upper bounds of the buckets in seconds, each about twice the previous one, from the fastest calls to the longest
generations. They are exported as bucket labels, so changing them changes the metrics."""


@dataclass
class LatencyHistogram:
    """Number of observations per bucket; the last bucket has no upper bound."""

    buckets: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BOUNDS_S) + 1))
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Add one observation in seconds."""
        self.buckets[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.total_s += seconds


@dataclass
class RequestCounters:
    """Counts by labels with a bounded set of values: request kind, outcome, error code and attempt result."""

    requests: Counter[tuple[str, str]] = field(default_factory=Counter)
    """Requests by kind and outcome."""
    refusals: Counter[str] = field(default_factory=Counter)
    """Refused requests by error code."""
    cut_answers: Counter[str] = field(default_factory=Counter)
    """Answers that had begun and were cut, by error code; they count as refusals as well."""
    attempts: Counter[str] = field(default_factory=Counter)
    """Attempts by result."""
    attempts_by_peers: Counter[str] = field(default_factory=Counter)
    """Those of them that a peer made for this node, by result."""
    attempts_for_peers: Counter[str] = field(default_factory=Counter)
    """Attempts that this node made for peers, or declined, by result; not counted in the others."""
    hedges: Counter[str] = field(default_factory=Counter)
    """Silences of back ends, by how the second attempt beside the silent one ended or why none was made."""
    resumed_streams: Counter[str] = field(default_factory=Counter)
    """Streams that went on after a break, by who resumed them: the ``router`` in one answer, or the ``caller``."""
    stream_lookups: Counter[str] = field(default_factory=Counter)
    """Streams that callers resumed, by what was found: their version (``known``), that the service has had only one
    (``one_version``), or neither (``unknown``)."""
    cut_by_stop: Counter[str] = field(default_factory=Counter)
    """Requests that a planned stop of this node cut, by kind: ``generation`` or ``call``."""
    shed_connections: int = 0
    """New connections of callers that were closed unread."""
    first_token_latency: dict[str, LatencyHistogram] = field(default_factory=dict)
    answer_latency: dict[str, LatencyHistogram] = field(default_factory=dict)
    largest_event_gap: dict[str, LatencyHistogram] = field(default_factory=dict)

    def on_answered(self, kind: str, first_event_s: float, total_s: float, gap_s: float | None) -> None:
        """Count a request that got a complete answer; ``gap_s`` is a stream's largest pause, None for calls."""
        self.requests[(kind, "answered")] += 1
        self.attempts["answered"] += 1
        self.first_token_latency.setdefault(kind, LatencyHistogram()).observe(first_event_s)
        self.answer_latency.setdefault(kind, LatencyHistogram()).observe(total_s)
        if gap_s is not None:
            self.largest_event_gap.setdefault(kind, LatencyHistogram()).observe(gap_s)

    def on_refused(self, kind: str, outcome: str, code: str) -> None:
        """Count a request that was refused with an error of the router itself."""
        self.requests[(kind, outcome)] += 1
        self.refusals[code] += 1

    def ended_by_stop(self) -> dict[str, int]:
        """Return the requests that a planned stop refused as too late, and those that it cut, by kind."""
        cut = {f"cut_{kind}s": self.cut_by_stop[kind] for kind in ("generation", "call")}
        return {"refused": self.refusals[ConnectionEndedError.code], **cut}
