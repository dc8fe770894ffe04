"""Reads and validates the settings file of a process on the platform, and converts its values to wallwell's units.

Field names are the platform's. Unknown fields are ignored, since the platform adds fields over time. Only this
module reads the file; the rest of the program gets :class:`FleetBounds` and :class:`Topology`. What
:func:`load_platform_settings` returns can be used without further checks.
"""

from __future__ import annotations

import os
import tomllib

import msgspec

from wallwell.address import Address
from wallwell.deployment.topology import Topology
from wallwell.errors import SettingsError
from wallwell.node.state import FleetBounds
from wallwell.platform.names import SETTINGS_VARIABLE
from wallwell.platform.settings_checks import (
    check_address,
    check_listening_address,
    check_own_ip,
    check_port_range,
    check_quantity,
    is_port,
)
from wallwell.rollout.model import RolloutBounds

MAX_FILE_BYTES = 256 * 1024
"""Size of a settings file at most: some hundred times that of a real one. It is read while callers are served."""
MIN_WINDOW = 0.001
"""Smallest value of a bound by which rates are divided or in whose intervals something is repeated, in its unit."""
_WINDOWS = ("budget_window_s", "lease_ms")
"""Bounds of that kind."""


class ListenAddresses(msgspec.Struct, frozen=True):
    """Addresses (``IP:PORT``) at which the node listens."""

    front: str
    """Address for callers."""
    ready: str
    """Address for the platform's readiness check."""


class StoreAddress(msgspec.Struct, frozen=True):
    """Address of the platform's store."""

    addr: str
    """``IP:PORT``."""


class OperatorBounds(msgspec.Struct, frozen=True):
    """Bounds that operators set for the whole fleet, with the defaults for those that the file omits."""

    revoke_ms: float = 5000
    """Milliseconds after its removal for which a credential may still be accepted."""
    strict_revoke: bool = False
    """Whether this bound has no exceptions: a node that cannot confirm credentials refuses requests."""
    retry_budget_ratio: float = 0.2
    """Retries that a service may get from all nodes together, as a fraction of its requests."""
    retry_budget_extra: float = 50
    """Retries allowed per window in addition to that fraction."""
    budget_window_s: float = 10
    """Seconds of the window in which requests and retries are counted."""
    lease_ms: float = 3000
    """Milliseconds after which a lease expires unless it is renewed."""
    contact_ms: float = 3000
    """Milliseconds that a node must have been connected without disruption before other bounds apply to it."""
    version_ms: float = 8000
    """Milliseconds after the announcement of a weights version until only engines that have it get generations."""
    grace_s: float = 8
    """Seconds from the stop signal until the platform kills the process."""
    exposure_share: float = 0.1
    """Fraction of a service's requests that a faulty software version may get during its rollout."""
    exposure_slack: float = 50
    """Requests that such a version may get in addition to that fraction."""
    rollback_ms: float = 5000
    """Milliseconds after its 50th failed answer for which a faulty version may still get requests."""


class ProcessLimits(msgspec.Struct, frozen=True):
    """Resources of the machine that this process may use."""

    link_mbps: float = 0.0
    """Network bandwidth in megabits per second; 0 if not specified."""


class MetricsAddress(msgspec.Struct, frozen=True):
    """Address and path at which metrics are served."""

    address: str
    """``IP:PORT``."""
    path: str


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings of one router process."""

    node: str
    zone: str
    listen: ListenAddresses
    provider: StoreAddress
    """The platform's store."""
    bounds: OperatorBounds = OperatorBounds()
    limits: ProcessLimits = ProcessLimits()
    metrics: str = ""
    """``PORT/PATH`` at which metrics are served; empty for none."""
    ip: str = ""
    """IP address at which peers reach this node; empty if they cannot reach it."""
    port_range: tuple[int, ...] = ()
    """First and last port that may be used for connections between nodes."""
    region: str = ""
    """Region of the node's zone; empty if there are no regions."""
    zones: dict[str, str] = {}
    """Region of each zone, by the zone's name."""

    @property
    def grace_s(self) -> float:
        """Seconds from the stop signal until the platform kills the process."""
        return self.bounds.grace_s

    def store_address(self) -> Address:
        """Return the address of the platform's store. Raises :class:`SettingsError` if it is none."""
        return check_address("provider.addr", self.provider.addr)

    def peer_ports(self) -> range:
        """Return the ports on which to listen for peers; empty if the settings name no IP address or no ports."""
        return range(self.port_range[0], self.port_range[-1] + 1) if self.ip and self.port_range else range(0)

    def metrics_address(self) -> MetricsAddress | None:
        """Return the address for metrics, at the readiness listener's IP; None if ``metrics`` names no port."""
        port, _, path = self.metrics.partition("/")
        if not (port.isascii() and port.isdecimal()):
            return None
        host = self.listen.ready.rpartition(":")[0]
        return MetricsAddress(f"{host}:{port}", f"/{path}")

    def topology(self) -> Topology:
        """Return the topology, which gives each zone's distance from the node."""
        return Topology(self.zone, self.zones, self.region)

    def fleet_bounds(self) -> FleetBounds:
        """Return the operators' bounds in wallwell's units."""
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
    """Return the settings file's path from the environment. Raises :class:`SettingsError` if it is not set."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"the variable {SETTINGS_VARIABLE} is not set")
    return path


def load_platform_settings(path: str) -> PlatformSettings:
    """Read and validate the settings file. Raises :class:`SettingsError` if it is unreadable or invalid."""
    try:
        settings = msgspec.convert(tomllib.loads(_read_file(path).decode()), PlatformSettings)
        check_settings(settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except SettingsError as error:
        raise SettingsError(f"{path}: {error.detail}") from error
    except RecursionError as error:
        raise SettingsError(f"{path}: values are nested too deeply") from error
    except (ValueError, msgspec.ValidationError) as error:  # Not UTF-8, not TOML, a number of too many digits.
        raise SettingsError(f"{path}: {error}") from error
    return settings


def check_settings(settings: PlatformSettings) -> None:
    """Check the values of a file whose types are right. Raises :class:`SettingsError`, which names the field."""
    settings.store_address()
    check_listening_address("listen.front", settings.listen.front)
    check_listening_address("listen.ready", settings.listen.ready)
    metrics_address = settings.metrics_address()
    if metrics_address is not None and not is_port(settings.metrics.partition("/")[0]):
        raise SettingsError("metrics: not PORT/PATH")
    check_own_ip("ip", settings.ip)
    check_port_range("port_range", settings.port_range)
    check_quantity("limits.link_mbps", settings.limits.link_mbps)
    for name, value in msgspec.structs.asdict(settings.bounds).items():
        check_quantity(f"bounds.{name}", value, MIN_WINDOW if name in _WINDOWS else 0.0)


def _read_file(path: str) -> bytes:
    """Return a file's bytes. Raises OSError, or :class:`SettingsError` if it is too large."""
    # Without O_NONBLOCK, opening a pipe would wait for a writer, and nothing else would run meanwhile.
    with open(path, "rb", opener=lambda name, flags: os.open(name, flags | os.O_NONBLOCK)) as file:
        data = file.read(MAX_FILE_BYTES + 1) or b""
    if len(data) > MAX_FILE_BYTES:
        raise SettingsError(f"larger than {MAX_FILE_BYTES} bytes")
    return data
