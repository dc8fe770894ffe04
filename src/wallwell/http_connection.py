"""The pool of HTTP/1.1 connections to back ends, KV stores and the platform's store.

Owns the idle connections of each address: opens them within a time-out, reuses the most recently used one first,
and closes all of an address once a time-out on one shows that packets to the address are lost. The protocol of a
single connection is in :mod:`wallwell.backend_connection`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from aiohttp.http_parser import RawResponseMessage

from wallwell.address import Address
from wallwell.answer_bounds import AnswerTooLargeError, read_bounded
from wallwell.backend_connection import BackendConnection, ConnectionBrokenError
from wallwell.clock import boot_time_s, time_limit
from wallwell.discarded_answers import DiscardedAnswers
from wallwell.socket_options import enable_keepalive, has_hung_up, has_unread_bytes
from wallwell.task_wait import is_done_within

__all__ = ["BackendConnection", "ConnectFailedError", "ConnectionBrokenError", "ConnectionPool", "PortCheck"]

MAX_IDLE_PER_ADDRESS = 8
"""Maximum idle connections per address: about the number of slots of a back end."""


MAX_FETCHED_BYTES = 16 * 1024 * 1024
"""Largest body of a fetched answer: several times that of a page of rows, or of a KV store's list of contents."""
REFUSAL_CHECKS = 2
"""Connections that are opened to find out whether a port refuses them."""
RESET_WAIT_S = 0.03
"""Seconds in which a process that is ending resets a connection that it still accepted. On a busy machine the ends
of its connections and of its port may lie as far apart."""


class ConnectFailedError(Exception):
    """No connection was established, so nothing can have reached the back end."""

    def __init__(self, timed_out: bool, detail: str, refused: bool = False) -> None:
        """``refused`` says that the machine refused the connection since no process listens on the port."""
        super().__init__(detail)
        self.timed_out = timed_out
        self.refused = refused


class FetchedTooMuchError(ConnectionBrokenError):
    """An answer's body has more than ``MAX_FETCHED_BYTES``."""


class PortCheck(NamedTuple):
    """What an attempt to connect to a port has shown."""

    accepted_at_once: bool
    """Whether the port accepted a connection at first; it may have been closed since."""
    refuses: bool
    """Whether the machine refuses connections, since no process listens on the port."""


