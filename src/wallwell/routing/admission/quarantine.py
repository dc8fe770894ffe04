"""Which requests crash the back ends that run them, so that they get no back end any more. Pure.

A request is known by the digest of its content (``request_content``), since it comes again under other ids at other
nodes. A crash makes suspects of all requests that the back end was running, most of which are harmless. Three rules
tell them apart:

1. A request answered with success anywhere is cleared, also of crashes in the next ``CLEARED_S``.
2. One that is left with crashes of ``CRASHES_TO_QUARANTINE`` different back ends is quarantined until
   ``QUARANTINE_S`` after its last crash. It is refused unsent before each attempt, with the time that is left.
3. A suspect that is not quarantined is forgotten ``SUSPECT_S`` after its last crash.

Every node counts by itself, from its own attempts and from the rows and reports of other nodes
(``node/crash_watch.py``, ``cluster/crash_count.py``); nothing here is agreed on, so nodes may differ for a moment.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

CRASHES_TO_QUARANTINE = 3
"""Crashed back ends after which a request gets none.

Arithmetic: where every engine goes down once in 10 s, a stream of 2 s meets an end by chance one time in 5. Two in
a row are one in 25 and too many to refuse, three one in 125."""
SUSPECT_S = 300.0
"""Seconds that a crash counts against a request that is not quarantined.

A request that is sent again less often than every five minutes crashes few back ends."""
QUARANTINE_S = 600.0
"""Seconds that a quarantine lasts from its last crash.

After it the request may crash three back ends again, so it loses the fleet three of them each ten minutes at most,
and a harmless one that was quarantined by chance is served again."""
CLEARANCE_S = 30.0
"""Seconds for which an answer clears a request beforehand.

Many back ends can end at once under a request that many callers send, and within this time some of these callers
have been answered."""
MAX_CLEARED_REQUESTS = 2048
"""Answered requests remembered. Arithmetic: 30 s of 68 requests a second, some ten times what a node serves."""
MAX_SUSPECTS = 4096
"""Suspects remembered, 1.9 MB as measured by allocations; the oldest that are not quarantined are dropped first."""


@dataclass
class Suspect:
    """The back ends that crashed under a request. Times are on this node's clock."""

    crashed_incarnations: set[str] = field(default_factory=set)
    """Their incarnations."""
    last_crash_s: float = float("-inf")
    """When this node learnt of the last of them."""

    @property
    def is_quarantined(self) -> bool:
        """Whether it has crashed enough of them."""
        return len(self.crashed_incarnations) >= CRASHES_TO_QUARANTINE

    @property
    def expires_s(self) -> float:
        """Until when the crashes count."""
        return self.last_crash_s + (QUARANTINE_S if self.is_quarantined else SUSPECT_S)


class Quarantine:
    """What one node knows of requests that crash back ends, from its own attempts and from other nodes."""

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}
        """By content, in the order of their first crashes."""
        self._cleared: dict[str, float] = {}
        """When a content was answered last, in that order."""
        self._quarantined_count = 0

    @property
    def quarantined_count(self) -> int:
        """Requests that get no back end."""
        return self._quarantined_count

    @property
    def suspect_count(self) -> int:
        """Requests under which a back end has crashed, quarantined or not."""
        return len(self._suspects)

    def remaining_s(self, content: str, now_s: float) -> float:
        """Return how much longer a request gets no back end; 0 if it may go to one."""
        suspect = self._suspects.get(content)
        if suspect is None or not suspect.is_quarantined:
            return 0.0
        return max(0.0, suspect.expires_s - now_s)

    def is_cleared(self, content: str, now_s: float) -> bool:
        """Whether a request was answered lately, so that a crash beside it says nothing against it."""
        answered_s = self._cleared.get(content)
        return answered_s is not None and now_s - answered_s < CLEARANCE_S

    def on_crash(self, content: str, incarnation: str, now_s: float) -> bool:
        """A back end crashed while it ran a request; returns False if that was known or says nothing."""
        if self.is_cleared(content, now_s):
            return False
        suspect = self._suspects.setdefault(content, Suspect())
        if incarnation in suspect.crashed_incarnations:
            return False
        was_quarantined = suspect.is_quarantined
        suspect.crashed_incarnations.add(incarnation)
        suspect.last_crash_s = now_s
        self._quarantined_count += suspect.is_quarantined - was_quarantined
        self._evict_suspects()
        return True

    def on_answered(self, content: str, now_s: float) -> tuple[str, ...]:
        """A request was answered with success; returns the crashes that no longer count against it."""
        self._cleared.pop(content, None)
        self._cleared[content] = now_s
        self._evict_cleared(now_s)
        suspect = self._remove_suspect(content)
        return tuple(suspect.crashed_incarnations) if suspect is not None else ()

    def forget_crash(self, content: str, incarnation: str) -> None:
        """A crash counts no longer against a request."""
        suspect = self._suspects.get(content)
        if suspect is None or incarnation not in suspect.crashed_incarnations:
            return
        self._quarantined_count -= suspect.is_quarantined
        suspect.crashed_incarnations.discard(incarnation)
        self._quarantined_count += suspect.is_quarantined
        if not suspect.crashed_incarnations:
            del self._suspects[content]

    def expired_crashes(self, now_s: float) -> Iterator[tuple[str, str]]:
        """Yield the crashes whose time is over, as content and incarnation."""
        for content, suspect in self._suspects.items():
            if now_s >= suspect.expires_s:
                for incarnation in suspect.crashed_incarnations:
                    yield content, incarnation

    def remove_expired(self, now_s: float) -> list[tuple[str, str]]:
        """Forget the crashes whose time is over and return them."""
        expired = list(self.expired_crashes(now_s))
        for content, incarnation in expired:
            self.forget_crash(content, incarnation)
        return expired

    def _remove_suspect(self, content: str) -> Suspect | None:
        suspect = self._suspects.pop(content, None)
        if suspect is not None:
            self._quarantined_count -= suspect.is_quarantined
        return suspect

    def _evict_suspects(self) -> None:
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        oldest = next((content for content, suspect in self._suspects.items() if not suspect.is_quarantined), None)
        self._remove_suspect(oldest if oldest is not None else next(iter(self._suspects)))

    def _evict_cleared(self, now_s: float) -> None:
        while self._cleared:
            oldest = next(iter(self._cleared))
            if len(self._cleared) <= MAX_CLEARED_REQUESTS and now_s - self._cleared[oldest] < CLEARANCE_S:
                return
            del self._cleared[oldest]
