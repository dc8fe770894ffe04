"""Counts a crash of a back end against the request that it was running; shared by both routers.

:mod:`wallwell.routing.admission.quarantine` decides on quarantines; this module logs each new one.
"""

from __future__ import annotations

from wallwell.events import Event, emit
from wallwell.routing.admission.quarantine import Quarantine


def count_crash(quarantine: Quarantine, content_digest: str, incarnation: str, now_s: float) -> bool:
    """Count a crash of one incarnation of a back end; return False if it did not count. Logs a new quarantine."""
    was_not_quarantined = not quarantine.remaining_s(content_digest, now_s)
    is_new_crash = quarantine.on_crash(content_digest, incarnation, now_s)
    if was_not_quarantined and quarantine.remaining_s(content_digest, now_s):
        emit(Event.REQUEST_QUARANTINED, content=content_digest, last_crashed=incarnation)
    return is_new_crash
