"""How long a node may go without reading the store's rows before that counts as an outage of the store."""

from __future__ import annotations

STORE_OUTAGE_S = 2.4
"""Seconds without a confirmed page of rows after which the store counts as having been unavailable.

Three times the 0.8 s for which one call is held open (:mod:`wallwell.node.followers`), so that a single failed call
does not count as an outage."""
