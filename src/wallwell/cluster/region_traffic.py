"""Counts the traffic of this node over links between regions, by cause. Pure.

For the metrics ``wallwell_region_exchanges`` and ``wallwell_region_bytes_total``. Owns the counts.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class RegionTraffic:
    """Numbers of exchanges with other regions and their bytes; only bodies are counted, no headers.

    The causes are a small fixed set: ``loads`` for load sums, and the kind of route for requests to back ends.
    """

    exchanges: dict[str, int] = field(default_factory=dict)
    bytes: dict[str, int] = field(default_factory=dict)

    def count_exchange(self, cause: str, size: int) -> None:
        """Count one exchange of ``size`` bytes."""
        self.exchanges[cause] = self.exchanges.get(cause, 0) + 1
        self.count_bytes(cause, size)

    def count_bytes(self, cause: str, size: int) -> None:
        """Count ``size`` more bytes of an exchange that was counted before."""
        self.bytes[cause] = self.bytes.get(cause, 0) + size
