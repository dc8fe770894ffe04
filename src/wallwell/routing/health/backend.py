"""What this node has observed of one listed back end, and what follows for sending it requests. Pure.

Owns the observations: requests in flight, failures, suspension, weights versions believed to be in place, silence,
and what it has stated about itself. Relies on :mod:`.suspension` for how long a failure suspends, on
:mod:`.backoff` for how long it is left alone at its own request, and on :mod:`.silence` for when it is probed. The
selection of back ends reads it; the pipeline and the watches of a node write to it. Times are on this node's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health import suspension
from wallwell.routing.health.backoff import RequestedBackoff
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, RequestLimit
from wallwell.routing.health.silence import Silence


@dataclass(frozen=True)
class ExpectedWeightsLoad:
    """Weights that an engine is to load, expected until the version is in place or ``until_s`` has passed.

    The engine takes requests until ``from_s``, when it receives the order.
    """

    model: str
    version: int
    until_s: float
    from_s: float = float("-inf")


@dataclass(eq=False)
class Backend:
    """A listed back end and this node's own observations of it. Times are on this node's clock.

    Compared by identity: each choice of an engine tests some thousand times whether one is in a list.
    """

    record: BackendRecord
    in_flight: int = 0
    load: int = 0
    """This node's requests in flight, long prompts counted several times."""
    peers_load: int | None = None
    """The same of all other nodes by their recent reports; None without such reports."""
    consecutive_failures: int = 0
    consecutive_refusals: int = 0
    """Requests refused as it was full, since the last one that it accepted."""
    suspended_until_s: float = 0.0
    last_success_s: float = float("-inf")
    slow_until_s: float = float("-inf")
    """Until when it is slow from its start."""
    versions: dict[str, int] = field(default_factory=dict)
    """Weights version believed to be in place, per model."""
    expected_load: ExpectedWeightsLoad | None = None
    gone: bool = False
    leaving_since_s: float | None = None
    """When its entry or one of its answers first said that it leaves. Nothing takes that back: leaving ends with
    the end of the back end, and an entry that says otherwise is older."""
    backoff: RequestedBackoff = field(default_factory=RequestedBackoff)
    request_limit: RequestLimit | None = None
    """What it has stated of how many requests it takes; None if it never stated a limit."""
    superseded: bool = False
    """Whether a later incarnation has been listed at its address, or a later start of this one, so that it has
    ended."""
    lapses_at_s: float | None = None
    """When it counts as gone unless it is listed again; None while it is listed."""
    silence: Silence = field(default_factory=Silence)

    @property
    def incarnation(self) -> str:
        """The identity of this life of the back end."""
        return self.record.incarnation

    @property
    def start_id(self) -> str:
        """Names this start, since a back end may start again under its identity; the identity if it does not say
        when it started."""
        started_unix_ms = self.record.started_unix_ms
        return self.incarnation if started_unix_ms is None else f"{self.incarnation}@{started_unix_ms}"

    @property
    def is_limited(self) -> bool:
        """Whether it says now how many requests it takes from all nodes together."""
        return self.request_limit is not None and self.request_limit.per_s != NO_LIMIT_PER_S

    def fleet_load(self, node_count: int = 1) -> int:
        """Return the requests of all nodes in flight; without reports each is taken to send as much as this one."""
        return self.load * node_count if self.peers_load is None else self.load + self.peers_load

    def is_open(self, now_s: float) -> bool:
        """Whether the back end may get new requests."""
        if self.is_leaving(now_s) or now_s < self.suspended_until_s:
            return False
        return self.backoff.allows_request(now_s)

    def is_serving(self, now_s: float) -> bool:
        """Whether requests to it can be expected to be served: it is open, and not only to be tried again after a
        suspension that its failures have brought on."""
        is_on_trial = self.consecutive_failures > 0 and now_s < self.suspended_until_s + suspension.RECOVERY_TRIAL_S
        return self.is_open(now_s) and not is_on_trial

    @property
    def has_announced_leave(self) -> bool:
        """Whether it leaves by its own word, in its entry or its answers."""
        return self.record.draining or self.leaving_since_s is not None

    def is_leaving(self, now_s: float) -> bool:
        """Whether it leaves by its own word, is gone or superseded."""
        return self.has_announced_leave or self._has_ended(now_s)

    def _has_ended(self, now_s: float) -> bool:
        has_lapsed = self.lapses_at_s is not None and now_s >= self.lapses_at_s
        return self.gone or self.superseded or has_lapsed

    @property
    def is_replaced(self) -> bool:
        """Whether it is listed no more, and a later one has taken its address or its identity: nobody answers on
        its connections."""
        return self.gone and self.superseded

    def is_within_leaving_grace(self, grace_s: float, now_s: float) -> bool:
        """Whether it is leaving, but has not been known to for ``grace_s`` yet."""
        if self.leaving_since_s is None or self._has_ended(now_s):
            return False
        return now_s < self.leaving_since_s + grace_s

    def is_loading_weights(self, now_s: float) -> bool:
        """Whether it is believed to be loading weights by an order."""
        return (
            self.expected_load is not None
            and now_s >= self.expected_load.from_s
            and self.has_pending_weights_load(now_s)
        )

    def expect_weights_load(self, load: ExpectedWeightsLoad, now_s: float) -> None:
        """Expect a load; another announcement of the same one does not delay its beginning."""
        expected = self.expected_load
        if (
            expected is not None
            and now_s < expected.until_s
            and (expected.model, expected.version) == (load.model, load.version)
        ):
            load = replace(load, from_s=min(load.from_s, expected.from_s))
        self.expected_load = load

    def has_pending_weights_load(self, now_s: float) -> bool:
        """Whether an order to load weights is believed to be carried out or to come at any moment."""
        load = self.expected_load
        return load is not None and now_s < load.until_s and self.believed_version(load.model) < load.version

    def on_success(self, now_s: float) -> None:
        """Note an answer: failures before it count no more."""
        self.consecutive_failures = 0
        self.last_success_s = now_s

    def is_answering(self, now_s: float) -> bool:
        """Whether it has answered this node recently, so that a silence means that it is busy."""
        return suspension.has_answered_recently(self.last_success_s, now_s)

    def on_failure(self, now_s: float, unreachable: bool) -> bool:
        """Note a failure; returns True if the back end is now suspended, see :mod:`.suspension`."""
        self.consecutive_failures += 1
        until_s = suspension.failure_suspension_end_s(self.consecutive_failures, unreachable, now_s)
        if until_s is None:
            return False
        self.suspended_until_s = until_s
        return True

    def on_accepted(self, now_s: float) -> float | None:
        """Note that it took a request; returns the seconds since its first refusal if that ends a back-off."""
        self.consecutive_refusals = 0
        return self.backoff.on_accepted(now_s)

    def on_refused(self, now_s: float) -> bool:
        """Note that it refused a request since it was full; returns True if it is now suspended.

        Those that are refused during a suspension were sent before it and count as one.
        """
        if now_s < self.suspended_until_s:
            return False
        self.consecutive_refusals += 1
        until_s = suspension.refusal_suspension_end_s(self.consecutive_refusals, now_s)
        if until_s is None:
            return False
        self.suspend_at_least_until(until_s)
        return True

    def suspend_at_least_until(self, until_s: float) -> None:
        """Send it nothing before ``until_s``; a longer suspension stays."""
        self.suspended_until_s = max(self.suspended_until_s, until_s)

    def reset_failures(self, end_s: float) -> None:
        """Forget its failures and end its suspension at ``end_s`` at the latest."""
        self.consecutive_failures = 0
        self.suspended_until_s = min(self.suspended_until_s, end_s)

    def believed_version(self, model: str) -> int:
        """Weights version to expect; 0 if nothing is known of the model."""
        return self.versions.get(model, 0)

    def set_reported_version(self, model: str, version: int) -> None:
        """Take a version that the back end itself has reported."""
        self.versions[model] = version
