"""When a gap in what a node knows of the store's rows counts as an outage of the store."""

from __future__ import annotations

STORE_OUTAGE_S = 2.4
"""Seconds without a confirmed page of rows beyond which the store counts as having been unavailable.

Three times the 0.8 s for which one reading is held open (:mod:`wallwell.node.followers`), so that one reading that
fails is no outage."""
