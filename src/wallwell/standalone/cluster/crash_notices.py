"""Announcements between routers of requests under which back ends crashed. Pure.

A notice goes to every member of the region at once and again at growing intervals, so that lost datagrams and
members that start later are made up for; one member of each other region gets it too and announces it there.
Each member and crash costs ten datagrams over five minutes: pauses double from a second to a minute.

Owns the notices that this node announces; what a notice means is decided by its listener.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wallwell.standalone.cluster.messages import CrashNotice

FIRST_PAUSE_S = 1.0
"""Seconds before a notice is sent to the other members again; the pause doubles from there."""
LONGEST_PAUSE_S = 60.0
"""Seconds up to which the pause between two announcements doubles."""
ANNOUNCED_FOR_S = 300.0
"""Seconds for which a notice is announced again: as long as a crash counts against a request that is not
quarantined."""
ANSWER_ANNOUNCED_FOR_S = 5.0
"""The same, in seconds, for a notice that a request was answered. Each announcement clears the request for half a
minute, so crashes that it causes later would not count for as long as it is announced."""
MAX_ANNOUNCED = 256
"""Notices announced at a time; the oldest is dropped for a new one."""


@dataclass
class _Announcement:
    begun_s: float
    due_s: float
    pause_s: float = FIRST_PAUSE_S


class CrashNotices:
    """One node's notices. Times are on its clock."""

    def __init__(self) -> None:
        self.listener: Callable[[str, str], None] = lambda content, life: None
        """Called with content and life of each notice received; an empty life means that it was answered."""
        self._announcements: dict[tuple[str, str], _Announcement] = {}

    def announce(self, content: str, life: str, now_s: float) -> None:
        """Announce a crash of one life of a back end, or, without a life, that the request was answered."""
        if not life:
            self._announcements = {key: each for key, each in self._announcements.items() if key[0] != content}
        self._announcements.setdefault((content, life), _Announcement(now_s, now_s))
        if len(self._announcements) > MAX_ANNOUNCED:
            del self._announcements[next(iter(self._announcements))]

    def due(self, now_s: float) -> list[CrashNotice]:
        """Return the notices to send now."""
        found = []
        for key, announcement in list(self._announcements.items()):
            announced_for_s = ANNOUNCED_FOR_S if key[1] else ANSWER_ANNOUNCED_FOR_S
            if now_s - announcement.begun_s > announced_for_s:
                del self._announcements[key]
            elif now_s >= announcement.due_s:
                found.append(CrashNotice(*key))
                announcement.due_s = now_s + announcement.pause_s
                announcement.pause_s = min(LONGEST_PAUSE_S, 2 * announcement.pause_s)
        return found

    def receive(self, notice: CrashNotice, now_s: float) -> None:
        """Take a notice; one from another region is announced in this one."""
        self.listener(notice.content, notice.life)
        if notice.to_region and (notice.content, notice.life) not in self._announcements:
            self.announce(notice.content, notice.life, now_s)
