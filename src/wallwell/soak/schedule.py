"""What a run does and when: the types of a schedule, and the figures that drawing and checks share.

Times count from the first request. A schedule is drawn in :mod:`wallwell.soak.drawing`.
"""

from __future__ import annotations

import enum

import msgspec

from wallwell.soak.history import RequestKind
from wallwell.soak.versions import ROLLOUT_AT_S


class FaultKind(enum.Enum):
    """Faults that a run can cause. The comment names the target."""

    KILL_NODE = "kill_node"  # a node: SIGKILL, started again at the end
    KILL_ALL_NODES = "kill_all_nodes"  # every node at once
    PAUSE_NODE = "pause_node"  # a node: SIGSTOP, SIGCONT at the end
    STOP_NODE = "stop_node"  # a node: SIGTERM, started again at the end
    RELOAD_NODE = "reload_node"  # a node: SIGHUP
    CRASH_WORKER = "crash_worker"  # a worker: SIGKILL, a new incarnation at the end
    DRAIN_WORKER = "drain_worker"  # a worker: announces its leave, serves on, ends; a new incarnation at the end
    SHED_WORKER = "shed_worker"  # a worker: refuses every request and asks for back-off
    LIMIT_WORKER = "limit_worker"  # a worker: its answers say how many requests a second it takes
    RESTART_WORKER = "restart_worker"  # a worker: SIGKILL, starts again under its identity at the end
    SILENCE_WORKER = "silence_worker"  # a worker: SIGSTOP, SIGCONT at the end
    SPOIL_ENTRY = "spoil_entry"  # a worker: another writer puts into its entry what cannot be read
    STORE_DOWN = "store_down"  # the store: 503 to all
    STORE_REFUSES_NODE = "store_refuses_node"  # a node: 503 at the store
    STORE_SILENT = "store_silent"  # the store: calls get no answer
    STORE_SLOW = "store_slow"  # the store: each call waits
    STORE_LOSES_ANSWERS = "store_loses_answers"  # the store: done, no answer
    STORE_WRITES_LATE = "store_writes_late"  # the store: no answer, done later
    STORE_FORGETS = "store_forgets"  # the store: history is gone
    STORE_RESTORED = "store_restored"  # the store: 503 to all, then it comes back from an older copy
    LINK_RESET = "link_reset"  # a link: open connections are reset, new ones too until the end
    LINK_SLOW = "link_slow"  # a link: delayed and narrow
    LINK_SILENT = "link_silent"  # a link: open connections carry nothing more; new ones work
    LINK_CUT_FORTH = "link_cut_forth"  # a link: nothing reaches the far end, answers would come
    LINK_CUT_BACK = "link_cut_back"  # a link: nothing reaches the near end
    REGIONS_CUT = "regions_cut"  # all links between regions: nothing passes
    REGIONS_NARROW = "regions_narrow"  # all links between regions: a hundredth of their width


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
REGION_FAULTS = (FaultKind.REGIONS_CUT, FaultKind.REGIONS_NARROW)
PLANNED_WORK = (FaultKind.STOP_NODE, FaultKind.RELOAD_NODE)
"""What operators do to nodes on purpose: no request may be lost because of it."""
STORE = "store"
BETWEEN_REGIONS = "regions"
ALL_NODES = "all"
LIMITED_KEY = "key-limited"
FIRST_KEYS = ("key-a", "key-b", "key-c", LIMITED_KEY)
LATER_KEYS = ("key-a", "key-b", "key-d", LIMITED_KEY)
"""Keys of the second configuration: one is taken away, one is new."""
KEY_WEIGHTS = {"key-a": 3.0, "key-b": 3.0, "key-c": 2.0, "key-d": 2.0, LIMITED_KEY: 4.0}
LIMIT_RATE_PER_S = 3.0
"""Requests a second that one tenant may have; its callers ask for about three times as many."""
LIMIT_BURST = 6.0
"""Requests that it may save up."""

# Bounds of the routers' settings, shorter than a deployment's where runs of seconds would not reach them.
REVOKE_S = 4.0
"""Seconds after which a key that was taken away must not be accepted."""
VERSION_S = 6.0
"""Seconds after which named weights must be in place wherever generations begin."""
CONFIGURATION_S = 2.0
"""Seconds after which a configuration must be in force."""
COPY_AGE_S = 3.0
"""Age of the copy that the store comes back from."""
DRAIN_BOUND_S = 2.0
"""Seconds after which a worker that leaves must get nothing more."""
BACKOFF_S = 1.0
"""Seconds for which a worker that refuses requests asks a node for none."""
BACKOFF_SLACK_S = 0.5
"""Seconds after such a refusal in which requests may still arrive that were sent before it was read."""
LATE_REQUESTS = 2
"""Requests of a node that may arrive after that and before the end of the back-off."""
STATED_LIMIT_PER_S = 3.0
"""Requests a second that a worker says it takes from all nodes together: less than a third of what it gets."""
LIMIT_CONTACT_S = 3.0
"""Seconds after a worker first states a limit from which it must be kept."""
LIMIT_WINDOW_S = 4.0
"""Span in which requests are counted for that."""
LIMIT_FACTOR = 1.5
"""Times what the limit allows in a span that may come, and some more."""
LIMIT_EXTRA = 5
"""Requests in a span that may come beyond that."""
LIMIT_KNOWN_S = 0.5
"""Seconds after a node has passed on such an answer from which its requests count."""
GRACE_S = 5.0
"""Seconds that a planned stop is given."""
KEPT_GRACE_S = 8.0
"""The same where callers keep their connections: a deployment's, so that streams outlast what a stop has left."""
ROUTE_TIMEOUT_S = 4.0
"""Seconds that routes give a request."""
KEPT_ROUTE_TIMEOUT_S = 10.0
"""The same where callers keep their connections: longer than their longest streams."""
EXPOSURE_SHARE = 0.1
"""Fraction of a service's requests that a bad version may get."""
EXPOSURE_REQUESTS = 50.0
"""Requests beyond that fraction."""
ROLLBACK_S = 5.0
"""Seconds after its 50th bad answer after which a bad version must get nothing more."""

