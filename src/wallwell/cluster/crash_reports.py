"""Reports crashes that are not in the store yet between nodes, along with their loads. Pure.

Nodes normally learn of crashes from rows of the store. While the store accepts no writes, each node reports the
crashes that it detected to its relay. Relays report their members' crashes to each other, and all crashes to their
members. A request that crashes back ends is thus known to a whole region within a few exchanges (0.05 s each) even
then. Nothing is reported while the store accepts writes.

Owns the crashes received recently. Relies on ``node/crash_watch.py`` for this node's own unwritten crashes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from itertools import chain, repeat

Crash = tuple[str, str]
"""Subject of a crash (a request by its content, or a part of prompts), and the start of the crashed back end."""
RELAYED_CRASH_LIFETIME_S = 2.0
"""Seconds for which a received crash is forwarded: many exchanges, since some of them fail. The node that detected
a crash reports it until it is written to the store."""
MAX_CRASHES_PER_MESSAGE = 32
"""Crashes in one message, about 2 KB; newest first, since a request that is still causing crashes matters most."""


def _no_age(_crash: Crash) -> float:
    return 0.0


class CrashReports:
    """Crashes that one node has received from its peers and reports to them. Times are seconds on its clock."""

    def __init__(
        self,
        unwritten: Callable[[], Sequence[Crash]],
        on_received: Callable[[Crash, float], None],
        age_s: Callable[[Crash], float] = _no_age,
    ) -> None:
        """``unwritten`` returns the crashes that this node has detected and not written to the store yet,
        newest first; ``on_received`` is called with each received crash and the seconds since it happened, which
        ``age_s`` returns of each crash that this node counts, 0 if they do not matter."""
        self._unwritten = unwritten
        self._on_received = on_received
        self._age_s = age_s
        self._from_members: dict[Crash, float] = {}
        self._from_relays: dict[Crash, float] = {}

    def on_member_report(self, crashes: Sequence[Crash], now_s: float, ages_s: Sequence[float] = ()) -> None:
        """Handle crashes that a member reported to this relay, and the seconds since they happened."""
        self._receive(self._from_members, crashes, ages_s, now_s)

    def on_relay_report(self, crashes: Sequence[Crash], now_s: float, ages_s: Sequence[float] = ()) -> None:
        """Handle crashes reported by a relay: the one that this node reports to, or another relay."""
        self._receive(self._from_relays, crashes, ages_s, now_s)

    def _receive(
        self, received_at_s: dict[Crash, float], crashes: Sequence[Crash], ages_s: Sequence[float], now_s: float
    ) -> None:
        """Handle received crashes; those without an age, as nodes of earlier versions send them, are new."""
        for crash, age_s in zip(crashes, chain(ages_s, repeat(0.0)), strict=False):
            received_at_s[crash] = now_s
            self._on_received(crash, age_s)

    def ages_s(self, crashes: Iterable[Crash]) -> tuple[float, ...]:
        """Return the seconds since each of these crashes happened; empty if none of them matters."""
        ages_s = tuple(round(self._age_s(crash), 3) for crash in crashes)
        return ages_s if any(ages_s) else ()

    def crashes_for_own_relay(self) -> tuple[Crash, ...]:
        """Return the crashes that this node reports to its relay as a member."""
        return tuple(self._unwritten()[:MAX_CRASHES_PER_MESSAGE])

    def crashes_for_other_relays(self, now_s: float) -> tuple[Crash, ...]:
        """Return the crashes that this relay reports to other relays. Crashes received from another relay are left
        out, since relays would otherwise send them back and forth forever."""
        return self._unwritten_and_recent((self._from_members,), now_s)

    def crashes_for_members(self, now_s: float) -> tuple[Crash, ...]:
        """Return the crashes that this relay reports to its members."""
        return self._unwritten_and_recent((self._from_members, self._from_relays), now_s)

    def _unwritten_and_recent(self, sources: Iterable[dict[Crash, float]], now_s: float) -> tuple[Crash, ...]:
        reported = dict.fromkeys(self._unwritten())
        for received_at_s in sources:
            for crash, at_s in list(received_at_s.items()):
                if now_s - at_s > RELAYED_CRASH_LIFETIME_S:
                    del received_at_s[crash]
                else:
                    reported[crash] = None
        return tuple(reported)[:MAX_CRASHES_PER_MESSAGE]
