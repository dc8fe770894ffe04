"""Process of an emulated engine: runs :class:`EngineModel` in real time and emulates crashes.

Owns the incarnation, the loaded weights, the requests in flight and the records that tests read. Contains no HTTP
code: :mod:`.engine_server` serves requests, :mod:`.engine_feed` sends cache events and load reports.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from wallwell.emulator.engine_model import EngineModel, EngineProfile, EngineRequest, StepResult
from wallwell.emulator.faults import FaultControl
from wallwell.standalone.backends import engine_protocol as wire

WEIGHT_LOAD_S = 0.3
"""Seconds that new weights take to load: short, so that tests need not wait."""
INCARNATION_BYTES = 4
"""Random bytes in the identifier of an incarnation."""
_PAUSE_CHECK_INTERVAL_S = 0.02
"""Seconds between two checks whether a pause is over."""
_IDLE_CHECK_INTERVAL_S = 0.01
"""Seconds between two checks whether the running requests have ended."""


@dataclass
class TokenStream:
    """A request in flight and a queue of its output token indexes; None in the queue ends the stream early."""

    request: EngineRequest
    tokens: asyncio.Queue[int | None] = field(default_factory=asyncio.Queue)


class EngineProcess:
    """One engine process. ``crash`` starts a new incarnation with an empty cache."""

    def __init__(self, name: str, weights: dict[str, str], profile: EngineProfile | None = None) -> None:
        self.name = name
        self.weights = dict(weights)
        """Loaded weights version of each model."""
        self.profile = profile or EngineProfile()
        self.faults = FaultControl()
        self.state = wire.EngineState.SERVING
        self.weight_load_s = WEIGHT_LOAD_S
        self.journal: list[str] = []
        """Ids of all submitted requests."""
        self.cache_salt_violations: list[str] = []
        """Descriptions of requests that used a cache salt with a second weights version."""
        self.highest_fence = 0
        self.on_crash: Callable[[], None] = lambda: None
        """Called on a crash to reset connections."""
        self._streams: dict[str, TokenStream] = {}
        self._weights_by_salt: dict[int, str] = {}
        self._load_task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.model = EngineModel(self.profile)

    def crash(self) -> None:
        """Emulate a crash: reset all connections and begin a new incarnation with an empty cache."""
        for stream in self._streams.values():
            stream.tokens.put_nowait(None)
        self._streams.clear()
        self.on_crash()
        self._begin_incarnation()

    async def run(self) -> None:
        """Step the model in real time, until cancelled."""
        while True:
            model = self.model
            if model.idle:
                self._wake.clear()
                await self._wake.wait()
                continue
            result = model.step()
            await asyncio.sleep(result.duration_s)
            while self.faults.switches.paused:
                await asyncio.sleep(_PAUSE_CHECK_INTERVAL_S)
            if model is self.model:  # Otherwise a crash has lost the tokens.
                self._deliver_tokens(result)

    def _deliver_tokens(self, result: StepResult) -> None:
        for request, index in result.tokens:
            stream = self._streams.get(request.request_id)
            if stream is not None:
                stream.tokens.put_nowait(index)

    # --- requests --------------------------------------------------------------------------------------

    def submit(self, request: EngineRequest, salt: int, model: str) -> TokenStream:
        """Queue a request for ``model`` with a cache salt; return the stream of its tokens."""
        self._check_cache_salt(salt, model)
        stream = TokenStream(request)
        self._streams[request.request_id] = stream
        self.journal.append(request.request_id)
        self.model.submit(request, time.monotonic())
        self._wake.set()
        return stream

    def _check_cache_salt(self, salt: int, model: str) -> None:
        """Record a violation if the router uses one salt with several versions of a model's weights."""
        version = self._weights_by_salt.setdefault(salt, self.weights.get(model, ""))
        if version != self.weights.get(model, ""):
            self.cache_salt_violations.append(
                f"{self.name}: cache salt of weights {version} used with {self.weights[model]}"
            )

    def remove_request(self, request_id: str) -> None:
        """Remove a request whose response has ended, complete or not."""
        self._streams.pop(request_id, None)
        self.model.cancel(request_id)

    def cancel(self, request_id: str) -> wire.CancelState:
        """Stop a request; return whether it had started, or is unknown."""
        started = self.model.cancel(request_id)
        stream = self._streams.pop(request_id, None)
        if stream is not None:
            stream.tokens.put_nowait(None)
        if started is None:
            return wire.CancelState.UNKNOWN_REQUEST
        return wire.CancelState.STOPPED if started else wire.CancelState.NEVER_STARTED

    # --- weights ---------------------------------------------------------------------------------------

    def start_weights_load(self, order: wire.EngineLoadOrder) -> bool:
        """Start loading weights; return False if the order is from an earlier lease holder or while not serving."""
        if order.fence < self.highest_fence or self.state is not wire.EngineState.SERVING:
            return False
        self.highest_fence = order.fence
        self.state = wire.EngineState.LOADING
        self._load_task = asyncio.create_task(self._load_weights(order))
        return True

    async def _load_weights(self, order: wire.EngineLoadOrder) -> None:
        """Wait for all requests to finish, load the weights and serve them with an empty cache."""
        while not self.model.idle:
            await asyncio.sleep(_IDLE_CHECK_INTERVAL_S)
        await asyncio.sleep(self.weight_load_s)
        self.weights[order.model] = order.weights_version
        self._begin_incarnation()
        self.state = wire.EngineState.SERVING

    # --- reports ---------------------------------------------------------------------------------------

    def status_line(self) -> wire.StatusLine:
        """Return the status, which event readers receive whenever it changes."""
        return wire.StatusLine(
            engine=self.name,
            incarnation=self.incarnation,
            state=self.state,
            weights=dict(self.weights),
            block_bytes=self.profile.block_bytes,
            block_tokens=self.profile.block_tokens,
            cache_blocks=self.profile.cache_blocks,
        )

    def load_line(self, age_s: float) -> wire.LoadLine:
        """Return the current load with a stated age of ``age_s``."""
        report = self.model.load_report(0.0)
        return wire.LoadLine(
            sequence=self.model.last_sequence,
            running=report.running,
            waiting=report.waiting,
            waiting_prefill_tokens=report.waiting_prefill_tokens,
            cache_used_blocks=report.cache_used_blocks,
            age_s=age_s,
        )
