"""The settings file of a process on the platform: its form, its checks, and its figures in wallwell's units.

Field names are the platform's. Unknown fields are ignored, since the platform adds some over time. Nothing else
reads the file; the rest of the program gets :class:`FleetBounds` and :class:`Topology`.
"""

from __future__ import annotations

import os
import tomllib

import msgspec

from wallwell.deployment.topology import Topology
from wallwell.errors import SettingsError
from wallwell.node.state import FleetBounds
from wallwell.platform.names import SETTINGS_VARIABLE
from wallwell.rollout.model import RolloutBounds


class ListenAddresses(msgspec.Struct, frozen=True):
    """``IP:PORT`` of the listeners."""

    front: str
    """For callers."""
    ready: str
    """For the platform's readiness check."""


class StoreAddress(msgspec.Struct, frozen=True):
    """Where the platform's store answers."""

    addr: str
    """``IP:PORT``."""


class OperatorBounds(msgspec.Struct, frozen=True):
    """Bounds that operators set for the whole fleet; a default holds where the file names none."""

    revoke_ms: float = 5000
    """How long after its removal a credential may still be accepted."""
    strict_revoke: bool = False
    """Whether that holds without exception, so that a node refuses once it cannot confirm credentials."""
    retry_budget_ratio: float = 0.2
    """Attempts beyond the first that a service may get, over all nodes, as a fraction of its requests."""
    retry_budget_extra: float = 50
    """Attempts beyond that fraction, for each window."""
    budget_window_s: float = 10
    """The window in which both are counted."""
    lease_ms: float = 3000
    """How long a lease lasts without a renewal."""
    contact_ms: float = 3000
    """How long a node must have been connected without disruption before other bounds hold for it."""
    version_ms: float = 8000
    """How long after its naming a weights version may be missing on an engine that gets generations."""
    grace_s: float = 8
    """Time from the signal to stop until the process is killed."""
    exposure_share: float = 0.1
    """Fraction of a service's requests that a bad software version may get during its rollout."""
    exposure_slack: float = 50
    """Requests beyond that fraction."""
    rollback_ms: float = 5000
    """How long after its 50th bad answer a bad version may still get requests."""


class ProcessLimits(msgspec.Struct, frozen=True):
    """What the machine grants this process."""

    link_mbps: float = 0.0
    """Bandwidth in megabits a second; 0 if it is not named."""


class MetricsAddress(msgspec.Struct, frozen=True):
    """Where metrics are served."""

    address: str
    """``IP:PORT``."""
    path: str


class PlatformSettings(msgspec.Struct, frozen=True):
    """One process's settings."""

    node: str
    zone: str
    listen: ListenAddresses
    provider: StoreAddress
    """The platform's store."""
    bounds: OperatorBounds = OperatorBounds()
    limits: ProcessLimits = ProcessLimits()
    metrics: str = ""
    """``PORT/PATH`` of the metrics; empty if none are wanted."""
    ip: str = ""
    """Address of the machine, at which peers reach this node; empty if they cannot."""
    port_range: tuple[int, ...] = ()
    """First and last port that are free for connections between nodes."""
    region: str = ""
    """Region of the node's zone, empty if there are none."""
    zones: dict[str, str] = {}
    """Region of each zone, by the zone's name."""

    @property
    def grace_s(self) -> float:
        """Time from the signal to stop until the process is killed."""
        return self.bounds.grace_s

    def peer_ports(self) -> range:
        """Return the ports on which peers may be served; none if the settings leave none free."""
        return range(self.port_range[0], self.port_range[-1] + 1) if self.ip and self.port_range else range(0)

    def metrics_address(self) -> MetricsAddress | None:
        """Return where metrics are served, at the readiness listener's IP; None if none are wanted."""
        port, _, path = self.metrics.partition("/")
        if not port.isdigit():
            return None
        host = self.listen.ready.rpartition(":")[0]
        return MetricsAddress(f"{host}:{port}", f"/{path}")

    def topology(self) -> Topology:
        """Return how far zones are from the node."""
        return Topology(self.zone, self.zones, self.region)

    def fleet_bounds(self) -> FleetBounds:
        """Return the bounds in wallwell's units."""
        bounds = self.bounds
        return FleetBounds(
            revocation_s=bounds.revoke_ms / 1000,
            strict_revocation=bounds.strict_revoke,
            retry_ratio=bounds.retry_budget_ratio,
            retry_extra=bounds.retry_budget_extra,
            retry_window_s=bounds.budget_window_s,
            lease_s=bounds.lease_ms / 1000,
            startup_grace_s=bounds.contact_ms / 1000,
            weights_staleness_s=bounds.version_ms / 1000,
            rollout=RolloutBounds(bounds.exposure_share, bounds.exposure_slack, bounds.rollback_ms / 1000),
        )


def settings_path() -> str:
    """Return the settings file's path, from the environment. Raises :class:`SettingsError`."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"the variable {SETTINGS_VARIABLE} is not set")
    return path


def load_platform_settings(path: str) -> PlatformSettings:
    """Read and check the file. Raises :class:`SettingsError`."""
    try:
        with open(path, "rb") as file:
            return msgspec.convert(tomllib.load(file), PlatformSettings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {error}") from error
