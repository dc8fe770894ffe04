"""What nodes tell each other of requests under which back ends crashed. Pure.

A notice goes to every member of the region at once and again at growing intervals, so that lost datagrams and
members that start later are made up for; one member of each other region gets it too and tells its own. Crashes are
rare, so the datagrams are few: some ten for each member and crash, over five minutes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wallwell.standalone.cluster.messages import CrashNotice

FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 60.0
"""Pauses between two tellings double from the first to the longest."""
TOLD_FOR_S = 300.0
"""How long a notice is told again: as long as a crash counts against a request that is not quarantined."""
ANSWER_TOLD_FOR_S = 5.0
"""The same for a notice that a request was answered. Each telling clears it for half a minute, so that crashes
under it, if it has begun to cause them since, would not count for as long as it is told."""
MAX_TOLD = 256
"""Notices told again at a time; the oldest give way."""


@dataclass
class _Telling:
    begun_s: float
    due_s: float
    pause_s: float = FIRST_PAUSE_S


class CrashNotices:
    """One node's notices. Times are on its clock."""

    def __init__(self) -> None:
        self.listener: Callable[[str, str], None] = lambda content, life: None
        """Called with content and life of each notice that is heard; an empty life means that it was answered."""
        self._tellings: dict[tuple[str, str], _Telling] = {}

    def tell(self, content: str, life: str, now_s: float) -> None:
        """Tell of a crash of one life of a back end, or, without a life, that the request was answered."""
        if not life:
            self._tellings = {key: each for key, each in self._tellings.items() if key[0] != content}
        self._tellings.setdefault((content, life), _Telling(now_s, now_s))
        if len(self._tellings) > MAX_TOLD:
            del self._tellings[next(iter(self._tellings))]

    def due(self, now_s: float) -> list[CrashNotice]:
        """Return what is to be told now."""
        found = []
        for key, telling in list(self._tellings.items()):
            told_for_s = TOLD_FOR_S if key[1] else ANSWER_TOLD_FOR_S
            if now_s - telling.begun_s > told_for_s:
                del self._tellings[key]
            elif now_s >= telling.due_s:
                found.append(CrashNotice(*key))
                telling.due_s = now_s + telling.pause_s
                telling.pause_s = min(LONGEST_PAUSE_S, 2 * telling.pause_s)
        return found

    def hear(self, notice: CrashNotice, now_s: float) -> None:
        """Take a notice; one from another region is told in this one."""
        self.listener(notice.content, notice.life)
        if notice.to_region and (notice.content, notice.life) not in self._tellings:
            self.tell(notice.content, notice.life, now_s)
