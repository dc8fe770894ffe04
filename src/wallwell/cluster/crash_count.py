"""Counting a crash against a request, the same for both routers.

Relies on :mod:`wallwell.routing.admission.quarantine` for the decision; logs a quarantine that begins.
"""

from __future__ import annotations

from wallwell.events import Event, emit
from wallwell.routing.admission.quarantine import Quarantine


def count_crash(quarantine: Quarantine, content: str, life: str, now_s: float) -> bool:
    """Count a crash of one life of a back end; returns whether it was news. A quarantine that begins is logged."""
    was_free = not quarantine.remaining_s(content, now_s)
    is_news = quarantine.on_crash(content, life, now_s)
    if was_free and quarantine.remaining_s(content, now_s):
        emit(Event.REQUEST_QUARANTINED, content=content, last_crashed=life)
    return is_news
