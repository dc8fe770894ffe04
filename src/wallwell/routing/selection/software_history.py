"""Which software versions of a service were listed lately, and so may have begun streams that still go on. Pure.

Inputs are the currently listed back ends, removals from the listing, and how recent the listing is. The node's rows
report removals and confirmations. A stream that its caller resumes began at one of these versions; if there is only
one, nothing else need be known of the stream.
"""

from __future__ import annotations

from collections.abc import Iterable

from wallwell.routing.health.backend import Backend

MAX_LISTING_AGE_S = 2.0
"""Seconds since the last confirmation for which the listing counts as complete. A version that is listed without an
order gets no requests for as long, so a stream cannot have begun at one that this node has not seen yet."""
ANSWERS_PER_STREAM = 2
"""Answers of its route's longest time that a stream may take: the first one, and one that resumed it."""
RESUME_MARGIN_S = 2.0
"""Seconds for which a caller may still resume a stream after that."""
MAX_REMEMBERED_S = 300.0
"""Seconds for which a version is remembered after its last back end; streams are shorter."""


def stream_time_s(timeout_s: float) -> float:
    """Return the seconds for which a stream may be resumed; ``timeout_s`` is that of its route."""
    return ANSWERS_PER_STREAM * timeout_s + RESUME_MARGIN_S


class SoftwareHistory:
    """The software versions of each service that this node has seen. Times are in seconds on the node's clock."""

    def __init__(self) -> None:
        self._last_listed_s: dict[str, dict[str, float]] = {}
        """When a back end of a version was last listed, by service and version; only versions that lost one."""
        self._observed_since_s = float("inf")
        self._confirmed_at_s = float("-inf")

    def on_confirmed(self, confirmed_at_s: float, now_s: float) -> None:
        """Record that the listing was certainly current at ``confirmed_at_s``."""
        self._observed_since_s = min(self._observed_since_s, now_s)
        self._confirmed_at_s = max(self._confirmed_at_s, confirmed_at_s)

    def on_unlisted(self, service: str, software: str, now_s: float) -> None:
        """Record that a back end of this version is no longer listed, or with another version."""
        by_version = self._last_listed_s.setdefault(service, {})
        by_version[software] = now_s
        for version in [each for each, at_s in by_version.items() if now_s - at_s > MAX_REMEMBERED_S]:
            del by_version[version]

    def versions(self, service: str, listed: Iterable[Backend], now_s: float, within_s: float) -> set[str]:
        """Return the versions of a service that are ``listed``, or were within the last ``within_s`` seconds."""
        earlier = self._last_listed_s.get(service, {})
        found = {version for version, at_s in earlier.items() if now_s - at_s <= within_s}
        found.update(each.record.software for each in listed)
        return found

    def observed_for_s(self, now_s: float) -> float:
        """Return for how many seconds this node has followed the listing."""
        return max(0.0, now_s - self._observed_since_s)

    def is_recent(self, now_s: float) -> bool:
        """Whether no version can have begun streams that this node has not seen listed."""
        return now_s - self._confirmed_at_s <= MAX_LISTING_AGE_S

    def reaches_back(self, now_s: float, within_s: float) -> bool:
        """Whether this node has followed the listing for the last ``within_s`` seconds."""
        return self.observed_for_s(now_s) >= within_s

    def is_complete(self, now_s: float, within_s: float) -> bool:
        """Whether this node has seen every version that was listed within the last ``within_s`` seconds."""
        return self.is_recent(now_s) and self.reaches_back(now_s, within_s)
