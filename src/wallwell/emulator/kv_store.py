"""Emulator of the platform's KV store over HTTP, and the side of an engine that fetches from it and saves to it.

Routers read events and the list as the platform's protocol says. Engines fetch and save by a call of the stand-ins'
own, since the protocol does not say how engines move parts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from wallwell.clock import ends_within
from wallwell.emulator.part_cache import CachedRun, KeptPart, PartCache, parse_parts
from wallwell.emulator.platform_worker import SHUTDOWN_TIMEOUT_S
from wallwell.platform import names
from wallwell.routing.selection.prefix_home import PromptPart

MOVE_PATH = "/emulator/parts"
"""Path of the stand-ins' own call: POST with :class:`Move`."""
MOVE_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
"""Time for a move; an engine goes on without what does not come."""


class Move(msgspec.Struct, frozen=True):
    """Asks a store for the parts of a prompt that it keeps, after keeping the parts in ``made``."""

    scope: str
    parts: tuple[PromptPart, ...]
    made: tuple[KeptPart, ...] = ()


class KvStoreEmulator:
    """One start of one KV store."""

    def __init__(self, model: str = "m") -> None:
        self.cache = PartCache()
        self.address = ""
        self._model = model
        self._events: list[tuple[int, str, str, str, int, str]] = []
        self._changed = asyncio.Event()

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a port that the operating system chooses."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        self.address = f"{host}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Close the listener and its connections."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        match request.path:
            case names.CACHE_EVENTS_PATH:
                return await self._answer_events(request)
            case names.CACHE_LISTING_PATH:
                held = [event[2:] for event in self._events]
                return web.json_response({"epoch": 1, "next_token": len(self._events), "held": held})
            case path if path == MOVE_PATH:
                return self._move(msgspec.json.decode(await request.read(), type=Move))
        return web.Response(status=HTTPStatus.NOT_FOUND)

    async def _answer_events(self, request: web.BaseRequest) -> web.Response:
        since = int(request.query.get("since", "0"))
        if since >= len(self._events):
            await ends_within(self._changed.wait(), int(request.headers.get(names.WAIT_MS, "0")) / 1000)
        body = {"epoch": 1, "next_token": len(self._events), "lost": False, "events": self._events[since:]}
        return web.json_response(body)

    def _move(self, move: Move) -> web.Response:
        for key in self.cache.keep(move.scope, move.parts, move.made):
            tokens = self.cache.kept[key].tokens
            self._events.append((len(self._events) + 1, "+", key.scope, key.identities[-1], tokens, self._model))
        self._changed.set()
        self._changed = asyncio.Event()
        return web.Response(body=msgspec.json.encode(self.cache.find(move.scope, move.parts)))


class EngineCache:
    """An engine's kept parts, and its moves from and to KV stores."""

    def __init__(self) -> None:
        self.cache = PartCache()

    async def run(self, headers: Mapping[str, str]) -> CachedRun:
        """Run a request by the headers that a router sent: fetch, read the rest, save."""
        scope, parts = headers.get(names.CACHE_SALT, ""), parse_parts(headers.get(names.PROMPT_PARTS, ""))
        fetched: Sequence[KeptPart] = ()
        source, target = headers.get(names.KV_FETCH), headers.get(names.KV_SAVE)
        if source:
            fetched = await _move(source, Move(scope, parts))
        ran = self.cache.run(scope, parts, headers.get(names.TENANT, ""), fetched)
        if target:
            await _move(target, Move(scope, parts, self.cache.find(scope, parts)))
        return ran


async def _move(address: str, move: Move) -> tuple[KeptPart, ...]:
    """Return what a store keeps of a prompt; nothing if it does not answer."""
    try:
        async with (
            aiohttp.ClientSession(timeout=MOVE_TIMEOUT) as session,
            session.post(f"http://{address}{MOVE_PATH}", data=msgspec.json.encode(move)) as response,
        ):
            kept: Any = await response.read()
    except (aiohttp.ClientError, TimeoutError):
        return ()  # A dead source costs an engine some time and no request.
    return msgspec.json.decode(kept, type=tuple[KeptPart, ...])
