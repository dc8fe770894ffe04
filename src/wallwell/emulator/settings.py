"""Settings files of the emulators, and the applications that they describe. Used by the command line."""

from __future__ import annotations

from pathlib import Path

import msgspec
from aiohttp import web

from wallwell.emulator.engine_feed import EVENT_DELAY_S, LOAD_LAG_S
from wallwell.emulator.engine_model import EngineProfile
from wallwell.emulator.engine_server import EngineServer
from wallwell.emulator.platform_server import CALLS_PER_S, WEIGHT_LOAD_S, PlatformServer
from wallwell.emulator.service_server import WORK_S, ServiceServer
from wallwell.errors import SettingsError
from wallwell.standalone.settings import Listener
from wallwell.standalone.typed import load_document


class EngineEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One engine to emulate."""

    name: str
    listener: Listener
    weights: dict[str, str]
    cache_blocks: int = 4000
    event_delay_s: float = EVENT_DELAY_S
    load_lag_s: float = LOAD_LAG_S


class EnginesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Engines that share one process."""

    engines: tuple[EngineEntry, ...]


class ServiceEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service instance to emulate."""

    name: str
    listener: Listener
    work_s: float = WORK_S


class ServicesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service instances that share one process."""

    instances: tuple[ServiceEntry, ...]


class PlatformServerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's services on one listener."""

    listener: Listener
    calls_per_s: float = CALLS_PER_S
    weight_load_s: float = WEIGHT_LOAD_S


def emulated_apps(kind: str, path: Path) -> list[tuple[web.Application, Listener]]:
    """Return the applications and listeners of a settings file of ``kind``. Raises :class:`SettingsError`."""
    if kind == "engine":
        engines = load_document(path, EnginesSettings, SettingsError).engines
        return [(_emulated_engine(entry).app(), entry.listener) for entry in engines]
    if kind == "service":
        instances = load_document(path, ServicesSettings, SettingsError).instances
        return [(ServiceServer(entry.name, entry.work_s).app(), entry.listener) for entry in instances]
    settings = load_document(path, PlatformServerSettings, SettingsError)
    return [(PlatformServer(settings.calls_per_s, settings.weight_load_s).app(), settings.listener)]


def _emulated_engine(entry: EngineEntry) -> EngineServer:
    profile = EngineProfile(cache_blocks=entry.cache_blocks)
    return EngineServer(entry.name, entry.weights, profile, entry.event_delay_s, entry.load_lag_s)
