"""What the scale run measures, as kept in its JSON file."""

from __future__ import annotations

import msgspec


class Cost(msgspec.Struct, frozen=True):
    """Mean and highest control cost over the nodes of one run, per second of virtual time.

    ``event_bytes`` is the part of ``received_bytes`` that engines' event streams brought.
    """

    nodes: int
    regions: int
    workers: int
    seconds: float
    sent_bytes: float
    received_bytes: float
    event_bytes: float
    sent_messages: float
    received_messages: float
    processor_share: float
    highest_sent_bytes: float
    highest_received_bytes: float
    highest_processor_share: float


class Slope(msgspec.Struct, frozen=True):
    """A line ``base + slope * x`` through measured points, with the largest residual beside it."""

    quantity: str
    per: str
    base: float
    slope: float
    spread: float
    points: tuple[tuple[float, float], ...]


class SpreadTime(msgspec.Struct, frozen=True):
    """Time until a change is in force on every node, over several changes."""

    nodes: int
    regions: int
    changes: int
    p50_s: float
    p99_s: float
    longest_s: float


class MemoryCost(msgspec.Struct, frozen=True):
    """Memory that one part of a node's control state allocates, in bytes."""

    part: str
    amount: str
    allocated_bytes: int


class Recovery(msgspec.Struct, frozen=True):
    """A fault of many nodes at once and what it cost the others."""

    fault: str
    seconds_until_settled: float
    highest_bytes_per_s: float


class ScaleResult(msgspec.Struct, frozen=True):
    """Everything the scale run measured."""

    python: str
    machine: str
    quick: bool
    fleet: Cost
    ladder: tuple[Cost, ...]
    slopes: tuple[Slope, ...]
    spread: tuple[SpreadTime, ...]
    memory: tuple[MemoryCost, ...]
    config_apply_s: float
    config_load_s: float
    recoveries: tuple[Recovery, ...]
    sockets: tuple[Cost, ...] = ()
