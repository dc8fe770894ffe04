"""A service whose engines fall silent, with the callers of three nodes, in virtual time.

The nodes' pipelines are the real ones. An engine is a model: it writes the events of a stream at a steady pace,
refuses when its slots are taken, and does nothing while it is silent; then it goes on where it was.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec

from tests.unit.serving.fakes import FakeReply, event, make_request, make_route, make_state
from tests.virtual_time import run_virtual
from wallwell.address import parse_address
from wallwell.clock import boot_time_s
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import RouteKind
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.serving.liveness import LivenessMonitor
from wallwell.serving.messages import AnswerHead, AttemptError, Generation
from wallwell.serving.pipeline import RequestPipeline

NODES = 3
EVENTS = 40
EVENT_INTERVAL_S = 0.05
PREFILL_S = 0.03
REQUESTS_PER_S = 14
TRAFFIC_S = 30.0
CALLER_TIMEOUT_S = 10.0
SHARED_PARTS = 20
"""Prompts differ in their first part, so that they are placed on all engines."""
CONNECTION_END_S = 3.0
"""After so long without an acknowledgement the system ends a connection to a machine without power."""
ENTRY_END_S = 4.0
"""After so long the listing no longer has an engine that has died."""
FOREVER_S = 1e9


@dataclass(frozen=True)
class Silence:
    """The busiest ``engines`` are silent from ``at_s`` on, in seconds from the first request."""

    at_s: float
    lasts_s: float
    engines: int
    has_power: bool = True
    """Whether the engines' machines accept connections meanwhile."""


@dataclass
class Engine:
    """One engine's state."""

    number: int
    slots: int
    running: int = 0
    silent_until_s: float = 0.0
    silent_since_s: float = FOREVER_S
    has_power: bool = True


@dataclass
class Outcomes:
    """What callers got, and what the engines did for it."""

    whole: int = 0
    cut: int = 0
    refused: int = 0
    disordered: int = 0
    moved: int = 0
    """Streams that went on at another engine within their answer."""
    sends: int = 0
    events_in_vain: int = 0
    """Events that an engine wrote and no caller got."""
    largest_gap_s: float = 0.0
    unbalanced: int = 0
    """Attempts that the nodes still count as in flight at the end."""


@dataclass
class TimedReply(FakeReply):
    """Records the longest pause between two writes."""

    last_write_s: float | None = None
    largest_gap_s: float = 0.0

    async def write(self, data):
        now_s = boot_time_s()
        if self.last_write_s is not None:
            self.largest_gap_s = max(self.largest_gap_s, now_s - self.last_write_s)
        self.last_write_s = now_s
        await super().write(data)


class StreamAnswer:
    """The stream of one attempt."""

    def __init__(self, service, engine, first_number):
        self.head = AnswerHead(200, (), 1, True)
        self._service = service
        self._engine = engine
        self._next_number = first_number
        self._is_open = True

    async def chunks(self):
        for number in range(self._next_number, EVENTS + 1):
            if number > self._next_number:
                await asyncio.sleep(EVENT_INTERVAL_S)
            await self._service.awake(self._engine)
            self._service.events_written += 1
            yield event(number)
        self.close()

    def close(self):
        if self._is_open:
            self._is_open = False
            self._engine.running -= 1


@dataclass
class SilentService:
    """The engines. Implements :class:`wallwell.serving.messages.BackendClient` and the check of machines."""

    engines: list[Engine]
    sends: int = 0
    events_written: int = 0

    async def awake(self, engine):
        """Wait until an engine is not silent. Raises :class:`AttemptError` if the connection ends before."""
        while boot_time_s() < engine.silent_until_s:
            left_s = engine.silent_until_s - boot_time_s()
            if not engine.has_power:
                end_s = engine.silent_since_s + CONNECTION_END_S - boot_time_s()
                if end_s < left_s:
                    await asyncio.sleep(max(0.0, end_s))
                    raise AttemptError(TransportEvent.RESET_AFTER_SEND, "no acknowledgement")
            await asyncio.sleep(min(left_s, CALLER_TIMEOUT_S))

    async def send(self, dispatch):
        engine = self.engines[int(dispatch.backend.incarnation.removeprefix("i-"))]
        self.sends += 1
        await asyncio.sleep(0.001)
        await self.awake(engine)
        if engine.running >= engine.slots:
            raise AttemptError(TransportEvent.BACKEND_OVERLOADED, "full")
        engine.running += 1
        answer = StreamAnswer(self, engine, (dispatch.resume_after or 0) + 1)
        try:
            await asyncio.sleep(PREFILL_S)
            await self.awake(engine)
        except BaseException:
            answer.close()
            raise
        return answer

    async def is_reachable(self, backend):
        engine = self.engines[int(backend.incarnation.removeprefix("i-"))]
        if boot_time_s() < engine.silent_until_s and not engine.has_power:
            await asyncio.sleep(0.25)
            return False
        return True

    accepts_connections = is_reachable


