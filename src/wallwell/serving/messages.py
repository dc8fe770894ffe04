"""Typed messages between a callers' interface, the request pipeline and the clients of back ends.

No wire format appears here: an interface parses its own protocol into :class:`CallerRequest` and renders
:class:`AnswerHead` and bytes; a client of back ends does the reverse. The pipeline between them decides.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from wallwell.deployment.backends import BackendRecord
from wallwell.errors import RequestError
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.selection.prefix_home import PromptPart

Headers = tuple[tuple[str, str], ...]


class Generation(msgspec.Struct, frozen=True):
    """What a caller says of a generation: its model, its prompt's parts and where to resume."""

    model: str
    parts: tuple[PromptPart, ...]
    resume_after: int | None = None
    """Number of the last event the caller already has."""

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)


class CallerRequest(msgspec.Struct, frozen=True):
    """One request as a caller sent it. ``arrived_s`` is on this node's clock."""

    request_id: str
    host: str
    method: str
    target: str
    """Path and query exactly as sent."""
    headers: Headers
    """End-to-end headers that are the caller's to set."""
    body: bytes
    credential: str
    caller_timeout_s: float | None
    """How long the caller waits, from its arrival here."""
    arrived_s: float
    generation: Generation | None = None
    declared_tokens: int | None = None
    """Tokens of the prompt and of the largest output together, None if the caller does not say."""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class CachePlan(msgspec.Struct, frozen=True):
    """Where an engine may take and leave cached parts. ``scope`` separates caches that must not mix."""

    scope: str
    fetch_from: str = ""
    save_to: str = ""


@dataclass
class SendProgress:
    """How far the sending of an attempt has come, for whoever abandons it."""

    connecting: bool = False
    """Whether a connection is being made, so that nothing can have reached the back end."""


def _always_true() -> bool:
    return True


@dataclass(frozen=True)
class Dispatch:
    """One attempt at one back end. ``remaining_s`` is what is left of the caller's time."""

    backend: BackendRecord
    request: CallerRequest
    tenant: str
    remaining_s: float
    rank: int
    expected_version: int = 0
    resume_after: int | None = None
    cache: CachePlan | None = None
    progress: SendProgress = field(default_factory=SendProgress)
    may_send: Callable[[], bool] = _always_true
    """Whether the back end still wants the request, to be asked right before it is sent: connecting takes time."""


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of a back end's answer, to be passed on unchanged."""

    status: int
    headers: Headers
    weights_version: int = 0
    is_event_stream: bool = False

    @property
    def ok(self) -> bool:
        """Whether the back end calls it a success."""
        return 200 <= self.status < 300


class AttemptError(Exception):
    """An attempt ended without a whole answer; ``event`` says how, which decides what may follow."""

    def __init__(self, event: TransportEvent, detail: str = "", weights_version: int = 0) -> None:
        super().__init__(f"{event.value} {detail}")
        self.event = event
        self.detail = detail
        self.weights_version = weights_version


class CallerGoneError(ConnectionError):
    """The caller has closed its connection, so nobody waits for an answer any more."""


class BackendAnswer(Protocol):
    """An answer whose head has arrived."""

    head: AnswerHead

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body. Raises :class:`AttemptError` if it ends early."""
        ...

    def close(self) -> None:
        """Abort the request if it has not ended; the back end then stops working on it."""
        ...


class BackendClient(Protocol):
    """Sends requests to back ends."""

    async def send(self, dispatch: Dispatch) -> BackendAnswer:
        """Send once, if the request is still wanted, and wait for the head. Raises :class:`AttemptError`."""
        ...


class CrashObserver(Protocol):
    """Receives what attempts show of crashed back ends."""

    def on_broken_run(self, content: str, backend: Backend) -> None:
        """The connection of a run of this content ended before its answer was whole."""
        ...

    def on_answered(self, content: str) -> None:
        """A request of this content was answered with success."""
        ...


class CallerReply(Protocol):
    """The answer to one caller. Exactly one of the ways to end it is used."""

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        ...

    def is_caller_gone(self) -> bool:
        """Whether the caller has closed its connection; asks the system, which knows before the event loop does."""
        ...

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        """Send a whole answer."""
        ...

    async def refuse(self, error: RequestError) -> None:
        """Send a typed error."""
        ...

    async def start(self, head: AnswerHead) -> None:
        """Send the head of a streamed answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send whole events of a streamed answer; waits while the caller is slow."""
        ...

    async def finish(self) -> None:
        """End a streamed answer as complete."""
        ...

    def abort(self) -> None:
        """Break a streamed answer off so that it cannot look complete."""
        ...
