"""Addresses of processes, ``IP:PORT``: parsed once where text comes in, and passed on as values. Pure.

Whoever holds an :class:`Address` can connect to it without a check of its own and without looking up a name.
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

MAX_PORT = 65535
"""Largest TCP or UDP port number: ports have 16 bits."""
MAX_SHOWN_CHARS = 60
"""Characters of a text that an error quotes."""
_PORT = re.compile(r"[1-9][0-9]{0,4}")
"""A port number without a sign, blanks or leading zeros; one with five digits may be too large."""


class InvalidAddressError(ValueError):
    """A text is not the address of a process."""


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """The address at which one process accepts connections or datagrams. Made by :func:`parse_address`."""

    host: str
    """IPv4 address in dotted decimal form."""
    port: int

    def __str__(self) -> str:
        """Return ``IP:PORT``, which :func:`parse_address` reads."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address that ``IP:PORT`` names: one IPv4 host, and a port from 1 on.

    Raises :class:`InvalidAddressError` for anything else, host names and addresses of no single host included.
    """
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise InvalidAddressError(f"not IP:PORT: {shown_text(text)}") from error
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise InvalidAddressError(f"no port from 1 to {MAX_PORT}: {shown_text(text)}")
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise InvalidAddressError(f"not the IP address of one host: {shown_text(text)}")
    return Address(str(ip), int(port))


def shown_text(text: str) -> str:
    """Return the beginning of a text with escapes for all but printable ASCII."""
    return ascii(text[:MAX_SHOWN_CHARS])
