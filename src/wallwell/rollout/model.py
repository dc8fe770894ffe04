"""What the parts of a rollout tell each other: orders, records, counts of answers, decisions. No I/O.

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


class Phase(enum.Enum):
    """Where a rollout stands. The last two are final."""

    CANARY = "canary"
    """A small share of requests goes to the target version while its answers are compared."""
    SWITCHING = "switching"
    """New requests go to the target version; what is under way at the current one ends."""
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether nothing is decided any more."""
        return self in (Phase.COMPLETE, Phase.ROLLED_BACK)


@dataclass(frozen=True)
class RolloutOrder:
    """An operator's order. ``store_version`` is the version of its row, so a later order has a larger one."""

    service: str
    target_version: str
    duration_s: float
    store_version: int


class RolloutRecord(msgspec.Struct, frozen=True):
    """A rollout as the store keeps it, enough for any node to go on with it.

    ``ordered_at_s`` is the store's steady time at which the order was first seen. ``share`` is the part of requests
    for the target version while in :attr:`Phase.CANARY`. ``current_requests`` and ``target_requests`` are what the
    nodes had sent to each side when the record was written: the least that a new holder of the lease starts from.
    ``barred`` names the versions of the service that get nothing, since an earlier rollout ended with or left them.
    ``written_at_s`` is the store's time of the writing: a node that knows no recent one during a rollout takes it
    that nobody watches the target version.
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

    @property
    def deadline_s(self) -> float:
        """The store's time by which the rollout should have ended."""
        return self.ordered_at_s + self.duration_s


@dataclass(frozen=True)
class RolloutBounds:
    """What operators allow a target version that turns out to be bad, whenever it does.

    Of all requests that reach its service between order and deadline it may get ``exposure_share``, and
    ``exposure_requests`` beside; it gets none later than ``rollback_s`` after its 50th bad answer.
    """

    exposure_share: float = 0.1
    exposure_requests: float = 50.0
    rollback_s: float = 5.0


class AnswerCounts(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one route from one side of a rollout, as totals since the order.

    ``backend`` is the incarnation of a target back end; empty for the current side, which is counted together.
    ``failed`` counts whole answers that the back end itself calls a failure; attempts that ended without an answer
    are in ``broken``, since crashes and cuts strike both versions. ``first_delays`` and ``piece_gaps`` count
    answers by :func:`delay_bucket` of the time to the first piece (calls: to the answer) and of the mean time
    between pieces. An attempt that was given up before its first piece counts in ``first_delays`` with the time for
    which it was waited. Back ends that are still slow from their start are left out of both. ``answered`` counts
    all whole answers, failed ones too: what was sent, less ``answered`` and ``broken``, is under way.
    """

    route: str
    is_target: bool
    backend: str
    answered: int = 0
    failed: int = 0
    broken: int = 0
    first_delays: dict[int, int] = {}
    piece_gaps: dict[int, int] = {}


class RolloutCounts(msgspec.Struct, frozen=True):
    """What one node, or all together, sent and got in one rollout. ``order`` names the order they belong to."""

    order: int
    current_requests: int = 0
    target_requests: int = 0
    answers: tuple[AnswerCounts, ...] = ()


@dataclass(frozen=True)
class Capacity:
    """Back ends that can take requests, by side, in places (slots).

    ``current_in_flight`` counts requests under way on the current side; negative if that is not known.
    """

    current_places: int
    target_places: int
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
SHORTEST_DELAY_S = 0.001


def delay_bucket(delay_s: float) -> int:
    """Return the bucket of a time: two for each doubling, from a millisecond."""
    if delay_s <= SHORTEST_DELAY_S:
        return 0
    return math.floor(BUCKETS_PER_DOUBLING * math.log2(delay_s / SHORTEST_DELAY_S))
