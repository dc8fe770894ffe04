"""Finds back ends that have stopped without a word, and ends the attempts there that may be made elsewhere."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Protocol

from wallwell.background import BackgroundTasks
from wallwell.clock import boot_time_s
from wallwell.deployment.backends import BackendRecord
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.messages import AttemptError

TICK_S = 0.04


class ReachabilityCheck(Protocol):
    """Tells whether a back end's machine answers."""

    async def is_reachable(self, backend: BackendRecord) -> bool:
        """Make a new connection; returns False if there is no answer to that, not even a refusal."""
        ...


class Liveness:
    """Asks back ends that are silent for long while requests are under way there whether they live."""

    def __init__(self, state: NodeState, check: ReachabilityCheck) -> None:
        self._state = state
        self._check = check
        self._repeatable: dict[str, set[asyncio.Timeout]] = {}
        """Attempts under way that may be made elsewhere, by back end."""
        self._asking = BackgroundTasks()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.step()

    def step(self) -> None:
        """Ask every back end that has been silent for long, and one of each zone that may be cut off."""
        now_s = boot_time_s()
        for incarnation in list(self._repeatable):
            backend = self._state.backends.get(incarnation)
            if backend is not None and backend.silence.begin_probe_if_due(now_s):
                self._asking.begin(self._ask(backend))
        for backend in self._state.zones.begin_probes(self._state.backends.all(), now_s):
            self._asking.begin(self._ask_zone(backend))

    async def _ask_zone(self, backend: Backend) -> None:
        """Ask one back end for all of its zone."""
        if await self._check.is_reachable(backend.record):
            self._state.on_sign_of_life(backend, boot_time_s())
        else:
            self._state.on_connect_timeout(backend, boot_time_s())

    async def _ask(self, backend: Backend) -> None:
        asked_s = boot_time_s()
        if await self._check.is_reachable(backend.record) or backend.silence.heard_s >= asked_s:
            return
        now_s = boot_time_s()
        backend.on_failure(now_s, unreachable=True)
        self._state.on_connect_timeout(backend, now_s)
        emit(
            Event.BACKEND_SILENT,
            backend=backend.incarnation,
            silent_ms=round((now_s - backend.silence.heard_s) * 1000),
            attempts=len(self._repeatable.get(backend.incarnation, ())),
        )
        for attempt in self._repeatable.get(backend.incarnation, set()):
            attempt.reschedule(asyncio.get_running_loop().time())

    @asynccontextmanager
    async def watch(self, backend: Backend, may_repeat: bool) -> AsyncIterator[None]:
        """Watch one attempt. Raises :class:`AttemptError` in it if its back end turns out to have stopped."""
        if not may_repeat:
            yield
            return
        attempt = asyncio.timeout(None)
        watched = self._repeatable.setdefault(backend.incarnation, set())
        watched.add(attempt)
        try:
            async with attempt:
                yield
        except TimeoutError:
            if not attempt.expired():
                raise
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, "the back end has stopped") from None
        finally:
            watched.discard(attempt)
            if not watched:
                self._repeatable.pop(backend.incarnation, None)
