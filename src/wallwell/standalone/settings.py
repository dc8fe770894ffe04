"""One node's settings file: addresses, zone, seed peers, platform addresses, keys and limits.

The file is YAML. Unknown keys, missing keys and wrong types are refused at start, all of them at once, each with
its code, key path and line. Command-line flags override single values. Owns the names, bounds and defaults.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any

import msgspec

from wallwell.errors import DocumentSyntaxError, SettingsError
from wallwell.standalone.typed import OUT_OF_RANGE, ProblemList, convert_all, load_yaml

MIN_KEY_CHARACTERS = 16
"""Shortest cluster key and operators' token: they authenticate nodes and operators."""
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]


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


_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def load_settings(path: Path, overrides: dict[str, Any] | None = None) -> NodeSettings:
    """Read and check a settings file. Raises :class:`SettingsError` listing every problem.

    ``overrides`` maps dotted key paths (``callers_listener.port``) to values given as flags.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
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
    if settings is None or problems.problems:
        raise SettingsError("\n".join(f"{source}: {problem}" for problem in problems.problems))
    return settings


def _set_path(value: Any, keys: list[str], override: Any) -> None:
    for key in keys[:-1]:
        value = value.setdefault(key, {})
    value[keys[-1]] = override


def _check_values(settings: NodeSettings, problems: ProblemList) -> None:
    if len(settings.cluster.key) < MIN_KEY_CHARACTERS:
        problems.add(OUT_OF_RANGE, ("cluster", "key"), f"needs at least {MIN_KEY_CHARACTERS} characters")
    if len(settings.operator_token) < MIN_KEY_CHARACTERS:
        problems.add(OUT_OF_RANGE, ("operator_token",), f"needs at least {MIN_KEY_CHARACTERS} characters")
    for index, seed in enumerate(settings.cluster.seeds):
        if not _ADDRESS.match(seed):
            problems.add(OUT_OF_RANGE, ("cluster", "seeds", index), "must be IP:port")
    if settings.log.level not in _LOG_LEVELS:
        problems.add(OUT_OF_RANGE, ("log", "level"), f"must be one of {', '.join(_LOG_LEVELS)}")
