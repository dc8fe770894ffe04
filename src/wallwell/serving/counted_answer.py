"""Answers that come over the link between regions, counted as they pass.

Owns nothing: the bytes go into the node's :class:`RegionTraffic`, which reports what the link carries and why.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing

from wallwell.cluster.region_traffic import RegionTraffic
from wallwell.serving.messages import BackendAnswer


class TrafficCountedAnswer:
    """A back end's answer whose bytes are added to the traffic between regions; see :class:`BackendAnswer`."""

    def __init__(self, answer: BackendAnswer, traffic: RegionTraffic, cause: str) -> None:
        self.head = answer.head
        self._answer = answer
        self._traffic = traffic
        self._cause = cause

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body. Raises :class:`AttemptError` if it ends early."""
        async with aclosing(self._answer.chunks()) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                self._traffic.add_bytes(self._cause, len(chunk))
                yield chunk

    def close(self) -> None:
        """Abort the request if it has not ended."""
        self._answer.close()
