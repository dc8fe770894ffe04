"""What a node makes of the rows it follows: the operators' configuration, the back ends, and the other nodes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec

from wallwell.clock import boot_time_s
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import DeploymentConfig
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.http_connection import ConnectionPool
from wallwell.node.kv_store_watch import CacheEventSource
from wallwell.node.state import NodeState
from wallwell.rollout.model import RolloutOrder
from wallwell.rollout.store import RolloutStore
from wallwell.routing.health.backend import Backend
from wallwell.storage.feed import FeedRow, FollowedPage, RowSource
from wallwell.storage.table import Condition, Put, TableService, Transaction

MEMBER_PREFIX = "member/"
SILENCE_S = 2.4
"""Age of the last word of the operators' rows beyond which the store counts as having been silent."""

LAPSE_GRACE_S = 1.7
"""Time from the store's return in which lapsed entries of living back ends come back (2 s in the users' letter).

No more than the users allow for sending to a back end after its leaving was acknowledged."""


@dataclass(frozen=True)
class NodeSources:
    """The store as this node sees it: rows of operators, back ends and this product, and their formats."""

    operators: RowSource
    backends: RowSource
    own: RowSource
    table: TableService
    config_key: str
    version_prefix: str
    decode_config: Callable[[bytes], DeploymentConfig]
    decode_version: Callable[[bytes], tuple[str, int]]
    decode_backend: Callable[[str, bytes], BackendRecord]
    rollout_prefix: str
    decode_rollout: Callable[[str, bytes, int], RolloutOrder]
    """Of key, value and version of an order's row."""
    rollouts: RolloutStore
    cache_events: CacheEventSource


class OperatorRows:
    """Applies the operators' configuration and the weights versions they name."""

    def __init__(self, state: NodeState, sources: NodeSources) -> None:
        self._state = state
        self._sources = sources

    def apply(self, followed: FollowedPage) -> None:
        """Take a page; a row that cannot be understood changes nothing."""
        for row in followed.page.rows:
            if row.value is None:
                continue
            try:
                if row.key.startswith(self._sources.rollout_prefix):
                    self._on_rollout(row.key, row.value, row.version)
                else:
                    self._on_row(row.key, row.value, followed.unconfirmed_since_s)
            except msgspec.MsgspecError as error:
                emit(Event.CONFIG_REFUSED, row=row.key, error=str(error))
        if self._state.config is not None:
            self._state.freshness.confirm(followed.confirmed_at_s)

    def _on_row(self, key: str, value: bytes, unconfirmed_since_s: float) -> None:
        if key == self._sources.config_key:
            config = self._sources.decode_config(value)
            if self._state.apply_config(config):
                emit(Event.CONFIG_ADVANCED, version=config.version, routes=len(config.routes))
        elif key.startswith(self._sources.version_prefix):
            model, version = self._sources.decode_version(value)
            since_s, estimated = self._named_since_s(unconfirmed_since_s)
            if self._state.weights.name(model, version, since_s, estimated):
                emit(Event.WEIGHTS_NAMED, model=model, version=version, estimated=estimated)

    def _on_rollout(self, key: str, value: bytes, version: int) -> None:
        try:
            order = self._sources.decode_rollout(key, value, version)
        except msgspec.MsgspecError as error:
            emit(Event.ROLLOUT_REFUSED, row=key, error=str(error))
            return
        if not self._state.knows_service(order.service):
            emit(Event.ROLLOUT_REFUSED, row=key, error="no such service is configured or listed")
        if self._state.rollouts.on_order(order, boot_time_s()):
            emit(
                Event.ROLLOUT_ORDERED,
                service=order.service,
                target=order.target_version,
                duration_s=order.duration_s,
                order=order.store_version,
            )

    def _named_since_s(self, unconfirmed_since_s: float) -> tuple[float, bool]:
        """Return since when a version just seen counts as named, and whether that is a guess."""
        now_s = boot_time_s()
        if unconfirmed_since_s == float("-inf"):
            return self._state.estimated_naming_s(now_s), True
        # After a silence of the store, the version may have been named at any time within it.
        return (unconfirmed_since_s if now_s - unconfirmed_since_s > SILENCE_S else now_s), False


