"""Which shared parts of prompts crash the back ends that begin an answer on them. Pure.

Requests that have such a part in common may otherwise be all different, so counting crashes by request
(:mod:`.quarantine`) finds nothing. A crash makes suspects of the shared parts of all runs at the back end that had
only just begun to write, or had not begun. Most of them are harmless and ran beside the cause. Four rules tell them
apart:

1. A part on which an answer was begun and went on, after a crash was known, is cleared of that crash.
2. A part is quarantined once back ends crashed under it in ``CRASHES_TO_QUARANTINE`` separate moments, by crashes
   that no part judged before it explains. Those with most crashes are judged first, then those that were not seen
   to work for longest. So a part is not blamed for what ran beside it, nor for back ends that stop in one moment,
   for a reason of their own, while all run a popular part.
3. A part with as many crashes in fewer moments is watched: once more back ends have crashed under it than are left,
   requests with it are sent one at a time, by each node in turn, until one is answered or proves the part bad.
4. A quarantine is tried out by single requests, at one node, after growing delays.

Every node decides by itself, from the same crashes; nodes learn of each other's by rows and reports
(``node/crash_watch.py``). Times are seconds on one node's clock, but for the moments of crashes, which are on the
store's: nodes that learn of old crashes all at once must still distinguish their moments.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass

import xxhash

from wallwell.routing.admission.part_trials import (
    WATCH_TURN_S,
    NodeTurn,
    QuarantinedPart,
    WatchedPart,
    count_failed_trials,
)

CRASHES_TO_QUARANTINE = 3
"""Back ends that must crash under a part before it is watched, and moments with such crashes before it is
quarantined. A harmless part is beside a crash often, beside three without any answer in between seldom."""
BEGINNING_S = 1.0
"""Seconds for which an answer counts as just begun. A part that crashes back ends does so as they begin to write,
so whatever has been written for longer was not the cause."""
SIMULTANEOUS_S = 0.1
"""Crashes within this time count as one moment. What ends many back ends at once does so within some ten
milliseconds; nodes read them, and the store's clock, a little apart."""
SUSPECT_S = 300.0
"""Seconds after its last crash for which a part stays a suspect."""
QUARANTINE_S = 600.0
"""Seconds that a quarantine lasts after the last crash."""
MAX_SUSPECT_PARTS = 1024
"""Suspects kept in memory; the oldest not in quarantine are removed first."""
MAX_WORKING_PARTS = 1024
"""Parts remembered that were seen to work, most recently used: enough for the ones that many requests share."""
MAX_PARTS_OF_REQUEST = 64
"""Parts of one request that are counted, from the first on; a request with more cannot fill the memory."""

PartCrash = tuple[str, str]
"""Digest of a part, and the start of the back end that crashed under it."""


def part_digest(identity: str) -> str:
    """Return the digest under which a part is counted, stored and logged; its length is bounded."""
    return xxhash.xxh3_64_hexdigest(identity.encode())


@dataclass(frozen=True)
class CrashTimes:
    """When this node learned of a crash, on its own clock, and when it happened, on the store's."""

    known_s: float
    happened_s: float


@dataclass(frozen=True)
class PartRefusal:
    """Why a request is refused: a quarantined part, and the seconds until its quarantine ends."""

    part: str
    remaining_s: float


def _only_node(_part: str) -> NodeTurn:
    return NodeTurn(0, 1)


