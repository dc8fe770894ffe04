"""Randomly drawn conditions of a simulated rollout: routes, rates, a fault, and the version's defect."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

CALL_DELAY_S = 0.03
FAULTS = ("none", "crash", "sick target", "sick current", "lost answers", "weights load", "overload", "late start")
KINDS = ("failures", "slowness")


@dataclass(frozen=True)
class Route:
    """A route: its fraction of requests, usual failure rate, median and spread of delays, and time to the complete
    answer."""

    name: str
    part: float
    failing: float
    first_delay_s: float
    spread: float
    piece_gap_s: float
    latency_s: float


@dataclass(frozen=True)
class Defect:
    """Defect of a bad version: a fraction ``part`` of answers fails, or is ``factor`` times slower, from ``from_s``
    on."""

    kind: str
    part: float
    factor: float
    from_s: float
    route: str = ""
    above_load: float = 0.0


@dataclass(frozen=True)
class Scenario:
    """Everything that is drawn before a rollout begins."""

    seed: int
    rate: float
    node_count: int
    duration_s: float
    routes: Sequence[Route]
    current_backends: int
    target_backends: int
    fault: str
    fault_at_s: float
    fault_span_s: float
    cold_factor: float
    side_factor: float
    wave_part: float
    wave_span_s: float
    load_change: float
    load_change_at_s: float
    load_change_span_s: float
    holder_changes_at_s: float
    defect: Defect | None

    @property
    def row_lag_s(self) -> float:
        """Seconds until the last node has received a row."""
        return 0.05 + 0.55 * self.node_count / 410

    @property
    def count_lag_s(self) -> float:
        """Age in seconds of the counts that the planner receives."""
        return 0.3 + 0.7 * self.node_count / 410

    def load(self, at_s: float) -> float:
        """Return the request rate at a time as a multiple of the mean rate."""
        load = 1.0 + self.wave_part * math.sin(2 * math.pi * at_s / self.wave_span_s)
        if 0.0 <= at_s - self.load_change_at_s < self.load_change_span_s:
            load *= self.load_change
        return load


def draw_scenario(seed: int, is_bad: bool, max_duration_s: float = 60.0) -> Scenario:
    """Draw a rollout from all rates, sizes and durations that the planner supports."""
    generator = random.Random(seed)
    rate = math.exp(generator.uniform(math.log(20), math.log(3_300)))
    scale = math.log(rate / 20) / math.log(165)
    node_count = max(3, min(410, round(3 * math.exp(scale * math.log(137) * generator.uniform(0.6, 1.1)))))
    duration = generator.uniform(8.0, max_duration_s)
    routes = _draw_routes(generator)
    change = generator.choice([1.0, 1.0, 0.5, 2.0])
    return Scenario(
        seed=seed,
        rate=rate,
        node_count=node_count,
        duration_s=duration,
        routes=routes,
        current_backends=(backends := generator.randint(4, 30)),
        target_backends=backends,
        fault="none" if is_bad and generator.random() < 0.5 else generator.choice(FAULTS),
        fault_at_s=generator.uniform(0.0, duration),
        fault_span_s=generator.uniform(1.0, 4.0),
        cold_factor=generator.uniform(1.0, 1.3),
        side_factor=generator.uniform(0.9, 1.1),
        wave_part=generator.uniform(0.0, 0.25),
        wave_span_s=generator.uniform(2.0, 20.0),
        load_change=change,
        load_change_at_s=generator.uniform(0.0, duration),
        load_change_span_s=generator.uniform(1.0, 5.0) if change > 1.0 else math.inf,
        holder_changes_at_s=generator.uniform(0.0, duration) if generator.random() < 0.2 else math.inf,
        defect=_draw_defect(generator, routes, duration) if is_bad else None,
    )


def _draw_routes(generator: random.Random) -> list[Route]:
    weights = [generator.uniform(0.2, 1.0) for _ in range(generator.randint(1, 4))]
    routes = []
    for number, weight in enumerate(weights):
        is_generation = generator.random() < 0.5
        is_lookup = not is_generation and generator.random() < 0.5
        routes.append(
            Route(
                f"r{number}",
                weight / sum(weights),
                0.14 if is_lookup else 0.004,
                generator.uniform(0.05, 0.3) if is_generation else CALL_DELAY_S,
                generator.uniform(0.2, 0.6),
                0.02 if is_generation else 0.0,
                generator.uniform(0.3, 2.0) if is_generation else CALL_DELAY_S,
            )
        )
    return routes


def _draw_defect(generator: random.Random, routes: Sequence[Route], duration_s: float) -> Defect:
    kind = generator.choice(KINDS)
    return Defect(
        kind,
        generator.uniform(0.05, 0.6) if kind == "failures" else generator.uniform(0.2, 1.0),
        generator.uniform(2.0, 8.0),
        generator.choice([0.0, generator.uniform(0.0, duration_s)]),
        generator.choice(["", generator.choice(routes).name]),
        generator.choice([0.0, 0.0, generator.uniform(0.8, 1.1)]),
    )
