"""What a run does and when, drawn from its seed alone. Times count from the load's start."""

from __future__ import annotations

import enum
import random

import msgspec

from wallwell.errors import SoakError
from wallwell.soak.history import RequestKind


class FaultKind(enum.Enum):
    """Faults that a run can cause. The comment names the target."""

    KILL_NODE = "kill_node"  # a node: SIGKILL, started again at the end
    KILL_ALL_NODES = "kill_all_nodes"  # every node at once
    PAUSE_NODE = "pause_node"  # a node: SIGSTOP, SIGCONT at the end
    STOP_NODE = "stop_node"  # a node: SIGTERM, started again at the end
    CRASH_WORKER = "crash_worker"  # a worker: SIGKILL, a new incarnation at the end
    DRAIN_WORKER = "drain_worker"  # a worker: says that it leaves, serves on, ends; a new incarnation at the end
    STORE_DOWN = "store_down"  # the store: 503 to all
    STORE_REFUSES_NODE = "store_refuses_node"  # a node: 503 at the store
    STORE_SILENT = "store_silent"  # the store: calls get no answer
    STORE_SLOW = "store_slow"  # the store: each call waits
    STORE_LOSES_ANSWERS = "store_loses_answers"  # the store: done, no answer
    STORE_WRITES_LATE = "store_writes_late"  # the store: no answer, done later
    STORE_FORGETS = "store_forgets"  # the store: history is gone
    LINK_RESET = "link_reset"  # a link: open connections are reset, new ones too until the end
    LINK_SLOW = "link_slow"  # a link: delayed and narrow
    LINK_SILENT = "link_silent"  # a link: open connections carry nothing more; new ones work
    LINK_CUT_FORTH = "link_cut_forth"  # a link: nothing reaches the far end, answers would come
    LINK_CUT_BACK = "link_cut_back"  # a link: nothing comes back


NODE_FAULTS = (FaultKind.KILL_NODE, FaultKind.PAUSE_NODE, FaultKind.STOP_NODE, FaultKind.STORE_REFUSES_NODE)
WORKER_FAULTS = (FaultKind.CRASH_WORKER, FaultKind.DRAIN_WORKER)
STORE_FAULTS = (
    FaultKind.STORE_DOWN,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_LOSES_ANSWERS,
    FaultKind.STORE_WRITES_LATE,
    FaultKind.STORE_FORGETS,
)
LINK_FAULTS = (
    FaultKind.LINK_RESET,
    FaultKind.LINK_SLOW,
    FaultKind.LINK_SILENT,
    FaultKind.LINK_CUT_FORTH,
    FaultKind.LINK_CUT_BACK,
)


class Badness(msgspec.Struct, frozen=True):
    """How a software version is bad. All off: it is good.

    ``failure_share`` of the answers fail and all take ``slowness`` times as long, from ``after_s`` of the worker's
    life on, while at least ``under_load`` requests run there, on paths that begin with ``path``.
    """

    failure_share: float = 0.0
    slowness: float = 1.0
    after_s: float = 0.0
    under_load: int = 0
    path: str = "/"

    @property
    def is_bad(self) -> bool:
        """Whether anything is on."""
        return self.failure_share > 0 or self.slowness > 1

    def strikes(self, age_s: float, running: int, path: str) -> bool:
        """Whether a request that begins now is struck."""
        is_due = age_s >= self.after_s and running >= self.under_load
        return self.is_bad and is_due and path.startswith(self.path)


