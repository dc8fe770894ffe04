"""Which requests a quarantine holds something against, as tests ask it."""

from __future__ import annotations

from wallwell.routing.admission.quarantine import Quarantine


def suspected_content_digests(quarantine: Quarantine) -> set[str]:
    """Return the contents under which a back end has crashed: those whose crashes expire at some time."""
    return {content for content, _ in quarantine.expired_crashes(float("inf"))}
