"""Which KV stores an engine fetches a prompt's shared parts from and saves them to. Pure.

Every prompt has a home among the stores of the engine's region, by rendezvous hashing of its placement key: all
nodes save it there, so what one engine saved another one finds. Parts are fetched from the store that holds most of
them, since prompts with a first part in common have different homes.

Streams go on while their engine changes weights, so KV that an engine computes at that moment is made by two
versions of weights and must not be used under the older one. So nothing is saved by an engine that is about to
change weights (see ``SETTLE_S`` of the weights roll), nor by a node whose knowledge of the store is too old to
exclude that.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from wallwell.deployment.routes import Service
from wallwell.deployment.topology import Distance, Topology
from wallwell.routing.rendezvous import owner
from wallwell.routing.retry.first_token import FirstTokenDelays
from wallwell.routing.selection.kv_store import KvStoreContents
from wallwell.routing.selection.prefix_home import PromptPart, shared_parts

SAVE_FRESHNESS_S = 2.0
"""Seconds since the last confirmation by the platform's store after which nothing is saved.

By then a weights roll may be under way that this node does not know of."""
MIN_FETCH_TOKENS = 1024
"""Shared tokens from which a prompt's parts are fetched also while the fleet is behind its objectives.

Engines prefill fewer in some 25 ms (38 to 57 tokens a ms, by the deployment); a move may wait 2 s for its turn. In
a deployment of 195 nodes prompts of 800 tokens waited that long to move 200 of them."""
DISTANCE_WEIGHTS = {Distance.SAME_ZONE: 1.0, Distance.SAME_REGION: 0.95, Distance.OTHER_REGION: 0.5}
"""What a token in a store counts for by the distance of the store from the engine.

Moves take twice as long from another zone and ten times as long from another region. That is longer than prefilling
there, but a second prefill costs an engine's work, and moves do not. The figures themselves are chosen."""


class KvStores(NamedTuple):
    """What a node knows of the KV stores."""

    listed: Sequence[Service]
    contents: Mapping[str, KvStoreContents]
    """What each holds, by address."""
    topology: Topology


def home_store(stores: KvStores, placement: int, engine_zone: str) -> str:
    """Return the address of the store where prompts placed by a key are saved, empty if there is none.

    It stands in the region of the engine, whichever node sends the prompt there.
    """
    between = stores.topology.distance_between
    addresses = [
        store.kv_store_address
        for store in stores.listed
        if between(engine_zone, store.zone) is not Distance.OTHER_REGION
    ]
    return owner(addresses, placement) if addresses else ""


def is_unreachable(stores: KvStores, address: str) -> bool:
    """Whether a store is known not to answer."""
    contents = stores.contents.get(address)
    return contents is not None and not contents.reachable


def is_worth_fetching(parts: Sequence[PromptPart], delays: FirstTokenDelays, now_s: float) -> bool:
    """Whether moving a prompt's shared parts is quicker than prefilling them.

    Moves queue while the fleet is behind its objectives, so only many tokens are worth one then.
    """
    if sum(part.tokens for part in shared_parts(parts)) >= MIN_FETCH_TOKENS:
        return True
    return not delays.is_fleet_behind(now_s)


def best_source(stores: KvStores, home: str, scope: str, parts: Sequence[PromptPart], engine_zone: str) -> str:
    """Return the store that holds most of the shared parts; ``home``, where they are saved, if none has more.

    Where there are regions, stores near the engine count for more. After a change of weights, a first part that
    many prompts share is saved at the home of one of them first; engines that fetched from the other homes would
    prefill it again.
    """
    shared = shared_parts(parts)
    saved = {}
    for store in stores.listed:
        address = store.kv_store_address
        contents = stores.contents.get(address)
        if contents is not None and contents.known and contents.reachable:
            saved[address] = contents.held_tokens(scope, shared) * _weight(stores, engine_zone, store)
    if home not in saved:
        return home
    return max(saved, key=lambda address: (saved[address], address == home))


def may_save(is_about_to_load: bool, confirmed_at_s: float, now_s: float) -> bool:
    """Whether what an engine computes now is certainly made by the weights that are believed to be in place.

    ``confirmed_at_s`` is when the platform's store last confirmed what this node knows. Both times are on one
    clock.
    """
    return not is_about_to_load and now_s - confirmed_at_s <= SAVE_FRESHNESS_S


def begins_save(stores: KvStores, address: str, scope: str, parts: Sequence[PromptPart], now_s: float) -> bool:
    """Whether a store lacks shared parts that nobody is saving yet; notes that they are being saved if so.

    A store whose contents are not known yet is taken to lack them.
    """
    contents = stores.contents.get(address)
    if contents is None or not contents.known:
        return True
    return contents.begin_save(scope, parts, now_s)


def _weight(stores: KvStores, engine_zone: str, store: Service) -> float:
    """Return what a token in a store counts for; 1 without regions."""
    if not stores.topology.has_other_regions:
        return DISTANCE_WEIGHTS[Distance.SAME_ZONE]
    return DISTANCE_WEIGHTS[stores.topology.distance_between(engine_zone, store.zone)]