class PartQuarantine:
    """Suspected and quarantined parts as one node knows them."""

    def __init__(self) -> None:
        self.on_quarantined: Callable[[QuarantinedPart], None] = lambda _quarantined: None
        """Called with each new quarantine."""
        self.on_released: Callable[[str], None] = lambda _part: None
        """Called with the digest of each part whose quarantine ended."""
        self.turn_of: Callable[[str], NodeTurn] = _only_node
        """Returns this node's place in the order in which nodes try out a part."""
        self._crashes: dict[str, dict[str, CrashTimes]] = {}
        """By part and start of the back end, in the order of learning."""
        self._worked_s: dict[str, float] = {}
        """When the last answer on a part was begun that went on; the least recently used part first."""
        self._quarantined: dict[str, QuarantinedPart] = {}
        self._watched: dict[str, WatchedPart] = {}
        self._is_decided = True
        """Whether ``_quarantined`` and ``_watched`` follow from all crashes that are known."""

    @property
    def suspect_count(self) -> int:
        """Number of parts with crashes that count, quarantined or not."""
        return len(self._crashes)

    def quarantined(self) -> Sequence[QuarantinedPart]:
        """Return the quarantined parts."""
        self._decide()
        return tuple(self._quarantined.values())

    # --- what was seen ---------------------------------------------------------------------------------

    def on_crash(self, part: str, start_id: str, now_s: float, happened_s: float) -> bool:
        """Count a crash of a back end under a part; returns False if it is known already."""
        crashes = self._crashes.setdefault(part, {})
        if start_id in crashes:
            return False
        crashes[start_id] = CrashTimes(now_s, happened_s)
        self._is_decided = False
        self._evict_suspects()
        return True

    def on_worked(self, parts: Iterable[str], began_s: float) -> list[PartCrash]:
        """Record that an answer on these parts was begun at ``began_s`` and went on; return the crashes that no
        longer count for that."""
        cleared: list[PartCrash] = []
        for part in parts:
            worked_s = max(began_s, self._worked_s.pop(part, began_s))
            self._worked_s[part] = worked_s
            crashes = self._crashes.get(part, {})
            cleared += [(part, start_id) for start_id, times in crashes.items() if times.known_s <= worked_s]
            self._is_decided &= not crashes
        while len(self._worked_s) > MAX_WORKING_PARTS:
            del self._worked_s[next(iter(self._worked_s))]
        for part, start_id in cleared:
            self.forget_crash(part, start_id)
        return cleared

    def forget_crash(self, part: str, start_id: str) -> None:
        """Remove one crash from a part's count."""
        crashes = self._crashes.get(part)
        if crashes is None or crashes.pop(start_id, None) is None:
            return
        self._is_decided = False
        if not crashes:
            del self._crashes[part]

    def remove_expired(self, now_s: float) -> list[PartCrash]:
        """Remove the crashes that have expired, and return them."""
        self._decide()
        expired = [
            (part, start_id)
            for part, crashes in self._crashes.items()
            if now_s >= self._expires_s(part)
            for start_id in crashes
        ]
        for part, start_id in expired:
            self.forget_crash(part, start_id)
        return expired

    def _expires_s(self, part: str) -> float:
        lifetime_s = QUARANTINE_S if part in self._quarantined else SUSPECT_S
        return max(times.known_s for times in self._crashes[part].values()) + lifetime_s

    def _evict_suspects(self) -> None:
        if len(self._crashes) <= MAX_SUSPECT_PARTS:
            return
        oldest = next((part for part in self._crashes if part not in self._quarantined), next(iter(self._crashes)))
        del self._crashes[oldest]

    def crashes(self) -> Iterator[PartCrash]:
        """Yield the crashes that count."""
        for part, crashes in self._crashes.items():
            for start_id in crashes:
                yield part, start_id

    def happened_s(self, part: str, start_id: str) -> float | None:
        """Return when a crash that counts against a part happened, on the store's clock; None if there is none."""
        times = self._crashes.get(part, {}).get(start_id)
        return times.happened_s if times is not None else None

    # --- what follows ----------------------------------------------------------------------------------

    def refusal(self, parts: Sequence[str], now_s: float, count_open: Callable[[], int]) -> PartRefusal | None:
        """Return why a request with these parts gets no back end; None if it may be sent.

        ``count_open`` returns how many back ends the request could be sent to.
        """
        if not self._crashes:
            return None
        self._decide()
        refused = [part for part in parts if part in self._quarantined]
        if refused:
            part = max(refused, key=self._expires_s)
            return PartRefusal(part, max(0.0, self._expires_s(part) - now_s))
        for part in parts:
            if part in self._watched and len(self._crashes[part]) > count_open():
                return PartRefusal(part, WATCH_TURN_S)
        return None

    def begin_trial(self, parts: Sequence[str], now_s: float) -> bool:
        """Whether a request that would be refused is sent as a trial; the next one is due much later.

        A quarantined part is tried by a request of which no other part is a suspect, so that its end shows
        something of one part alone.
        """
        quarantined = [part for part in parts if part in self._quarantined]
        suspects = [part for part in parts if part in self._crashes]
        if len(quarantined) > 1 or (quarantined and len(suspects) > 1):
            return False
        tried = [*quarantined, *(part for part in parts if part in self._watched)]
        if not tried:
            return False
        turn = self.turn_of(tried[0])
        decision = self._quarantined.get(tried[0]) or self._watched[tried[0]]
        if not decision.is_trial_due(now_s, turn):
            return False
        decision.on_trial(now_s)
        return True

    def _decide(self) -> None:
        """Bring the quarantined and the watched parts up to date with the crashes."""
        if self._is_decided:
            return
        self._is_decided = True
        quarantined: dict[str, QuarantinedPart] = {}
        watched: dict[str, WatchedPart] = {}
        for part, crashes in self._blamed_parts():
            if _count_moments(crashes) >= CRASHES_TO_QUARANTINE:
                quarantined[part] = self._quarantine(part)
            else:
                since_s = sorted(times.known_s for times in crashes.values())[CRASHES_TO_QUARANTINE - 1]
                watched[part] = self._watched.get(part) or WatchedPart(since_s)
        before, self._quarantined, self._watched = self._quarantined, quarantined, watched
        self._report_changes(before)

    def _blamed_parts(self) -> Iterator[tuple[str, dict[str, CrashTimes]]]:
        """Yield the parts with enough crashes that no part yielded before explains, with these crashes."""
        explained: set[str] = set()
        for part in self._order_of_judgement():
            crashes = {start: times for start, times in self._crashes[part].items() if start not in explained}
            if len(crashes) >= CRASHES_TO_QUARANTINE:
                explained.update(crashes)
                yield part, crashes

    def _report_changes(self, before: Collection[str]) -> None:
        for part, quarantined in self._quarantined.items():
            if part not in before:
                self.on_quarantined(quarantined)
        for part in before:
            if part not in self._quarantined:
                self.on_released(part)

    def _quarantine(self, part: str) -> QuarantinedPart:
        crashes = self._crashes[part]
        quarantined = QuarantinedPart(
            part,
            frozenset(crashes),
            max(times.known_s for times in crashes.values()),
            count_failed_trials(times.happened_s for times in crashes.values()),
        )
        known = self._quarantined.get(part)
        if known is not None:
            quarantined.own_trials, quarantined.tried_s = known.own_trials, known.tried_s
        return quarantined

    def _order_of_judgement(self) -> list[str]:
        candidates = [part for part, crashes in self._crashes.items() if len(crashes) >= CRASHES_TO_QUARANTINE]
        never = float("-inf")
        return sorted(
            candidates, key=lambda part: (-len(self._crashes[part]), self._worked_s.get(part, never), part)
        )


def _count_moments(crashes: dict[str, CrashTimes]) -> int:
    """Return the number of separate moments in which back ends crashed."""
    moments, moment_s = 0, float("-inf")
    for happened_s in sorted(times.happened_s for times in crashes.values()):
        if happened_s - moment_s >= SIMULTANEOUS_S:
            moments, moment_s = moments + 1, happened_s
    return moments
