"""HTTP listeners of one node: callers' and operators' applications over TCP, with TLS if the settings name one.

Owns the servers and how they close: connections at a planned stop as :mod:`wallwell.callers_server` does it, all at
once at an abrupt one.
"""

from __future__ import annotations

import asyncio
import ssl

from aiohttp import web

from wallwell.callers_server import CallersServer, encode_final_answer, stop_accepting
from wallwell.errors import (
    AddressInUseError,
    ConnectionEndedError,
    OutcomeUnknownError,
    RequestError,
    SettingsError,
)
from wallwell.standalone.callers.caller import OUTCOME_HEADER, REQUEST_ID_HEADER, error_body, given_request_id
from wallwell.standalone.settings import Listener, TlsSettings

KEEPALIVE_S = 75.0
"""Seconds for which an idle connection of a caller is kept: a minute and a little more."""


CUT_S = 0.1
"""Seconds that handlers get to end as their connections are cut: a planned stop has waited for them before."""


class StandaloneLastAnswers:
    """The answers with which connections end, as this router's errors."""

    def for_late_request(self) -> bytes:
        """See :class:`wallwell.callers_server.FinalAnswers`."""
        return _error(ConnectionEndedError("the connection had been ended"), "")

    def for_interrupted_request(self, request: web.BaseRequest) -> bytes:
        """See :class:`wallwell.callers_server.FinalAnswers`."""
        return _error(OutcomeUnknownError("this router is stopping"), given_request_id(request))


def _error(error: RequestError, request_id: str) -> bytes:
    headers = {REQUEST_ID_HEADER: request_id, OUTCOME_HEADER: error.outcome.value}
    return encode_final_answer(error, headers, error_body(error, request_id))


class Listeners:
    """Servers of one node."""

    def __init__(self, tls: TlsSettings | None, max_header_bytes: int) -> None:
        self._tls = tls
        self._max_header_bytes = max_header_bytes
        self._applications: list[web.AppRunner] = []
        self.runners: list[web.ServerRunner] = []
        self._servers: list[CallersServer] = []

    async def listen(self, app: web.Application, listener: Listener) -> str:
        """Serve an application; returns ``IP:port``. Raises :class:`AddressInUseError`."""
        server = await self._server(app)
        runner = web.ServerRunner(server, shutdown_timeout=CUT_S)
        await runner.setup()
        self.runners.append(runner)
        self._servers.append(server)
        site = web.TCPSite(runner, listener.host, listener.port, ssl_context=self._tls_context())
        try:
            await site.start()
        except (OSError, ValueError) as error:  # ValueError: a host name that cannot be encoded.
            raise AddressInUseError(f"{listener.host}:{listener.port}: {error}") from error
        port = runner.addresses[0][1]
        return f"{listener.host}:{port}"

    async def _server(self, app: web.Application) -> CallersServer:
        """Return a server of ours in place of the one that aiohttp makes for an application."""
        application = web.AppRunner(app, access_log=None)
        await application.setup()
        self._applications.append(application)
        assert application.server is not None
        return CallersServer(
            application.server.request_handler,
            StandaloneLastAnswers(),
            request_factory=application.server.request_factory,
            handler_cancellation=True,
            max_line_size=self._max_header_bytes,
            max_field_size=self._max_header_bytes,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )

    def _tls_context(self) -> ssl.SSLContext | None:
        if self._tls is None:
            return None
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        try:
            context.load_cert_chain(self._tls.certificate_file, self._tls.key_file)
        except (OSError, ValueError) as error:
            raise SettingsError(f"tls: certificate or key cannot be used: {error}") from error
        return context

    def has_unsent_bytes(self) -> bool:
        """Whether part of an answer waits in this process until its caller takes it."""
        transports = (each.transport for server in self._servers for each in server.connections)
        return any(each is not None and each.get_write_buffer_size() for each in transports)

    async def close_idle(self) -> None:
        """Accept no further connection, end each one that is or becomes idle, and wait until none is left."""
        for runner in self.runners:
            await stop_accepting(runner)
        for server in self._servers:
            server.start_closing()
        await asyncio.gather(*(server.wait_closed() for server in self._servers))

    async def close(self) -> None:
        """Close every server and its connections."""
        for runner in self.runners:
            await runner.cleanup()
        for application in self._applications:
            await application.cleanup()
