"""What the platform adapter supplies to a node: the store's tables, their decoders, and clients of back ends.

Owns no state. The adapter (``wallwell/platform/main.py``) builds one :class:`NodeAdapter`; everything in ``node/``
reaches the store and the back ends through it, so that tests can replace both.
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
    """Checks by new connections whether back ends are reachable and whether their processes have ended."""


class NodeSources(msgspec.Struct, frozen=True):
    """The store's tables and their decoders, which raise :class:`msgspec.MsgspecError` for an invalid row."""

    operator_rows: RowSource
    """Table that operators write: configuration, weights versions to serve, rollout orders."""
    backend_rows: RowSource
    """Table in which each back end registers itself."""
    own_rows: RowSource
    """Table that nodes write: members, leases, progress of weights rolls, crashes, rollout records."""
    own_table: TableService
    """Client for writing to the table that ``own_rows`` reads."""
    streams_table: TableService
    """Table of the nodes that none of them follows: software versions and streams."""
    era: StoreEra
    """The store's era, as stated in its answers to any of these calls."""
    config_key: str
    version_prefix: str
    decode_config: Callable[[bytes], DeploymentConfig]
    decode_version: Callable[[bytes], tuple[str, int]]
    """Returns a model's name and its weights version."""
    decode_backend: Callable[[str, bytes], BackendRecord]
    """Takes an incarnation and the value of its row."""
    rollout_prefix: str
    decode_rollout: Callable[[str, bytes, int], RolloutOrder]
    """Takes the key, value and version of a rollout order's row."""
    rollouts: RolloutStore
    cache_events: CacheEventSource
    """Reads events and listings of the KV stores."""


class NodeAdapter(msgspec.Struct, frozen=True):
    """Everything that a node needs from the platform. One object may implement several of the clients."""

    sources: NodeSources
    client: BackendClient
    """Sends attempts to back ends."""
    control: EngineControl
    """Sends orders to engines and reads their reports."""
    backend_check: BackendCheck
    pool: ConnectionPool
    """The connections that ``client`` uses; the node closes those that stay idle for too long."""
    notices: BackendNotices
    """Receives from ``client`` and ``control`` what answers state about their back ends."""
