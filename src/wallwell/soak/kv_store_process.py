"""The KV store of a run, in a process of its own."""

from __future__ import annotations

import asyncio

import msgspec

from wallwell.emulator.kv_store import KvStoreEmulator
from wallwell.soak.control import Announcement, announce


class KvStoreSettings(msgspec.Struct, frozen=True):
    """Settings of the KV store's process."""

    host: str
    model: str


async def serve_kv_store(settings: KvStoreSettings) -> None:
    """Serve until the process is ended."""
    store = KvStoreEmulator(settings.model)
    await store.start(settings.host)
    announce(Announcement((store.address,)))
    await asyncio.Event().wait()
