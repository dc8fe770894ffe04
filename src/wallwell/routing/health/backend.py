"""What this node has observed of a listed back end. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.silence import Silence

FIRST_SUSPENSION_S = 0.6
MAX_SUSPENSION_S = 4.0
FAILURES_TO_SUSPEND = 2
ANSWERING_S = 1.5
"""How long an answer shows that a back end works."""


@dataclass(frozen=True)
class LoadInProgress:
    """Weights to be loaded, believed until the version is seen in place or ``until_s`` has passed.

    The engine takes requests until ``from_s``, when its order is given.
    """

    model: str
    version: int
    until_s: float
    from_s: float = float("-inf")


@dataclass(eq=False)
class Backend:
    """A listed back end and this node's own observations of it. Times are on this node's clock.

    Compared by identity: each choice of an engine looks some thousand times whether one is in a list.
    """

    record: BackendRecord
    in_flight: int = 0
    load: int = 0
    """This node's requests under way, long prompts counted several times."""
    peers_load: int | None = None
    """The same of all other nodes as they told lately; None if they are not heard."""
    consecutive_failures: int = 0
    suspended_until_s: float = 0.0
    last_success_s: float = float("-inf")
    slow_until_s: float = float("-inf")
    """Until when it is slow from its start."""
    versions: dict[str, int] = field(default_factory=dict)
    """Weights version believed to be in place, per model."""
    loading: LoadInProgress | None = None
    gone: bool = False
    superseded: bool = False
    """Whether a later incarnation has been listed at its address, so that this one has ended."""
    lapses_at_s: float | None = None
    """When it counts as gone unless it is listed again; None if it is listed."""
    silence: Silence = field(default_factory=Silence)

    @property
    def incarnation(self) -> str:
        """The identity of this life of the back end."""
        return self.record.incarnation

    def fleet_load(self, nodes: int = 1) -> int:
        """Return the requests of all nodes under way; unheard nodes are taken to send as much as this one."""
        return self.load * nodes if self.peers_load is None else self.load + self.peers_load

    def is_open(self, now_s: float) -> bool:
        """Whether the back end may get new requests."""
        return not (self.is_leaving(now_s) or now_s < self.suspended_until_s)

    def is_leaving(self, now_s: float) -> bool:
        """Whether it is draining, gone or superseded."""
        has_lapsed = self.lapses_at_s is not None and now_s >= self.lapses_at_s
        return self.gone or self.superseded or self.record.draining or has_lapsed

    def is_loading(self, now_s: float) -> bool:
        """Whether an order to load weights is believed to be under way."""
        return self.loading is not None and now_s >= self.loading.from_s and self.is_about_to_load(now_s)

    def expect_load(self, load: LoadInProgress, now_s: float) -> None:
        """Believe in a load to come; word of the same one again does not put its beginning off."""
        known = self.loading
        if (
            known is not None
            and now_s < known.until_s
            and (known.model, known.version) == (load.model, load.version)
        ):
            load = replace(load, from_s=min(load.from_s, known.from_s))
        self.loading = load

    def is_about_to_load(self, now_s: float) -> bool:
        """Whether an order to load weights is believed to be under way or to come at any moment."""
        load = self.loading
        return load is not None and now_s < load.until_s and self.believed_version(load.model) < load.version

    def on_success(self, now_s: float) -> None:
        """The back end answered."""
        self.consecutive_failures = 0
        self.last_success_s = now_s

    def is_answering(self, now_s: float) -> bool:
        """Whether it has answered this node lately, so that a silence means that it is busy."""
        return now_s - self.last_success_s < ANSWERING_S

    def on_failure(self, now_s: float, unreachable: bool) -> bool:
        """Note a failure; returns True if the back end is now suspended.

        An unreachable back end is suspended at once, with a pause that doubles; another one after consecutive
        failures only, since some of its requests still succeed.
        """
        self.consecutive_failures += 1
        threshold = 1 if unreachable else FAILURES_TO_SUSPEND
        if self.consecutive_failures < threshold:
            return False
        doublings = min(self.consecutive_failures - threshold, 6)
        pause_s = min(MAX_SUSPENSION_S, FIRST_SUSPENSION_S * (1 << doublings))
        self.suspended_until_s = now_s + pause_s
        return True

    def believed_version(self, model: str) -> int:
        """Weights version to expect; 0 if nothing is known of the model."""
        return self.versions.get(model, 0)

    def learn_version(self, model: str, version: int) -> None:
        """Take a version that the back end itself has told."""
        self.versions[model] = version
