"""What a back end states about itself in an answer, beside the answer to the request. Pure.

Decoded in ``platform/`` from the head of each answer, refusals included, and kept by
:class:`~wallwell.routing.health.backend.Backend`. It is newer than the listing, and comes also while the store
cannot be read.
"""

from __future__ import annotations

import msgspec

MAX_BACKOFF_S = 3600.0
"""Longest time in seconds for which a back end is left out at its own request. Chosen, not measured: no overload is
expected to last as long, and a figure that was meant in milliseconds must not remove a back end for good."""


class BackendNotice(msgspec.Struct, frozen=True):
    """What one answer states about its back end."""

    leaving: bool = False
    """Whether it is about to end, so that it must get nothing new."""
    backoff_s: float = 0.0
    """Seconds for which it wants nothing from this node; 0 if it does not ask for that."""


NO_NOTICE = BackendNotice()
