"""Answers to callers: a worker's answer forwarded unchanged, or an error of the router itself.

Owns the body format of the router's errors. aiohttp encodes the HTTP messages.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from wallwell.callers_server import has_next_request, is_aborted
from wallwell.errors import RequestError
from wallwell.outcomes import Outcome
from wallwell.platform import names
from wallwell.serving.messages import AnswerHead
from wallwell.socket_options import has_hung_up


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of the router's error answers."""

    code: str
    error: str
    """Class name of the error."""
    outcome: Outcome


def encode_error(error: RequestError) -> bytes:
    """Return the JSON body of the answer for an error."""
    return msgspec.json.encode(ErrorBody(error.code, type(error).__name__, error.outcome))


class HttpReply:
    """Writes the answer to one aiohttp request. Implements :class:`wallwell.serving.messages.CallerReply`."""

    def __init__(self, request: web.BaseRequest, request_id: str, is_closing: Callable[[], bool]) -> None:
        """``is_closing`` returns whether to close the caller's connection after the answer."""
        self._request = request
        self._request_id = request_id
        self._is_closing = is_closing
        self.response: web.StreamResponse | None = None
        """The response, from the start of sending its head; None before."""

    @property
    def started(self) -> bool:
        """Whether sending of the head has begun."""
        return self.response is not None

    def is_caller_gone(self) -> bool:
        """See :class:`wallwell.serving.messages.CallerReply`."""
        return has_hung_up(self._request.transport)

    def is_cut_by_stop(self) -> bool:
        """See :class:`wallwell.serving.messages.CallerReply`."""
        return is_aborted(self._request)

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        """Send a complete answer of a worker."""
        await self._send(web.Response(status=head.status, headers=CIMultiDict(head.headers), body=body))

    async def refuse(self, error: RequestError) -> None:
        """Send an error of the router, with ``Retry-After`` if the error has a retry delay."""
        headers = {names.REQUEST_ID: self._request_id}
        if error.retry_after_ms:
            headers[names.RETRY_AFTER] = f"{error.retry_after_ms / 1000:g}"
        response = web.Response(
            status=error.http_status, headers=headers, body=encode_error(error), content_type="application/json"
        )
        await self._send(response)

    async def start(self, head: AnswerHead) -> None:
        """Send the head of a streamed answer."""
        await self._prepare(web.StreamResponse(status=head.status, headers=CIMultiDict(head.headers)))

    async def write(self, data: bytes) -> None:
        """Send bytes of a streamed answer; waits while the caller reads slowly."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """End a streamed answer that is complete."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """Reset the caller's connection, so that the answer cannot look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _send(self, response: web.Response) -> None:
        await self._prepare(response)
        await response.write_eof()

    async def _prepare(self, response: web.StreamResponse) -> None:
        self.response = response
        # A request that has been sent already gets an answer too; the last answer closes the connection.
        if self._is_closing() and not has_next_request(self._request):
            response.force_close()
        await response.prepare(self._request)
