"""What a back end states about itself in an answer, beside the answer to the request. Pure.

Decoded in ``platform/`` from the head of each answer that a node reads, of whatever status and to whatever call,
and handed on by one :class:`BackendNotices`, so that no path of a request has a copy of its own. It is newer than
the listing, and comes also while the store cannot be read.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from wallwell.routing.health.request_limit import LimitStatement


class BackendNotice(msgspec.Struct, frozen=True):
    """What one answer states about its back end."""

    leaving: bool = False
    """Whether it is about to end, so that it must get nothing new."""
    backoff_s: float = 0.0
    """Seconds for which it wants nothing from this node; 0 if it does not ask for that."""
    limit: LimitStatement | None = None
    """What it says of a limit of requests; None if it says nothing that can be understood."""


NO_NOTICE = BackendNotice()


class BackendNotices:
    """Hands notices from the clients of back ends to the node that they were wired for."""

    def __init__(self) -> None:
        self.on_notice: Callable[[str, BackendNotice], None] = lambda incarnation, notice: None
        """Called with the incarnation that answered and what it stated, unless that is nothing."""
