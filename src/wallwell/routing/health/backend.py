"""State of one listed back end as observed by this node, and whether the back end may get requests. Pure.

Owns the observations: requests in flight, failures, suspension, weights versions believed to be in place, silence,
and what the back end has stated about itself. Relies on :mod:`.suspension` for the duration of suspensions, on
:mod:`.backoff` for the back-off that a back end asks for, and on :mod:`.silence` for when it is probed. The
selection of back ends reads this state; the request pipeline and the node's background tasks update it. Times are
on this node's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import xxhash

from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health import suspension
from wallwell.routing.health.answer_end import ListingStatus
from wallwell.routing.health.backoff import RequestedBackoff
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, RequestLimit
from wallwell.routing.health.silence import Silence

MAX_START_ID_BYTES = 120
"""Bytes of a start's identity: with the digest of a part of prompts, which goes before it, the key of a crash's row
stays below the 200 bytes that the store allows."""

UNLISTED_SEPARATOR = "+"
"""Stands in the identity of a start that is not listed between the identity of the listed one and a number."""
MAX_UNLISTED_STARTS = 1000
"""Numbers of unlisted starts that are believed are below this: a start takes seconds, and an entry outlives few."""


@dataclass(frozen=True)
class ExpectedWeightsLoad:
    """A weights load announced for an engine, expected until the version is in place or ``until_s`` has passed. The
    engine accepts requests until ``from_s``, when it receives the order to load."""

    model: str
    version: int
    until_s: float
    from_s: float = float("-inf")


@dataclass(eq=False)
class Backend:
    """A listed back end and this node's own observations of it. Times are on this node's clock. Compared by
    identity, for speed: each choice of an engine makes some thousand membership tests in lists."""

    record: BackendRecord
    in_flight: int = 0
    load: int = 0
    """This node's requests in flight, in load units: a long prompt counts several times."""
    peers_load: int | None = None
    """Load of all other nodes by their recent reports, in load units; None without recent reports."""
    consecutive_failures: int = 0
    consecutive_refusals: int = 0
    """Requests refused because the back end was full, since the last accepted request."""
    suspended_until_s: float = 0.0
    last_success_s: float = float("-inf")
    slow_until_s: float = float("-inf")
    """Until when the back end is expected to be slow after its start."""
    versions: dict[str, int] = field(default_factory=dict)
    """Weights version believed to be in place, per model."""
    expected_load: ExpectedWeightsLoad | None = None
    gone: bool = False
    leaving_since_s: float | None = None
    """When its entry or one of its answers first announced that the back end is leaving, that is, about to end.
    Never reset: leaving ends only with the back end, and an entry without the announcement is older."""
    backoff: RequestedBackoff = field(default_factory=RequestedBackoff)
    request_limit: RequestLimit | None = None
    """Limit of requests that the back end has stated; None if it never stated one."""
    superseded: bool = False
    """Whether the back end has ended, since a later incarnation has been listed at its address, or a later start
    of this incarnation."""
    lapses_at_s: float | None = None
    """When the back end counts as gone unless it is listed again; None while it is listed."""
    is_entry_unreadable: bool = False
    """Whether it counts as gone only since its entry cannot be read, which says nothing of its process."""
    silence: Silence = field(default_factory=Silence)
    crash_times_s: list[float] = field(default_factory=list)
    """When it was found, one after the other, that this start and the unlisted ones after it have crashed. What
    runs at its address since then, and of which software version, is not known until its next start is listed."""

    @property
    def incarnation(self) -> str:
        """The identity of this incarnation of the back end."""
        return self.record.incarnation

    @property
    def start_id(self) -> str:
        """Identifies this start, since a back end may restart under the same incarnation. Equals the incarnation if
        the back end does not state when it started; a digest if it would be too long for a row's key."""
        started_unix_ms = self.record.started_unix_ms
        start_id = self.incarnation if started_unix_ms is None else f"{self.incarnation}@{started_unix_ms}"
        encoded = start_id.encode()
        return start_id if len(encoded) <= MAX_START_ID_BYTES else xxhash.xxh3_128_hexdigest(encoded)

    @property
    def crashed_at_s(self) -> float | None:
        """When it was last found that this start, or an unlisted one after it, has crashed; None if none has."""
        return self.crash_times_s[-1] if self.crash_times_s else None

    def runs_unlisted_start(self, sent_s: float) -> bool:
        """Whether what was sent at ``sent_s`` reached a start that is not listed, since this one had crashed."""
        return bool(self.crash_times_s) and self.crash_times_s[0] <= sent_s

    def start_id_at(self, sent_s: float) -> str:
        """Identify the start that got what was sent at ``sent_s``: this one, or by its number one that began at its
        address after it had crashed and is not listed."""
        crashes_before = sum(at_s <= sent_s for at_s in self.crash_times_s)
        return f"{self.start_id}{UNLISTED_SEPARATOR}{crashes_before}" if crashes_before else self.start_id

    def on_crashed(self, number: int, now_s: float) -> None:
        """Record that the start with this number has crashed: 0 is the listed one, others are those after it."""
        while len(self.crash_times_s) <= number:
            self.crash_times_s.append(now_s)

    @property
    def is_limited(self) -> bool:
        """Whether the back end currently states a limit of requests from all nodes together."""
        return self.request_limit is not None and self.request_limit.per_s != NO_LIMIT_PER_S

    def fleet_load(self, node_count: int = 1) -> int:
        """Return the load of all nodes; without reports, every node is assumed to have the load of this one."""
        return self.load * node_count if self.peers_load is None else self.load + self.peers_load

    def is_open(self, now_s: float) -> bool:
        """Whether the back end may get new requests."""
        if self.is_leaving(now_s) or now_s < self.suspended_until_s:
            return False
        return self.backoff.allows_request(now_s)

    def is_serving(self, now_s: float) -> bool:
        """Whether the back end is expected to serve requests: it is open, and not on trial after a suspension for
        failures."""
        is_on_trial = self.consecutive_failures > 0 and now_s < self.suspended_until_s + suspension.RECOVERY_TRIAL_S
        return self.is_open(now_s) and not is_on_trial

    @property
    def has_announced_leave(self) -> bool:
        """Whether the back end has announced, in its entry or its answers, that it is leaving."""
        return self.record.draining or self.leaving_since_s is not None

    def is_leaving(self, now_s: float) -> bool:
        """Whether the back end has announced that it is leaving, or is gone, superseded or lapsed."""
        return self.has_announced_leave or self._has_ended(now_s)

    def _has_ended(self, now_s: float) -> bool:
        has_lapsed = self.lapses_at_s is not None and now_s >= self.lapses_at_s
        return self.gone or self.superseded or has_lapsed

    def may_have_left(self, now_s: float) -> bool:
        """Whether the listing or its own answers say that the back end leaves or has left."""
        return self.has_announced_leave or (self._has_ended(now_s) and not self.is_entry_unreadable)

    def listing_status(self, now_s: float) -> ListingStatus:
        """Return what the listing and its own answers say of the back end now."""
        unlisted_since_s = None if self.is_entry_unreadable else self.lapses_at_s
        return ListingStatus(
            is_leaving=self.may_have_left(now_s),
            has_announced_leave=self.has_announced_leave,
            is_replaced=self.superseded,
            unlisted_since_s=unlisted_since_s,
        )

    @property
    def is_replaced(self) -> bool:
        """Whether the back end is no longer listed and a later start has its address or identity, so that nothing
        answers on its connections."""
        return self.gone and self.superseded

    def is_within_leaving_grace(self, grace_s: float, now_s: float) -> bool:
        """Whether the back end has not ended, and has been known to be leaving for less than ``grace_s``."""
        if self.leaving_since_s is None or self._has_ended(now_s):
            return False
        return now_s < self.leaving_since_s + grace_s

    def is_loading_weights(self, now_s: float) -> bool:
        """Whether the engine is believed to be loading weights that it was ordered to load."""
        return (
            self.expected_load is not None
            and now_s >= self.expected_load.from_s
            and self.has_pending_weights_load(now_s)
        )

    def expect_weights_load(self, load: ExpectedWeightsLoad, now_s: float) -> None:
        """Record an announced load of weights. A repeated announcement does not delay the load's start."""
        expected = self.expected_load
        if (
            expected is not None
            and now_s < expected.until_s
            and (expected.model, expected.version) == (load.model, load.version)
        ):
            load = replace(load, from_s=min(load.from_s, expected.from_s))
        self.expected_load = load

    def has_pending_weights_load(self, now_s: float) -> bool:
        """Whether the engine is believed to be loading weights or to be about to get the order."""
        load = self.expected_load
        return load is not None and now_s < load.until_s and self.believed_version(load.model) < load.version

    def on_success(self, now_s: float) -> None:
        """Record an answer, which resets the count of failures."""
        self.consecutive_failures = 0
        self.last_success_s = now_s

    def is_answering(self, now_s: float) -> bool:
        """Whether the back end has answered this node recently, so that a silence only shows that it is busy."""
        return suspension.has_answered_recently(self.last_success_s, now_s)

    def is_silent(self, now_s: float) -> bool:
        """Whether the back end has sent this node nothing for long while requests are in flight there."""
        return self.in_flight > 0 and self.silence.is_long(now_s)

    def on_failure(self, now_s: float, unreachable: bool) -> bool:
        """Record a failure; returns True if it suspends the back end, see :mod:`.suspension`."""
        self.consecutive_failures += 1
        until_s = suspension.failure_suspension_end_s(self.consecutive_failures, unreachable, now_s)
        if until_s is None:
            return False
        self.suspended_until_s = until_s
        return True

    def on_accepted(self, now_s: float) -> float | None:
        """Record an accepted request; returns the seconds since the first refusal if this ends a back-off."""
        self.consecutive_refusals = 0
        return self.backoff.on_accepted(now_s)

    def on_refused(self, now_s: float) -> bool:
        """Record a request refused because the back end was full; returns True if this suspends the back end.
        Refusals during a suspension are not counted: those requests were sent before it."""
        if now_s < self.suspended_until_s:
            return False
        self.consecutive_refusals += 1
        until_s = suspension.refusal_suspension_end_s(self.consecutive_refusals, now_s)
        if until_s is None:
            return False
        self.suspend_at_least_until(until_s)
        return True

    def suspend_at_least_until(self, until_s: float) -> None:
        """Suspend the back end until ``until_s``; a longer suspension stays in force."""
        self.suspended_until_s = max(self.suspended_until_s, until_s)

    def reset_failures(self, end_s: float) -> None:
        """Reset the count of failures, and end the suspension at ``end_s`` at the latest."""
        self.consecutive_failures = 0
        self.suspended_until_s = min(self.suspended_until_s, end_s)

    def believed_version(self, model: str) -> int:
        """Return the weights version that the engine is believed to have; 0 if unknown."""
        return self.versions.get(model, 0)

    def set_believed_version(self, model: str, version: int) -> None:
        """Set the weights version that the engine is believed to have of a model."""
        self.versions[model] = version
