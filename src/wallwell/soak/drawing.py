"""Draws the schedule of a run from its seed alone.

The same seed and shape give the same schedule, byte for byte: kept runs depend on the order of the draws. Requests,
faults and operations draw from generators of their own, so that one does not change the others.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from wallwell.errors import SoakError
from wallwell.soak.history import RequestKind
from wallwell.soak.schedule import (
    ALL_NODES,
    BETWEEN_REGIONS,
    CALM_BEFORE_STOP_S,
    CALM_BEFORE_WEIGHTS_S,
    KEY_WEIGHTS,
    LINK_FAULTS,
    NODE_FAULTS,
    RECOVERY_S,
    REGION_FAULTS,
    SHOWN_RECOVERED_S,
    STORE,
    STORE_FAULTS,
    VERSION_S,
    WORKER_FAULTS,
    FaultKind,
    OperationKind,
    PlannedFault,
    PlannedOperation,
    PlannedRequest,
    Schedule,
    Shape,
)
from wallwell.soak.versions import ROLLOUTS

FIRST_FAULT_S = 1.0
"""Seconds before the first fault, and between two faults of one target: some requests have been served by then."""
SETTLE_S = 3.5
"""Time between the last single fault's begin and the end of all nodes: the longest fault and some more."""
SHORTEST_RUN_S = 15.0
"""Seconds of the shortest run: single faults, and the recovery of all nodes at its end."""
KILL_ALL_LASTS_S = 0.3
"""Seconds from the end of all nodes to their start."""
FAULT_PERIODS_S = (1.0, 3.0, 1000.0)
"""Mean time between two faults, one drawn for each run; a fault lasts 0.3 to 2.5 s, so that some overlap.

The last leaves one fault before all nodes are killed: invariants with a time bound need fault-free spans."""
FAULT_LASTS_S = (0.3, 2.5)
"""Shortest and longest fault, in seconds: below and beyond the time-outs of connections."""
KIND_WEIGHTS = {
    RequestKind.SAFE: 2.0,
    RequestKind.UNSAFE: 3.0,
    RequestKind.STREAM: 3.0,
    RequestKind.RESUMABLE: 2.0,
}
LEAVE_FRACTION = 0.08
"""Fraction of the callers that leave before the end."""
LEAVE_AFTER_S = (0.02, 0.4)
"""Seconds after which they leave: before the first event, or in the middle of a stream."""
DEADLINE_S = (1.0, 4.0)
"""Seconds that callers wait; the longest is the routes' own time-out."""
STREAM_EVENTS = (3, 120)
"""Events of a stream: up to 1.8 s at a worker."""
PROMPT_TOKENS = (50, 1500)
"""Tokens of a prompt's own part."""
SHARED_PARTS = 6
"""Parts of prompts that requests share."""
SHARED_PART_TOKENS = 400
"""Tokens of each of them."""
SHED_LASTS_S = 2.5
"""Seconds for which a worker refuses requests: two back-offs and some more."""
LIMIT_LASTS_S = 9.0
"""Seconds for which a worker states a limit: until it must be kept, a span in which it is counted, and more."""
LIMIT_FROM_S = (0.5, 2.5)
"""Seconds after which it first does."""
RESTARTS = 2
"""Workers that start again under their identity."""
SPOILT_S = 4.0
"""Seconds for which an entry is spoilt: longer than nodes may go on sending to its worker."""
BREAK_PERIOD_S = 0.6
"""Mean time between two crashes of engines or ends of nodes where several versions serve, besides the shortest."""
BREAK_LASTS_S = (0.3, 0.8)
"""Seconds until the crashed engine's next incarnation, or the node, starts."""
NODE_BREAK_FRACTION = 0.3
"""Fraction of these faults that end a node."""
LONG_STREAMS_PER_S = 8.0
"""Long streams a second, besides the other requests."""
SILENCES = 3
"""Times in which a sound worker falls silent."""
SILENCE_LASTS_S = (0.6, 1.5)
"""Seconds for which it does."""
RESTORED_AFTER_KEYS_S = (0.1, 2.0)
"""Seconds from the change of keys to the store's first outage that ends in a restore: the copy lacks the change."""
RESTORE_LASTS_S = (0.1, 2.5)
"""Seconds for which the store is away before it comes back from a copy."""
SECOND_RESTORE_FRACTION = 0.5
"""Fraction of the seeds in which it comes back from a copy again soon after."""
SECOND_RESTORE_AFTER_S = (0.2, 3.0)
"""Seconds from the first return to the next outage."""
STORE_DOWN_S = 4.5
"""Seconds of a store's outage in which a worker leaves: until it has ended, so that its answers alone say so."""
OUTAGE_FRACTION = 0.5
"""Fraction of the seeds with such an outage: invariants with a time bound are not checked while it lasts."""
LEAVES_AFTER_S = 0.3
"""Seconds from the begin of that outage to the worker's leave."""
CRASHING_FROM_S = (1.0, 3.0)
"""Seconds after which a caller first sends a request that crashes workers."""
BAD_PART_TOKENS = 200
"""Tokens of a part that crashes workers."""
BAD_PART_PERIOD_S = (0.15, 0.6)
"""Mean time between two requests with a part that crashes workers; one is drawn for each part."""
SKEW_LASTS_S = 6.0
"""Seconds for which most requests go to one node: the time of contact, and as much again."""
SKEW_FRACTION = 0.85
"""Fraction of the requests of that time that do."""
SKEW_MORE_PER_S = 40.0
"""Requests a second to that node besides."""
CRASHING_PERIOD_S = (0.2, 1.0)
"""Time between two sendings of a request that crashes workers; one is drawn for each of its callers."""


