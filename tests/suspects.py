"""Reads a quarantine's suspects for the tests."""

from __future__ import annotations

from wallwell.routing.admission.quarantine import Quarantine


def suspected_content_digests(quarantine: Quarantine) -> set[str]:
    """Return the content digests with which a back end has crashed: all those with a crash that will expire."""
    return {digest for digest, _ in quarantine.expired_crashes(float("inf"))}