ROLLOUTS = {
    "good": Badness(),
    "failing": Badness(failure_share=0.5),
    "slow": Badness(slowness=5.0),
    "failing_later": Badness(failure_share=0.5, after_s=5.0),
    "failing_under_load": Badness(failure_share=0.5, under_load=2),
    "failing_on_one_route": Badness(failure_share=0.5, path="/book/"),
}
"""Versions that a run can roll out, by name."""
ROLLOUT_SERVICE = "orders"
TARGET_VERSION = "v2"
ROLLOUT_AT_S = 2.0
STORE = "store"
ALL_NODES = "all"
LIMITED_KEY = "key-limited"
FIRST_KEYS = ("key-a", "key-b", "key-c", LIMITED_KEY)
LATER_KEYS = ("key-a", "key-b", "key-d", LIMITED_KEY)
"""Keys of the second configuration: one is taken away, one is new."""
KEY_WEIGHTS = {"key-a": 3.0, "key-b": 3.0, "key-c": 2.0, "key-d": 2.0, LIMITED_KEY: 4.0}
LIMIT_RATE_PER_S = 3.0
LIMIT_BURST = 6.0
"""Limit of one tenant; its callers ask for about three times as much."""
REVOKE_S = 4.0
VERSION_S = 6.0
DRAIN_BOUND_S = 2.0
EXPOSURE_SHARE = 0.1
EXPOSURE_REQUESTS = 50.0
ROLLBACK_S = 5.0
"""Bounds that routers are told; shorter than a deployment's where runs of seconds would not reach them."""
FIRST_FAULT_S = 1.0
RECOVERY_S = 5.0
"""Time after which a fleet whose nodes were all killed serves again, counted from their start."""
SHOWN_RECOVERED_S = 3.0
"""Time at the end of a run in which requests show that the fleet has recovered."""
SETTLE_S = 3.5
"""Time between the last single fault's begin and the end of all nodes: the longest fault and some more."""
SHORTEST_RUN_S = 15.0
FAULT_PERIODS_S = (1.0, 3.0, 1000.0)
"""Mean time between two faults, one drawn for each run; a fault lasts 0.3 to 2.5 s, so that some overlap.

The last leaves one fault before all nodes are killed: bounds that count for nodes in touch need quiet spans."""
FAULT_LASTS_S = (0.3, 2.5)
REQUESTS_PER_S = 40.0
KIND_WEIGHTS = {
    RequestKind.SAFE: 2.0,
    RequestKind.UNSAFE: 3.0,
    RequestKind.STREAM: 3.0,
    RequestKind.RESUMABLE: 2.0,
}
LEAVE_SHARE = 0.08
"""Part of the callers that leave before the end."""
LEAVE_AFTER_S = (0.02, 0.4)
STREAM_EVENTS = (3, 120)
PROMPT_TOKENS = (50, 1500)
SHARED_PARTS = 6


class PlannedRequest(msgspec.Struct, frozen=True):
    """One request of a caller. ``leaves_after_s`` 0: it stays to the end."""

    at_s: float
    request: str
    kind: RequestKind
    node: int
    key: str
    deadline_s: float
    events: int = 0
    prompt_parts: str = ""
    prompt_tokens: int = 0
    leaves_after_s: float = 0.0


class PlannedFault(msgspec.Struct, frozen=True):
    """One fault; ``target`` names a process or a link."""

    at_s: float
    lasts_s: float
    kind: FaultKind
    target: str

    def __str__(self) -> str:
        return f"{self.at_s:7.2f} s  {self.kind.value:<20} {self.target:<18} for {self.lasts_s:.2f} s"


class OperationKind(enum.Enum):
    """What an operator does in a run."""

    CHANGE_KEYS = "change_keys"  # a configuration with LATER_KEYS
    NAME_WEIGHTS = "name_weights"  # version 2 of the engines' model
    ROLL_OUT = "roll_out"  # TARGET_VERSION of ROLLOUT_SERVICE


class PlannedOperation(msgspec.Struct, frozen=True):
    """One thing that an operator does."""

    at_s: float
    kind: OperationKind

    def __str__(self) -> str:
        return f"{self.at_s:7.2f} s  {self.kind.value}"


class Shape(msgspec.Struct, frozen=True):
    """How large a run is."""

    seconds: float = 20.0
    nodes: int = 3
    engines: int = 4
    instances: int = 2
    rollout: str = ""
    """Name of :data:`ROLLOUTS`, empty for none."""

    def node_names(self) -> tuple[str, ...]:
        """Names of the router processes."""
        return tuple(f"node-{index}" for index in range(self.nodes))

    def worker_names(self) -> tuple[str, ...]:
        """Names of the workers' places; an incarnation's name has a number more."""
        engines = tuple(f"engine-{index}" for index in range(self.engines))
        return engines + tuple(f"orders-{index}" for index in range(self.instances))

    def target_names(self) -> tuple[str, ...]:
        """Names of the places of a rollout's target workers."""
        return tuple(f"orders-new-{index}" for index in range(self.instances)) if self.rollout else ()

    def rollout_duration_s(self) -> float:
        """Time from a rollout's order to its deadline: it ends before all nodes are killed."""
        return self.seconds - RECOVERY_S - SHOWN_RECOVERED_S - ROLLOUT_AT_S - 1.0

    def links(self) -> tuple[str, ...]:
        """Links that go through the proxy: to each worker from all nodes, and from each node to the store."""
        to_store = tuple(f"{node}>store" for node in self.node_names())
        return to_store + tuple(f"nodes>{worker}" for worker in self.worker_names() + self.target_names())


