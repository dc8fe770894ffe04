"""The settings file of a process on the platform. Unknown fields are ignored, as the platform asks."""

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
    ready: str


class ProviderAddress(msgspec.Struct, frozen=True):
    """Where the platform's store answers."""

    addr: str


class Bounds(msgspec.Struct, frozen=True):
    """The figures of the rules that this product uses."""

    revoke_ms: float = 5000
    strict_revoke: bool = False
    retry_budget_ratio: float = 0.2
    retry_budget_extra: float = 50
    budget_window_s: float = 10
    lease_ms: float = 3000
    contact_ms: float = 3000
    version_ms: float = 8000
    grace_s: float = 8
    exposure_share: float = 0.1
    exposure_slack: float = 50
    rollback_ms: float = 5000


class Limits(msgspec.Struct, frozen=True):
    """What the machine grants this process."""

    link_mbps: float = 0.0


class PlatformSettings(msgspec.Struct, frozen=True):
    """What one process is told at its start."""

    node: str
    zone: str
    listen: ListenAddresses
    provider: ProviderAddress
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    metrics: str = ""
    ip: str = ""
    port_range: tuple[int, ...] = ()
    """First and last port left free for what nodes say to each other."""
    region: str = ""
    """Region of the node's zone, empty if there are none."""
    zones: dict[str, str] = {}
    """Region of each zone, by the zone's name."""

    def peer_ports(self) -> range:
        """Return the ports on which peers may be served; none if the settings leave none free."""
        return range(self.port_range[0], self.port_range[-1] + 1) if self.ip and self.port_range else range(0)

    def places(self) -> Topology:
        """Return how far zones are from the node."""
        return Topology(self.zone, self.zones, self.region)

    def fleet_bounds(self) -> FleetBounds:
        """Return the bounds in the product's units."""
        bounds = self.bounds
        return FleetBounds(
            revocation_s=bounds.revoke_ms / 1000,
            strict_revocation=bounds.strict_revoke,
            retry_ratio=bounds.retry_budget_ratio,
            retry_extra=bounds.retry_budget_extra,
            retry_window_s=bounds.budget_window_s,
            lease_s=bounds.lease_ms / 1000,
            contact_s=bounds.contact_ms / 1000,
            version_s=bounds.version_ms / 1000,
            rollout=RolloutBounds(bounds.exposure_share, bounds.exposure_slack, bounds.rollback_ms / 1000),
        )


def settings_path() -> str:
    """Return the settings file's path. Raises :class:`SettingsError`."""
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
