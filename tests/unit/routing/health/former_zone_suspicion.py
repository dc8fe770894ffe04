"""Back ends that hang together because their zone is cut off from this node. Pure.

Connections into a cut-off zone hang where those to a crashed process are refused. Each back end tried there costs a
request a connection's whole time-out. So after a few that hang with no sign of life from their zone between them,
one more is asked with a new connection, and if that hangs as well, all others of the zone get nothing either. One
of them is asked from time to time, and they all come back as soon as anything in the zone answers. Seen from inside
the cut, the same holds for each of the other zones.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wallwell.routing.health.backend import Backend

TIMEOUTS_TO_PROBE = 2
"""Back ends of a zone that hung one after the other, from which another of it is asked."""
TIMEOUTS_TO_SUSPECT = 3
"""The same, from which the whole zone is suspected; three that crash at once without power look alike, but then
others of their zone answer, which ends it at once."""
TIMEOUT_WINDOW_S = 2.0
"""Time between the first and the last of them; a node with few requests tries one in some hundred milliseconds."""
ASK_AGAIN_S = 0.5
"""Time between two questions to a zone: how late its return is noticed, against connections that cannot come up."""
HOLD_S = 1.5
"""How long back ends of a suspected zone get nothing after a question without answer: past the next question."""
RETURN_SPREAD_S = 0.3
"""Time over which those of a zone that answers again come back, so that requests do not all go there in the moment
in which it looks empty; loads are told 20 times a second."""


@dataclass
class _Zone:
    hung: dict[str, float] = field(default_factory=dict)
    """When back ends of it hung, since it last answered."""
    suspected: bool = False
    asked_s: float = float("-inf")

    def recent_timeouts(self, now_s: float) -> dict[str, float]:
        """Return those that hung within the window."""
        return {each: at_s for each, at_s in self.hung.items() if now_s - at_s < TIMEOUT_WINDOW_S}


class ZoneSuspicion:
    """What one node suspects of zones. Suspicion shows in ``Backend.suspended_until_s`` and nowhere else."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._zones: dict[str, _Zone] = {}
        """Zones of which something has hung since they last answered."""
        self.on_return: Callable[[str], None] = lambda zone: None
        """Called with a zone that was suspected and has answered."""

    def on_connect_timeout(self, backend: Backend, listed: Iterable[Backend], now_s: float) -> bool:
        """A connection to a back end hung; returns True if its zone is now suspected and was not before."""
        name = backend.record.zone
        if not name:
            return False  # Back ends that name no zone need have none in common.
        zone = self._zones.setdefault(name, _Zone())
        zone.hung = zone.recent_timeouts(now_s)
        zone.hung[backend.incarnation] = now_s
        if not zone.suspected and len(zone.hung) < TIMEOUTS_TO_SUSPECT:
            return False
        is_new = not zone.suspected
        zone.suspected = True
        for each in listed:
            if each.record.zone == name:
                each.suspended_until_s = max(each.suspended_until_s, now_s + HOLD_S)
        return is_new

    def on_answer(self, backend: Backend, listed: Iterable[Backend], now_s: float) -> bool:
        """A back end gave a sign of life, be it a refusal; returns True if its zone was suspected."""
        zone = self._zones.pop(backend.record.zone, None)
        if zone is None or not zone.suspected:
            return False
        for each in listed:
            if each.record.zone == backend.record.zone:
                each.consecutive_failures = 0
                back_s = now_s if each is backend else now_s + self._rng.uniform(0.0, RETURN_SPREAD_S)
                each.suspended_until_s = min(each.suspended_until_s, back_s)
        self.on_return(backend.record.zone)
        return True

    def to_ask(self, listed: Iterable[Backend], now_s: float) -> list[Backend]:
        """Return the back ends that are to be asked now, one of each zone at most; counts them as asked."""
        if not self._zones:
            return []
        due = {name: zone for name, zone in self._zones.items() if self._is_due(zone, now_s)}
        asked = []
        for name, zone in due.items():
            of_zone = [each for each in listed if each.record.zone == name and not each.is_leaving(now_s)]
            # Whether others are cut off as well is told by one that has not hung; those that have may be dead.
            recent = zone.recent_timeouts(now_s)
            others = [each for each in of_zone if each.incarnation not in recent]
            candidates = others or (of_zone if zone.suspected else [])
            if candidates:
                zone.asked_s = now_s
                asked.append(self._rng.choice(candidates))
        return asked

    def _is_due(self, zone: _Zone, now_s: float) -> bool:
        if now_s - zone.asked_s < ASK_AGAIN_S:
            return False
        return zone.suspected or len(zone.recent_timeouts(now_s)) >= TIMEOUTS_TO_PROBE
