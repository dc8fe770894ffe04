"""What became of a trace's requests, by priority. Owns the counts, latencies and violations of one run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from wallwell.bench.latency import latency_histogram, percentile_s


@dataclass
class PriorityResult:
    """What became of one priority's requests."""

    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    first_token_us: HdrHistogram = field(default_factory=latency_histogram)
    between_tokens_us: HdrHistogram = field(default_factory=latency_histogram)

    def first_token_s(self, percentile: float) -> float:
        """Return a percentile of the first-token time."""
        return percentile_s(self.first_token_us, percentile)


@dataclass
class LoadResult:
    """What became of a trace."""

    priorities: dict[str, PriorityResult] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    """What a caller saw that must not happen: a cut stream, another request's tokens, a lost connection."""

    def of(self, priority: str) -> PriorityResult:
        """Return the result of one priority."""
        return self.priorities.setdefault(priority, PriorityResult())

    def outcomes(self) -> Counter[str]:
        """Outcomes of all requests."""
        total: Counter[str] = Counter()
        for result in self.priorities.values():
            total.update(result.outcomes)
        return total
