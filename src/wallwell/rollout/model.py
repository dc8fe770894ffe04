"""Types of a rollout: orders, records, counts of answers, decisions. No I/O.

Records and counts are stored and sent between nodes: their field names and order are fixed.

A rollout replaces the software version of a service. Back ends of the target version run beside the current ones;
requests move to them; when the rollout is complete the current back ends stop at once, when it is rolled back the
target ones leave. Bringing engines to new weights is another matter, see :mod:`wallwell.placement.weights_roll`.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from msgspec import UNSET, UnsetType

from wallwell.deployment.store_era import UNKNOWN_ERA, StorePosition, era_received


class Phase(enum.Enum):
    """Where a rollout stands. The last two are final."""

    CANARY = "canary"
    """A small share of requests goes to the target version while its answers are compared."""
    SWITCHING = "switching"
    """New requests go to the target version; requests in flight at the current one end there."""
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return self in (Phase.COMPLETE, Phase.ROLLED_BACK)


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order.

    ``store_version`` is the version of its row in ``era`` of the store: of two orders of an era the later one has
    the larger version. A store that has lost an order gets it again, in a later era under any version.
    """

    service: str
    target_version: str
    duration_s: float
    store_version: int
    era: int = UNKNOWN_ERA

    @property
    def position(self) -> StorePosition:
        """Where its row stands in the store's history."""
        return StorePosition(self.era, self.store_version)

    @property
    def parameters(self) -> tuple[str, float]:
        """What it asks for: an order that asks for the same in a later era may be this one written again."""
        return self.target_version, self.duration_s


class RolloutRecord(msgspec.Struct, frozen=True):
    """A rollout as the store keeps it, enough for any node to go on with it.

    ``ordered_at_s`` is the store's steady time at which the order was first seen. ``share`` is the part of requests
    for the target version while in :attr:`Phase.CANARY`. ``current_requests`` and ``target_requests`` are what the
    nodes had sent to each side when the record was written: the least that a new holder of the lease starts from.
    ``barred`` names the excluded versions of the service: they get nothing, since an earlier rollout replaced them
    or rolled them back, until an order names them. ``written_at_s`` is the store's time of the writing: a node
    without a recent one during a rollout must assume that nobody compares the target version's answers. ``era`` is
    the store's in which ``order`` was given out; it is left out before the first, and by builds that know no eras.
    """

    service: str
    target_version: str
    order: int
    ordered_at_s: float
    duration_s: float
    phase: Phase
    share: float = 0.0
    reason: str = ""
    current_requests: int = 0
    target_requests: int = 0
    barred: tuple[str, ...] = ()
    written_at_s: float = 0.0
    era: int | UnsetType = UNSET

    def covers(self, order: RolloutOrder) -> bool:
        """Whether the record is of this order or of a later one."""
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
    """What a target version may get that turns out to be bad, whenever it does. Set by operators.

    Of all requests that reach its service between order and deadline it may get the fraction ``exposure_share``,
    and ``exposure_requests`` beside; it gets none later than ``rollback_s`` seconds after its 50th bad answer.
    """

    exposure_share: float = 0.1
    exposure_requests: float = 50.0
    rollback_s: float = 5.0


AnswerSource = tuple[str, bool, str]
"""Whose answers are counted: route, whether of the target version, incarnation of the target back end (else
empty)."""


class AnswerCounts(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one route from one version of a rollout, as totals since the order.

    ``backend`` is the incarnation of a target back end; empty for current back ends, which are counted together.
    ``failed`` counts whole answers that the back end itself calls a failure; attempts that ended without an answer
    are in ``broken``, since crashes and cuts strike both versions. ``first_delays`` and ``piece_gaps`` count
    answers by :func:`delay_bucket` of the time to the first token (calls: to the answer) and of the mean time
    between stream events. An attempt that timed out before its first token counts in ``first_delays`` with the time
    that it was waited for. Back ends that are still slow from their start are left out of both. ``answered`` counts
    all whole answers, failed ones too: what was sent, less ``answered`` and ``broken``, is in flight.
    """

    route: str
    is_target: bool
    backend: str
    answered: int = 0
    failed: int = 0
    broken: int = 0
    first_delays: dict[int, int] = {}
    piece_gaps: dict[int, int] = {}

    @property
    def source(self) -> AnswerSource:
        """Whose answers these are."""
        return self.route, self.is_target, self.backend


class RolloutCounts(msgspec.Struct, frozen=True):
    """Requests sent and answers received in one rollout, by one node or all. ``order`` names the order they belong
    to."""

    order: int
    current_requests: int = 0
    target_requests: int = 0
    answers: tuple[AnswerCounts, ...] = ()


class Capacity(msgspec.Struct, frozen=True):
    """Slots of the back ends that can take requests, of the current and of the target version.

    ``current_in_flight`` counts requests in flight at current back ends; negative if that is not known.
    """

    current_slots: int
    target_slots: int
    target_backends: int
    current_in_flight: int = -1


@dataclass(frozen=True)
class RolloutDecision:
    """What a rollout does next. ``inputs`` go into the log beside it."""

    phase: Phase
    share: float
    reason: str
    inputs: Mapping[str, float] = field(default_factory=dict)


BUCKETS_PER_DOUBLING = 2
"""Resolution of counted delays: neighbouring buckets are a factor of 1.4 apart. Fixed, since counts travel by
it."""
SHORTEST_DELAY_S = 0.001
"""Upper end of the lowest bucket, in seconds. Fixed, since counts travel by it."""


def delay_bucket(delay_s: float) -> int:
    """Return the bucket of a delay in seconds: two for each doubling, from a millisecond."""
    if delay_s <= SHORTEST_DELAY_S:
        return 0
    return math.floor(BUCKETS_PER_DOUBLING * math.log2(delay_s / SHORTEST_DELAY_S))