class BackendRows:
    """Keeps the registry of back ends as the store lists them.

    Entries lapse while the store is away, and those of back ends that live are back soon after its return. One that
    is missing then goes on getting requests for ``LAPSE_GRACE_S`` from the return.
    """

    def __init__(self, state: NodeState, sources: NodeSources, pool: ConnectionPool) -> None:
        self._state = state
        self._decode = sources.decode_backend
        self._pool = pool
        self._store_returned_s = float("-inf")

    def apply(self, followed: FollowedPage) -> None:
        """Take a page; a row that cannot be understood changes nothing."""
        registry = self._state.backends
        now_s = boot_time_s()
        if now_s - followed.unconfirmed_since_s > SILENCE_S and self._state.backends_known:
            self._store_returned_s = now_s
        if followed.whole:
            for backend in registry.unnamed({row.key for row in followed.page.rows}):
                self._on_missing(backend, now_s)
        # Of two incarnations at one address the one that was written last is the one that lives.
        for row in sorted(followed.page.rows, key=lambda row: row.version):
            known = registry.get(row.key)
            if row.value is None:
                if known is not None:
                    self._on_missing(known, now_s)
                continue
            try:
                self._on_row(row.key, row.value)
            except msgspec.MsgspecError as error:
                emit(Event.CONFIG_REFUSED, row=row.key, error=str(error))
        self.drop_lapsed(now_s)
        self._state.backends_known = True

    def drop_lapsed(self, now_s: float) -> None:
        """Forget the back ends whose entries have not come back in time."""
        for backend in self._state.backends.remove_lapsed(now_s):
            emit(Event.BACKEND_GONE, backend=backend.incarnation)
            self._pool.forget(backend.record.address)

    def _on_row(self, incarnation: str, value: bytes) -> None:
        record = self._decode(incarnation, value)
        known = self._state.backends.get(incarnation)
        is_new = known is None or known.record != record
        if is_new:
            emit(
                Event.BACKEND_LISTED,
                backend=incarnation,
                service=record.service,
                address=record.address,
                draining=record.draining,
                versions=dict(record.versions),
                software=record.software,
            )
        now_s = boot_time_s()
        is_start = not self._state.backends_known
        self._state.rollouts.on_listed(record.service, record.software, now_s, is_start)
        backend = self._state.backends.upsert(record)
        if is_new:
            backend.slow_until_s = now_s + record.slow_for_s

    def _on_missing(self, backend: Backend, now_s: float) -> None:
        """An entry is not there: the back end has left, or the entry lapsed while the store was away."""
        grace_ends_s = now_s if backend.record.draining else self._store_returned_s + LAPSE_GRACE_S
        self._state.backends.lapse(backend.incarnation, max(now_s, grace_ends_s))


class OwnRowListener(Protocol):
    """Takes the rows of this product's own table that it knows."""

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Take a row; others are left alone."""
        ...


class MemberRows:
    """Knows the other nodes from this product's own rows, and makes this node known to them."""

    def __init__(
        self, state: NodeState, table: TableService, order: UpstreamOrder, listeners: Sequence[OwnRowListener]
    ) -> None:
        """``listeners`` get the rows that are not members'."""
        self._state = state
        self._table = table
        self._order = order
        self._listeners = listeners
        self._own_version: int | None = None
        """Version of this node's own row, 0 if there is none, None before the rows were read."""

    @property
    def known(self) -> bool:
        """Whether the rows have been read."""
        return self._own_version is not None

    def apply(self, followed: FollowedPage) -> None:
        """Take a page."""
        now_s = boot_time_s()
        members = {} if followed.whole else dict(self._order.members)
        if followed.whole:
            self._own_version = 0
        for row in followed.page.rows:
            if row.key.startswith(MEMBER_PREFIX):
                self._on_member(members, row)
            else:
                for listener in self._listeners:
                    listener.on_row(row, now_s)
        self._order.members = members
        self._state.members = set(members)

    def _on_member(self, members: dict[str, NodeRecord], row: FeedRow) -> None:
        name = row.key[len(MEMBER_PREFIX) :]
        if name == self._state.node:
            self._own_version = row.version if row.value is not None else 0
        if row.value is None:
            members.pop(name, None)
            return
        try:
            members[name] = msgspec.json.decode(row.value, type=NodeRecord)
        except msgspec.MsgspecError:
            members[name] = NodeRecord(zone="")

    async def register(self, own: NodeRecord) -> None:
        """Make this node count in the shares of the fleet's budgets and known to its peers, unless it is."""
        if self._own_version is None or self._order.members.get(self._state.node) == own:
            return
        key = MEMBER_PREFIX + self._state.node
        put = Put(key, msgspec.json.encode(own).decode())
        try:
            await self._table.transact(Transaction((Condition(key, self._own_version),), (put,)))
        except (PlatformUnavailableError, TableConflictError):
            return