ENGINE_SLOTS = 16
"""Requests that an engine runs at once: more than usual load takes."""
MANY_ENGINE_SLOTS = 64
"""The same where callers keep their connections, each with a stream at any time."""
FEW_ENGINE_SLOTS = 8
"""The same in runs in which engines are soon full while others are silent."""

CALM_BEFORE_WEIGHTS_S = 2.5
"""Seconds without faults before weights are named: nodes must be in contact with the store, and some more."""
CALM_BEFORE_STOP_S = CALM_BEFORE_WEIGHTS_S + VERSION_S + 4.0
"""Seconds without faults before a planned stop: requests have shown whether the weights are in place."""

RECOVERY_S = 5.0
"""Time after which a fleet whose nodes were all killed serves again, counted from their start."""
SHOWN_RECOVERED_S = 3.0
"""Time at the end of a run in which requests show that the fleet has recovered."""


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
    content: str = ""
    """What a request that is sent several times holds each time; empty for one that is sent once."""
    bad_part: str = ""
    """Part of its prompt that crashes each worker that begins to answer it; empty if none does."""
    skewed: bool = False
    """Whether it is sent to its node since most new connections go there for a while."""
    pace_s: float = 0.0
    """Seconds between the events of its stream, or that its call takes; 0: as its worker does."""


class GoesOn(enum.Enum):
    """How a caller that keeps its connection goes on after an answer."""

    AT_ONCE = "at_once"
    AFTER_5_MS = "after_5_ms"
    AFTER_30_MS = "after_30_ms"
    CHUNKED = "chunked"  # at once; the body comes in chunks
    SLOW_CHUNKS = "slow_chunks"  # at once; the chunks come over up to three quarters of a second
    PIPELINED = "pipelined"  # while the answer comes
    NEW_CONNECTION = "new_connection"  # at once, but on another connection


class KeptCaller(msgspec.Struct, frozen=True):
    """A caller that sends one request after the other to a node, on a connection that it uses while it is open."""

    caller: str
    node: int
    from_s: float
    until_s: float
    """When it begins no request any more."""
    goes_on: GoesOn


class PlannedFault(msgspec.Struct, frozen=True):
    """One fault; ``target`` names a process or a link."""

    at_s: float
    lasts_s: float
    kind: FaultKind
    target: str

    def __str__(self) -> str:
        return f"{self.at_s:7.2f} s  {self.kind.value:<20} {self.target:<18} for {self.lasts_s:.2f} s"


class PlannedOddRow(msgspec.Struct, frozen=True):
    """A row that another writer leaves in the store."""

    at_s: float
    """When it is written first; 0: before the routers start."""
    lasts_s: float
    """For how long it is written again and again; 0: it is written once."""
    period_s: float
    """Seconds between two writings."""
    table: str
    key: str
    form: str
    """What is odd about it, for people."""
    value: str
    """As it stands on the wire."""

    def __str__(self) -> str:
        again = f", again each {self.period_s:.2f} s for {self.lasts_s:.2f} s" if self.lasts_s else ""
        return f"{self.at_s:7.2f} s  odd row in {self.table}: {self.form!a}{again}"


class OperationKind(enum.Enum):
    """What an operator does in a run."""

    CHANGE_KEYS = "change_keys"  # a configuration with LATER_KEYS
    NAME_WEIGHTS = "name_weights"  # version 2 of the engines' model
    ROLL_OUT = "roll_out"  # TARGET_VERSION of ROLLOUT_SERVICE
    ADD_ROUTE = "add_route"  # a configuration with one more route, and all that there was
    ISOLATE = "isolate"  # a configuration that isolates the tenants of some keys, and no others


class PlannedOperation(msgspec.Struct, frozen=True):
    """One thing that an operator does."""

    at_s: float
    kind: OperationKind
    keys: tuple[str, ...] = ()
    """Keys of the tenants that are isolated from then on; of :attr:`OperationKind.ISOLATE` alone."""

    def __str__(self) -> str:
        return f"{self.at_s:7.2f} s  {self.kind.value} {' '.join(self.keys)}".rstrip()


