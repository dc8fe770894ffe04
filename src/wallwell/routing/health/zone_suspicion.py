"""Decides when a whole zone is left out since it is cut off from this node, and when it is taken back. Pure.

Inputs are connections into a zone that timed out, signs of life of its back ends, the listed back ends, the time in
seconds on this node's clock, and a generator of random numbers.

Connections into a zone that is cut off time out, where those to a crashed process are refused. Each back end tried
there costs a request the whole time-out of a connection. So after a few time-outs without a sign of life from the
zone between them, one more back end is probed with a new connection, and if that times out as well, all others of
the zone are suspended. One of them is probed from time to time, and all return with the first sign of life of any.
For a node inside the cut the same holds for each of the other zones.

In a model of four zones of seven back ends and 25 calls a second, 6 connections timed out before a zone was
suspected, the last 0.56 s after the first, and 18 within 0.64 s for a node that was cut off from three zones; all
calls were answered. With suspensions of each back end alone, each costs each node a timed-out request again and
again, and the last ones return up to 4 s after the cut has ended.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wallwell.routing.health.backend import Backend

TIMEOUTS_TO_PROBE = 2
"""Back ends of a zone whose connections timed out, with no sign of life from it between, from which another one is
probed: one alone looks like a lost packet."""
TIMEOUTS_TO_SUSPECT = 3
"""The same, from which the whole zone is suspected. Three that lose power at once look alike, but then others of
their zone answer, which ends the suspicion at once."""
TIMEOUT_WINDOW_S = 2.0
"""Seconds for which a time-out counts; a node with few requests tries a back end in some hundred milliseconds."""
ZONE_PROBE_INTERVAL_S = 0.5
"""Seconds between two probes of a zone: how late its return is noticed, against connections that cannot come up."""
ZONE_SUSPENSION_S = 1.5
"""Seconds for which back ends of a suspected zone get nothing after a time-out: past the next probe."""
RETURN_SPREAD_S = 0.3
"""Seconds over which the back ends of a zone return, so that requests do not all go there in the moment in which it
looks empty; a node knows the loads from other nodes after 0.05 to 0.2 s."""


@dataclass
class _ZoneState:
    """What was seen of a zone since its last sign of life."""

    timed_out_at_s: dict[str, float] = field(default_factory=dict)
    """When a connection to each of its back ends last timed out."""
    suspected: bool = False
    probed_at_s: float = float("-inf")

    def recent_timeouts(self, now_s: float) -> dict[str, float]:
        """Return the time-outs within the window."""
        return {each: at_s for each, at_s in self.timed_out_at_s.items() if now_s - at_s < TIMEOUT_WINDOW_S}

    def note_timeout(self, incarnation: str, now_s: float) -> bool:
        """Note a time-out; returns True if the zone is now suspected and was not before."""
        self.timed_out_at_s = self.recent_timeouts(now_s)
        self.timed_out_at_s[incarnation] = now_s
        if self.suspected or len(self.timed_out_at_s) < TIMEOUTS_TO_SUSPECT:
            return False
        self.suspected = True
        return True

    def is_probe_due(self, now_s: float) -> bool:
        """Whether one of its back ends is to be probed now."""
        if now_s - self.probed_at_s < ZONE_PROBE_INTERVAL_S:
            return False
        return self.suspected or len(self.recent_timeouts(now_s)) >= TIMEOUTS_TO_PROBE

    def probe_candidates(self, not_leaving: list[Backend], now_s: float) -> list[Backend]:
        """Return those of its back ends of which any may be probed.

        Whether others are cut off as well is shown by one that has not timed out; those that have may be dead.
        """
        recent = self.recent_timeouts(now_s)
        others = [each for each in not_leaving if each.incarnation not in recent]
        return others or (not_leaving if self.suspected else [])


class ZoneSuspicion:
    """What one node suspects of zones. Its effect is in the suspension of their back ends and nowhere else."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._zones: dict[str, _ZoneState] = {}
        """Zones into which a connection has timed out since their last sign of life."""
        self.on_zone_returned: Callable[[str], None] = lambda zone: None
        """Called with a zone that was suspected and has given a sign of life."""

    def on_connect_timeout(self, backend: Backend, listed: Iterable[Backend], now_s: float) -> bool:
        """A connection to a back end timed out; returns True if its zone is now suspected and was not before."""
        zone_name = backend.record.zone
        if not zone_name:
            return False  # Back ends that name no zone need have none in common.
        state = self._zones.setdefault(zone_name, _ZoneState())
        is_newly_suspected = state.note_timeout(backend.incarnation, now_s)
        if state.suspected:
            for each in listed:
                if each.record.zone == zone_name:
                    each.suspend_at_least_until(now_s + ZONE_SUSPENSION_S)
        return is_newly_suspected

    def on_answer(self, backend: Backend, listed: Iterable[Backend], now_s: float) -> bool:
        """A back end gave a sign of life, be it a refusal; returns True if its zone was suspected."""
        zone_name = backend.record.zone
        state = self._zones.pop(zone_name, None)
        if state is None or not state.suspected:
            return False
        for each in listed:
            if each.record.zone == zone_name:
                delay_s = 0.0 if each is backend else self._rng.uniform(0.0, RETURN_SPREAD_S)
                each.reset_failures(now_s + delay_s)
        self.on_zone_returned(zone_name)
        return True

    def begin_probes(self, listed: Iterable[Backend], now_s: float) -> list[Backend]:
        """Return the back ends to be probed now, one of each zone at most, and count their zones as probed."""
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
