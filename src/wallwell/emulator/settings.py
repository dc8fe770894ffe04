"""Settings files of the stand-ins."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec
from aiohttp import web

from wallwell.emulator.engine_model import EngineProfile
from wallwell.emulator.engine_server import EngineServer
from wallwell.emulator.platform_server import PlatformServer
from wallwell.emulator.service_server import ServiceServer
from wallwell.errors import DocumentSyntaxError, SettingsError
from wallwell.settings import Listener
from wallwell.typed import ProblemList, convert_all, load_yaml

T = TypeVar("T")


class EngineEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One engine to emulate."""

    name: str
    listener: Listener
    weights: dict[str, str]
    cache_blocks: int = 4000
    event_delay_s: float = 0.1
    load_lag_s: float = 0.2


class EnginesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Engines that share one process."""

    engines: tuple[EngineEntry, ...]


class ServiceEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service instance to emulate."""

    name: str
    listener: Listener
    work_s: float = 0.005


class ServicesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service instances that share one process."""

    instances: tuple[ServiceEntry, ...]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's services on one listener."""

    listener: Listener
    calls_per_s: float = 500.0
    weight_load_s: float = 0.2


def load_emulator_settings(path: Path, target: type[T]) -> T:
    """Read a stand-in's settings. Raises :class:`SettingsError`."""
    try:
        value, lines = load_yaml(path.read_text(encoding="utf-8"))
    except (OSError, DocumentSyntaxError) as error:
        raise SettingsError(f"{path}: {error}") from error
    problems = ProblemList(lines)
    settings = convert_all(value, target, problems)
    if settings is None:
        raise SettingsError("\n".join(f"{path}: {problem}" for problem in problems.problems))
    return settings


def emulated_apps(kind: str, path: Path) -> list[tuple[web.Application, Listener]]:
    """Return the applications that a settings file of ``kind`` describes, with their listeners."""
    if kind == "engine":
        engines = load_emulator_settings(path, EnginesSettings).engines
        return [(_engine(entry).app(), entry.listener) for entry in engines]
    if kind == "service":
        instances = load_emulator_settings(path, ServicesSettings).instances
        return [(ServiceServer(entry.name, entry.work_s).app(), entry.listener) for entry in instances]
    settings = load_emulator_settings(path, PlatformSettings)
    return [(PlatformServer(settings.calls_per_s, settings.weight_load_s).app(), settings.listener)]


def _engine(entry: EngineEntry) -> EngineServer:
    profile = EngineProfile(cache_blocks=entry.cache_blocks)
    return EngineServer(entry.name, entry.weights, profile, entry.event_delay_s, entry.load_lag_s)
