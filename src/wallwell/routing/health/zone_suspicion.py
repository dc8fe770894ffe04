"""Decides when all back ends of a zone that is cut off from this node are suspended, and when they return. Pure.

Inputs are connect timeouts and answers of the back ends of a zone, the listed back ends, the time in seconds on
this node's clock, and a random generator. Anything that a back end's machine sends is an answer here, even the
refusal of a connection.

Connections into a zone that is cut off time out, while those to a crashed process are refused. Each back end tried
there costs a request the full connect timeout. So after timeouts of a few back ends of a zone, without an answer
from the zone in between, another one is probed with a new connection. If the probe times out as well, all back ends
of the zone are suspended. One of them is probed at intervals, and all return with the first answer of any. A node
in the zone that is cut off does the same for each of the other zones.

In a simulation of four zones with seven back ends each and 25 calls per second, 6 connections timed out before the
zone was suspected, the last 0.56 s after the first. For a node that was cut off from three zones, 18 timed out
within 0.64 s. All calls were answered. If only single back ends were suspended, each would cost each node a
timed-out request repeatedly, and the last ones would return up to 4 s after the end of the cut.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wallwell.routing.health.backend import Backend

TIMEOUTS_TO_PROBE = 2
"""Back ends of a zone that timed out, with no answer from the zone in between, from which another one is probed. A
single timeout may be due to a lost packet."""
TIMEOUTS_TO_SUSPECT = 3
"""Back ends of a zone that timed out, with no answer in between, from which the whole zone is suspected. Three that
lose power at once look the same, but then the next answer of another one in the zone ends the suspicion."""
TIMEOUT_WINDOW_S = 2.0
"""Seconds for which a timeout counts; a node with few requests tries a back end every few tenths of a second."""
ZONE_PROBE_INTERVAL_S = 0.5
"""Seconds between two probes of a zone. Shorter notices its return earlier, longer saves futile connections."""
ZONE_SUSPENSION_S = 1.5
"""Seconds for which the back ends of a suspected zone are suspended after a timeout; longer than until the next
probe times out."""
RETURN_JITTER_S = 0.3
"""Seconds over which the return of a zone's back ends is spread, so that requests do not all go there while the
zone looks idle. A node gets the loads from other nodes after 0.05 to 0.2 s."""


@dataclass
class _ZoneState:
    """Timeouts and probes of a zone since the last answer from it."""

    timed_out_at_s: dict[str, float] = field(default_factory=dict)
    """When a connection to each back end of the zone last timed out, by incarnation."""
    suspected: bool = False
    probed_at_s: float = float("-inf")

    def recent_timeouts(self, now_s: float) -> dict[str, float]:
        """Return the timeouts within the window, by incarnation."""
        return {each: at_s for each, at_s in self.timed_out_at_s.items() if now_s - at_s < TIMEOUT_WINDOW_S}

    def note_timeout(self, incarnation: str, now_s: float) -> bool:
        """Record a timeout; returns True if the zone becomes suspected by it."""
        self.timed_out_at_s = self.recent_timeouts(now_s)
        self.timed_out_at_s[incarnation] = now_s
        if self.suspected or len(self.timed_out_at_s) < TIMEOUTS_TO_SUSPECT:
            return False
        self.suspected = True
        return True

    def is_probe_due(self, now_s: float) -> bool:
        """Whether a back end of the zone should be probed now."""
        if now_s - self.probed_at_s < ZONE_PROBE_INTERVAL_S:
            return False
        return self.suspected or len(self.recent_timeouts(now_s)) >= TIMEOUTS_TO_PROBE

    def probe_candidates(self, not_leaving: list[Backend], now_s: float) -> list[Backend]:
        """Return the back ends of the zone one of which should be probed, out of those that are not leaving. Back
        ends without a recent timeout are preferred, since those that timed out may have lost power."""
        recent = self.recent_timeouts(now_s)
        others = [each for each in not_leaving if each.incarnation not in recent]
        return others or (not_leaving if self.suspected else [])


class ZoneSuspicion:
    """The zones that one node suspects to be cut off. Acts only by suspending their back ends."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._zones: dict[str, _ZoneState] = {}
        """Zones into which a connection has timed out since their last answer."""
        self.on_zone_returned: Callable[[str], None] = lambda zone: None
        """Called with the name of a suspected zone when one of its back ends answers."""

    def on_connect_timeout(self, backend: Backend, listed: Iterable[Backend], now_s: float) -> bool:
        """Record that a connection to a back end timed out; returns True if its zone becomes suspected by it."""
        zone_name = backend.record.zone
        if not zone_name:
            return False  # Back ends without a zone need not be near each other.
        state = self._zones.setdefault(zone_name, _ZoneState())
        is_newly_suspected = state.note_timeout(backend.incarnation, now_s)
        if state.suspected:
            for each in listed:
                if each.record.zone == zone_name:
                    each.suspend_at_least_until(now_s + ZONE_SUSPENSION_S)
        return is_newly_suspected

    def on_answer(self, backend: Backend, listed: Iterable[Backend], now_s: float) -> bool:
        """Record an answer of a back end or its machine; returns True if its zone was suspected."""
        zone_name = backend.record.zone
        state = self._zones.pop(zone_name, None)
        if state is None or not state.suspected:
            return False
        for each in listed:
            if each.record.zone == zone_name:
                delay_s = 0.0 if each is backend else self._rng.uniform(0.0, RETURN_JITTER_S)
                each.reset_failures(now_s + delay_s)
        self.on_zone_returned(zone_name)
        return True

    def begin_probes(self, listed: Iterable[Backend], now_s: float) -> list[Backend]:
        """Return the back ends to probe now, at most one per zone, and record the probes of their zones."""
        if not self._zones:
            return []
        due = {zone_name: state for zone_name, state in self._zones.items() if state.is_probe_due(now_s)}
        probed = []
        for zone_name, state in due.items():
            not_leaving = [each for each in listed if each.record.zone == zone_name and not each.is_leaving(now_s)]
            candidates = state.probe_candidates(not_leaving, now_s)
            if candidates:
                state.probed_at_s = now_s
                probed.append(self._rng.choice(candidates))
        return probed
