"""Decides whether this node may send a request to a back end of a brittle service. Pure.

A brittle back end fails once it has to refuse more than a stated number of requests in a second, of all nodes
together, and it may queue none. What other nodes have in flight is known too late to find a free slot for a short
request: nodes that look for room by reported loads all find the same back end free, and fill it together. So the
slots are divided between the nodes, and a node has no more requests in flight at a back end than its share. Every
node computes the same shares: the slots of all back ends of the service are dealt to the members in turn.

Where a service has fewer slots than there are nodes, most nodes would have none. There each node starts requests at
its share of a rate that keeps the back ends lightly loaded.

A node that is refused nevertheless sends nothing there for so long that all nodes together, each doing the same,
are refused less often than the back end tolerates.

Inputs are what answers state, the slots of the service's back ends, the requests that this node has in flight, the
names of the members, the usual duration of a request, and the time in seconds on this node's clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

MIN_REFUSAL_PAUSE_S = 1.0
"""Shortest pause after a refusal, in seconds: the back end counts refusals over a second."""
PAUSE_JITTER = (1.0, 1.5)
"""Range of random factors on a pause, so that nodes that were refused together do not return together."""
STATEMENT_LIFETIME_S = 60.0
"""Seconds after which a statement that no answer has repeated ends."""
START_JITTER = (0.7, 1.3)
"""Range of random factors on the interval between two starts of a node."""
SHARED_LOAD = 0.3
"""Part of a service's slots that is in use on average where the slots are not divided: a back end of six slots then
seldom gets a seventh request."""


class BrittleStatement(msgspec.Struct, frozen=True):
    """Statement of one answer about how many refused requests its back end tolerates."""

    tolerated_per_s: float | None
    """Requests of all nodes together that the back end may refuse in a second; None if it is not brittle."""
    request_sent_s: float = -math.inf
    """When the answered request was sent, on this node's clock; minus infinity for answers to other calls."""


@dataclass(frozen=True)
class SlotUse:
    """What a node knows of the slots of a service, and of its own use of one back end."""

    incarnation: str
    slots: int
    slots_before: int
    """Slots of the back ends of the service that precede this one, in an order that all nodes share."""
    service_slots: int
    """Slots of all back ends of the service."""
    in_flight: int
    """Requests of this node at the back end."""
    node: str
    members: Collection[str]
    """Names of all nodes, with or without this one."""
    duration_s: float
    """Usual seconds from sending a request to the end of its answer."""

    def node_count(self) -> int:
        """Return the number of nodes that share the slots."""
        return len({*self.members, self.node})

    def is_divided(self) -> bool:
        """Whether there are slots for every node."""
        return self.service_slots >= self.node_count()

    def own_slots(self) -> int:
        """Return this node's share of the back end's slots. The shares of all nodes add up to the slots, and those
        of one node at all back ends differ by one at most from another's."""
        return self._dealt(self.slots_before + self.slots) - self._dealt(self.slots_before)

    def own_service_slots(self) -> int:
        """Return this node's share of the slots of all back ends of the service."""
        return self._dealt(self.service_slots)

    def _dealt(self, slots: int) -> int:
        """Return how many of the service's first ``slots`` slots are this node's."""
        names = sorted({*self.members, self.node})
        return (slots - 1 - names.index(self.node)) // len(names) + 1


@dataclass
class ServiceBrittleness:
    """Whether the back ends of one service are brittle, by the newest of their answers to this node."""

    tolerated_per_s: float | None = None
    read_at_s: float = -math.inf
    held: int = 0
    """Requests of this node that are held until there is room."""
    _paused_until_s: dict[str, float] = field(default_factory=dict)
    """Until when this node sends nothing to a back end that refused a request, by its incarnation."""
    _next_start_s: float | None = None
    """When this node may start the next request, where the slots are not divided; None before the first one."""

    def is_brittle(self, now_s: float) -> bool:
        """Whether the back ends are brittle now."""
        return self.tolerated_per_s is not None and now_s - self.read_at_s < STATEMENT_LIFETIME_S

    def on_answer(self, statement: BrittleStatement, now_s: float) -> bool:
        """Apply the statement of an answer; returns True if it begins or ends that the service is brittle. Answers
        may arrive out of order, so only one to a request that was sent after the last statement ends it."""
        if statement.tolerated_per_s is None and statement.request_sent_s <= self.read_at_s:
            return False
        has_changed = (statement.tolerated_per_s is None) != (self.tolerated_per_s is None)
        self.tolerated_per_s = statement.tolerated_per_s
        if statement.tolerated_per_s is None:
            self._paused_until_s.clear()
            self._next_start_s = None
        else:
            self.read_at_s = now_s
        return has_changed

    def on_refused(self, incarnation: str, node_count: int, now_s: float, rng: random.Random) -> None:
        """Record that a back end refused a request of this node for want of room."""
        if not self.is_brittle(now_s):
            return
        assert self.tolerated_per_s is not None
        pause_s = max(MIN_REFUSAL_PAUSE_S, node_count / max(1.0, self.tolerated_per_s))
        self._paused_until_s[incarnation] = now_s + pause_s * rng.uniform(*PAUSE_JITTER)

    def admit(self, use: SlotUse, now_s: float, rng: random.Random) -> float | None:
        """Count a request about to be sent and return None, or return the seconds until one probably may be."""
        if not self.is_brittle(now_s):
            return None
        paused_s = self._paused_until_s.get(use.incarnation, -math.inf) - now_s
        if paused_s > 0.0:
            return paused_s
        if use.is_divided():
            return None if use.in_flight < use.own_slots() else self._queueing_s(use)
        return self._admit_by_rate(use, now_s, rng)

    def _queueing_s(self, use: SlotUse) -> float:
        """Return the seconds until a slot of this node at any back end is probably free for one more request."""
        return use.duration_s * (self.held + 1) / max(1, use.own_service_slots())

    def _admit_by_rate(self, use: SlotUse, now_s: float, rng: random.Random) -> float | None:
        interval_s = use.duration_s * use.node_count() / (SHARED_LOAD * max(1, use.service_slots))
        if self._next_start_s is None:
            # The rate begins to bind, at all nodes at about the same time.
            self._next_start_s = now_s + rng.uniform(0.0, interval_s)
        if now_s < self._next_start_s:
            return self._next_start_s - now_s
        self._next_start_s = now_s + interval_s * rng.uniform(*START_JITTER)
        return None
