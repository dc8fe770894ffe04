"""Which requests crash the back ends that run them, so that they are no longer sent to any back end. Pure.

A request is identified by the digest of its content (``request_content``), since callers send it again to other
nodes under other ids. A crash makes suspects of all requests that the back end was running, most of which are
harmless. Three rules tell them apart:

1. A request that any back end answered successfully is cleared, also of crashes in the next ``CLEARANCE_S``.
2. A request with crashes of ``CRASHES_TO_QUARANTINE`` different back ends is quarantined until ``QUARANTINE_S``
   after its last crash. It is refused before each attempt, with the remaining time, and not sent.
3. A suspect that is not quarantined is removed ``SUSPECT_S`` after its last crash.

Every node counts by itself, from its own attempts and from the rows and reports of other nodes
(``node/crash_watch.py``, ``cluster/crash_count.py``). Nodes do not agree on the counts, so they may differ briefly.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

CRASHES_TO_QUARANTINE = 3
"""Different back ends that must crash under a request before it is quarantined.

If every engine stops once in 10 s, a stream of 2 s is interrupted by chance 1 time in 5. Two interruptions in a row
have a chance of 1 in 25, too high to refuse such requests; three have a chance of 1 in 125."""
SUSPECT_S = 300.0
"""Seconds for which a crash counts against a request that is not quarantined.

A request that is repeated less often than every five minutes crashes few back ends."""
QUARANTINE_S = 600.0
"""Seconds that a quarantine lasts after its last crash.

Afterwards the request may crash three back ends again, so it costs the fleet at most three every ten minutes, and a
harmless request that was quarantined by chance is served again."""
CLEARANCE_S = 30.0
"""Seconds after a successful answer during which crashes do not count against the request.

Many back ends can stop at once while they run a request that many callers send. Within this time, some of these
callers have been answered."""
MAX_CLEARED_REQUESTS = 2048
"""Answered requests kept in memory: 30 s at 68 requests per second, about ten times the rate of one node."""
MAX_SUSPECTS = 4096
"""Suspects kept in memory, 1.9 MB by measured allocations; the oldest not in quarantine are removed first."""


@dataclass
class Suspect:
    """The back ends that crashed while they ran one request. Times are on this node's clock."""

    crashed_incarnations: set[str] = field(default_factory=set)
    """Incarnations of these back ends."""
    last_crash_s: float = float("-inf")
    """When this node was informed of the last crash."""

    @property
    def is_quarantined(self) -> bool:
        """Whether enough back ends crashed for a quarantine."""
        return len(self.crashed_incarnations) >= CRASHES_TO_QUARANTINE

    @property
    def expires_s(self) -> float:
        """Time at which the crashes stop counting."""
        return self.last_crash_s + (QUARANTINE_S if self.is_quarantined else SUSPECT_S)


class Quarantine:
    """Suspected and quarantined requests on one node, from its own attempts and from other nodes' reports."""

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}
        """By content digest, in the order of their first crashes."""
        self._cleared: dict[str, float] = {}
        """Time of the last successful answer by content digest, in that order."""
        self._quarantined_count = 0

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined requests."""
        return self._quarantined_count

    @property
    def suspect_count(self) -> int:
        """Number of requests with crashes that count, quarantined or not."""
        return len(self._suspects)

    def remaining_s(self, content_digest: str, now_s: float) -> float:
        """Return for how many more seconds a request is quarantined; 0 if it is not."""
        suspect = self._suspects.get(content_digest)
        if suspect is None or not suspect.is_quarantined:
            return 0.0
        return max(0.0, suspect.expires_s - now_s)

    def is_cleared(self, content_digest: str, now_s: float) -> bool:
        """Whether a request was answered so recently that a crash does not count against it."""
        answered_s = self._cleared.get(content_digest)
        return answered_s is not None and now_s - answered_s < CLEARANCE_S

    def on_crash(self, content_digest: str, incarnation: str, now_s: float) -> bool:
        """Count a crash of a back end that ran a request; returns False if it is a duplicate or does not count."""
        if self.is_cleared(content_digest, now_s):
            return False
        suspect = self._suspects.setdefault(content_digest, Suspect())
        if incarnation in suspect.crashed_incarnations:
            return False
        was_quarantined = suspect.is_quarantined
        suspect.crashed_incarnations.add(incarnation)
        suspect.last_crash_s = now_s
        self._quarantined_count += suspect.is_quarantined - was_quarantined
        self._evict_suspects()
        return True

    def on_answered(self, content_digest: str, now_s: float) -> tuple[str, ...]:
        """Clear a request that was answered successfully; returns the incarnations whose crashes counted."""
        self._cleared.pop(content_digest, None)
        self._cleared[content_digest] = now_s
        self._evict_cleared(now_s)
        suspect = self._remove_suspect(content_digest)
        return tuple(suspect.crashed_incarnations) if suspect is not None else ()

    def forget_crash(self, content_digest: str, incarnation: str) -> None:
        """Remove one crash from a request's count."""
        suspect = self._suspects.get(content_digest)
        if suspect is None or incarnation not in suspect.crashed_incarnations:
            return
        self._quarantined_count -= suspect.is_quarantined
        suspect.crashed_incarnations.discard(incarnation)
        self._quarantined_count += suspect.is_quarantined
        if not suspect.crashed_incarnations:
            del self._suspects[content_digest]

    def crashes(self) -> Iterator[tuple[str, str]]:
        """Yield the crashes that count, as content digest and incarnation."""
        for content_digest, suspect in self._suspects.items():
            for incarnation in suspect.crashed_incarnations:
                yield content_digest, incarnation

    def expired_crashes(self, now_s: float) -> Iterator[tuple[str, str]]:
        """Yield the crashes that have expired, as content digest and incarnation."""
        for content_digest, suspect in self._suspects.items():
            if now_s >= suspect.expires_s:
                for incarnation in suspect.crashed_incarnations:
                    yield content_digest, incarnation

    def remove_expired(self, now_s: float) -> list[tuple[str, str]]:
        """Remove the crashes that have expired and return them, as content digest and incarnation."""
        expired = list(self.expired_crashes(now_s))
        for content_digest, incarnation in expired:
            self.forget_crash(content_digest, incarnation)
        return expired

    def _remove_suspect(self, content_digest: str) -> Suspect | None:
        suspect = self._suspects.pop(content_digest, None)
        if suspect is not None:
            self._quarantined_count -= suspect.is_quarantined
        return suspect

    def _evict_suspects(self) -> None:
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        oldest = next((digest for digest, suspect in self._suspects.items() if not suspect.is_quarantined), None)
        self._remove_suspect(oldest if oldest is not None else next(iter(self._suspects)))

    def _evict_cleared(self, now_s: float) -> None:
        while self._cleared:
            oldest = next(iter(self._cleared))
            if len(self._cleared) <= MAX_CLEARED_REQUESTS and now_s - self._cleared[oldest] < CLEARANCE_S:
                return
            del self._cleared[oldest]
