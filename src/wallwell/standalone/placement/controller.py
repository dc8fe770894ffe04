"""Keeps the declared weights loaded: one lease holder per model and region sends fenced load orders.

The node that owns the model by rendezvous hashing tries to hold the lease. A holder that was paused past the end of
its lease may still send an order; its fence is lower than the next holder's, so the engine refuses the order.

This module holds the node's leases and sent orders; :mod:`.reconcile` decides which engines get an order.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from wallwell.clock import boot_time_s
from wallwell.cluster.leases import LeaseKeeper
from wallwell.errors import LeaseLostError, PlatformUnavailableError
from wallwell.events import Event, emit
from wallwell.routing.rendezvous import owner, rendezvous_key
from wallwell.standalone.backends.engine_client import EngineClient
from wallwell.standalone.backends.engine_protocol import EngineLoadOrder
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.config.schema import ModelSpec
from wallwell.standalone.placement.reconcile import engines_to_load, loaded_version

RECONCILE_INTERVAL_S = 0.5
"""Mean seconds between checks for engines that have not loaded the declared weights."""
RECONCILE_JITTER = (0.8, 1.2)
"""Random multiples of ``RECONCILE_INTERVAL_S``, so that nodes do not all check at once."""
LEASE_TTL_S = 6.0
"""Seconds that a lease lasts without renewal; after a holder fails, its model gets no orders for as long."""
ORDER_TIMEOUT_S = 2.0
"""Timeout of an order. An order that timed out may still be accepted, which its fence makes harmless."""
LOAD_TIMEOUT_S = 120.0
"""Seconds after which an engine that does not serve the ordered weights no longer counts as loading, so that
another engine gets an order in its place."""


class PlacementController:
    """Brings the engines of this node's region to the declared weights versions."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._leases: dict[str, LeaseKeeper] = {}
        self._order_sent_at_s: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Reconcile every model periodically until cancelled, then release the leases."""
        try:
            while True:
                await asyncio.sleep(RECONCILE_INTERVAL_S * self._context.rng.uniform(*RECONCILE_JITTER))
                for model, spec in list(self._context.config.models.items()):
                    await self._reconcile_or_log(model, spec)
        finally:
            for lease in self._leases.values():
                await lease.release()

    async def _reconcile_or_log(self, model: str, spec: ModelSpec) -> None:
        """Reconcile one model; an unexpected error is logged and keeps no other model back."""
        try:
            await self._reconcile(model, spec)
        except Exception as error:
            emit(Event.INTERNAL_ERROR, where="placement", key=model, reason=repr(error))

    async def _reconcile(self, model: str, spec: ModelSpec) -> None:
        context = self._context
        if owner(context.node.membership.alive(), rendezvous_key(f"placement/{model}")) != context.settings.node:
            return
        engines = context.engines_for(model)
        serving = context.node.engines.serving_engines()
        loading = self._engines_loading(model, spec)
        slots = min((engine.max_concurrent_loads for engine in engines.values()), default=0)
        targets = engines_to_load(model, spec, list(engines), serving, loading, slots)
        if not targets:
            return
        fence = await self._acquire_fence(model)
        if fence is None:
            return
        for name in targets:
            await self._send_order(model, spec, name, engines[name].address, fence)

    def _engines_loading(self, model: str, spec: ModelSpec) -> set[str]:
        """Return the engines ordered within ``LOAD_TIMEOUT_S`` that do not serve the declared version yet."""
        now_s = boot_time_s()
        serving = self._context.node.engines.serving_engines()
        loading = set()
        for (ordered_model, name), at_s in self._order_sent_at_s.items():
            record = serving.get(name)
            is_loaded = record is not None and loaded_version(record, model) == spec.weights_version
            if ordered_model == model and not is_loaded and now_s - at_s < LOAD_TIMEOUT_S:
                loading.add(name)
        return loading

    async def _acquire_fence(self, model: str) -> int | None:
        """Acquire or renew the model's lease; return its fence, or None if the lease is not certainly held."""
        name = f"placement/{self._context.settings.region}/{model}"
        lease = self._leases.get(model)
        if lease is None:
            lease = LeaseKeeper(name, self._context.settings.node, LEASE_TTL_S, self._context.table)
            self._leases[model] = lease
        had_lease = lease.held is not None
        try:
            held = await lease.try_acquire(boot_time_s())
            if held is not None and not had_lease:
                emit(Event.LEASE_ACQUIRED, lease=name, fence=held.fence)
            return lease.require_held(boot_time_s())
        except LeaseLostError:
            if had_lease:
                emit(Event.LEASE_LOST, lease=name)
            return None
        except PlatformUnavailableError as error:
            emit(Event.TABLE_UNAVAILABLE, detail=error.detail)
            return None

    async def _send_order(self, model: str, spec: ModelSpec, name: str, address: str, fence: int) -> None:
        self._order_sent_at_s[(model, name)] = boot_time_s()
        order = EngineLoadOrder(fence, model, spec.weights_version)
        status = await EngineClient(address, self._context.session).send_load_order(order, ORDER_TIMEOUT_S)
        event = Event.ORDER_REFUSED if status == HTTPStatus.CONFLICT else Event.ORDER_SENT
        emit(event, engine=name, model=model, version=spec.weights_version, fence=fence, status=status)
        if status == HTTPStatus.CONFLICT:
            del self._order_sent_at_s[(model, name)]
