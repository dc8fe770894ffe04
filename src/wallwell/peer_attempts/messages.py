"""Messages in which a node asks a peer to make one attempt, and in which the peer passes on the answer.

One connection carries one attempt: an :class:`AttemptRequest`, then either one :class:`AttemptDeclined` or
:class:`AttemptFailed`, or an :class:`AnswerStarted`, :class:`AnswerData` for each part of the body, and at its end
:class:`AnswerEnded` or :class:`AttemptFailed`. An answer whose connection ends without these is incomplete. The
asking node closes the connection to cancel the attempt. Class and field names go over the wire.

Text that a caller sent is carried as bytes, since it need not be valid UTF-8.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from wallwell.cluster.message_decoding import decode_message
from wallwell.cluster.peer_link import PeerMessage
from wallwell.errors import PeerUnavailableError
from wallwell.number_ranges import MAX_DURATION_S, Amount, Duration
from wallwell.routing.admission.brittle_room import BrittleStatement
from wallwell.routing.health.backend_notice import BackendNotice
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, LimitStatement
from wallwell.serving.messages import CallerRequest, Generation, Headers

RatePerSecond = Annotated[float, msgspec.Meta(ge=0.0)]
EncodedHeaders = tuple[tuple[bytes, bytes], ...]
MAX_REPLY_LINE_BYTES = 256 * 1024
"""Longest line of a reply: a part of a body of up to 64 KB and a half in base64, or the head of an answer. Also
bounds what is buffered for a caller that reads slowly."""
MAX_DATA_BYTES = 64 * 1024
"""Most bytes of a body in one message."""


class AttemptRequest(PeerMessage, frozen=True, omit_defaults=True):
    """Asks a peer to send a caller's request once to one back end. Times are durations in seconds."""

    incarnation: str
    request_id: str
    host: str
    method: str
    target: bytes
    headers: EncodedHeaders
    credential: bytes
    body: bytes
    age_s: Duration
    """Time since the asking node read the request."""
    remaining_s: Annotated[float, msgspec.Meta(ge=-MAX_DURATION_S, le=MAX_DURATION_S)]
    started_unix_ms: int | None = None
    """Start of the back end that is meant, if its entry states one."""
    resume_after: Amount | None = None
    required_software: str | None = None
    """Software version that the back end must run, if the attempt continues a stream."""
    generation: Generation | None = None
    configuration: Amount = 0
    """Version of the asking node's configuration, for a generation; 0 from builds that do not state it."""
    cache_group: str = ""
    """Cache group of the request by that configuration (:mod:`wallwell.deployment.cache_groups`)."""

    def caller_request(self, now_s: float) -> CallerRequest:
        """Return the caller's request as this node would have read it, with times on this node's clock."""
        return CallerRequest(
            request_id=self.request_id,
            host=self.host,
            method=self.method,
            target=decode_text(self.target),
            headers=decode_headers(self.headers),
            body=self.body,
            credential=decode_text(self.credential),
            caller_timeout_s=None,
            arrived_s=now_s - self.age_s,
            generation=self.generation,
        )


class PeerNotice(msgspec.Struct, frozen=True, omit_defaults=True):
    """What an answer states about its back end (:class:`BackendNotice`)."""

    leaving: bool = False
    backoff_s: Duration = 0.0
    limit_per_s: RatePerSecond | msgspec.UnsetType | None = msgspec.UNSET
    """Requests per second from all nodes together; None if the answer states no limit, omitted if unknown."""

    brittle_per_s: RatePerSecond | msgspec.UnsetType | None = msgspec.UNSET
    """Refused requests per second that the back end tolerates; None if it is not brittle, omitted if unknown."""

    @classmethod
    def of(cls, notice: BackendNotice) -> PeerNotice:
        """Return the notice as it is sent."""
        per_s: float | msgspec.UnsetType | None = msgspec.UNSET
        if notice.limit is not None:
            per_s = None if notice.limit.per_s == NO_LIMIT_PER_S else notice.limit.per_s
        brittle = notice.brittle
        return cls(
            notice.leaving, notice.backoff_s, per_s, msgspec.UNSET if brittle is None else brittle.tolerated_per_s
        )

    def notice(self, sent_s: float) -> BackendNotice:
        """Return the notice in an answer to a request that this node sent at ``sent_s`` on its clock."""
        limit = None
        if self.limit_per_s is not msgspec.UNSET:
            limit = LimitStatement(NO_LIMIT_PER_S if self.limit_per_s is None else self.limit_per_s, sent_s)
        brittle = None
        if self.brittle_per_s is not msgspec.UNSET:
            brittle = BrittleStatement(self.brittle_per_s, sent_s)
        return BackendNotice(self.leaving, self.backoff_s, limit, brittle)


class AttemptDeclined(msgspec.Struct, frozen=True, tag=True):
    """Nothing was sent, and another peer may be asked. ``is_unreachable`` says that this one cannot connect to the
    back ends of the service either."""

    reason: str
    is_unreachable: bool = False


class AttemptFailed(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The attempt ended without a complete answer; the fields are those of an ``AttemptError``."""

    event: str
    detail: str
    weights_version: Amount = 0
    notice: PeerNotice = PeerNotice()


class AnswerStarted(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The head of an answer has arrived."""

    status: int
    headers: EncodedHeaders
    weights_version: Amount = 0
    is_event_stream: bool = False
    notice: PeerNotice = PeerNotice()


class AnswerData(msgspec.Struct, frozen=True, tag=True):
    """Part of the body of an answer."""

    data: bytes


class AnswerEnded(msgspec.Struct, frozen=True, tag=True):
    """The body of an answer is complete."""


Reply = AttemptDeclined | AttemptFailed | AnswerStarted | AnswerData | AnswerEnded
_decoder: msgspec.json.Decoder[Reply] = msgspec.json.Decoder(Reply)


def decode_reply(line: bytes, sender: str) -> Reply:
    """Return the message in a line of a peer's reply. Raises :class:`PeerUnavailableError` if it is not valid."""
    try:
        return decode_message(_decoder, line)
    except msgspec.MsgspecError as error:
        raise PeerUnavailableError(f"{sender}: {type(error).__name__}") from error


def encode_text(text: str) -> bytes:
    """Return the bytes of a text that was decoded from what a caller or a back end sent."""
    return text.encode("utf-8", "surrogateescape")


def decode_text(data: bytes) -> str:
    """Return the text of such bytes; those that are not UTF-8 become surrogates, as when they were first read."""
    return data.decode("utf-8", "surrogateescape")


def encode_headers(headers: Headers) -> EncodedHeaders:
    """Return headers as they are sent."""
    return tuple((encode_text(name), encode_text(value)) for name, value in headers)


def decode_headers(headers: EncodedHeaders) -> Headers:
    """Return headers that were received."""
    return tuple((decode_text(name), decode_text(value)) for name, value in headers)
