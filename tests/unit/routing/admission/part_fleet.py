"""A model of a fleet in which a part of prompts crashes back ends, in drawn times without sockets or event loop.

Every node has a quarantine of its own. A crash becomes known to the nodes that had runs there after probing, and
to all others by rows of the store a moment later, part by part in any order; rows are deleted as an answer clears
them.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

import xxhash

from wallwell.routing.admission.part_quarantine import BEGINNING_S, PartQuarantine
from wallwell.routing.admission.part_trials import NodeTurn

PROBED_S = (0.32, 0.65)
"""Range of seconds after which the nodes that had runs at a crashed back end are sure of the crash."""
ROW_S = (0.005, 0.06)
"""Range of seconds after which the other nodes have read a row, or that it was deleted."""
READING_S = (0.05, 0.25)
WRITING_S = (0.1, 1.5)
CRASH_AFTER_S = 0.1
"""Seconds of writing after which a crashing request ends its back end."""
RESTART_S = (3.0, 4.5)
CLOCK_ERROR_S = (-0.02, 0.02)
"""Range of the errors of nodes' clocks."""
ZONE = 3
"""Back ends that an outage of a zone ends in one moment, as a fraction of all: one of this many."""


@dataclasses.dataclass(frozen=True)
class Traffic:
    """Requests per second and what crashes besides. Parts are drawn by popularity, the first one from few."""

    sound_per_s: float
    crashing_per_s: float
    crashes_by_chance_per_s: float = 0.0
    zone_outages_s: tuple[float, ...] = ()
    crashing_from_s: float = 5.0
    first_parts: int = 4
    inner_parts: int = 60
    is_part_sound_before: bool = False
    is_first_part_bad: bool = False


@dataclasses.dataclass
class Run:
    """One request at a back end."""

    node: int
    parts: tuple[str, ...]
    is_crashing: bool
    sent_s: float
    begins_s: float
    ends_s: float
    is_broken: bool = False


@dataclasses.dataclass
class Worker:
    """One back end; it gets a new start with each restart."""

    number: int
    start: int = 0
    is_up: bool = True
    runs: list[Run] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Figures:
    """What callers and back ends saw."""

    crashes_s: list[float] = dataclasses.field(default_factory=list)
    """Times at which the bad part ended a back end."""
    crashing_sent_s: list[float] = dataclasses.field(default_factory=list)
    sound: dict[str, int] = dataclasses.field(default_factory=lambda: {"whole": 0, "broken": 0, "refused": 0})
    sound_late: dict[str, int] = dataclasses.field(default_factory=lambda: {"whole": 0, "broken": 0, "refused": 0})
    """The same for requests sent later than ``late_from_s``."""

    def sent_late(self, counted_crashes: int, contact_s: float) -> int:
        """Return how many crashing requests were sent to back ends that late after that many crashes."""
        if len(self.crashes_s) < counted_crashes:
            return 0
        return sum(at_s > self.crashes_s[counted_crashes - 1] + contact_s for at_s in self.crashing_sent_s)

    def late_share(self, how: str) -> float:
        """Return the share of late sound requests that ended in this way."""
        return self.sound_late[how] / sum(self.sound_late.values())