class Schedule(msgspec.Struct, frozen=True):
    """All that a run does."""

    seed: int
    shape: Shape
    faults: tuple[PlannedFault, ...]
    requests: tuple[PlannedRequest, ...]
    operations: tuple[PlannedOperation, ...] = ()


def draw_schedule(seed: int, shape: Shape) -> Schedule:
    """Return the schedule of a seed: the same for the same arguments. Raises :class:`SoakError`."""
    if shape.seconds < SHORTEST_RUN_S:
        raise SoakError(f"a run takes {SHORTEST_RUN_S:g} s at least: the fleet's recovery is part of it")
    if shape.rollout and shape.rollout not in ROLLOUTS:
        raise SoakError(f"no version {shape.rollout} to roll out; there are {', '.join(ROLLOUTS)}")
    faults = _draw_faults(random.Random(f"{seed}/faults"), shape)
    requests = _draw_requests(random.Random(f"{seed}/requests"), seed, shape)
    operations = _draw_operations(random.Random(f"{seed}/operations"), shape)
    return Schedule(seed, shape, tuple(faults), tuple(requests), tuple(operations))


def _draw_operations(generator: random.Random, shape: Shape) -> list[PlannedOperation]:
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - VERSION_S
    keys_s, weights_s = (round(generator.uniform(0.5, max(1.0, latest_s)), 2) for _ in range(2))
    operations = [
        PlannedOperation(keys_s, OperationKind.CHANGE_KEYS),
        PlannedOperation(weights_s, OperationKind.NAME_WEIGHTS),
    ]
    if shape.rollout:
        operations.append(PlannedOperation(ROLLOUT_AT_S, OperationKind.ROLL_OUT))
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
    faults.append(PlannedFault(round(kill_at_s, 2), 0.3, FaultKind.KILL_ALL_NODES, ALL_NODES))
    return faults


def _draw_target(generator: random.Random, shape: Shape) -> tuple[FaultKind, str]:
    groups: list[tuple[tuple[FaultKind, ...], tuple[str, ...]]] = [
        (NODE_FAULTS, shape.node_names()),
        (WORKER_FAULTS, shape.worker_names()),
        (STORE_FAULTS, (STORE,)),
        (LINK_FAULTS, shape.links()),
    ]
    kinds, targets = generator.choice(groups)
    return generator.choice(kinds), generator.choice(targets)


def _draw_requests(generator: random.Random, seed: int, shape: Shape) -> list[PlannedRequest]:
    requests: list[PlannedRequest] = []
    at_s = 0.0
    while at_s < shape.seconds:
        requests.append(_draw_request(generator, f"{seed}-{len(requests)}", at_s, shape))
        at_s += generator.expovariate(REQUESTS_PER_S)
    return requests


def _draw_request(generator: random.Random, request: str, at_s: float, shape: Shape) -> PlannedRequest:
    kind = generator.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
    leaves_after_s = generator.uniform(*LEAVE_AFTER_S) if generator.random() < LEAVE_SHARE else 0.0
    shared = generator.randrange(SHARED_PARTS)
    tokens = generator.randint(*PROMPT_TOKENS)
    events = generator.randint(*STREAM_EVENTS)
    return PlannedRequest(
        at_s=round(at_s, 3),
        request=request,
        kind=kind,
        node=generator.randrange(shape.nodes),
        key=generator.choices(list(KEY_WEIGHTS), list(KEY_WEIGHTS.values()))[0],
        deadline_s=round(generator.uniform(1.0, 4.0), 2),
        events=events if kind.is_stream else 0,
        prompt_parts=f"5a{shared:02x}:400,{generator.getrandbits(32):08x}:{tokens}" if kind.is_stream else "",
        prompt_tokens=400 + tokens if kind.is_stream else 0,
        leaves_after_s=round(leaves_after_s, 3),
    )