def draw_schedule(seed: int, shape: Shape) -> Schedule:
    """Return the schedule of a seed: the same for the same arguments. Raises :class:`SoakError`."""
    if shape.seconds < SHORTEST_RUN_S:
        raise SoakError(f"a run takes {SHORTEST_RUN_S:g} s at least: the fleet's recovery is part of it")
    if shape.rollout and shape.rollout not in ROLLOUTS:
        raise SoakError(f"no version {shape.rollout} to roll out; there are {', '.join(ROLLOUTS)}")
    faults = _draw_faults(random.Random(f"{seed}/faults"), shape)
    requests = _draw_requests(random.Random(f"{seed}/requests"), seed, shape)
    for number in range(shape.crashing):
        requests += _draw_crashing(random.Random(f"{seed}/crashing/{number}"), f"{seed}-crashing-{number}", shape)
    for number in range(shape.bad_parts):
        requests += _draw_bad_part(random.Random(f"{seed}/bad parts/{number}"), f"{seed}-bad{number}", shape)
    if shape.skews:
        requests = _draw_skew(random.Random(f"{seed}/skews"), seed, shape, requests)
    if shape.versions > 1:
        requests += _draw_long_streams(random.Random(f"{seed}/streams"), seed, shape)
    requests.sort(key=lambda request: request.at_s)
    if shape.notices and shape.engines and shape.instances:
        faults += _draw_notices(random.Random(f"{seed}/notices"), shape)
    if shape.limits:
        faults.append(_draw_limit(random.Random(f"{seed}/limits"), shape))
    if shape.identities:
        faults += _draw_identities(random.Random(f"{seed}/identities"), shape)
    if shape.silences:
        faults += _draw_silences(random.Random(f"{seed}/silences"), shape)
    if shape.versions > 1:
        faults += _draw_breaks(random.Random(f"{seed}/versions"), shape)
    operations = _draw_operations(random.Random(f"{seed}/operations"), shape)
    if shape.restores:
        faults += _draw_restores(random.Random(f"{seed}/restores"), shape, operations)
    if shape.calm_s > CALM_BEFORE_STOP_S:
        stopped = random.Random(f"{seed}/calm").choice(shape.node_names())
        stop_at_s = shape.seconds + CALM_BEFORE_STOP_S
        faults.append(PlannedFault(stop_at_s, KILL_ALL_LASTS_S, FaultKind.STOP_NODE, stopped))
    faults.sort(key=lambda fault: fault.at_s)
    return Schedule(seed, shape, tuple(faults), tuple(requests), tuple(operations))