class ModelFleet:
    """Plays one fleet for some seconds."""

    def __init__(
        self,
        nodes: int,
        workers: int,
        traffic: Traffic,
        seed: int,
        make_quarantine: Callable[[], PartQuarantine] = PartQuarantine,
        late_from_s: float = 12.0,
    ) -> None:
        self._rng = random.Random(seed)
        self._traffic = traffic
        self._late_from_s = late_from_s
        self.quarantines = [make_quarantine() for _ in range(nodes)]
        for number, quarantine in enumerate(self.quarantines):
            quarantine.turn_of = lambda part, number=number: self._turn(part, number)
        self._clock_error_s = [self._rng.uniform(*CLOCK_ERROR_S) for _ in range(nodes)]
        self.workers = [Worker(number) for number in range(workers)]
        self.figures = Figures()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._last = itertools.count()
        self.now_s = 0.0

    def _turn(self, part: str, node: int) -> NodeTurn:
        nodes = len(self.quarantines)
        return NodeTurn((xxhash.xxh32_intdigest(part.encode()) + node) % nodes, nodes)

    def play(self, seconds: float) -> Figures:
        """Play and return what was seen."""
        self._at(self._gap(self._traffic.sound_per_s), self._next_sound)
        self._at(self._traffic.crashing_from_s, self._next_crashing)
        if self._traffic.is_part_sound_before:
            self._at(0.0, self._next_sound_with_the_part)
        if self._traffic.crashes_by_chance_per_s:
            self._at(self._gap(self._traffic.crashes_by_chance_per_s), self._next_crash_by_chance)
        for at_s in self._traffic.zone_outages_s:
            self._at(at_s, self._end_zone)
        while self._events and self._events[0][0] < seconds:
            self.now_s, _, happen = heapq.heappop(self._events)
            happen()
        return self.figures

    def _at(self, at_s: float, happen: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), happen))

    def _after(self, delay_s: float, happen: Callable[[], None]) -> None:
        self._at(self.now_s + delay_s, happen)

    def _gap(self, per_s: float) -> float:
        return self._rng.expovariate(per_s)

    # --- requests --------------------------------------------------------------------------------------

    def _sound_parts(self) -> tuple[str, str]:
        first = min(self._rng.randrange(self._traffic.first_parts), self._rng.randrange(self._traffic.first_parts))
        inner = min(self._rng.randrange(self._traffic.inner_parts), self._rng.randrange(self._traffic.inner_parts))
        return f"first-{first}", f"inner-{inner}"

    def _parts_with_the_bad_one(self) -> tuple[str, ...]:
        first, inner = self._sound_parts()
        return ("bad", first) if self._traffic.is_first_part_bad else (first, "bad", inner)

    def _next_sound(self) -> None:
        self._send(self._sound_parts(), is_crashing=False)
        self._after(self._gap(self._traffic.sound_per_s), self._next_sound)

    def _next_sound_with_the_part(self) -> None:
        if self.now_s < self._traffic.crashing_from_s:
            self._send(self._parts_with_the_bad_one(), is_crashing=False)
            self._after(self._gap(self._traffic.crashing_per_s), self._next_sound_with_the_part)

    def _next_crashing(self) -> None:
        self._send(self._parts_with_the_bad_one(), is_crashing=True)
        self._after(self._gap(self._traffic.crashing_per_s), self._next_crashing)

    def _send(self, parts: tuple[str, ...], is_crashing: bool) -> None:
        node = self._rng.randrange(len(self.quarantines))
        quarantine = self.quarantines[node]
        is_refused = quarantine.refusal(parts, self.now_s, self._count_up) is not None
        if is_refused and not quarantine.begin_trial(parts, self.now_s):
            self._count(is_crashing, "refused", self.now_s)
            return
        worker = self.choose_worker(node, parts)
        if worker is None:
            return
        begins_s = self.now_s + self._rng.uniform(*READING_S)
        ends_s = begins_s + (CRASH_AFTER_S if is_crashing else self._rng.uniform(*WRITING_S))
        run = Run(node, parts, is_crashing, self.now_s, begins_s, ends_s)
        if is_crashing:
            self.figures.crashing_sent_s.append(self.now_s)
        worker.runs.append(run)
        self._at(ends_s, lambda: self._end(worker, run))

    def choose_worker(self, node: int, parts: tuple[str, ...]) -> Worker | None:
        """Return the back end of a request, None if none is up."""
        up = [each for each in self.workers if each.is_up]
        return self._rng.choice(up) if up else None

    def _count_up(self) -> int:
        return sum(each.is_up for each in self.workers)

    def _end(self, worker: Worker, run: Run) -> None:
        if run.is_broken:
            return
        worker.runs.remove(run)
        if run.is_crashing:
            self.figures.crashes_s.append(self.now_s)
            self._crash(worker, run)
            return
        self._count(False, "whole", run.sent_s)
        self._on_worked(run)

    def _count(self, is_crashing: bool, how: str, sent_s: float) -> None:
        if is_crashing:
            return
        self.figures.sound[how] += 1
        if sent_s >= self._late_from_s:
            self.figures.sound_late[how] += 1

    # --- crashes ---------------------------------------------------------------------------------------

    def _next_crash_by_chance(self) -> None:
        up = [each for each in self.workers if each.is_up]
        if up:
            self._crash(self._rng.choice(up))
        self._after(self._gap(self._traffic.crashes_by_chance_per_s), self._next_crash_by_chance)

    def _end_zone(self) -> None:
        for worker in self.workers[::ZONE]:
            if worker.is_up:
                self._crash(worker)

    def _crash(self, worker: Worker, cause: Run | None = None) -> None:
        start_id, crashed_s = f"{worker.number}/{worker.start}", self.now_s
        runs, worker.runs, worker.is_up = worker.runs + ([cause] if cause else []), [], False
        self._after(self._rng.uniform(*RESTART_S), lambda: self._restart(worker))
        by_node: dict[int, set[str]] = {}
        for run in runs:
            run.is_broken = True
            self._count(run.is_crashing, "broken", run.sent_s)
            if self.now_s - run.begins_s < BEGINNING_S:
                by_node.setdefault(run.node, set()).update(run.parts)
            else:
                self._on_worked(run)
        for node, parts in by_node.items():
            self._after(
                self._rng.uniform(*PROBED_S),
                lambda node=node, parts=parts: self._know(node, parts, start_id, crashed_s),
            )

    def _restart(self, worker: Worker) -> None:
        worker.start += 1
        worker.is_up = True

    def _know(self, node: int, parts: set[str], start_id: str, crashed_s: float) -> None:
        crashed_s += self._clock_error_s[node]
        for part in self._rng.sample(sorted(parts), len(parts)):
            if self.quarantines[node].on_crash(part, start_id, self.now_s, crashed_s):
                self._tell(
                    node, lambda quarantine, part=part: quarantine.on_crash(part, start_id, self.now_s, crashed_s)
                )

    def _on_worked(self, run: Run) -> None:
        for part, start_id in self.quarantines[run.node].on_worked(run.parts, run.begins_s):
            self._tell(run.node, lambda quarantine, part=part, start=start_id: quarantine.forget_crash(part, start))

    def _tell(self, node: int, change: Callable[[PartQuarantine], object]) -> None:
        for other, quarantine in enumerate(self.quarantines):
            if other != node:
                self._after(self._rng.uniform(*ROW_S), lambda quarantine=quarantine: change(quarantine))
