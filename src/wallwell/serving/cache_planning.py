"""Where an engine takes kept KV cache from for a generation, and whether it leaves any. No I/O."""

from __future__ import annotations

from wallwell.deployment.routes import Service
from wallwell.deployment.topology import Distance
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.prefix_home import shared_parts
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import CachePlan, Generation

SAVE_FRESHNESS_S = 2.0
"""Age of the store's last word beyond which a weights roll may be under way that this node does not know of."""

MIN_FETCH_TOKENS = 1024
"""Shared tokens from which a prompt's parts are fetched also while the fleet is behind.

Engines read fewer in 25 ms (38 to 57 tokens a ms in the users' deployments); a move may wait 2 s for its turn."""

NEAR_PARTS = {Distance.SAME_ZONE: 1.0, Distance.SAME_REGION: 0.95, Distance.OTHER_REGION: 0.5}
"""What a kept token counts for by the distance of its store. Moves take twice as long from another zone and ten
times as long from another region (the users' figures): longer than reading there, but what is read twice costs an
engine's work, and moves do not."""


class CachePlanner:
    """Decides for one attempt at a time.

    Streams go on while their engine changes weights, so parts that it reads at that moment are made by two
    versions. Such parts must not be used under the older one. So nothing is saved by an engine that is about to
    change weights (see ``SETTLE_S`` of the weights roll), nor on the word of a node that may not know of it.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def plan(self, active: ActiveRequest, backend: Backend, now_s: float) -> CachePlan:
        """Return the plan of an attempt at an engine."""
        generation = active.request.generation
        assert generation is not None
        version = backend.believed_version(generation.model)
        scope = _scope(active, generation.model, version)
        store = self._state.kv_store_address(active.placement, backend.record.zone) if version else ""
        if not store or self._is_unreachable(store):
            return CachePlan(scope)
        fetch_from = ""
        if self._is_worth_fetching(generation, now_s):
            fetch_from = self._best_source(store, scope, generation, backend.record.zone)
        save_to = store if self._may_save(active, backend, store, scope, now_s) else ""
        return CachePlan(scope, fetch_from, save_to)

    def _best_source(self, home: str, scope: str, generation: Generation, engine_zone: str) -> str:
        """Return the store that keeps most of the shared parts; ``home``, where they are saved, if none has more.

        Where there are regions, stores of the engine's count for more.

        Prompts with a first part in common have different homes. After a change of weights that part is saved at
        one of them first, and engines that fetch from the others would read it again.
        """
        parts = shared_parts(generation.parts)
        saved = {}
        for store in self._state.kv_stores():
            address = store.kv_store_address
            kept = self._state.kv_store_contents.get(address)
            if kept is not None and kept.known and kept.reachable:
                saved[address] = kept.kept_tokens(scope, parts) * self._near_part(engine_zone, store)
        if home not in saved:
            return home
        return max(saved, key=lambda address: (saved[address], address == home))

    def _near_part(self, engine_zone: str, store: Service) -> float:
        """Return what a token kept at a store counts for; 1 without regions."""
        places = self._state.places
        return NEAR_PARTS[places.between(engine_zone, store.zone)] if places.has_regions else 1.0

    def _is_worth_fetching(self, generation: Generation, now_s: float) -> bool:
        """Whether moving the shared parts is quicker than reading them; moves queue while the fleet is behind."""
        if sum(part.tokens for part in shared_parts(generation.parts)) >= MIN_FETCH_TOKENS:
            return True
        return not self._state.first_token_delays.is_fleet_behind(now_s)

    def _is_unreachable(self, store: str) -> bool:
        kept = self._state.kv_store_contents.get(store)
        return kept is not None and not kept.reachable

    def _may_save(self, active: ActiveRequest, backend: Backend, store: str, scope: str, now_s: float) -> bool:
        generation = active.request.generation
        assert generation is not None
        if backend.is_about_to_load(now_s):
            return False
        if now_s - self._state.freshness.confirmed_at_s > SAVE_FRESHNESS_S:
            return False
        kept = self._state.kv_store_contents.get(store)
        if kept is None or not kept.known:
            return True
        return kept.begin_save(scope, generation.parts, now_s)


def _scope(active: ActiveRequest, model: str, version: int) -> str:
    """Return the name under which parts are kept: by weights, and by tenant for those that share with nobody."""
    scope = f"{model}:{version}"
    if active.tenant is not None and active.tenant.isolated:
        scope += f":{active.tenant.name}"
    return scope
