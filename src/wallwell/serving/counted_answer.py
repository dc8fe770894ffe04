"""Counts the bytes of answers that cross the link between regions.

The bytes are added to the node's :class:`RegionTraffic`, which reports the traffic on the link by cause.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing

from wallwell.cluster.region_traffic import RegionTraffic
from wallwell.serving.messages import BackendAnswer


class TrafficCountedAnswer:
    """A :class:`BackendAnswer` whose bytes are added to the traffic between regions."""

    def __init__(self, answer: BackendAnswer, traffic: RegionTraffic, cause: str) -> None:
        self.head = answer.head
        self._answer = answer
        self._traffic = traffic
        self._cause = cause

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body and count its bytes. Raises :class:`AttemptError` if the body ends early."""
        async with aclosing(self._answer.chunks()) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                self._traffic.count_bytes(self._cause, len(chunk))
                yield chunk

    def close(self) -> None:
        """Abort the request if its answer is not complete."""
        self._answer.close()
