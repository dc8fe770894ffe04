"""HTTP listeners of one node: callers' and operators' applications over TCP, with TLS if the settings name one.

Owns the servers; closing them ends what they still serve.
"""

from __future__ import annotations

import ssl

from aiohttp import web

from wallwell.errors import AddressInUseError
from wallwell.standalone.settings import Listener, TlsSettings

KEEPALIVE_S = 75.0
"""Seconds for which an idle connection of a caller is kept: a minute and a little more."""


class Listeners:
    """Servers of one node."""

    def __init__(self, tls: TlsSettings | None, max_header_bytes: int) -> None:
        self._tls = tls
        self._max_header_bytes = max_header_bytes
        self.runners: list[web.AppRunner] = []

    async def listen(self, app: web.Application, listener: Listener) -> str:
        """Serve an application; returns ``IP:port``. Raises :class:`AddressInUseError`."""
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            max_line_size=self._max_header_bytes,
            max_field_size=self._max_header_bytes,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )
        await runner.setup()
        self.runners.append(runner)
        site = web.TCPSite(runner, listener.host, listener.port, ssl_context=self._tls_context())
        try:
            await site.start()
        except OSError as error:
            raise AddressInUseError(f"{listener.host}:{listener.port}: {error}") from error
        port = runner.addresses[0][1]
        return f"{listener.host}:{port}"

    def _tls_context(self) -> ssl.SSLContext | None:
        if self._tls is None:
            return None
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(self._tls.certificate_file, self._tls.key_file)
        return context

    async def stop_accepting(self) -> None:
        """Accept no further connection; those that are open are served on."""
        for runner in self.runners:
            for site in list(runner.sites):
                await site.stop()

    async def close(self) -> None:
        """Close every server and its connections."""
        for runner in self.runners:
            await runner.cleanup()
