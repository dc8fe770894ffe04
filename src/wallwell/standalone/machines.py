"""The platform's lagging list of live and leaving machines, and its client. Owns no state; the session is its
caller's."""

from __future__ import annotations

import enum
from http import HTTPStatus
from typing import Protocol

import aiohttp
import msgspec

from wallwell.errors import PlatformUnavailableError


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

    async def read(self) -> list[Machine]:
        """See :class:`MachineList`."""
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                payload = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailableError(f"machine list: {type(error).__name__}") from error
        if response.status != HTTPStatus.OK:
            raise PlatformUnavailableError(f"machine list: status {response.status}")
        return msgspec.json.decode(payload, type=list[Machine])
