"""Data types of a rollout: orders, records, counts of answers, decisions. No I/O.

Records and counts are stored and sent between nodes: their field names and order are fixed.

A rollout replaces the software version of a service. Back ends of the target version run beside the current ones
and requests move to them. When the rollout is complete the current back ends stop at once; when it is rolled back
the target back ends leave. New weights of engines are handled by :mod:`wallwell.placement.weights_roll` instead.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import UNSET, UnsetType

from wallwell.deployment.store_era import UNKNOWN_ERA, StorePosition, era_received
from wallwell.storage.row_values import Count, Seconds, Version


class Phase(enum.Enum):
    """Phase of a rollout; ``COMPLETE`` and ``ROLLED_BACK`` are final."""

    CANARY = "canary"
    """A small share of requests goes to the target version while its answers are compared."""
    SWITCHING = "switching"
    """New requests go to the target version; requests in flight at current back ends finish there."""
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return self in (Phase.COMPLETE, Phase.ROLLED_BACK)


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to roll out a version.

    ``store_version`` is the version of the order's row in ``era`` of the store: of two orders in one era the later
    one has the larger version. An order that the store has lost is written again in a later era, with any version.
    """

    service: str
    target_version: str
    duration_s: float
    store_version: int
    era: int = UNKNOWN_ERA

    @property
    def position(self) -> StorePosition:
        """Era and version of the order's row."""
        return StorePosition(self.era, self.store_version)

    @property
    def parameters(self) -> tuple[str, float]:
        """Target version and duration: an order of a later era with the same ones may be this one written again."""
        return self.target_version, self.duration_s


class RolloutRecord(msgspec.Struct, frozen=True):
    """A rollout's row in the store, which is sufficient for any node to continue the rollout.

    ``ordered_at_s`` is the store's steady time at which the order was first seen. ``share`` is the fraction of
    requests for the target version during :attr:`Phase.CANARY`. ``current_requests`` and ``target_requests`` are
    the requests that the nodes had sent to each version when the record was written; a new lease holder counts at
    least these. ``barred`` lists the excluded versions of the service: an earlier rollout replaced them or rolled
    them back, and they get no requests until an order names them. ``written_at_s`` is the store's time of the
    write: a node whose record is not recent must assume that no node compares the target version's answers. ``era``
    is the store's era of the version ``order``; it is omitted before the first era, and by builds without support
    for eras.
    """

    service: str
    target_version: str
    order: Version
    ordered_at_s: Seconds
    duration_s: Seconds
    phase: Phase
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    reason: str = ""
    current_requests: Count = 0
    target_requests: Count = 0
    barred: tuple[str, ...] = ()
    written_at_s: Seconds = 0.0
    era: Version | UnsetType = UNSET

    def covers(self, order: RolloutOrder) -> bool:
        """Whether the record belongs to this order or to a later one."""
        era = era_received(self.era)
        if era == order.era:
            return self.order >= order.store_version
        return era > order.era or self.parameters == order.parameters

    @property
    def parameters(self) -> tuple[str, float]:
        """See :attr:`RolloutOrder.parameters`."""
        return self.target_version, self.duration_s

    @property
    def deadline_s(self) -> float:
        """The store's time by which the rollout should have ended."""
        return self.ordered_at_s + self.duration_s


class RolloutBounds(msgspec.Struct, frozen=True):
    """Limits on the requests that a bad target version may get, whenever it turns bad. Set by operators.

    It may get the fraction ``exposure_share`` of all requests to the service between order and deadline, plus
    ``exposure_requests``; it gets none later than ``rollback_s`` seconds after its 50th bad answer.
    """

    exposure_share: float = 0.1
    exposure_requests: float = 50.0
    rollback_s: float = 5.0


AnswerSource = tuple[str, bool, str]
"""Origin of counted answers: route, whether of the target version, incarnation of the target back end or empty."""


class AnswerCounts(msgspec.Struct, frozen=True, array_like=True):
    """Answers on one route from one version of a rollout, as totals since the order.

    ``backend`` is the incarnation of a target back end; empty for current back ends, which are counted together.
    ``failed`` counts complete answers that the back end itself reports as failures. Attempts that ended without an
    answer count in ``broken``, since crashes and network faults affect both versions. ``first_delays`` and
    ``piece_gaps`` are histograms by :func:`delay_bucket` of the time to the first token (for calls: to the answer)
    and of the mean time between stream events. An attempt that timed out before its first token counts in
    ``first_delays`` with the time until the time-out. Both omit back ends that are still slow after their start.
    ``answered`` counts all complete answers including failed ones; requests sent minus ``answered`` and ``broken``
    are in flight.
    """

    route: str
    is_target: bool
    backend: str
    answered: Count = 0
    failed: Count = 0
    broken: Count = 0
    first_delays: dict[int, Count] = {}
    piece_gaps: dict[int, Count] = {}

    @property
    def source(self) -> AnswerSource:
        """Origin of these answers."""
        return self.route, self.is_target, self.backend


class RolloutCounts(msgspec.Struct, frozen=True):
    """Requests sent and answers received in one rollout, by one node or all; ``order`` is the order's version."""

    order: int
    current_requests: Count = 0
    target_requests: Count = 0
    answers: tuple[AnswerCounts, ...] = ()


class Capacity(msgspec.Struct, frozen=True):
    """Slots of the back ends that accept requests, for the current and the target version.

    ``current_in_flight`` is the number of requests in flight at current back ends; negative if it is not known.
    """

    current_slots: int
    target_slots: int
    target_backends: int
    current_in_flight: int = -1


@dataclass(frozen=True)
class RolloutDecision:
    """The next phase and share of a rollout, with the reason; ``inputs`` are logged with the decision."""

    phase: Phase
    share: float
    reason: str
    inputs: Mapping[str, float] = field(default_factory=dict)


BUCKETS_PER_DOUBLING = 2
"""Buckets of delays: neighbours are a factor of 1.4 apart. Fixed, since nodes exchange counts by bucket."""
MIN_DELAY_S = 0.001
"""Upper end of the lowest bucket, in seconds. Fixed, since nodes exchange counts by bucket."""


def delay_bucket(delay_s: float) -> int:
    """Return the bucket of a delay in seconds: two for each doubling, from a millisecond."""
    if delay_s <= MIN_DELAY_S:
        return 0
    return math.floor(BUCKETS_PER_DOUBLING * math.log2(delay_s / MIN_DELAY_S))
