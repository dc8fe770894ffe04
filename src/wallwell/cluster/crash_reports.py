"""Crashes that the store does not have yet, reported between nodes with their loads. Pure.

Nodes learn of crashes by the store's rows. While the store takes no writes, what each node has seen goes up to its
relay and down again, as loads do: relays report to each other what their members reported, and to their members
everything. So a request that crashes back ends is known to a region within some exchanges (0.05 s each) all the
same. Nothing is reported while the store takes writes.

Owns what was received recently. Relies on ``node/crash_watch.py`` for this node's own unwritten crashes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

Crash = tuple[str, str]
"""A request's content and the incarnation that ended under it."""
RELAYED_CRASH_LIFETIME_S = 2.0
"""Seconds for which a received crash is reported on: many exchanges, some of which fail. Who saw a crash reports it
until it is written."""
MAX_CRASHES_PER_MESSAGE = 32
"""Crashes in one message, some 2 KB; the newest first, since those of a request that goes on matter most."""


class CrashReports:
    """One node's part. Times are on its clock."""

    def __init__(
        self, unwritten_crashes: Callable[[], Sequence[Crash]], on_received: Callable[[Crash], None]
    ) -> None:
        """``unwritten_crashes`` gives what this node has seen and not written, newest first; ``on_received`` gets
        what is received."""
        self._unwritten_crashes = unwritten_crashes
        self._on_received = on_received
        self._from_members: dict[Crash, float] = {}
        self._from_relays: dict[Crash, float] = {}

    def receive_from_member(self, crashes: Iterable[Crash], now_s: float) -> None:
        """Take what a member reported to this relay."""
        self._receive(self._from_members, crashes, now_s)

    def receive_from_relay(self, crashes: Iterable[Crash], now_s: float) -> None:
        """Take what a relay reported, this node's own or another one."""
        self._receive(self._from_relays, crashes, now_s)

    def _receive(self, received_at_s: dict[Crash, float], crashes: Iterable[Crash], now_s: float) -> None:
        for crash in crashes:
            received_at_s[crash] = now_s
            self._on_received(crash)

    def crashes_for_own_relay(self) -> tuple[Crash, ...]:
        """Return what a member reports to its relay."""
        return tuple(self._unwritten_crashes()[:MAX_CRASHES_PER_MESSAGE])

    def crashes_for_other_relays(self, now_s: float) -> tuple[Crash, ...]:
        """Return what a relay reports to the others: nothing that it has from one of them, or it would circle
        forever."""
        return self._unwritten_and_recent((self._from_members,), now_s)

    def crashes_for_members(self, now_s: float) -> tuple[Crash, ...]:
        """Return what a relay reports to its members."""
        return self._unwritten_and_recent((self._from_members, self._from_relays), now_s)

    def _unwritten_and_recent(self, sources: Iterable[dict[Crash, float]], now_s: float) -> tuple[Crash, ...]:
        reported = dict.fromkeys(self._unwritten_crashes())
        for received_at_s in sources:
            for crash, at_s in list(received_at_s.items()):
                if now_s - at_s > RELAYED_CRASH_LIFETIME_S:
                    del received_at_s[crash]
                else:
                    reported[crash] = None
        return tuple(reported)[:MAX_CRASHES_PER_MESSAGE]
