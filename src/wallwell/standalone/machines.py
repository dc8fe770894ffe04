"""The platform's lagging list of live and leaving machines, and its client. The session is its caller's."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from http import HTTPStatus
from typing import Protocol

import aiohttp
import msgspec

from wallwell.address import InvalidAddressError, parse_address
from wallwell.errors import PlatformUnavailableError
from wallwell.standalone.table_client import DECODE_ERRORS
from wallwell.standalone.unreadable import UnreadableEntries


class MachineState(enum.StrEnum):
    """What the platform says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"


class Machine(msgspec.Struct, frozen=True):
    """One entry of the list. ``address`` is the back end's ``IP:port``."""

    address: str
    state: MachineState


class MachineList(Protocol):
    """What wallwell needs of the machine list."""

    async def read(self) -> list[Machine]:
        """Return the list. Raises :class:`PlatformUnavailableError`."""
        ...


class HttpMachineList:
    """Client of the machine list over HTTP and JSON."""

    def __init__(self, base_url: str, session: aiohttp.ClientSession, timeout_s: float) -> None:
        self._url = base_url.rstrip("/") + "/machines"
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._unreadable = UnreadableEntries("machine list")

    async def read(self) -> list[Machine]:
        """See :class:`MachineList`."""
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                payload = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            # ValueError: the host name in the list's URL cannot be encoded.
            raise PlatformUnavailableError(f"machine list: {type(error).__name__}") from error
        if response.status != HTTPStatus.OK:
            raise PlatformUnavailableError(f"machine list: status {response.status}")
        try:
            entries = msgspec.json.decode(payload, type=list[msgspec.Raw])
        except DECODE_ERRORS as error:
            raise PlatformUnavailableError(f"machine list: cannot be read: {error}") from error
        return self._readable_machines(entries)

    def _readable_machines(self, entries: Iterable[msgspec.Raw]) -> list[Machine]:
        """Return the entries that can be read; each other one is logged once and costs itself alone."""
        machines: list[Machine] = []
        unreadable: dict[str, Exception] = {}
        for raw in entries:
            try:
                machine = msgspec.json.decode(raw, type=Machine)
                parse_address(machine.address)
            except (*DECODE_ERRORS, InvalidAddressError) as error:
                unreadable[bytes(raw).decode(errors="replace")] = error
            else:
                machines.append(machine)
        self._unreadable.replace(unreadable)
        return machines
