"""Which back ends of a service may get a request while its software is rolled out, as one node knows it. Pure.

Inputs: the rollout's record, the listed back ends, ``now_s`` on this node's clock and, for the draw of a version,
the node's random generator. Owns the grouping of the back ends, kept until the listing changes. Relies on
:class:`wallwell.rollout.records.RolloutBook` to make a new object for each change of the record that matters.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from wallwell.rollout.model import Phase, RolloutRecord
from wallwell.routing.health.backend import Backend
from wallwell.routing.rendezvous import rendezvous_key, rendezvous_score

MIN_CANARY_BACKENDS = 3
"""Target back ends that carry the canary, if there are as many: with fewer, a sick machine looks like a bad
version."""
RECORD_VALID_FRACTION = 0.5
"""Fraction of ``rollback_s`` for which a record is valid after its writing. A node whose record is older sends
nothing to the target version, since nobody may be comparing its answers.

The rest of ``rollback_s`` is for counts on their way, the decision, and the record's way to every node."""


class BackendGroups(msgspec.Struct, frozen=True):
    """Listed back ends of a service by their version's role in its rollout. Those of excluded versions are in none.

    Once the rollout is complete, all that may get requests are in ``target``: a version that is listed later
    without an order is used as any other.
    """

    current: list[Backend]
    target: list[Backend]
    canary: list[Backend]
    """The target back ends that carry the canary."""
    unannounced: list[Backend]
    """Back ends of versions that no order has named; a last resort until their wait is over."""


@dataclass
class ServiceRollout:
    """One service's rollout in a phase. A new object is made whenever the phase, share or versions change."""

    service: str
    record: RolloutRecord | None
    """None while there are only versions that no order has named."""
    unannounced_until_s: Mapping[str, float] = field(default_factory=dict)
    """Versions that no order has named, with the time on this node's clock until which they get nothing."""
    record_written_s: float = float("-inf")
    """When the holder of the lease wrote the record last, on this node's clock."""
    record_valid_s: float = float("inf")
    """Seconds from its writing for which the record counts as fresh."""
    _listed: Sequence[Backend] | None = None
    _groups: BackendGroups | None = None
    _groups_until_s: float = float("-inf")

    def groups(self, listed: Sequence[Backend], now_s: float) -> BackendGroups:
        """Return the back ends by group. The listing must be a new object whenever it has changed."""
        if self._groups is None or self._listed is not listed or now_s >= self._groups_until_s:
            self._listed = listed
            self._groups = self._group(listed, now_s)
            self._groups_until_s = min(
                (at for at in self.unannounced_until_s.values() if at > now_s), default=math.inf
            )
        return self._groups

    def _group(self, listed: Sequence[Backend], now_s: float) -> BackendGroups:
        record = self.record
        target = [each for each in listed if self.is_target(each)]
        others = [each for each in listed if not self.is_target(each)]
        excluded = record.barred if record is not None else ()
        waiting = {version for version, until_s in self.unannounced_until_s.items() if now_s < until_s}
        eligible = [each for each in others if each.record.software not in excluded]
        current = [each for each in eligible if each.record.software not in waiting]
        unannounced = [each for each in eligible if each.record.software in waiting]
        if record is not None and record.phase is Phase.COMPLETE:
            target, current = target + current, []
        share = record.share if record is not None and record.phase is Phase.CANARY else 0.0
        canary = canary_backends(self.service, target, len(current), share)
        return BackendGroups(current, target, canary, unannounced)

    def is_target(self, backend: Backend) -> bool:
        """Whether a back end runs the version that is rolled out."""
        return self.record is not None and backend.record.software == self.record.target_version

    def has_fresh_record(self, now_s: float) -> bool:
        """Whether the holder of the lease certainly compares the target version's answers."""
        return now_s - self.record_written_s < self.record_valid_s

    def draws_target(self, rng: random.Random, now_s: float) -> bool:
        """Draw the version of a new request: True for the target one. One random draw in the canary phase, else
        none."""
        record = self.record
        if record is None or record.phase is Phase.ROLLED_BACK:
            return False
        if record.phase is Phase.COMPLETE:
            return True
        if not self.has_fresh_record(now_s):
            return False
        return record.phase is Phase.SWITCHING or rng.random() < record.share

    def tiers(self, listed: Sequence[Backend], prefers_target: bool, now_s: float) -> list[list[Backend]]:
        """Return the groups of back ends that a request may go to, the better one first."""
        groups = self.groups(listed, now_s)
        tiers = self._ordered_tiers(groups, prefers_target, now_s)
        return [*tiers, groups.unannounced] if _is_last_resort(groups, now_s) else tiers

    def _ordered_tiers(self, groups: BackendGroups, prefers_target: bool, now_s: float) -> list[list[Backend]]:
        record = self.record
        if record is None or record.phase is Phase.ROLLED_BACK:
            return [groups.current]
        if record.phase is Phase.COMPLETE:
            return [groups.target]
        if not self.has_fresh_record(now_s) and any(not each.is_leaving(now_s) for each in groups.current):
            return [groups.current]
        if record.phase is Phase.SWITCHING:
            target = groups.target
        elif record.share > 0:
            target = groups.canary
        else:
            target = [] if groups.current else groups.target
        return [target, groups.current] if prefers_target else [groups.current, target]

    def eligible_backends(self, listed: Sequence[Backend], now_s: float) -> list[Backend]:
        """Return the back ends that new requests are meant for."""
        record, groups = self.record, self.groups(listed, now_s)
        if _is_last_resort(groups, now_s):
            return groups.unannounced
        if record is None or record.phase is Phase.ROLLED_BACK:
            return groups.current
        if not groups.current:
            return groups.target
        if not self.has_fresh_record(now_s):
            return groups.current
        return groups.target if record.phase is Phase.SWITCHING else groups.current + groups.canary


def _is_last_resort(groups: BackendGroups, now_s: float) -> bool:
    """Whether all back ends but those of unannounced versions are leaving.

    An ordinary replacement of all back ends at once must not leave a service without any while the new ones wait.
    """
    if not groups.unannounced:
        return False
    return all(each.is_leaving(now_s) for each in (*groups.current, *groups.target))


def canary_backends(service: str, target: Sequence[Backend], current_count: int, share: float) -> list[Backend]:
    """Return the target back ends that carry a share of requests: so few that each gets a usual load.

    All nodes choose the same ones, by rendezvous hashing.
    """
    if share <= 0 or not target:
        return []
    count = max(MIN_CANARY_BACKENDS, math.ceil(share * current_count))
    key = rendezvous_key(service)
    staying = [each for each in target if not each.has_announced_leave and not each.superseded] or target
    return sorted(staying, key=lambda each: rendezvous_score(each.incarnation, key), reverse=True)[:count]
