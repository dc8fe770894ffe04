"""Typed messages between the interface to callers, the request pipeline and the clients of back ends.

Independent of any wire format: an interface parses its own protocol into :class:`CallerRequest` and renders
:class:`AnswerHead` and body bytes; a client of back ends does the reverse. All decisions are made in the pipeline.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from wallwell.address import Address
from wallwell.deployment.backends import BackendRecord
from wallwell.errors import RequestError
from wallwell.number_ranges import Amount
from wallwell.routing.health.answer_end import ListingStatus
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.backend_notice import NO_NOTICE, BackendNotice
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.selection.prefix_home import PromptPart

Headers = tuple[tuple[str, str], ...]


class Generation(msgspec.Struct, frozen=True):
    """The parameters of a generation request: model, prompt parts and resume position."""

    model: str
    parts: tuple[PromptPart, ...]
    resume_after: Amount | None = None
    """Number of the last event that the caller has received; None to start from the beginning."""

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)


class CallerRequest(msgspec.Struct, frozen=True):
    """One request as its caller sent it. ``arrived_s`` is the time of arrival in seconds on this node's clock."""

    request_id: str
    host: str
    method: str
    target: str
    """Path and query exactly as sent."""
    headers: Headers
    """End-to-end headers that callers may set."""
    body: bytes
    credential: str
    caller_timeout_s: float | None
    """How long the caller waits, in seconds from the arrival of the request; None if the caller does not say."""
    arrived_s: float
    generation: Generation | None = None
    declared_tokens: int | None = None
    """Prompt tokens plus the largest number of output tokens; None if the caller does not say."""
    first_request_id: str = ""
    """Id of the request whose answer began the stream that this one resumes; empty if the caller does not say."""

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller already has events of the stream, from the answer to an earlier request."""
        return self.generation is not None and self.generation.resume_after is not None

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.partition("?")[0]


class CachePlan(msgspec.Struct, frozen=True):
    """KV stores to fetch prompt parts from and to save them to; ``scope`` separates caches that must not mix."""

    scope: str
    fetch_from: Address | None = None
    save_to: Address | None = None
    group: str = ""
    """Cache group that the scope names (:mod:`wallwell.deployment.cache_groups`)."""
    configuration: int = 0
    """Version of the configuration that the group follows."""


@dataclass
class SendProgress:
    """Progress of sending an attempt, by which an attempt that is ended early is classified."""

    connecting: bool = False
    """Whether the connection is still being opened, so that nothing can have reached the back end."""
    via_peer: str = ""
    """Name of the node that makes the attempt for this one; empty if this node makes it itself."""
    found_no_peer: bool = False
    """Whether peers were to make the attempt, and none did."""
    connection: int = 0
    """Number of this node's connection on which the request was sent; 0 if it was not sent by this node."""
    round_trip: int = 0
    """How many requests had been sent on that connection by then, this one included."""


def _always_true() -> bool:
    return True


@dataclass(frozen=True)
class Dispatch:
    """One attempt to be sent to a back end. ``remaining_s`` is the time in seconds until the request's deadline."""

    backend: BackendRecord
    request: CallerRequest
    tenant: str
    remaining_s: float
    rank: int
    expected_version: int = 0
    resume_after: int | None = None
    required_software: str | None = None
    """Software version that the back end must run, since it began the stream that is continued; None if any."""
    cache: CachePlan | None = None
    progress: SendProgress = field(default_factory=SendProgress)
    prefers_peers: bool = False
    """Whether a peer is to make the attempt, since this node cannot connect to the service's back ends."""
    listing_status: Callable[[], ListingStatus] = ListingStatus
    """What is known by now of whether the back end leaves or has been replaced."""
    may_send: Callable[[], bool] = _always_true
    """Whether the back end may still get the request; called right before sending, as connecting takes time."""


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of a back end's answer, forwarded to the caller unchanged."""

    status: int
    headers: Headers
    weights_version: int = 0
    is_event_stream: bool = False
    notice: BackendNotice = NO_NOTICE
    """What the answer states about its back end; already applied to this node's state."""

    @property
    def ok(self) -> bool:
        """Whether the status reports success (2xx)."""
        return 200 <= self.status < 300


class AttemptError(Exception):
    """An attempt ended without a complete answer; ``event`` says how, and decides whether a retry is allowed."""

    def __init__(
        self,
        event: TransportEvent,
        detail: str = "",
        weights_version: int = 0,
        notice: BackendNotice = NO_NOTICE,
    ) -> None:
        """``notice`` is what a refusing answer states about its back end; already applied to this node's state."""
        super().__init__(f"{event.value} {detail}")
        self.notice = notice
        self.event = event
        self.detail = detail
        self.weights_version = weights_version


class CallerGoneError(ConnectionError):
    """The caller has closed its connection and waits for no answer."""


class BackendAnswer(Protocol):
    """An answer whose head has arrived."""

    head: AnswerHead

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body. Raises :class:`AttemptError` if the body ends early."""
        ...

    def close(self) -> None:
        """Abort the request if its answer is not complete, so that the back end stops working on it."""
        ...


class BackendClient(Protocol):
    """Sends requests to back ends."""

    async def send(self, dispatch: Dispatch) -> BackendAnswer:
        """Send once if ``may_send`` allows; return when the head has arrived. Raises :class:`AttemptError`."""
        ...


class CrashObserver(Protocol):
    """Receives the results of attempts that show whether a request crashes back ends."""

    def on_broken_run(
        self, content_digest: str, backend: Backend, parts: Sequence[str] = (), sent_s: float = float("-inf")
    ) -> None:
        """Called when a connection ends before the answer to the request with this content digest is complete.

        ``parts`` are digests of the parts of its prompt that may be the cause of a crash. ``sent_s`` is when the
        request was sent; by default before any crash of the back end.
        """
        ...

    def on_worked(self, parts: Sequence[str], began_s: float) -> None:
        """Called when an answer on these parts, begun at this time, is not the kind that crashes a back end."""
        ...

    def on_answered(self, content_digest: str) -> None:
        """Called when the request with this content digest is answered with success."""
        ...


class CallerReply(Protocol):
    """The reply to one caller. Exactly one of ``answer``, ``refuse``, ``finish`` and ``abort`` ends it."""

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        ...

    def is_caller_gone(self) -> bool:
        """Whether the caller has closed its connection; checks the socket, as the event loop is told later."""
        ...

    def is_cut_by_stop(self) -> bool:
        """Whether this node has ended the reply itself, at the end of its planned stop."""
        ...

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        """Send a complete answer."""
        ...

    async def refuse(self, error: RequestError) -> None:
        """Send an error of the router itself."""
        ...

    async def start(self, head: AnswerHead) -> None:
        """Send the head of a streamed answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send complete events of a streamed answer; waits while the caller reads slowly."""
        ...

    async def finish(self) -> None:
        """End a streamed answer that is complete."""
        ...

    def abort(self) -> None:
        """Break off a streamed answer so that the caller cannot mistake it for a complete one."""
        ...
