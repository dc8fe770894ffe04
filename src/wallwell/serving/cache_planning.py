"""Plans from which KV store an engine fetches cache for a generation, and whether it saves any. No I/O.

Adapter between the node's state and the decisions in ``routing/selection/kv_store_choice.py``. The plan is sent to
the engine with the request; ``node/kv_store_watch.py`` tracks the contents of the stores.
"""

from __future__ import annotations

import msgspec

from wallwell.deployment.cache_groups import cache_scope
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.kv_store_choice import (
    begin_store_save_if_needed,
    best_source_address,
    home_store_address,
    is_store_unreachable,
    is_worth_fetching,
    may_save,
)
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import CachePlan


class CachePlanner:
    """Plans the cache scope and the KV cache transfers of single attempts.

    What an attempt may share follows from the configuration in force as it begins, not from that under which its
    request was admitted.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def plan_without_transfers(self, active: ActiveRequest, backend: Backend) -> CachePlan:
        """Return the plan of an attempt that fetches and saves nothing."""
        generation = active.request.generation
        assert generation is not None
        version = backend.believed_version(generation.model)
        return self._plan(active, generation.model, version)

    def plan(self, active: ActiveRequest, backend: Backend, now_s: float) -> CachePlan:
        """Return the cache plan of an attempt at an engine. A planned save is recorded as in progress."""
        state = self._state
        generation = active.request.generation
        assert generation is not None
        parts, zone = generation.parts, backend.record.zone
        version = backend.believed_version(generation.model)
        plan = self._plan(active, generation.model, version)
        stores = state.kv_stores
        # Without a known weights version, no cache entry is certain to come from the same weights.
        home = home_store_address(stores, active.placement_key, zone) if version else None
        if home is None or is_store_unreachable(stores, home):
            return plan
        fetch_from = None
        if is_worth_fetching(parts, state.first_token_delays, now_s):
            fetch_from = best_source_address(stores, home, plan.scope, parts, zone)
        is_save_allowed = may_save(backend.has_pending_weights_load(now_s), state.freshness.confirmed_at_s, now_s)
        is_saved = is_save_allowed and begin_store_save_if_needed(stores, home, plan.scope, parts, now_s)
        return msgspec.structs.replace(plan, fetch_from=fetch_from, save_to=home if is_saved else None)

    def _plan(self, active: ActiveRequest, model: str, version: int) -> CachePlan:
        """Return the plan of an attempt without transfers, under the configuration in force."""
        config = self._state.config
        assert config is not None, "a request is admitted under a configuration"
        group = config.cache_groups.group_of(active.tenant)
        return CachePlan(cache_scope(model, version, group), group=group, configuration=config.version)

    def is_current(self, active: ActiveRequest, plan: CachePlan | None) -> bool:
        """Whether the configuration in force lets an attempt share what it did when it was planned."""
        config = self._state.config
        return plan is None or (config is not None and config.cache_groups.group_of(active.tenant) == plan.group)
