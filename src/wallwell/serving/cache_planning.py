"""Where an engine fetches KV cache for a generation from, and whether it saves any. No I/O.

This is the adapter between the node's state and ``routing/selection/kv_store_choice.py``, which decides. A plan
goes to the engine with the request; ``node/kv_store_watch.py`` keeps what is known of the stores.
"""

from __future__ import annotations

from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.kv_store_choice import (
    begins_save,
    best_source,
    home_store,
    is_unreachable,
    is_worth_fetching,
    may_save,
)
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import CachePlan


class CachePlanner:
    """Plans one attempt at a time."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def plan(self, active: ActiveRequest, backend: Backend, now_s: float) -> CachePlan:
        """Return the plan of an attempt at an engine. A save that it contains counts as under way from now on."""
        state = self._state
        generation = active.request.generation
        assert generation is not None
        parts, zone = generation.parts, backend.record.zone
        version = backend.believed_version(generation.model)
        scope = _cache_scope(active, generation.model, version)
        stores = state.kv_stores
        # Without a known weights version nothing can be named that is certainly made by the same weights.
        home = home_store(stores, active.prefix_key, zone) if version else ""
        if not home or is_unreachable(stores, home):
            return CachePlan(scope)
        fetch_from = ""
        if is_worth_fetching(parts, state.first_token_delays, now_s):
            fetch_from = best_source(stores, home, scope, parts, zone)
        is_save_allowed = may_save(backend.is_about_to_load(now_s), state.freshness.confirmed_at_s, now_s)
        is_saved = is_save_allowed and begins_save(stores, home, scope, parts, now_s)
        return CachePlan(scope, fetch_from, home if is_saved else "")


def _cache_scope(active: ActiveRequest, model: str, version: int) -> str:
    """Return the name under which a store keeps parts: by weights, and by tenant for tenants that share none."""
    scope = f"{model}:{version}"
    if active.tenant is not None and active.tenant.isolated:
        scope += f":{active.tenant.name}"
    return scope
