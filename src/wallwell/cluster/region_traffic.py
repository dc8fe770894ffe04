"""What this node sends over the link between regions, by cause. Pure.

For the metrics ``wallwell_region_exchanges`` and ``wallwell_region_bytes_total``. Owns the counts.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class RegionTraffic:
    """Counts exchanges over the link and their bytes, as far as this node knows them: bodies, without heads.

    Causes are few and fixed: ``loads`` between nodes, and the kinds of routes for requests sent to back ends there.
    """

    exchanges: dict[str, int] = field(default_factory=dict)
    bytes: dict[str, int] = field(default_factory=dict)

    def count_exchange(self, cause: str, size: int) -> None:
        """Count one exchange."""
        self.exchanges[cause] = self.exchanges.get(cause, 0) + 1
        self.count_bytes(cause, size)

    def count_bytes(self, cause: str, size: int) -> None:
        """Count more bytes of an exchange."""
        self.bytes[cause] = self.bytes.get(cause, 0) + size