class Shape(msgspec.Struct, frozen=True):
    """How large a run is."""

    seconds: float = 20.0
    nodes: int = 3
    engines: int = 4
    instances: int = 2
    regions: int = 1
    """Nodes and workers are assigned to regions in rotation; the store is in the first."""
    requests_per_s: float = 40.0
    crashing: int = 0
    """Callers that send, again and again, a request under which each worker that begins to run it crashes."""
    bad_parts: int = 0
    """Parts of prompts that crash each worker that begins to answer a request with them."""
    skews: bool = False
    """Whether most requests go to one node for some seconds, and more than before."""
    unframed: bool = False
    """Whether some answers of workers have neither a length nor chunks."""
    second_answers: bool = False
    """Whether workers reject requests now and then, and send some of all their answers a second time."""
    broken_answers: bool = False
    """Whether workers send what is no answer in place of some of their answers."""
    odd_entries: bool = False
    """Whether another writer leaves odd rows in the store, and spoils workers' own entries in odd ways."""
    isolation: bool = False
    """Whether configurations isolate tenants and release them, and a KV store keeps parts of prompts."""
    rollout: str = ""
    """Name of :data:`ROLLOUTS`, empty for none."""
    notices: bool = False
    """Whether a worker refuses requests and asks for back-off, and one may leave while the store is down."""
    limits: bool = False
    """Whether a worker states how many requests it takes."""
    identities: bool = False
    """Whether workers start again under their identity, and an entry is spoilt."""
    silences: bool = False
    """Whether sound workers fall silent for a second or so."""
    group_silences: bool = False
    """Whether sound workers fall silent by group, several times, most of them right after a change of the
    configuration; some runs have engines with few slots then."""
    kept_connections: bool = False
    """Whether more callers use open connections until the router's process is gone, and nodes stop as planned in
    series; most runs have no unplanned fault on nodes, links or the store then."""
    restores: bool = False
    """Whether the store comes back from older copies."""
    versions: int = 1
    """Software versions of the engines that serve side by side, without an order; each new incarnation of an engine
    has the next one. With several, callers take up streams that break off."""
    calm_s: float = 0.0
    """Seconds after ``seconds`` without faults, in which weights are named, software is rolled out and, if there is
    time, one node stops as planned: invariants with a time bound need that."""

    @property
    def length_s(self) -> float:
        """Seconds of the whole schedule."""
        return self.seconds + self.calm_s

    def node_names(self) -> tuple[str, ...]:
        """Names of the router processes."""
        return tuple(f"node-{index}" for index in range(self.nodes))

    def worker_names(self) -> tuple[str, ...]:
        """Names of the workers; each incarnation has this name and a number."""
        engines = tuple(f"engine-{index}" for index in range(self.engines))
        return engines + tuple(f"orders-{index}" for index in range(self.instances))

    def target_names(self) -> tuple[str, ...]:
        """Names of a rollout's target workers."""
        return tuple(f"orders-new-{index}" for index in range(self.instances)) if self.rollout else ()

    @property
    def grace_s(self) -> float:
        """Seconds that a planned stop is given."""
        return KEPT_GRACE_S if self.kept_connections else GRACE_S

    @property
    def route_timeout_s(self) -> float:
        """Seconds that routes give a request."""
        return KEPT_ROUTE_TIMEOUT_S if self.kept_connections else ROUTE_TIMEOUT_S

    @property
    def rollout_at_s(self) -> float:
        """When a rollout is ordered."""
        return self.seconds + CALM_BEFORE_WEIGHTS_S if self.calm_s else ROLLOUT_AT_S

    def rollout_duration_s(self) -> float:
        """Time from a rollout's order to its deadline, which is before the next planned stop or end of nodes."""
        if self.calm_s:
            return CALM_BEFORE_STOP_S - CALM_BEFORE_WEIGHTS_S - 1.0
        return self.seconds - RECOVERY_S - SHOWN_RECOVERED_S - ROLLOUT_AT_S - 1.0

    def links(self) -> tuple[str, ...]:
        """Links that a fault can harm: of each node, and of all of them, to each far end but the store."""
        sources = (ALL_NODES, *self.node_names())
        to_workers = tuple(f"{source}>{worker}" for worker in self.worker_names() for source in sources)
        return tuple(f"{node}>{STORE}" for node in self.node_names()) + to_workers

    def region_of(self, name: str) -> int:
        """Return the region of a node or a worker, or of the store."""
        number = name.rpartition("-")[2]
        return int(number) % self.regions if number.isdecimal() else 0


class Schedule(msgspec.Struct, frozen=True):
    """All that a run does."""

    seed: int
    shape: Shape
    faults: tuple[PlannedFault, ...]
    requests: tuple[PlannedRequest, ...]
    operations: tuple[PlannedOperation, ...] = ()
    engine_slots: int = ENGINE_SLOTS
    """Requests that an engine runs at once."""
    kept_callers: tuple[KeptCaller, ...] = ()
    """Callers that send one request after the other as long as their connections are open."""
    odd_rows: tuple[PlannedOddRow, ...] = ()
    """What another writer leaves in the store."""
