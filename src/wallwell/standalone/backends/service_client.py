"""Client of the declared services, such as orders and bookings: one call, one attempt.

Maps each way an attempt can end to a transport event; a call that may have run is never reported as not run.
Never resends a call: the request handlers decide on retries.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp

from wallwell.address import InvalidAddressError, parse_address
from wallwell.answer_bounds import MAX_ANSWER_BYTES, AnswerTooLargeError, read_bounded
from wallwell.checked_connector import CheckedConnector
from wallwell.events import Event, emit
from wallwell.http_connection import ConnectionPool
from wallwell.routing.health.backoff import MAX_BACKOFF_S, parse_retry_after
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.standalone.backends.engine_protocol import REQUEST_ID

CONNECT_TIMEOUT_S = 1.0
"""Seconds to wait for a connection to be established; the same as for engines."""
NOT_RUN_HEADER = "X-Not-Run"
"""Header by which a service states that it refused a call without running any of it."""


@dataclass(frozen=True)
class ServiceCall:
    """One attempt at a service call; ``timeout_s`` covers the time from connecting to the last byte received."""

    method: str
    path: str
    attempt_id: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float


@dataclass(frozen=True)
class ServiceAnswer:
    """A service's complete answer."""

    status: int
    body: bytes
    content_type: str


class ServiceClient:
    """Sends each call on a new connection, so that it cannot receive the answer to an earlier call.

    Also, on a kept-alive connection that the service has just closed, a call that never ran would be reported as
    one that may have run.
    """

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=CheckedConnector(limit=0, force_close=True), auto_decompress=False
        )
        # Keeps aiohttp from resending idempotent methods; see ``engine_client.client_session``.
        self._session._retry_connection = False
        self._ports = ConnectionPool("", CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_S, max_idle=0)
        """Checks ports; nothing is sent on its connections."""

    async def close(self) -> None:
        """Close the HTTP session."""
        self._ports.close()
        await self._session.close()

    async def call(self, address: str, call: ServiceCall) -> ServiceAnswer:
        """Send once and return the answer. Raises :class:`AttemptFailed` on any failure and on a 5xx status."""
        headers = {**call.headers, REQUEST_ID: call.attempt_id}
        timeout = aiohttp.ClientTimeout(total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        url = f"http://{address}/{call.path}"
        try:
            parse_address(address)
            async with self._session.request(
                call.method, url, data=call.body, headers=headers, timeout=timeout, allow_redirects=False
            ) as response:
                body = await read_bounded(response.content.iter_any(), MAX_ANSWER_BYTES)
            if _ends_at_close(response, call):
                await self._check_end(address)
        except AnswerTooLargeError as error:
            raise AttemptFailed(TransportEvent.RESET_AFTER_SEND, str(error)) from error
        except (InvalidAddressError, aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            raise AttemptFailed(TransportEvent.CONNECT_REFUSED, str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise AttemptFailed(TransportEvent.CONNECT_TIMEOUT) from error
        except TimeoutError as error:
            raise AttemptFailed(TransportEvent.ANSWER_TIMEOUT) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # A ValueError that nobody expects does not prove that nothing was sent.
            raise AttemptFailed(TransportEvent.RESET_AFTER_SEND, type(error).__name__) from error
        return self._check_response(response, body, call)

    async def _check_end(self, address: str) -> None:
        """Raise :class:`AttemptFailed` unless the process that closed an answer without a length lives.

        Its system closes the connections of a process that was killed as that does which has sent everything.
        """
        port = await self._ports.check_port(parse_address(address))
        if port.refuses or not port.accepted_at_once:
            raise AttemptFailed(TransportEvent.RESET_AFTER_SEND, "nothing shows that the service's process lives")

    def _check_response(self, response: aiohttp.ClientResponse, body: bytes, call: ServiceCall) -> ServiceAnswer:
        backoff_s = _requested_backoff_s(response)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE and NOT_RUN_HEADER in response.headers:
            detail = response.headers[NOT_RUN_HEADER]
            raise AttemptFailed(TransportEvent.BACKEND_LEAVING, detail, backoff_s=backoff_s)
        if response.headers.get(REQUEST_ID) != call.attempt_id:
            raise AttemptFailed(TransportEvent.FOREIGN_ANSWER, "answer has another request id")
        answer = ServiceAnswer(response.status, body, response.headers.get("Content-Type", ""))
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            detail = f"status {answer.status}"
            raise AttemptFailed(TransportEvent.ERROR_ANSWER, detail, answer.status, body, backoff_s)
        return answer


def _ends_at_close(response: aiohttp.ClientResponse, call: ServiceCall) -> bool:
    """Whether the answer has a body, and neither a length nor chunks."""
    has_no_body = call.method == "HEAD" or response.status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return not has_no_body and not is_chunked and "Content-Length" not in response.headers


def _requested_backoff_s(response: aiohttp.ClientResponse) -> float:
    """Return the back-off in seconds that a refusing instance requests, 0 if none; logs each unreadable
    ``Retry-After`` header."""
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0.0
    requested = parse_retry_after(response.headers.getall("Retry-After", ()))
    for text in requested.unreadable:
        emit(Event.BACKEND_NOTICE_UNREADABLE, backend=str(response.url.authority), retry_after=text)
    return min(requested.seconds, MAX_BACKOFF_S)