@dataclass
class Fleet:
    """The nodes of one run."""

    service: SilentService
    states: list = field(default_factory=list)
    pipelines: list = field(default_factory=list)
    monitors: list = field(default_factory=list)

    def add_node(self, number, route, slots):
        state = make_state(route, backends=0, versions={"m": 1})
        state.node, state.members = f"n{number}", {f"n{each}" for each in range(NODES)}
        for engine in self.service.engines:
            address = parse_address(f"10.0.0.{engine.number}:80")
            record = BackendRecord(f"i-{engine.number}", "svc", address, "z1", slots, versions={"m": 1})
            state.backends.upsert(record)
        liveness = LivenessMonitor(state, self.service)
        self.states.append(state)
        self.pipelines.append(RequestPipeline(state, self.service, liveness=liveness))
        self.monitors.append(asyncio.ensure_future(liveness.run()))


def play(silences, engines=4, slots=128, attempts=2, max_gap_s=0.5, traffic_s=TRAFFIC_S):
    """Serve the callers of all nodes through silences; return what they got."""
    route = make_route(RouteKind.STREAM, resumable=True, attempts=attempts, timeout_s=CALLER_TIMEOUT_S)
    route = msgspec.structs.replace(route, max_gap_s=max_gap_s)

    async def scenario():
        service = SilentService([Engine(number, slots) for number in range(engines)])
        fleet = Fleet(service)
        for number in range(NODES):
            fleet.add_node(number, route, slots)
        plans = [asyncio.ensure_future(_carry_out(fleet, silence)) for silence in silences]
        serving, replies = [], []
        for number in range(int(traffic_s * REQUESTS_PER_S)):
            for state in fleet.states:
                state.freshness.confirm(boot_time_s())
            reply = TimedReply()
            request = _request(number)
            replies.append(reply)
            serving.append(asyncio.ensure_future(fleet.pipelines[number % NODES].serve(request, reply)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*serving)
        for task in (*fleet.monitors, *plans):
            task.cancel()
        return _outcomes(fleet, replies)

    return run_virtual(scenario())


def _request(number):
    parts = (PromptPart(f"shared-{number % SHARED_PARTS}", 100), PromptPart("own", 10))
    request = make_request(generation=Generation("m", parts), caller_timeout_s=CALLER_TIMEOUT_S)
    return msgspec.structs.replace(request, request_id=f"r-{number}")


async def _carry_out(fleet, silence):
    await asyncio.sleep(silence.at_s)
    now_s = boot_time_s()
    silent = sorted(fleet.service.engines, key=lambda engine: -engine.running)[: silence.engines]
    for engine in silent:
        engine.silent_since_s, engine.silent_until_s = now_s, now_s + silence.lasts_s
        engine.has_power = silence.has_power
    if silence.lasts_s < FOREVER_S:
        return
    await asyncio.sleep(ENTRY_END_S)
    for state in fleet.states:
        for engine in silent:
            state.backends.remove(f"i-{engine.number}")


def _outcomes(fleet, replies):
    outcomes = Outcomes(sends=fleet.service.sends)
    whole = b"".join(event(number) for number in range(1, EVENTS + 1))
    received = 0
    for reply in replies:
        received += reply.body.count(b"id:")
        outcomes.largest_gap_s = max(outcomes.largest_gap_s, reply.largest_gap_s)
        if reply.ended == "finished":
            outcomes.whole += reply.body == whole
            outcomes.disordered += reply.body != whole
        elif reply.ended == "aborted":
            outcomes.cut += 1
        else:
            outcomes.refused += 1
    outcomes.moved = sum(pipeline.counters.resumed_streams["router"] for pipeline in fleet.pipelines)
    outcomes.events_in_vain = fleet.service.events_written - received
    outcomes.unbalanced = sum(
        abs(each.in_flight) + abs(each.load) for state in fleet.states for each in state.backends.all_backends()
    )
    return outcomes
