"""Notices by which routers tell each other which requests crashed back ends. Does no I/O.

A notice is sent to every member of the region at once and resent at growing intervals, to reach members that lost a
datagram or started later. One member of each other region receives it too and announces it there. Per crash, each
member is sent ten datagrams over five minutes: the interval doubles from a second to a minute.

Keeps the notices that this node announces; the listener decides what to do with a received notice.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wallwell.standalone.cluster.messages import CrashNotice

MIN_RESEND_INTERVAL_S = 1.0
"""Seconds until a notice is first resent; the interval doubles with each resend."""
MAX_RESEND_INTERVAL_S = 60.0
"""Maximum seconds between two resends of a notice."""
CRASH_RESEND_DURATION_S = 300.0
"""Seconds for which a notice of a crash is resent: as long as a crash counts against a request that is not
quarantined."""
ANSWER_RESEND_DURATION_S = 5.0
"""Seconds for which a notice that a request was answered is resent. Short, since each such notice clears the
request for half a minute: crashes that it causes meanwhile are not counted."""
MAX_ANNOUNCEMENTS = 256
"""Maximum notices announced at a time; a new one replaces the oldest."""


@dataclass
class _Announcement:
    started_s: float
    next_send_s: float
    resend_interval_s: float = MIN_RESEND_INTERVAL_S


class CrashNotices:
    """The crash notices that one node sends and receives. Times are in seconds on the caller's clock."""

    def __init__(self) -> None:
        self.listener: Callable[[str, str], None] = lambda content_digest, incarnation: None
        """Called with content digest and incarnation of each received notice; the incarnation is empty if the
        request was answered."""
        self._announcements: dict[tuple[str, str], _Announcement] = {}

    def announce(self, content_digest: str, incarnation: str, now_s: float) -> None:
        """Announce that an incarnation of a back end crashed or, if it is empty, that the request was answered."""
        if not incarnation:
            self._announcements = {k: v for k, v in self._announcements.items() if k[0] != content_digest}
        self._announcements.setdefault((content_digest, incarnation), _Announcement(now_s, now_s))
        if len(self._announcements) > MAX_ANNOUNCEMENTS:
            del self._announcements[next(iter(self._announcements))]

    def collect_due(self, now_s: float) -> list[CrashNotice]:
        """Return the notices to send now and schedule their next resend."""
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
        """Pass a received notice to the listener; announce a notice from another region in this region."""
        self.listener(notice.content, notice.life)
        if notice.to_region and (notice.content, notice.life) not in self._announcements:
            self.announce(notice.content, notice.life, now_s)
