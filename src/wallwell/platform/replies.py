"""Answers to callers: a worker's answer passed on unchanged, or the router's own error.

Owns the form of the router's own answers. Relies on aiohttp for the HTTP message.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from wallwell.errors import RequestError
from wallwell.outcomes import Outcome
from wallwell.platform import names
from wallwell.serving.messages import AnswerHead
from wallwell.socket_options import has_hung_up


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of the router's own answers."""

    code: str
    error: str
    """Name of the error's class."""
    outcome: Outcome


def encode_error(error: RequestError) -> bytes:
    """Return the body of an answer that is a typed error."""
    return msgspec.json.encode(ErrorBody(error.code, type(error).__name__, error.outcome))


class HttpReply:
    """A :class:`wallwell.serving.messages.CallerReply` over one aiohttp request."""

    def __init__(self, request: web.BaseRequest, request_id: str, is_closing: Callable[[], bool]) -> None:
        """``is_closing`` says whether the caller should use another connection for its next request."""
        self._request = request
        self._request_id = request_id
        self._is_closing = is_closing
        self.response: web.StreamResponse | None = None
        """The answer once its head is being sent."""

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self.response is not None

    def is_caller_gone(self) -> bool:
        """See :class:`wallwell.serving.messages.CallerReply`."""
        return has_hung_up(self._request.transport)

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        """Send a worker's whole answer."""
        await self._send(web.Response(status=head.status, headers=CIMultiDict(head.headers), body=body))

    async def refuse(self, error: RequestError) -> None:
        """Send a typed error."""
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
        """Send bytes of a streamed answer; waits while the caller is slow."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """End a streamed answer as complete."""
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
        if self._is_closing():
            response.force_close()
        await response.prepare(self._request)
