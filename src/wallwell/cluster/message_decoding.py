"""Decodes messages of other nodes: whatever is wrong with one raises the documented error. Pure."""

from __future__ import annotations

import zlib
from typing import Protocol, TypeVar

import msgspec

from wallwell.errors import PeerUnavailableError

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Bytes of a compressed message once it is unpacked: several times the longest message that is sent plain. A few
kilobytes can hold more than the memory of a machine."""

Message_co = TypeVar("Message_co", covariant=True)
Message = TypeVar("Message")


class _Decoder(Protocol[Message_co]):
    def decode(self, buf: bytes, /) -> Message_co: ...


def decode_message(decoder: _Decoder[Message], data: bytes) -> Message:
    """Return the message in ``data``. Raises ``msgspec.MsgspecError`` if it is not valid."""
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error


def unpack_message(decoder: _Decoder[Message], packed: bytes, sender: str) -> Message:
    """Return the message in compressed JSON. Raises :class:`PeerUnavailableError` if it is not valid."""
    try:
        unpacking = zlib.decompressobj()
        data = unpacking.decompress(packed, MAX_UNPACKED_BYTES)
        if not unpacking.eof:
            raise PeerUnavailableError(f"{sender}: a packed message is cut off or too long")
        return decode_message(decoder, data)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise PeerUnavailableError(f"{sender}: {type(error).__name__}") from error
