"""Checks values of the settings file that their types do not: addresses, ports and quantities. No I/O.

Each check raises :class:`SettingsError` with the name of the field, so that a process that starts with such a value
ends with a line that says what to correct, and does not fail later where the value is used.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Sequence

from wallwell.address import MAX_PORT, Address, InvalidAddressError, parse_address, shown_text
from wallwell.errors import SettingsError

MAX_QUANTITY = 1e9
"""Largest number in the settings: thirty years if it is one of seconds. Arithmetic and timers take any below it."""
MAX_HOST_CHARS = 253
"""Characters of a host name at most, as the domain name system defines it."""
_PORT = re.compile(r"[0-9]{1,5}")
_HOST_NAME = re.compile(r"[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*")


def check_address(field: str, text: str) -> Address:
    """Return the address of another process."""
    try:
        return parse_address(text)
    except InvalidAddressError as error:
        raise SettingsError(f"{field}: {error}") from error


def check_listening_address(field: str, text: str) -> None:
    """Check ``HOST:PORT`` at which this process listens: any address or name of the machine, and 0 for any port."""
    host, separator, port = text.rpartition(":")
    if not separator or not is_port(port) or not (host == "" or _is_ip_address(host) or _is_host_name(host)):
        raise SettingsError(f"{field}: not HOST:PORT with a port from 0 to {MAX_PORT}: {shown_text(text)}")


def check_own_ip(field: str, text: str) -> None:
    """Check the IP address at which other processes reach this one; it may be empty."""
    if text:
        try:
            parse_address(f"{text}:{MAX_PORT}")
        except InvalidAddressError as error:
            raise SettingsError(f"{field}: not the IPv4 address of this machine: {shown_text(text)}") from error


def check_port_range(field: str, ports: Sequence[int]) -> None:
    """Check that the first and last port are some, in order; there may be none."""
    if not ports:
        return
    if not all(0 <= port <= MAX_PORT for port in ports) or ports[0] > ports[-1]:
        raise SettingsError(f"{field}: not the first and last of some ports from 0 to {MAX_PORT}")


def check_quantity(field: str, value: float, least: float = 0.0) -> None:
    """Check that a number is one, and in the range from ``least`` to ``MAX_QUANTITY``."""
    if not least <= value <= MAX_QUANTITY:
        raise SettingsError(f"{field}: not a number from {least:g} to {MAX_QUANTITY:g}: {value:g}")


def is_port(text: str) -> bool:
    """Whether a text is the number of a port, or 0 for any."""
    return bool(_PORT.fullmatch(text)) and int(text) <= MAX_PORT


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_host_name(host: str) -> bool:
    return len(host) <= MAX_HOST_CHARS and bool(_HOST_NAME.fullmatch(host))