class ConnectionPool:
    """A pool of connections by address, which reuses the most recently used connection first."""

    def __init__(
        self,
        id_header: str,
        connect_timeout_s: float,
        user_timeout_s: float,
        max_idle: int = MAX_IDLE_PER_ADDRESS,
    ) -> None:
        """``id_header`` is as for :class:`BackendConnection`. ``user_timeout_s`` bounds how long sent bytes may
        stay unacknowledged before a connection ends."""
        self._id_header = id_header
        self._connect_timeout_s = connect_timeout_s
        self._user_timeout_s = user_timeout_s
        self._max_idle = max_idle
        self._idle: dict[Address, list[BackendConnection]] = {}
        self.discarded_answers = DiscardedAnswers()
        """What was received on the pool's connections and answers no request."""

    async def acquire(self, address: Address, request_id: str, has_body: bool = True) -> BackendConnection:
        """Return a connection to an address, idle or new, that may carry the request id.

        ``has_body``: whether the answer has a body. Raises :class:`ConnectFailedError`, also if the back end has
        closed a new connection at once.
        """
        idle = self._take_idle(address, request_id, has_body)
        if idle is not None:
            return idle
        connection = await self._connect(address, self._connect_timeout_s)
        if has_hung_up(connection.transport):
            connection.close()
            raise ConnectFailedError(False, "closed as soon as it was open")
        return connection

    async def fetch(
        self,
        address: Address,
        request: bytes,
        timeout_s: float,
        on_head: Callable[[RawResponseMessage], None] | None = None,
    ) -> tuple[int, bytes]:
        """Send an encoded request without an id and return status and body.

        ``on_head`` is called with the answer's head, even if reading the body then fails.
        Raises :class:`ConnectFailedError`, :class:`ConnectionBrokenError` (:class:`FetchedTooMuchError` for a body
        that is too large) or TimeoutError.
        """
        try:
            async with time_limit(timeout_s):
                connection = await self.acquire(address, "")
                try:
                    message = await connection.round_trip("", request)
                    if on_head is not None:
                        on_head(message)
                    return message.code, await read_bounded(connection.body(), MAX_FETCHED_BYTES)
                except AnswerTooLargeError as error:
                    raise FetchedTooMuchError(str(error)) from error
                finally:
                    self.release(address, connection)
        except TimeoutError:
            # Packets of open connections can be lost while new connections work. The other idle connections may be
            # affected too, and each would cost another call its whole time-out.
            self.close_idle(address)
            raise

    def release(self, address: Address, connection: BackendConnection) -> None:
        """Return a connection to the pool after a round trip, or close it if it cannot be reused."""
        if connection.finish_round_trip():
            self._add_idle(address, connection)
        elif connection.timed_out:
            # The other idle connections may have lost their packets too, and a request lost on one of them may not
            # be repeatable.
            self.close_idle(address)

    def put_back(self, address: Address, connection: BackendConnection) -> None:
        """Return a connection on which nothing was sent; the back end has seen it idle all the while."""
        if connection.is_reusable(boot_time_s()):
            self._add_idle(address, connection)
        else:
            connection.close()

    # --- idle connections ----------------------------------------------------------------------------------

    async def open_idle(self, address: Address, timeout_s: float) -> None:
        """Open a connection and leave it idle for the next round trip. Raises :class:`ConnectFailedError`."""
        self.put_back(address, await self._connect(address, timeout_s))

    async def check_port(self, address: Address, reset_wait_s: float = RESET_WAIT_S) -> PortCheck:
        """Open a connection to an address; one that stays open for ``reset_wait_s`` is left idle for a round trip.

        A process that is ending may close its connections before its port, and one with too many connections resets
        a new one. So one that is reset at once is followed by another.
        """
        accepted_at_once = False
        for _ in range(REFUSAL_CHECKS):
            try:
                connection = await self._connect(address, self._connect_timeout_s)
            except ConnectFailedError as error:
                if error.refused or error.timed_out:
                    return PortCheck(accepted_at_once, error.refused)
                await asyncio.sleep(reset_wait_s)  # Reset while it was being opened.
                continue
            accepted_at_once = True
            await asyncio.sleep(reset_wait_s)
            if not connection.closed:
                self.put_back(address, connection)
                break
        return PortCheck(accepted_at_once, refuses=False)

    def has_idle(self, address: Address) -> bool:
        """Whether the pool has an idle connection to an address that can be reused."""
        now_s = boot_time_s()
        return any(connection.is_reusable(now_s) for connection in self._idle.get(address, ()))

    def _take_idle(self, address: Address, request_id: str, has_body: bool) -> BackendConnection | None:
        """Remove and return the most recently used idle connection that may carry a request; None if none may."""
        now_s = boot_time_s()
        idle = self._idle.get(address, [])
        for connection in reversed(idle.copy()):
            is_reusable = connection.is_reusable(now_s)
            if is_reusable and not connection.may_carry(request_id, has_body):
                continue
            idle.remove(connection)
            # An end that the event loop has not read yet: a request sent now would be lost, as far as is known.
            if is_reusable and not has_unread_bytes(connection.transport):
                return connection
            connection.close()
        return None

    def _add_idle(self, address: Address, connection: BackendConnection) -> None:
        idle = self._idle.setdefault(address, [])
        idle.append(connection)
        if len(idle) > self._max_idle:
            idle.pop(0).close()

    def close_idle(self, address: Address) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close_expired(self, now_s: float) -> None:
        """Close the connections that have been idle too long at boot time ``now_s``."""
        for address, idle in list(self._idle.items()):
            reusable = [connection for connection in idle if connection.is_reusable(now_s)]
            for connection in idle:
                if connection not in reusable:
                    connection.close()
            if reusable:
                self._idle[address] = reusable
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)

    # --- connecting --------------------------------------------------------------------------------------

    async def _connect(self, address: Address, timeout_s: float) -> BackendConnection:
        loop = asyncio.get_running_loop()
        on_discarded = partial(self.discarded_answers.add, str(address))
        factory = partial(BackendConnection, loop, self._id_header, on_discarded)
        connecting = asyncio.ensure_future(loop.create_connection(factory, address.host, address.port))
        is_taken = False
        try:
            if not await is_done_within(connecting, timeout_s):
                raise ConnectFailedError(True, f"no connection in {timeout_s} s")
            _, connection = await connecting
            is_taken = True
        except TimeoutError as error:
            raise ConnectFailedError(True, "connect timed out in the operating system") from error
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectFailedError(False, type(error).__name__, refused) from error
        finally:
            if not is_taken:
                await _end_connecting(connecting)
        enable_keepalive(connection.transport, self._user_timeout_s)
        return connection


async def _end_connecting(connecting: asyncio.Future[tuple[asyncio.Transport, BackendConnection]]) -> None:
    """End an attempt to connect that nobody awaits any more: its connection is closed, its error is dropped."""
    connecting.cancel()
    (result,) = await asyncio.gather(connecting, return_exceptions=True)
    if not isinstance(result, BaseException):
        result[0].abort()
