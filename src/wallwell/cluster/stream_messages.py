"""Datagrams by which nodes tell and ask each other which software version began a stream.

One JSON line each. Class and field names go over the wire. Any of them may be lost.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
import xxhash

from wallwell.cluster.message_decoding import decode_message
from wallwell.cluster.peer_link import PeerMessage
from wallwell.number_ranges import Amount, Duration

Digest = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{32}$")]
Version = Annotated[str, msgspec.Meta(max_length=200)]
"""A software version; the platform's texts are not longer. Bounds what a datagram can make a node remember."""


def stream_digest(caller: str, request_id: str) -> str:
    """Return the digest under which a stream is known, in hexadecimal.

    ``caller`` is the tenant, or the credential if there is no tenant, so that no caller can refer to the streams of
    others; ``request_id`` is that of the request whose answer began the stream.
    """
    digest = xxhash.xxh3_128()
    encoded = caller.encode("utf-8", "surrogateescape")
    digest.update(len(encoded).to_bytes(4, "big"))
    digest.update(encoded)
    digest.update(request_id.encode("utf-8", "surrogateescape"))
    return digest.hexdigest()


class StreamBegun(PeerMessage, frozen=True):
    """A stream has begun at a software version, and may be resumed for ``kept_s`` seconds."""

    stream: Digest
    software: Version
    kept_s: float


class StreamQuery(PeerMessage, frozen=True):
    """Asks which version began a stream; ``number`` tells the replies to one node's queries apart."""

    number: Amount
    stream: Digest
    service: str


class StreamReply(PeerMessage, frozen=True, omit_defaults=True):
    """Answers a query. ``versions`` are those of the service that the sender has seen lately."""

    number: Amount
    software: Version | None = None
    """The version that began the stream; None if the sender does not know."""
    age_s: Duration = 0.0
    """Time since the sender learned it."""
    versions: tuple[Version, ...] = ()
    life: Annotated[str, msgspec.Meta(max_length=300)] = ""
    """Tells the sender's start from its others; empty from earlier builds, and if the sender knows the version."""


StreamMessage = StreamBegun | StreamQuery | StreamReply
_decoder: msgspec.json.Decoder[StreamMessage] = msgspec.json.Decoder(StreamMessage)


def decode_stream_message(data: bytes) -> StreamMessage:
    """Return the message in a datagram. Raises :class:`msgspec.MsgspecError` if it is not valid."""
    return decode_message(_decoder, data)
