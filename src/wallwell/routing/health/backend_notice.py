"""Notices: what a back end states about itself in the headers of its answers. Pure.

Decoded in ``platform/`` from the head of each answer that a node reads, whatever its status and the call. A single
:class:`BackendNotices` passes them on, so that the request paths need no code of their own for it. A notice is
newer than the store's listing, and arrives even while the store cannot be read.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from wallwell.routing.admission.brittle_room import BrittleStatement
from wallwell.routing.health.request_limit import LimitStatement


class BackendNotice(msgspec.Struct, frozen=True):
    """Statements of one answer about its back end."""

    leaving: bool = False
    """Whether the back end is about to end and must get no new requests."""
    backoff_s: float = 0.0
    """Seconds of back-off that the back end asks of this node; 0 if none."""
    limit: LimitStatement | None = None
    """Statement about the limit of requests; None if there is no readable one."""
    brittle: BrittleStatement | None = None
    """Statement about how many refused requests the back end tolerates; None if there is no readable one."""


NO_NOTICE = BackendNotice()


class BackendNotices:
    """Passes notices from the clients of back ends to their node."""

    def __init__(self) -> None:
        self.on_notice: Callable[[str, BackendNotice], None] = lambda incarnation, notice: None
        """Called with the incarnation that answered and its notice, unless the notice is empty."""
