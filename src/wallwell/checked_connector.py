"""A connector for aiohttp's client session that takes only HTTP answers, by :mod:`wallwell.answer_head`.

aiohttp's client reads answers with a parser that takes more for an answer than the protocol allows. Here each head
is checked before that parser sees it. Owns the count and the log of what is no answer. Relies on aiohttp's private
``_factory``, which makes the protocol of each connection.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from wallwell.answer_head import HeadCheck, MalformedAnswerError
from wallwell.discarded_answers import Discarded, DiscardedAnswers, DiscardReason


class CheckedConnector(aiohttp.TCPConnector):
    """A connector whose connections end with what is no answer, with an :class:`aiohttp.ClientError`."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.discarded_answers = DiscardedAnswers()
        """What was received on the connections and is no answer."""
        self._factory = partial(self._make_handler)

    def _make_handler(self) -> ResponseHandler:
        return _CheckedResponseHandler(self._loop, self.discarded_answers)


class _CheckedResponseHandler(ResponseHandler):
    """The protocol of one connection."""

    def __init__(self, loop: Any, discarded_answers: DiscardedAnswers) -> None:
        super().__init__(loop)
        self._discarded_answers = discarded_answers
        self._head: HeadCheck | None = None
        """Checks the head of the awaited answer; None once that has arrived."""

    def set_response_params(self, **params: Any) -> None:
        """Await an answer; see :class:`aiohttp.client_proto.ResponseHandler`."""
        self._head = HeadCheck()
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Check heads, then parse; see :class:`asyncio.Protocol`."""
        try:
            self._check_heads(data)
        except MalformedAnswerError as error:
            self._reject(error)
        else:
            super().data_received(data)

    def _check_heads(self, data: bytes) -> None:
        """Check what has arrived of the awaited head and of interim ones, which have no body, before it."""
        end = 0
        while self._head is not None and end < len(data):
            end = self._head.feed(data, end)
            if self._head.is_complete:
                self._head = HeadCheck() if self._head.is_interim else None

    def _reject(self, error: MalformedAnswerError) -> None:
        if self.transport is None:
            return
        host, port, *_ = self.transport.get_extra_info("peername")
        detail = str(error)
        discarded = Discarded(DiscardReason.NOT_AN_ANSWER, connection=0, round_trip=0, detail=detail)
        self._discarded_answers.add(f"{host}:{port}", discarded)
        self.set_exception(aiohttp.ClientPayloadError(f"not an HTTP answer: {detail}"))
        self.transport.close()
