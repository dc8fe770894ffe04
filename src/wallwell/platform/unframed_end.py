"""Finds out whether an answer with neither a length nor chunks is whole, once its connection has been closed.

Gathers the evidence on which :mod:`wallwell.routing.health.answer_end` decides: watches a sentinel while the answer
is in flight, asks the worker's port in the moment of the close, and reads the listing. Owns the task that does so
for one answer. It begins with the answer, since a sentinel shows something only if it was open before the close.
"""

from __future__ import annotations

import asyncio

from wallwell.backend_connection import BackendConnection
from wallwell.clock import boot_time_s, ends_within
from wallwell.events import Event, emit
from wallwell.http_connection import RESET_WAIT_S, ConnectionPool, PortCheck
from wallwell.platform.sentinels import Sentinel, Sentinels
from wallwell.routing.health.answer_end import (
    EndEvidence,
    EndVerdict,
    SentinelState,
    judge_end,
    may_still_be_unlisted,
)
from wallwell.serving.messages import Dispatch

STREAM_RESET_WAIT_S = 0.1
"""As :data:`wallwell.http_connection.RESET_WAIT_S`, for a stream: its events have all been passed on by then, while
the caller of a call waits for it."""
SENTINEL_DELAY_S = 0.03
"""Seconds after the head from which an answer needs a sentinel. Most calls have ended by then, and cost none."""
SENTINEL_CHECK_S = 0.02
"""Seconds after its opening in which the event loop reads a close of the answer that came before."""
SAME_END_S = 0.05
"""Seconds between the closes of two connections that may have been closed together."""
MOMENT_S = 0.001
"""Seconds within which the system closes the connections of a process that was killed. One that ends by itself
closes the others later."""
MIN_SENTINEL_LIFE_S = 1.0
"""Seconds that a sentinel must have lived to be opened again: a worker with too many connections resets it soon."""
UNLISTED_WAIT_S = 1.0
"""Seconds after an answer's end in which the entry of a worker that left as planned is removed. That of one that
was killed while it sent heartbeats remains for longer, for two of them at least."""
UNLISTED_POLL_S = 0.02
"""Interval in seconds at which the listing is read in that time."""


class UnframedEnd:
    """Watches one answer from now on, and judges its end."""

    def __init__(
        self,
        pool: ConnectionPool,
        sentinels: Sentinels,
        dispatch: Dispatch,
        connection: BackendConnection,
        is_stream: bool,
    ) -> None:
        self._pool = pool
        self._sentinels = sentinels
        self._dispatch = dispatch
        self._connection = connection
        self._task = asyncio.create_task(self._watch(STREAM_RESET_WAIT_S if is_stream else RESET_WAIT_S))

    async def verdict(self) -> EndVerdict:
        """Return the verdict on the answer once its connection has been closed."""
        return await self._task

    def cancel(self) -> None:
        """End the watch; no verdict is wanted."""
        self._task.cancel()

    async def _watch(self, reset_wait_s: float) -> EndVerdict:
        address = self._dispatch.backend.address
        async with self._sentinels.use(address) as shared:
            sentinel = await self._keep_sentinel(shared)
            port = await self._pool.check_port(address, reset_wait_s)
            evidence = self._evidence(sentinel, port)
            waited_until_s = boot_time_s() + UNLISTED_WAIT_S
            while may_still_be_unlisted(evidence) and boot_time_s() < waited_until_s:
                await asyncio.sleep(UNLISTED_POLL_S)
                evidence = self._evidence(sentinel, port)
        verdict = judge_end(evidence)
        self._log(verdict, evidence)
        return verdict

    async def _keep_sentinel(self, shared: Sentinel) -> BackendConnection | None:
        """Keep a sentinel open until the answer's connection is closed, and return it; None if there is none.

        One counts only if the answer's connection was open after it: while that was being opened, the process may
        have ended, and the sentinel be of the next one.
        """
        sentinel: BackendConnection | None = None
        if await self._closes_within(SENTINEL_DELAY_S):
            return None
        while True:
            opened = await shared.ensure_open()
            if opened is None or await self._closes_within(SENTINEL_CHECK_S):
                break
            if not self._connection.was_paused:
                sentinel = opened
            await self._wait_for_either(opened)
            if opened.closed_s is None or await self._closes_within(SAME_END_S):
                break
            sentinel = (
                None  # The worker closed it by itself, or this node, since a late copy of an answer came on it.
            )
            if opened.ended_by_peer and opened.closed_s - opened.opened_s < MIN_SENTINEL_LIFE_S:
                break
        await self._connection.wait_closed()
        return sentinel

    async def _closes_within(self, seconds: float) -> bool:
        return await ends_within(self._connection.wait_closed(), seconds)

    async def _wait_for_either(self, sentinel: BackendConnection) -> None:
        """Return once the answer's connection or the sentinel has been closed."""
        closes = [asyncio.ensure_future(each.wait_closed()) for each in (self._connection, sentinel)]
        try:
            await asyncio.wait(closes, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in closes:
                each.cancel()

    def _evidence(self, sentinel: BackendConnection | None, port: PortCheck) -> EndEvidence:
        status = self._dispatch.listing_status()
        closed_s = self._connection.closed_s
        assert closed_s is not None
        unread_since_s = self._connection.unread_since_s
        earliest_close_s = closed_s if unread_since_s is None else unread_since_s
        outlived = port.accepted_at_once
        if sentinel is not None and sentinel.closed_s is not None:
            outlived = outlived and sentinel.closed_s > closed_s + MOMENT_S
        unlisted_s = status.unlisted_since_s
        return EndEvidence(
            sentinel=_sentinel_state(sentinel),
            port_refuses=port.refuses,
            port_accepted=port.accepted_at_once,
            outlived_answer=outlived,
            is_read_late=unread_since_s is not None,
            is_leaving=status.is_leaving,
            has_announced_leave=status.has_announced_leave,
            is_replaced=status.is_replaced,
            is_unlisted_at_end=unlisted_s is not None and abs(unlisted_s - earliest_close_s) <= UNLISTED_WAIT_S,
        )

    def _log(self, verdict: EndVerdict, evidence: EndEvidence) -> None:
        closed_s, since_s = self._connection.closed_s, self._connection.unread_since_s
        unread_s = closed_s - since_s if closed_s is not None and since_s is not None else 0.0
        emit(
            Event.UNFRAMED_ANSWER_ENDED,
            request_id=self._dispatch.request.request_id,
            backend=self._dispatch.backend.incarnation,
            result="whole" if verdict.is_whole else "broken off",
            reason=verdict.reason,
            sentinel=evidence.sentinel.value,
            port_refuses=evidence.port_refuses,
            leaving=evidence.is_leaving,
            announced=evidence.has_announced_leave,
            unread_ms=round(unread_s * 1000),
        )


def _sentinel_state(sentinel: BackendConnection | None) -> SentinelState:
    if sentinel is None or (sentinel.closed and not sentinel.ended_by_peer):
        return SentinelState.NONE  # This node closes one on which it has received something.
    return SentinelState.ENDED if sentinel.closed else SentinelState.OPEN
