"""What a platform's adapter supplies to a node: the store's tables with their decoders, and back ends' clients.

Owns no state. The adapter (``wallwell/platform/main.py``) builds one :class:`NodeAdapter`; everything in ``node/``
reaches the store and the back ends through it, so that a node can be wired to stand-ins.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import DeploymentConfig
from wallwell.deployment.store_era import StoreEra
from wallwell.http_connection import ConnectionPool
from wallwell.node.crash_probe import CrashCheck
from wallwell.node.kv_store_watch import CacheEventSource
from wallwell.placement.weights_roll_driver import EngineControl
from wallwell.rollout.model import RolloutOrder
from wallwell.rollout.store import RolloutStore
from wallwell.routing.health.backend_notice import BackendNotices
from wallwell.serving.liveness import ReachabilityCheck
from wallwell.serving.messages import BackendClient
from wallwell.storage.feed import RowSource
from wallwell.storage.table import TableService


class BackendCheck(ReachabilityCheck, CrashCheck, Protocol):
    """Finds out by new connections whether back ends can be reached and whether their processes are gone."""


class NodeSources(msgspec.Struct, frozen=True):
    """The store as a node sees it. Decoders raise :class:`msgspec.MsgspecError` for a row they cannot read."""

    operator_rows: RowSource
    """Table of the operators: configuration, named weights versions, orders of rollouts."""
    backend_rows: RowSource
    """Table in which back ends list themselves."""
    own_rows: RowSource
    """This product's own table: members, leases, progress, crashes, records of rollouts."""
    own_table: TableService
    """Writes to this product's own table."""
    era: StoreEra
    """The era of the store, by its answers to all of these."""
    config_key: str
    version_prefix: str
    decode_config: Callable[[bytes], DeploymentConfig]
    decode_version: Callable[[bytes], tuple[str, int]]
    """Returns a model and its weights version."""
    decode_backend: Callable[[str, bytes], BackendRecord]
    """Takes an incarnation and its row's value."""
    rollout_prefix: str
    decode_rollout: Callable[[str, bytes, int], RolloutOrder]
    """Takes key, value and version of an order's row."""
    rollouts: RolloutStore
    cache_events: CacheEventSource
    """Events of the KV stores."""


class NodeAdapter(msgspec.Struct, frozen=True):
    """All that a node needs from outside. One object may serve as several of the clients."""

    sources: NodeSources
    client: BackendClient
    """Sends attempts to back ends."""
    control: EngineControl
    """Orders and reports of engines."""
    backend_check: BackendCheck
    pool: ConnectionPool
    """The connections that ``client`` uses; the node closes those that rest for too long."""
    notices: BackendNotices
    """Through which ``client`` and ``control`` hand on what answers state about their back ends."""
