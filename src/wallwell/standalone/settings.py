"""One node's settings file: addresses, zone, seed peers, platform addresses, keys and limits.

The file is YAML. Unknown keys, missing keys and wrong types are refused at start, all of them at once, each with
its code, key path and line. Command-line flags override single values. Owns the names, bounds and defaults.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlsplit

import msgspec

from wallwell.address import MAX_PORT, InvalidAddressError, parse_address
from wallwell.errors import DocumentSyntaxError, SettingsError
from wallwell.standalone.routing.policy import POLICIES
from wallwell.standalone.typed import OUT_OF_RANGE, ProblemList, convert_all, load_yaml

MIN_KEY_CHARACTERS = 16
"""Shortest cluster key and operators' token: they authenticate nodes and operators."""
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]
MAX_NUMBER = 2**53
"""Largest whole number in a settings file: any number up to it is a float too."""
PositiveInt = Annotated[int, msgspec.Meta(gt=0, le=MAX_NUMBER)]


class Listener(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An address to listen on. Port 0 lets the system choose."""

    host: str = "127.0.0.1"
    port: Port = 0


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate files of the callers' and operators' listeners (PEM)."""

    certificate_file: str
    key_file: str


class PlatformAddresses(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base URLs of the platform's services."""

    table: str
    machines: str = ""
    timeout_s: PositiveSeconds = 1.0


class RequestLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on what one caller may send and hold."""

    max_body_bytes: PositiveInt = 4 * 1024 * 1024
    max_header_bytes: PositiveInt = 8192
    stream_buffer_bytes: PositiveInt = 256 * 1024
    request_read_timeout_s: PositiveSeconds = 20.0
    stop_grace_s: PositiveSeconds = 50.0


class ClusterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Membership among nodes. ``seeds`` are ``host:port`` of the cluster listener of other nodes."""

    key: str
    seeds: tuple[str, ...] = ()
    sync_interval_s: PositiveSeconds = 1.0
    suspicion_timeout_s: PositiveSeconds = 3.0
    budget_bytes_per_s: PositiveInt = 17_000


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Log level and format."""

    level: str = "INFO"
    json: bool = True


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one router process; it reads them at start only."""

    node: str
    zone: str
    region: str
    operator_token: str
    cluster: ClusterSettings
    platform: PlatformAddresses
    callers_listener: Listener = Listener()
    operators_listener: Listener = Listener()
    cluster_listener: Listener = Listener()
    tls: TlsSettings | None = None
    limits: RequestLimits = RequestLimits()
    log: LogSettings = LogSettings()
    policy: str = "expected_first_token"


_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def load_settings(path: Path, overrides: dict[str, Any] | None = None) -> NodeSettings:
    """Read and check a settings file. Raises :class:`SettingsError` listing every problem.

    ``overrides`` maps dotted key paths (``callers_listener.port``) to values given as flags.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8: {error.reason} at byte {error.start}") from error
    return parse_settings(text, str(path), overrides)


def parse_settings(text: str, source: str, overrides: dict[str, Any] | None = None) -> NodeSettings:
    """Check the settings in ``text``; ``source`` names it in messages. Raises :class:`SettingsError`."""
    try:
        value, lines = load_yaml(text)
    except DocumentSyntaxError as error:
        raise SettingsError(f"{source}: {error.detail}") from error
    for dotted, override in (overrides or {}).items():
        _set_path(value, dotted.split("."), override)
    problems = ProblemList(lines)
    settings = convert_all(value, NodeSettings, problems)
    if settings is not None:
        _check_values(settings, problems)
    if settings is not None and not problems.problems:
        _check_urls(settings.platform, problems)
    if settings is None or problems.problems:
        raise SettingsError("\n".join(f"{source}: {problem}" for problem in problems.problems))
    return settings


def _set_path(value: Any, keys: list[str], override: Any) -> None:
    """Set a value at a path; where something else than a mapping stands on the way, the check reports that."""
    for key in keys[:-1]:
        if not isinstance(value, dict):
            return
        value = value.setdefault(key, {})
    if isinstance(value, dict):
        value[keys[-1]] = override


def _check_values(settings: NodeSettings, problems: ProblemList) -> None:
    if len(settings.cluster.key) < MIN_KEY_CHARACTERS:
        problems.add(OUT_OF_RANGE, ("cluster", "key"), f"needs at least {MIN_KEY_CHARACTERS} characters")
    if len(settings.operator_token) < MIN_KEY_CHARACTERS:
        problems.add(OUT_OF_RANGE, ("operator_token",), f"needs at least {MIN_KEY_CHARACTERS} characters")
    for index, seed in enumerate(settings.cluster.seeds):
        try:
            parse_address(seed)
        except InvalidAddressError:
            problems.add(OUT_OF_RANGE, ("cluster", "seeds", index), "must be IP:port")
    _check_cluster_host(settings.cluster_listener.host, problems)
    if settings.policy not in POLICIES:
        problems.add(OUT_OF_RANGE, ("policy",), f"must be one of {', '.join(sorted(POLICIES))}")
    if settings.log.level not in _LOG_LEVELS:
        problems.add(OUT_OF_RANGE, ("log", "level"), f"must be one of {', '.join(_LOG_LEVELS)}")


def _check_cluster_host(host: str, problems: ProblemList) -> None:
    """Require an IP address of this machine alone: the node tells it to its peers, which send datagrams there."""
    try:
        parse_address(f"{host}:{MAX_PORT}")
    except InvalidAddressError:
        message = "must be the IPv4 address at which other nodes reach this one"
        problems.add(OUT_OF_RANGE, ("cluster_listener", "host"), message)


def _check_urls(platform: PlatformAddresses, problems: ProblemList) -> None:
    _check_url(platform.table, ("platform", "table"), problems)
    if platform.machines:
        _check_url(platform.machines, ("platform", "machines"), problems)


def _check_url(text: str, path: tuple[str, str], problems: ProblemList) -> None:
    """Require a URL of HTTP with a host name that can be looked up."""
    try:
        url = urlsplit(text)
        is_usable = url.scheme in ("http", "https") and bool(url.hostname) and url.port != 0
        (url.hostname or "").encode("idna")
    except ValueError:  # The port is no port, or the host name has an empty or too long label.
        is_usable = False
    if not is_usable:
        problems.add(OUT_OF_RANGE, path, "must be a URL such as http://127.0.0.1:9000")
