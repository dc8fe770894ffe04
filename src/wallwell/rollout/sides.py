"""Which back ends of a service may get a request while its software is rolled out, as one node sees it. Pure."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from wallwell.rollout.model import Phase, RolloutRecord
from wallwell.routing.health.backend import Backend
from wallwell.routing.rendezvous import key_of, rendezvous_score

MIN_CANARY_BACKENDS = 3
"""Target back ends that carry the canary, if there are as many: they tell a sick machine from a bad version."""
UNHEARD_FRACTION = 0.5
"""Part of ``rollback_s`` for which a record counts that is not written again.

The rest is for what has gone before: counts on their way, the decision, and the record's way to every node."""


@dataclass(frozen=True)
class Sides:
    """Listed back ends of a service by what they are in its rollout.

    Once it is complete, all that may get requests are on the target side: a version that is listed later without an
    order is used as any other.
    """

    current: list[Backend]
    target: list[Backend]
    canary: list[Backend]
    """The target back ends that carry the canary."""
    held: list[Backend]
    """Back ends of versions that nobody has named; a last resort until their time without requests is over."""


@dataclass
class ServiceSides:
    """One service's rollout in a phase. Made anew whenever the phase, share or versions change."""

    service: str
    record: RolloutRecord | None
    """None while there are only versions that nobody has named."""
    held_until_s: Mapping[str, float] = field(default_factory=dict)
    """Versions that get nothing before a time on this node's clock."""
    heard_s: float = float("-inf")
    """When the holder of the lease wrote the record last, on this node's clock."""
    unheard_after_s: float = float("inf")
    _listed: Sequence[Backend] | None = None
    _sides: Sides | None = None
    _sides_until_s: float = float("-inf")

    def sides(self, listed: Sequence[Backend], now_s: float) -> Sides:
        """Return the back ends by side. The listing is a new object whenever it has changed."""
        if self._sides is None or self._listed is not listed or now_s >= self._sides_until_s:
            self._listed = listed
            self._sides = self._divide(listed, now_s)
            self._sides_until_s = min((at for at in self.held_until_s.values() if at > now_s), default=math.inf)
        return self._sides

    def _divide(self, listed: Sequence[Backend], now_s: float) -> Sides:
        record = self.record
        target = [each for each in listed if self.is_target(each)]
        others = [each for each in listed if not self.is_target(each)]
        barred = record.barred if record is not None else ()
        held = {version for version, until_s in self.held_until_s.items() if now_s < until_s}
        unbarred = [each for each in others if each.record.software not in barred]
        current = [each for each in unbarred if each.record.software not in held]
        waiting = [each for each in unbarred if each.record.software in held]
        if record is not None and record.phase is Phase.COMPLETE:
            target, current = target + current, []
        share = record.share if record is not None and record.phase is Phase.CANARY else 0.0
        return Sides(current, target, canary_backends(self.service, target, len(current), share), waiting)

    def is_target(self, backend: Backend) -> bool:
        """Whether a back end runs the version that is rolled out."""
        return self.record is not None and backend.record.software == self.record.target_version

    def is_heard(self, now_s: float) -> bool:
        """Whether somebody certainly watches the target version."""
        return now_s - self.heard_s < self.unheard_after_s

    def draws_target(self, rng: random.Random, now_s: float) -> bool:
        """Draw the side of a new request; True for the target one."""
        record = self.record
        if record is None or record.phase is Phase.ROLLED_BACK:
            return False
        if record.phase is Phase.COMPLETE:
            return True
        if not self.is_heard(now_s):
            return False
        return record.phase is Phase.SWITCHING or rng.random() < record.share

    def tiers(self, listed: Sequence[Backend], prefers_target: bool, now_s: float) -> list[list[Backend]]:
        """Return the groups of back ends that a request may go to, the better one first."""
        sides = self.sides(listed, now_s)
        tiers = self._named_tiers(sides, prefers_target, now_s)
        return [*tiers, sides.held] if _is_last_resort(sides, now_s) else tiers

    def _named_tiers(self, sides: Sides, prefers_target: bool, now_s: float) -> list[list[Backend]]:
        record = self.record
        if record is None or record.phase is Phase.ROLLED_BACK:
            return [sides.current]
        if record.phase is Phase.COMPLETE:
            return [sides.target]
        if not self.is_heard(now_s) and any(not each.is_leaving(now_s) for each in sides.current):
            return [sides.current]
        if record.phase is Phase.SWITCHING:
            target = sides.target
        elif record.share > 0:
            target = sides.canary
        else:
            target = [] if sides.current else sides.target
        return [target, sides.current] if prefers_target else [sides.current, target]

    def eligible_backends(self, listed: Sequence[Backend], now_s: float) -> list[Backend]:
        """Return the back ends that new requests are meant for."""
        record, sides = self.record, self.sides(listed, now_s)
        if _is_last_resort(sides, now_s):
            return sides.held
        if record is None or record.phase is Phase.ROLLED_BACK:
            return sides.current
        if not sides.current:
            return sides.target
        if not self.is_heard(now_s):
            return sides.current
        return sides.target if record.phase is Phase.SWITCHING else sides.current + sides.canary


def _is_last_resort(sides: Sides, now_s: float) -> bool:
    """Whether back ends of versions that nobody has named are the only ones that stay.

    An ordinary replacement of all back ends at once must not leave a service without any while they wait.
    """
    if not sides.held:
        return False
    return all(each.is_leaving(now_s) for each in (*sides.current, *sides.target))


def canary_backends(service: str, target: Sequence[Backend], current_count: int, share: float) -> list[Backend]:
    """Return the target back ends that carry a share of requests: so few that each sees a usual load.

    All nodes pick the same ones.
    """
    if share <= 0 or not target:
        return []
    count = max(MIN_CANARY_BACKENDS, math.ceil(share * current_count))
    key = key_of(service)
    staying = [each for each in target if not each.record.draining and not each.superseded] or target
    return sorted(staying, key=lambda each: rendezvous_score(each.incarnation, key), reverse=True)[:count]
