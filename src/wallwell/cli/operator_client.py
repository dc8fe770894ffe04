"""Client of a router's operators' listener, for the command line and the demo.

Uses the message types of :mod:`wallwell.standalone` and raises each error as the type that the router raised.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TypeVar

import aiohttp
import msgspec

from wallwell.errors import ConfigUnavailableError, WallwellError, all_error_types
from wallwell.standalone.config.commit import ApplyAnswer, ApplyRequest
from wallwell.standalone.operators_app import FileView, OperatorError, StatusAnswer

TIMEOUT_S = 30.0
"""Timeout of one call in seconds, for a router that does not answer."""
POLL_INTERVAL_S = 0.1
"""Seconds between two status calls while waiting for a revision to be in force."""
_TIMEOUT = aiohttp.ClientTimeout(total=TIMEOUT_S)
_ERROR_TYPES = {error_type.code: error_type for error_type in all_error_types()}
T = TypeVar("T")


class OperatorClient:
    """Calls one router. Raises the error whose code the router answers, or :class:`ConfigUnavailableError`."""

    def __init__(self, base_url: str, token: str, session: aiohttp.ClientSession) -> None:
        self._base_url = base_url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._session = session

    async def _call(self, method: str, path: str, answer_type: type[T], body: bytes = b"") -> T:
        try:
            async with self._session.request(
                method, self._base_url + path, data=body, headers=self._headers, timeout=_TIMEOUT
            ) as response:
                payload = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise ConfigUnavailableError(f"{self._base_url}: {type(error).__name__}") from error
        if response.status != HTTPStatus.OK:
            answer = msgspec.json.decode(payload, type=OperatorError)
            raise _ERROR_TYPES.get(answer.code, WallwellError)(answer.message)
        return msgspec.json.decode(payload, type=answer_type)

    async def apply(self, request: ApplyRequest) -> ApplyAnswer:
        """Apply one file. If the answer is lost, the call can be retried with the same apply id."""
        return await self._call("POST", "/config/apply", ApplyAnswer, msgspec.json.encode(request))

    async def files(self) -> list[FileView]:
        """Return every file in force."""
        return await self._call("GET", "/config", list[FileView])

    async def file(self, key: str) -> FileView:
        """Return the file in force with this ``KIND/NAME`` key."""
        return await self._call("GET", f"/config/{key}", FileView)

    async def status(self) -> StatusAnswer:
        """Return the router's view of its region."""
        return await self._call("GET", "/status", StatusAnswer)

    async def wait_until_in_force(self, revision: int, timeout_s: float) -> tuple[bool, StatusAnswer]:
        """Poll until every live member has ``revision``. Returns whether all have it in time, and the status."""
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while True:
            status = await self.status()
            live = [member for member in status.members if member.status in ("alive", "suspect")]
            if all(member.config_revision >= revision for member in live):
                return True, status
            if asyncio.get_running_loop().time() >= deadline_s:
                return False, status
            await asyncio.sleep(POLL_INTERVAL_S)