def _draw_operations(generator: random.Random, shape: Shape) -> list[PlannedOperation]:
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - VERSION_S
    keys_s, weights_s = (round(generator.uniform(0.5, max(1.0, latest_s)), 2) for _ in range(2))
    if shape.calm_s:
        weights_s = shape.seconds + CALM_BEFORE_WEIGHTS_S
    operations = [
        PlannedOperation(keys_s, OperationKind.CHANGE_KEYS),
        PlannedOperation(weights_s, OperationKind.NAME_WEIGHTS),
    ]
    if shape.rollout:
        operations.append(PlannedOperation(shape.rollout_at_s, OperationKind.ROLL_OUT))
    return operations


def _draw_faults(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    faults: list[PlannedFault] = []
    busy: dict[str, float] = {}
    period_s = generator.choice(FAULT_PERIODS_S)
    at_s = FIRST_FAULT_S
    kill_at_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S
    while at_s < kill_at_s - SETTLE_S:
        kind, target = _draw_target(generator, shape)
        lasts_s = round(generator.uniform(*FAULT_LASTS_S), 2)
        if busy.get(target, 0.0) <= at_s:
            faults.append(PlannedFault(round(at_s, 2), lasts_s, kind, target))
            busy[target] = at_s + lasts_s + FIRST_FAULT_S
        at_s += generator.expovariate(1 / period_s)
    faults.append(PlannedFault(round(kill_at_s, 2), KILL_ALL_LASTS_S, FaultKind.KILL_ALL_NODES, ALL_NODES))
    return faults


def _draw_notices(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    """Return times in which workers state something about themselves that the store does not."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - STORE_DOWN_S
    engines = [name for name in shape.worker_names() if name.startswith("engine")]
    instances = [name for name in shape.worker_names() if name not in engines]
    leaving = generator.choice(instances)  # Each of the few gets many requests, so that nodes soon know.
    (shedding,) = generator.sample(engines, k=1)
    shed_at_s = round(generator.uniform(FIRST_FAULT_S, latest_s), 2)
    faults = [PlannedFault(shed_at_s, SHED_LASTS_S, FaultKind.SHED_WORKER, shedding)]
    if generator.random() < OUTAGE_FRACTION:
        down_at_s = round(generator.uniform(FIRST_FAULT_S, latest_s), 2)
        leaves_at_s = round(down_at_s + LEAVES_AFTER_S, 2)
        faults.append(PlannedFault(down_at_s, STORE_DOWN_S, FaultKind.STORE_DOWN, STORE))
        faults.append(PlannedFault(leaves_at_s, 0.0, FaultKind.DRAIN_WORKER, leaving))
    return faults


def _draw_limit(generator: random.Random, shape: Shape) -> PlannedFault:
    """Return a time in which a worker states a limit, from early on until all nodes are killed or before."""
    at_s = round(generator.uniform(*LIMIT_FROM_S), 2)
    until_s = min(at_s + LIMIT_LASTS_S, shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S)
    limited = generator.choice(shape.worker_names())
    return PlannedFault(at_s, round(until_s - at_s, 2), FaultKind.LIMIT_WORKER, limited)


def _draw_identities(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    """Return restarts of workers under their identity, and a time in which the entry of another one is spoilt."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - SPOILT_S
    *restarting, spoilt = generator.sample(shape.worker_names(), k=RESTARTS + 1)
    faults = [
        PlannedFault(
            round(generator.uniform(FIRST_FAULT_S, latest_s), 2),
            round(generator.uniform(*FAULT_LASTS_S), 2),
            FaultKind.RESTART_WORKER,
            name,
        )
        for name in restarting
    ]
    spoilt_at_s = round(generator.uniform(FIRST_FAULT_S, latest_s), 2)
    return [*faults, PlannedFault(spoilt_at_s, SPOILT_S, FaultKind.SPOIL_ENTRY, spoilt)]


def _draw_silences(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    """Return times in which sound workers send nothing; a part of the run's calm span has one, if there is any."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - SILENCE_LASTS_S[1]
    times_s = [generator.uniform(FIRST_FAULT_S, latest_s) for _ in range(SILENCES)]
    if shape.calm_s:
        times_s[-1] = shape.seconds + generator.uniform(0.0, CALM_BEFORE_WEIGHTS_S)
    names = generator.sample(shape.worker_names(), k=min(SILENCES, len(shape.worker_names())))
    return [
        PlannedFault(round(at_s, 2), round(generator.uniform(*SILENCE_LASTS_S), 2), FaultKind.SILENCE_WORKER, name)
        for at_s, name in zip(times_s, names, strict=False)
    ]


def _draw_breaks(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    """Return crashes of engines, whose next incarnation has other software, and ends of nodes."""
    engines = [name for name in shape.worker_names() if name.startswith("engine")]
    until_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - BREAK_LASTS_S[1]
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < until_s:
        lasts_s = round(generator.uniform(*BREAK_LASTS_S), 2)
        if generator.random() < NODE_BREAK_FRACTION:
            kind, target = FaultKind.KILL_NODE, generator.choice(shape.node_names())
        else:
            kind, target = FaultKind.CRASH_WORKER, generator.choice(engines)
        faults.append(PlannedFault(round(at_s, 2), lasts_s, kind, target))
        at_s += BREAK_LASTS_S[1] + generator.expovariate(1 / BREAK_PERIOD_S)
    return faults


def _draw_long_streams(generator: random.Random, seed: int, shape: Shape) -> list[PlannedRequest]:
    """Return long streams that callers take up when they break off."""
    requests: list[PlannedRequest] = []
    at_s = 0.0
    while at_s < shape.length_s:
        drawn = _draw_request(generator, f"{seed}-long-{len(requests)}", at_s, shape)
        tokens = drawn.prompt_tokens or SHARED_PART_TOKENS
        requests.append(
            msgspec.structs.replace(
                drawn,
                kind=RequestKind.RESUMABLE,
                key="key-a",
                deadline_s=DEADLINE_S[1],
                events=STREAM_EVENTS[1],
                prompt_parts=drawn.prompt_parts or f"5a00:{SHARED_PART_TOKENS}",
                prompt_tokens=tokens,
                leaves_after_s=0.0,
            )
        )
        at_s += generator.expovariate(LONG_STREAMS_PER_S)
    return requests


def _draw_restores(
    generator: random.Random, shape: Shape, operations: Sequence[PlannedOperation]
) -> list[PlannedFault]:
    """Return one or two times in which the store goes away and comes back from a copy, after the change of keys."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - SETTLE_S
    keys_s = next(each.at_s for each in operations if each.kind is OperationKind.CHANGE_KEYS)
    at_s = min(keys_s + generator.uniform(*RESTORED_AFTER_KEYS_S), latest_s)
    lasts_s = generator.uniform(*RESTORE_LASTS_S)
    faults = [PlannedFault(round(at_s, 2), round(lasts_s, 2), FaultKind.STORE_RESTORED, STORE)]
    if generator.random() < SECOND_RESTORE_FRACTION:
        at_s = min(at_s + lasts_s + generator.uniform(*SECOND_RESTORE_AFTER_S), latest_s + SETTLE_S)
        lasts_s = generator.uniform(*RESTORE_LASTS_S)
        faults.append(PlannedFault(round(at_s, 2), round(lasts_s, 2), FaultKind.STORE_RESTORED, STORE))
    return faults


def _draw_target(generator: random.Random, shape: Shape) -> tuple[FaultKind, str]:
    groups: list[tuple[tuple[FaultKind, ...], tuple[str, ...]]] = [
        (NODE_FAULTS, shape.node_names()),
        (WORKER_FAULTS, shape.worker_names()),
        (STORE_FAULTS, (STORE,)),
        (LINK_FAULTS, shape.links()),
    ]
    if shape.regions > 1:
        groups.append((REGION_FAULTS, (BETWEEN_REGIONS,)))
    kinds, targets = generator.choice(groups)
    return generator.choice(kinds), generator.choice(targets)


def _draw_requests(generator: random.Random, seed: int, shape: Shape) -> list[PlannedRequest]:
    requests: list[PlannedRequest] = []
    at_s = 0.0
    while at_s < shape.length_s:
        requests.append(_draw_request(generator, f"{seed}-{len(requests)}", at_s, shape))
        at_s += generator.expovariate(shape.requests_per_s)
    return requests


def _draw_crashing(generator: random.Random, content: str, shape: Shape) -> list[PlannedRequest]:
    """Return the sendings of one request by one caller, at any node."""
    first = _draw_request(generator, content, generator.uniform(*CRASHING_FROM_S), shape)
    first = msgspec.structs.replace(first, key="key-a", leaves_after_s=0.0, content=content)
    period_s = generator.uniform(*CRASHING_PERIOD_S)
    sendings: list[PlannedRequest] = []
    at_s = first.at_s
    while at_s < shape.seconds:
        request = f"{content}-{len(sendings)}"
        node = generator.randrange(shape.nodes)
        sendings.append(msgspec.structs.replace(first, at_s=round(at_s, 3), request=request, node=node))
        at_s += generator.expovariate(1 / period_s)
    return sendings


def _draw_bad_part(generator: random.Random, part: str, shape: Shape) -> list[PlannedRequest]:
    """Return requests that have one part in common, besides those that they share with sound ones, at any node."""
    requests: list[PlannedRequest] = []
    at_s = generator.uniform(*CRASHING_FROM_S)
    period_s = generator.uniform(*BAD_PART_PERIOD_S)
    while at_s < shape.seconds:
        drawn = _draw_request(generator, f"{part}-{len(requests)}", at_s, shape)
        if drawn.kind.is_stream:
            shared, _, own = drawn.prompt_parts.partition(",")
            parts = f"{shared},{part}:{BAD_PART_TOKENS},{own}"
            tokens = drawn.prompt_tokens + BAD_PART_TOKENS
            requests.append(
                msgspec.structs.replace(
                    drawn, prompt_parts=parts, prompt_tokens=tokens, bad_part=part, leaves_after_s=0.0
                )
            )
        at_s += generator.expovariate(1 / period_s)
    return requests


def _draw_skew(
    generator: random.Random, seed: int, shape: Shape, requests: Sequence[PlannedRequest]
) -> list[PlannedRequest]:
    """Return the requests, most of those in some seconds moved to one node, and more there besides."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - SKEW_LASTS_S
    from_s = generator.uniform(FIRST_FAULT_S, max(FIRST_FAULT_S, latest_s))
    until_s = from_s + SKEW_LASTS_S
    node = generator.randrange(shape.nodes)
    skewed: list[PlannedRequest] = []
    for request in requests:
        if from_s <= request.at_s < until_s and generator.random() < SKEW_FRACTION:
            request = msgspec.structs.replace(request, node=node, skewed=True)
        skewed.append(request)
    at_s = from_s
    while at_s < until_s:
        more = _draw_request(generator, f"{seed}-skew-{len(skewed)}", at_s, shape)
        skewed.append(msgspec.structs.replace(more, node=node, skewed=True))
        at_s += generator.expovariate(SKEW_MORE_PER_S)
    return skewed


def _draw_request(generator: random.Random, request: str, at_s: float, shape: Shape) -> PlannedRequest:
    kind = generator.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
    leaves_after_s = generator.uniform(*LEAVE_AFTER_S) if generator.random() < LEAVE_FRACTION else 0.0
    shared = generator.randrange(SHARED_PARTS)
    tokens = generator.randint(*PROMPT_TOKENS)
    events = generator.randint(*STREAM_EVENTS)
    return PlannedRequest(
        at_s=round(at_s, 3),
        request=request,
        kind=kind,
        node=generator.randrange(shape.nodes),
        key=generator.choices(list(KEY_WEIGHTS), list(KEY_WEIGHTS.values()))[0],
        deadline_s=round(generator.uniform(*DEADLINE_S), 2),
        events=events if kind.is_stream else 0,
        prompt_parts=f"5a{shared:02x}:{SHARED_PART_TOKENS},{generator.getrandbits(32):08x}:{tokens}"
        if kind.is_stream
        else "",
        prompt_tokens=SHARED_PART_TOKENS + tokens if kind.is_stream else 0,
        leaves_after_s=round(leaves_after_s, 3),
    )
