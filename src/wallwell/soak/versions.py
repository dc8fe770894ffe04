"""Software versions that a run can roll out, and how bad ones are bad."""

from __future__ import annotations

import msgspec


class Badness(msgspec.Struct, frozen=True):
    """How a software version is bad. All off: it is good.

    ``failure_share`` of the answers fail and all take ``slowness`` times as long, from ``after_s`` of the worker's
    life on, while at least ``under_load`` requests run there, on paths that begin with ``path``.
    """

    failure_share: float = 0.0
    slowness: float = 1.0
    after_s: float = 0.0
    under_load: int = 0
    path: str = "/"

    @property
    def is_bad(self) -> bool:
        """Whether anything is on."""
        return self.failure_share > 0 or self.slowness > 1

    def strikes(self, age_s: float, running: int, path: str) -> bool:
        """Whether a request that begins now is failed or slowed down."""
        is_due = age_s >= self.after_s and running >= self.under_load
        return self.is_bad and is_due and path.startswith(self.path)


FIRST_VERSION = "v1"


def version_of_engine(index: int, incarnation: int, versions: int) -> str:
    """Return the software of an engine's incarnation (from 1) among ``versions`` that serve side by side."""
    number = (index + incarnation - 1) % versions
    return f"{FIRST_VERSION}.{number}" if number else FIRST_VERSION


ROLLOUTS = {
    "good": Badness(),
    "failing": Badness(failure_share=0.5),
    "slow": Badness(slowness=5.0),
    "failing_later": Badness(failure_share=0.5, after_s=5.0),
    "failing_under_load": Badness(failure_share=0.5, under_load=2),
    "failing_on_one_route": Badness(failure_share=0.5, path="/book/"),
}
"""Versions that a run can roll out, by name."""
ROLLOUT_SERVICE = "orders"
TARGET_VERSION = "v2"
ROLLOUT_AT_S = 2.0
"""Seconds from the first request to a rollout's order."""
