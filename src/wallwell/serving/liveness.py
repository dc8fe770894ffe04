"""Detects back ends that stopped without closing their connections, and tells the attempts that may be retried.

A machine that loses power sends nothing: its connections stay open and its streams stall. A back end that is silent
for long while requests are in flight is probed with a new connection. So is one back end of each zone that may be
cut off, and some of each service whose connections fail. A machine that does not answer a probe may still go on a
moment later, so its attempts are told and not ended; those at a back end that has been replaced are ended.

This module runs the probes and keeps the watched attempts. The back end's silence record decides when a silence is
long, the zones' record and the services' record what else is probed, the retry policy which attempts are watched.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Protocol

from wallwell.background import BackgroundTasks
from wallwell.clock import boot_time_s
from wallwell.cluster.unexpected_errors import UnexpectedErrors
from wallwell.deployment.backends import BackendRecord
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.messages import AttemptError, SendProgress

PROBE_CHECK_INTERVAL_S = 0.04
"""Interval in seconds at which back ends are checked for due probes: a fraction of the shortest silence that counts
as long."""


class ReachabilityCheck(Protocol):
    """Checks whether a back end's machine answers."""

    async def is_reachable(self, backend: BackendRecord) -> bool:
        """Open a new connection; return False if there is no response to it, not even a refusal."""
        ...

    async def accepts_connections(self, backend: BackendRecord) -> bool:
        """Open a new connection; return False if it times out or is refused."""
        ...


class WatchedAttempt:
    """An attempt in flight whose request may be sent elsewhere."""

    def __init__(self, progress: SendProgress, ends_if_suspected: bool) -> None:
        """``ends_if_suspected``: whether the attempt ends as soon as its back end is suspected."""
        self.limit = asyncio.timeout(None)
        """Ends the attempt."""
        self.progress = progress
        self.suspected: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        """Done once the back end's machine has not answered a probe, until something is received again."""
        self._ends_if_suspected = ends_if_suspected

    def suspect(self) -> None:
        """Record that the back end's machine has not answered a probe. Without a connection nothing can be lost."""
        if self._ends_if_suspected or self.progress.connecting:
            self.end()
        elif not self.suspected.done():
            self.suspected.set_result(None)

    def on_received(self) -> None:
        """Record that the back end has sent something in this attempt."""
        if self.suspected.done():
            self.suspected = asyncio.get_running_loop().create_future()

    def end(self) -> None:
        """End the attempt."""
        if not self.limit.expired():
            self.limit.reschedule(asyncio.get_running_loop().time())


class LivenessMonitor:
    """Probes back ends that are silent for long while requests are in flight, and tells their attempts."""

    def __init__(self, state: NodeState, reachability_check: ReachabilityCheck) -> None:
        self._state = state
        self._reachability = reachability_check
        self._watched: dict[Backend, set[WatchedAttempt]] = {}
        """Attempts in flight that may be retried elsewhere, by back end."""
        self._probes = BackgroundTasks()
        self._unexpected_errors = UnexpectedErrors("probe of a back end")

    async def run(self) -> None:
        """Probe back ends periodically until cancelled."""
        while True:
            await asyncio.sleep(PROBE_CHECK_INTERVAL_S)
            self.probe_due_backends()

    def probe_due_backends(self) -> None:
        """Start probes of back ends that have been silent for long, and of some in each zone and each service that
        may be cut off from this node.

        Attempts on back ends that have been replaced are interrupted without a probe.
        """
        now_s = boot_time_s()
        for backend in list(self._watched):
            if backend.is_replaced:
                self._end_attempts(backend)
            elif backend.gone:
                self._end_suspected_attempts(backend)
            elif self._own_attempts(backend) and backend.silence.begin_probe_if_due(now_s):
                self._start_probe(self._probe, backend)
        for backend in self._state.zones.begin_probes(self._state.backends.all_backends(), now_s):
            self._start_probe(self._probe_zone, backend)
        for backend in self._state.reachability.begin_probes(self._state.backends.backends_of_service, now_s):
            self._start_probe(self._probe_service, backend)

    def _start_probe(self, probe: Callable[[Backend], Awaitable[None]], backend: Backend) -> None:
        self._probes.start(self._run_probe(probe, backend))

    async def _run_probe(self, probe: Callable[[Backend], Awaitable[None]], backend: Backend) -> None:
        """Probe a back end. A probe that fails unexpectedly (a fault of this node) shows nothing."""
        try:
            await probe(backend)
        except Exception as error:
            self._unexpected_errors.record(backend.incarnation, error)

    async def _probe_zone(self, backend: Backend) -> None:
        """Probe one back end to find out whether its zone is reachable."""
        if await self._reachability.is_reachable(backend.record):
            self._state.on_sign_of_life(backend, boot_time_s())
        else:
            self._on_connect_timeout(backend, boot_time_s())

    async def _probe_service(self, backend: Backend) -> None:
        """Probe one back end to find out whether any of its service accepts connections of this node."""
        if await self._reachability.accepts_connections(backend.record):
            self._state.on_sign_of_life(backend, boot_time_s())
            self._state.on_reached(backend)
        else:
            self._state.on_connect_failed(backend, boot_time_s())

    def _on_connect_timeout(self, backend: Backend, now_s: float) -> None:
        self._state.on_connect_timeout(backend, now_s)
        self._state.on_connect_failed(backend, now_s)

    async def _probe(self, backend: Backend) -> None:
        probe_started_s = boot_time_s()
        if (
            await self._reachability.is_reachable(backend.record)
            or backend.silence.silent_since_s >= probe_started_s
        ):
            return
        now_s = boot_time_s()
        backend.on_failure(now_s, unreachable=True)
        self._on_connect_timeout(backend, now_s)
        emit(
            Event.BACKEND_SILENT,
            backend=backend.incarnation,
            silent_ms=round((now_s - backend.silence.silent_since_s) * 1000),
            attempts=len(self._watched.get(backend, ())),
        )
        self._suspect(backend)

    def _suspect(self, backend: Backend) -> None:
        for attempt in self._own_attempts(backend):
            attempt.suspect()

    def _end_attempts(self, backend: Backend) -> None:
        for attempt in self._own_attempts(backend):
            attempt.end()

    def _end_suspected_attempts(self, backend: Backend) -> None:
        for attempt in self._own_attempts(backend):
            if attempt.suspected.done():
                attempt.end()

    def _own_attempts(self, backend: Backend) -> list[WatchedAttempt]:
        return [each for each in self._watched.get(backend, ()) if not each.progress.via_peer]

    @asynccontextmanager
    async def watch(
        self, backend: Backend, progress: SendProgress, ends_if_suspected: bool = False
    ) -> AsyncIterator[WatchedAttempt]:
        """Run one attempt and yield what is found out about it.

        Ends it with :class:`AttemptError` if nothing can come of it: the back end has been replaced, or does not
        answer and is not listed any more. With ``ends_if_suspected``, not answering a probe is enough. Only for
        attempts that the retry policy allows to interrupt. Once a peer makes the attempt, it goes on.
        """
        attempt = WatchedAttempt(progress, ends_if_suspected)
        watched = self._watched.setdefault(backend, set())
        watched.add(attempt)
        try:
            async with attempt.limit:
                yield attempt
        except TimeoutError:
            if not attempt.limit.expired():
                raise
            is_unsent = progress.connecting
            event = TransportEvent.RESET_BEFORE_SEND if is_unsent else TransportEvent.RESET_AFTER_SEND
            raise AttemptError(event, "the back end has stopped") from None
        finally:
            watched.discard(attempt)
            if not watched:
                self._watched.pop(backend, None)
