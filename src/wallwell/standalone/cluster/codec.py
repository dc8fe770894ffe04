"""Codec of authenticated JSON lines, used over UDP and TCP: ``<16 hex digits of a keyed BLAKE2b> <JSON>\\n``."""

from __future__ import annotations

import hashlib
import hmac
from typing import TypeVar

import msgspec

from wallwell.errors import ClusterMessageError
from wallwell.standalone.cluster.messages import ClusterMessage

_MAC_BYTES = 8
"""Length of the authentication code. 64 bits suffice, since each attempt at a forgery costs one datagram."""
_MAC_HEX_CHARS = 2 * _MAC_BYTES
_MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE
"""Maximum key length of BLAKE2b; a longer key is truncated."""
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""What msgspec raises for bytes that it cannot decode; the last one for values nested too deeply."""
T = TypeVar("T")


class LineCodec:
    """Encodes lines, and authenticates and decodes received lines, with the shared cluster key."""

    def __init__(self, key: str) -> None:
        self._key = key.encode()[:_MAX_KEY_BYTES]
        self._decoder = msgspec.json.Decoder(ClusterMessage)
        self._encoder = msgspec.json.Encoder()

    def _mac(self, payload: bytes) -> bytes:
        digest = hashlib.blake2b(payload, key=self._key, digest_size=_MAC_BYTES)
        return digest.hexdigest().encode()

    def encode(self, message: object) -> bytes:
        """Return the message as an authenticated line that ends with a newline."""
        payload = self._encoder.encode(message)
        return self._mac(payload) + b" " + payload + b"\n"

    def _verified_payload(self, line: bytes) -> bytes:
        payload = line[_MAC_HEX_CHARS + 1 :].rstrip(b"\n")
        if not hmac.compare_digest(line[:_MAC_HEX_CHARS], self._mac(payload)):
            raise ClusterMessageError("authentication failed")
        return payload

    def decode(self, line: bytes) -> ClusterMessage:
        """Authenticate and decode a datagram. Raises :class:`ClusterMessageError` if either fails."""
        try:
            return self._decoder.decode(self._verified_payload(line))
        except _DECODE_ERRORS as error:
            raise ClusterMessageError(str(error)) from error

    def decode_as(self, line: bytes, target: type[T]) -> T:
        """Authenticate a line and decode it as ``target``. Raises :class:`ClusterMessageError` if either fails."""
        try:
            return msgspec.json.decode(self._verified_payload(line), type=target)
        except _DECODE_ERRORS as error:
            raise ClusterMessageError(str(error)) from error
