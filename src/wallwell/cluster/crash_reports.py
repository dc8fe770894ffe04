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
RELAYED_FOR_S = 2.0
"""Seconds for which a received crash is reported on: many exchanges, some of which fail. Who saw a crash reports it
until it is written."""
MAX_REPORTED = 32
"""Crashes in one message, some 2 KB; the newest first, since those of a request that goes on matter most."""


class CrashReports:
    """One node's part. Times are on its clock."""

    def __init__(self, own: Callable[[], Sequence[Crash]], listener: Callable[[Crash], None]) -> None:
        """``own`` gives what this node has seen and not written, newest first; ``listener`` gets what is
        received."""
        self._own = own
        self._listener = listener
        self._from_members: dict[Crash, float] = {}
        self._from_relays: dict[Crash, float] = {}

    def receive_from_member(self, crashes: Iterable[Crash], now_s: float) -> None:
        """Take what a member reported to this relay."""
        self._receive(self._from_members, crashes, now_s)

    def receive_from_relay(self, crashes: Iterable[Crash], now_s: float) -> None:
        """Take what a relay reported, this node's own or another one."""
        self._receive(self._from_relays, crashes, now_s)

    def _receive(self, known: dict[Crash, float], crashes: Iterable[Crash], now_s: float) -> None:
        for crash in crashes:
            known[crash] = now_s
            self._listener(crash)

    def for_relay(self) -> tuple[Crash, ...]:
        """Return what a member reports to its relay."""
        return tuple(self._own()[:MAX_REPORTED])

    def for_relays(self, now_s: float) -> tuple[Crash, ...]:
        """Return what a relay reports to the others: nothing that it has from one of them, or it would circle
        forever."""
        return self._bounded((self._from_members,), now_s)

    def for_members(self, now_s: float) -> tuple[Crash, ...]:
        """Return what a relay reports to its members."""
        return self._bounded((self._from_members, self._from_relays), now_s)

    def _bounded(self, sources: Iterable[dict[Crash, float]], now_s: float) -> tuple[Crash, ...]:
        reported = dict.fromkeys(self._own())
        for known in sources:
            for crash, received_s in list(known.items()):
                if now_s - received_s > RELAYED_FOR_S:
                    del known[crash]
                else:
                    reported[crash] = None
        return tuple(reported)[:MAX_REPORTED]
