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

MIN_RESEND_INTERVAL_S = 1.0
"""Seconds before a notice is sent to the other members again; the pause doubles from there."""
MAX_RESEND_INTERVAL_S = 60.0
"""Seconds up to which the pause between two announcements doubles."""
CRASH_RESEND_DURATION_S = 300.0
"""Seconds for which a notice is announced again: as long as a crash counts against a request that is not
quarantined."""
ANSWER_RESEND_DURATION_S = 5.0
"""The same, in seconds, for a notice that a request was answered. Each announcement clears the request for half a
minute, so crashes that it causes later would not count for as long as it is announced."""
MAX_ANNOUNCEMENTS = 256
"""Notices announced at a time; the oldest is dropped for a new one."""


@dataclass
class _Announcement:
    started_s: float
    next_send_s: float
    resend_interval_s: float = MIN_RESEND_INTERVAL_S


class CrashNotices:
    """One node's notices. Times are on its clock."""

    def __init__(self) -> None:
        self.listener: Callable[[str, str], None] = lambda content_digest, incarnation: None
        """Called with content digest and incarnation of each received notice; the incarnation is empty if the
        request was answered."""
        self._announcements: dict[tuple[str, str], _Announcement] = {}

    def announce(self, content_digest: str, incarnation: str, now_s: float) -> None:
        """Announce that an incarnation of a back end crashed or, if it is empty, that the request was answered."""
        if not incarnation:
            self._announcements = {
                key: each for key, each in self._announcements.items() if key[0] != content_digest
            }
        self._announcements.setdefault((content_digest, incarnation), _Announcement(now_s, now_s))
        if len(self._announcements) > MAX_ANNOUNCEMENTS:
            del self._announcements[next(iter(self._announcements))]

    def collect_due(self, now_s: float) -> list[CrashNotice]:
        """Return the notices to send now."""
        found = []
        for key, announcement in list(self._announcements.items()):
            resend_duration_s = CRASH_RESEND_DURATION_S if key[1] else ANSWER_RESEND_DURATION_S
            if now_s - announcement.started_s > resend_duration_s:
                del self._announcements[key]
            elif now_s >= announcement.next_send_s:
                found.append(CrashNotice(*key))
                announcement.next_send_s = now_s + announcement.resend_interval_s
                announcement.resend_interval_s = min(MAX_RESEND_INTERVAL_S, 2 * announcement.resend_interval_s)
        return found

    def on_notice(self, notice: CrashNotice, now_s: float) -> None:
        """Take a notice; one from another region is announced in this one."""
        self.listener(notice.content, notice.life)
        if notice.to_region and (notice.content, notice.life) not in self._announcements:
            self.announce(notice.content, notice.life, now_s)
