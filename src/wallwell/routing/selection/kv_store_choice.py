"""Chooses the KV stores from which an engine fetches the shared parts of a prompt and to which it saves them. Pure.

Every prompt has a home among the stores of the engine's region, by rendezvous hashing of its placement key. All
nodes save it there, so that other engines find what one engine saved. Parts are fetched from the store that holds
most of them, since prompts that share only their first part have different homes.

Streams continue while their engine changes weights. KV cache computed at that moment mixes two weights versions and
must not be used for the older one. An engine that is about to change weights therefore saves nothing (see
``ORDER_DELAY_S`` of the weights roll), nor does a node whose view of the store is too old to exclude a change.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from wallwell.address import Address
from wallwell.deployment.routes import Service
from wallwell.deployment.topology import Distance, Topology
from wallwell.routing.rendezvous import owner
from wallwell.routing.retry.first_token import FirstTokenDelays
from wallwell.routing.selection.kv_store import KvStoreContents
from wallwell.routing.selection.prefix_home import PromptPart, shared_parts

MAX_CONFIRMATION_AGE_S = 2.0
"""Seconds after the last confirmation by the platform's store from which on nothing is saved. A weights roll of
which this node has not read may be in progress by then."""
MIN_FETCH_TOKENS = 1024
"""Shared tokens from which a prompt's parts are fetched even while the fleet misses its objectives. Engines prefill
fewer tokens than this in about 25 ms (38 to 57 tokens per ms, depending on the deployment), but a transfer may
queue for 2 s. In a deployment of 195 nodes, prompts of 800 tokens queued so long to transfer 200."""
DISTANCE_WEIGHTS = {Distance.SAME_ZONE: 1.0, Distance.SAME_REGION: 0.95, Distance.OTHER_REGION: 0.5}
"""Weight of a held token by the distance between store and engine. A transfer takes twice as long from another zone
and ten times as long from another region. The latter takes longer than a second prefill but, unlike a prefill,
costs no engine time."""


class KvStores(NamedTuple):
    """The KV stores as a node knows them."""

    listed: Sequence[Service]
    contents: Mapping[Address, KvStoreContents]
    """Replica of each store's index, by address."""
    topology: Topology


def home_store_address(stores: KvStores, placement_key: int, engine_zone: str) -> Address | None:
    """Return the address of the store where prompts with a placement key are saved; None if there is none. The
    store is in the region of the engine, whichever node sends the prompt to the engine."""
    between = stores.topology.distance_between
    addresses = {
        str(store.kv_store_address): store.kv_store_address
        for store in stores.listed
        if store.kv_store_address is not None and between(engine_zone, store.zone) is not Distance.OTHER_REGION
    }
    return addresses[owner(addresses, placement_key)] if addresses else None


def is_store_unreachable(stores: KvStores, address: Address) -> bool:
    """Whether a store is known not to answer; False if nothing is known of it."""
    contents = stores.contents.get(address)
    return contents is not None and not contents.reachable


def is_worth_fetching(parts: Sequence[PromptPart], delays: FirstTokenDelays, now_s: float) -> bool:
    """Whether fetching a prompt's shared parts is expected to be faster than prefilling them. Transfers queue while
    the fleet misses its objectives; only parts with many tokens are worth a fetch then."""
    if sum(part.tokens for part in shared_parts(parts)) >= MIN_FETCH_TOKENS:
        return True
    return not delays.is_fleet_behind(now_s)


def best_source_address(
    stores: KvStores, home_address: Address, scope: str, parts: Sequence[PromptPart], engine_zone: str
) -> Address:
    """Return the address of the store that holds most of the shared parts.

    Returns ``home_address`` if no other store holds more, or if nothing is known of the home store. If there are
    regions, tokens are weighted by ``DISTANCE_WEIGHTS``. Other stores are considered because, after a change of
    weights, a first part that many prompts share is saved at the home of one of them first. Engines that fetched
    only from the homes of the other prompts would prefill it again.
    """
    shared = shared_parts(parts)
    weighted_tokens = {}
    for store in stores.listed:
        address = store.kv_store_address
        contents = None if address is None else stores.contents.get(address)
        if address is not None and contents is not None and contents.has_been_read and contents.reachable:
            weighted_tokens[address] = contents.held_prefix_tokens(scope, shared) * _distance_weight(
                stores, engine_zone, store
            )
    if home_address not in weighted_tokens:
        return home_address
    return max(weighted_tokens, key=lambda address: (weighted_tokens[address], address == home_address))


def may_save(has_pending_weights_load: bool, confirmed_at_s: float, now_s: float) -> bool:
    """Whether KV cache that an engine computes now certainly belongs to the weights version it is believed to have.
    ``confirmed_at_s`` is when the platform's store last confirmed this node's view. Both times are on one clock."""
    return not has_pending_weights_load and now_s - confirmed_at_s <= MAX_CONFIRMATION_AGE_S


def begin_store_save_if_needed(
    stores: KvStores, address: Address, scope: str, parts: Sequence[PromptPart], now_s: float
) -> bool:
    """Return whether shared parts should be saved to a store now; if so, record the save as pending. True if the
    store lacks parts that this node is not already saving, or if its index has not been read yet."""
    contents = stores.contents.get(address)
    if contents is None or not contents.has_been_read:
        return True
    return contents.begin_save_if_needed(scope, parts, now_s)


def _distance_weight(stores: KvStores, engine_zone: str, store: Service) -> float:
    """Return the weight of a token held by a store; 1 if there are no regions."""
    if not stores.topology.has_other_regions:
        return DISTANCE_WEIGHTS[Distance.SAME_ZONE]
    return DISTANCE_WEIGHTS[stores.topology.distance_between(engine_zone, store.zone)]
