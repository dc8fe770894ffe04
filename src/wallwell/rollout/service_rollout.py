"""Selects the back ends of a service that may get a request while its software is rolled out. No I/O.

Inputs: the rollout's record, the listed back ends, ``now_s`` on this node's clock and, to draw a version, the
node's random generator. Owns the grouping of the back ends, which is cached until the listing changes. Relies on
:class:`wallwell.rollout.records.RolloutRegistry` to create a new object for each change that affects requests.
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
"""Least target back ends with canary requests, if so many exist: with fewer, one faulty machine looks like a bad
version."""
RECORD_VALID_FRACTION = 0.5
"""Fraction of ``rollback_s`` for which a record is valid after it was written. A node whose record is older sends
nothing to the target version, since possibly no node compares its answers. The rest of ``rollback_s`` is for
sending counts, the decision, and sending the record to every node."""


class BackendGroups(msgspec.Struct, frozen=True):
    """Listed back ends of a service, by the role of their version. Those of excluded versions are in no group. Once
    the rollout is complete, all back ends that may get requests are in ``target``: a version that is listed later
    without an order is used like any other."""

    current: list[Backend]
    target: list[Backend]
    canary: list[Backend]
    """The target back ends that get canary requests."""
    unannounced: list[Backend]
    """Back ends of versions that no order has named; until their waiting time ends they are only a last resort."""


@dataclass
class ServiceRollout:
    """One service's rollout in one phase. A new object is created whenever the phase, share or versions change."""

    service: str
    record: RolloutRecord | None
    """None if there is no rollout, but there are versions that no order has named."""
    unannounced_until_s: Mapping[str, float] = field(default_factory=dict)
    """Versions that no order has named, with the time on this node's clock until which they get no requests."""
    record_written_s: float = float("-inf")
    """When the lease holder last wrote the record, on this node's clock."""
    record_valid_s: float = float("inf")
    """Seconds after the write for which the record counts as fresh."""
    _listed: Sequence[Backend] | None = None
    _groups: BackendGroups | None = None
    _groups_until_s: float = float("-inf")

    def groups(self, listed: Sequence[Backend], now_s: float) -> BackendGroups:
        """Return the back ends by group. ``listed`` must be a new object whenever the listing has changed."""
        if self._groups is None or self._listed is not listed or now_s >= self._groups_until_s:
            self._listed = listed
            self._groups = self._group_by_version(listed, now_s)
            self._groups_until_s = min(
                (at for at in self.unannounced_until_s.values() if at > now_s), default=math.inf
            )
        return self._groups

    def _group_by_version(self, listed: Sequence[Backend], now_s: float) -> BackendGroups:
        record = self.record
        target = [each for each in listed if self.is_target(each)]
        others = [each for each in listed if not self.is_target(each)]
        excluded = record.barred if record is not None else ()
        unannounced_versions = {version for version, until_s in self.unannounced_until_s.items() if now_s < until_s}
        eligible = [each for each in others if each.record.software not in excluded]
        current = [each for each in eligible if each.record.software not in unannounced_versions]
        unannounced = [each for each in eligible if each.record.software in unannounced_versions]
        if record is not None and record.phase is Phase.COMPLETE:
            target, current = target + current, []
        share = record.share if record is not None and record.phase is Phase.CANARY else 0.0
        canary = canary_backends(self.service, target, len(current), share)
        return BackendGroups(current, target, canary, unannounced)

    def is_target(self, backend: Backend) -> bool:
        """Whether a back end runs the version that is rolled out."""
        return self.record is not None and backend.record.software == self.record.target_version

    def has_fresh_record(self, now_s: float) -> bool:
        """Whether the record is so recent that a lease holder certainly compares the target version's answers."""
        return now_s - self.record_written_s < self.record_valid_s

    def draws_target(self, rng: random.Random, now_s: float) -> bool:
        """Choose a new request's version; True for the target. Calls ``rng`` only in the canary phase, once."""
        record = self.record
        if record is None or record.phase is Phase.ROLLED_BACK:
            return False
        if record.phase is Phase.COMPLETE:
            return True
        if not self.has_fresh_record(now_s):
            return False
        return record.phase is Phase.SWITCHING or rng.random() < record.share

    def tiers(self, listed: Sequence[Backend], prefers_target: bool, now_s: float) -> list[list[Backend]]:
        """Return the groups of back ends that may get a request, the preferred one first."""
        groups = self.groups(listed, now_s)
        tiers = self._ordered_tiers(listed, groups, prefers_target, now_s)
        return [*tiers, groups.unannounced] if _is_last_resort(groups, now_s) else tiers

    def _ordered_tiers(
        self, listed: Sequence[Backend], groups: BackendGroups, prefers_target: bool, now_s: float
    ) -> list[list[Backend]]:
        record = self.record
        if record is None or record.phase is Phase.ROLLED_BACK:
            return [groups.current]
        if record.phase is Phase.COMPLETE:
            return [groups.target]
        if not self.has_fresh_record(now_s) and self._any_current(listed, now_s):
            return [groups.current]
        if record.phase is Phase.SWITCHING:
            target = groups.target
        elif record.share > 0:
            target = groups.canary
        else:
            target = [] if groups.current else groups.target
        return [target, groups.current] if prefers_target else [groups.current, target]

    def backends_to_continue_at(self, listed: Sequence[Backend], version: str, now_s: float) -> list[Backend]:
        """Return the back ends that may continue a stream which ``version`` began.

        All that run this version, in any phase, except if it gets no requests at all: excluded, rolled back, or the
        target while possibly nobody compares its answers.
        """
        record = self.record
        if record is not None and version in record.barred:
            return []
        if record is not None and version == record.target_version and not self._may_use_target(listed, now_s):
            return []
        return [each for each in listed if each.record.software == version]

    def _may_use_target(self, listed: Sequence[Backend], now_s: float) -> bool:
        """Whether the target version may get any requests."""
        record = self.record
        if record is None or record.phase is Phase.ROLLED_BACK:
            return False
        return (
            record.phase is Phase.COMPLETE or self.has_fresh_record(now_s) or not self._any_current(listed, now_s)
        )

    def _any_current(self, listed: Sequence[Backend], now_s: float) -> bool:
        """Whether a back end of the current version is not leaving."""
        return any(not each.is_leaving(now_s) for each in self.groups(listed, now_s).current)

    def eligible_backends(self, listed: Sequence[Backend], now_s: float) -> list[Backend]:
        """Return the back ends that get new requests in this phase."""
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
    """Whether there are back ends of unannounced versions and all others are leaving. If all back ends are replaced
    at once without a rollout, the service must not be without any while the new ones wait to be announced."""
    if not groups.unannounced:
        return False
    return all(each.is_leaving(now_s) for each in (*groups.current, *groups.target))


def canary_backends(service: str, target: Sequence[Backend], current_count: int, share: float) -> list[Backend]:
    """Return the target back ends that get the canary's share of requests: so few that each has a usual load. All
    nodes choose the same back ends, by rendezvous hashing."""
    if share <= 0 or not target:
        return []
    count = max(MIN_CANARY_BACKENDS, math.ceil(share * current_count))
    key = rendezvous_key(service)
    staying = [each for each in target if not each.has_announced_leave and not each.superseded] or target
    return sorted(staying, key=lambda each: rendezvous_score(each.incarnation, key), reverse=True)[:count]
