"""Applies the operators' rows to a node's state: configuration, weights versions to serve, rollout orders.

Beside :class:`NodeState`, owns whether the configuration is unreadable or older than that of peers. Relies on a
follower that delivers every row in order (:mod:`wallwell.storage.feed`). Logs and ignores undecodable rows.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from wallwell.clock import boot_time_s
from wallwell.deployment.routes import DeploymentConfig
from wallwell.deployment.store_era import UNKNOWN_ERA
from wallwell.events import Event, emit
from wallwell.node.adapter import NodeSources
from wallwell.node.state import NodeState
from wallwell.node.store_outage import STORE_OUTAGE_S
from wallwell.storage.feed import FeedRow, FollowedPage
from wallwell.storage.row_isolation import ReportedRows, RowErrors, shown_key, shown_reason

REWRITE_GRACE_S = 5.0
"""Seconds after a restore of the store from an older copy within which operators have rewritten the rows that it
lacks. A restored rollout order that contradicts the known one takes effect only then."""
CONFIRMATION_HOLD_S = 1.0
"""Seconds after a node's first answer of an era during which the store's answers confirm no configuration: a
restored store may lack the newest one, which operators rewrite soon. This is less than the remaining validity of
the last confirmation after an outage of some seconds, so that callers are not affected."""


MAX_SHOWN_NAMES = 10
"""Names of tenants in one log line; a configuration may isolate thousands at once."""


class OperatorRows:
    """Applies the operators' configuration, weights versions and rollout orders."""

    def __init__(self, state: NodeState, sources: NodeSources) -> None:
        self._state = state
        self._sources = sources
        self._errors = RowErrors("operators", state.row_errors)
        self._unreadable = ReportedRows()
        self._is_config_unreadable = False
        self._behind_since_s: float | None = None
        """Since when other nodes have had a newer configuration than this node has read; None if they have not."""
        self._logged_peers_version = 0
        """Newest version of the peers' configuration that was logged as missing here."""

    def apply(self, followed: FollowedPage) -> None:
        """Apply a page; a row that cannot be decoded or applied is logged, and all others are applied."""
        if followed.is_snapshot:
            self._unreadable.keep({row.key for row in followed.page.rows})
        for row in followed.page.rows:
            if row.value is not None:
                self._apply_row(row, row.value, followed)
            else:
                self._unreadable.forget(row.key)
        config = self._state.config
        if config is None:
            return
        era = self._state.store_era
        if era.current == UNKNOWN_ERA:
            self._state.freshness.confirm(followed.confirmed_at_s)
            return
        # The store may have been restored from an older copy that lacks the newest configuration.
        self._state.load.own_configuration_version = config.version
        now_s = boot_time_s()
        if not self._is_behind(config.version, now_s) and now_s >= era.observed_since_s + CONFIRMATION_HOLD_S:
            self._state.freshness.confirm(followed.confirmed_at_s)

    def _apply_row(self, row: FeedRow, value: bytes, followed: FollowedPage) -> None:
        try:
            if row.key.startswith(self._sources.rollout_prefix):
                self._on_rollout_order(row, value, followed)
            else:
                self._on_row(row.key, value, followed.previous_confirmed_at_s)
        except msgspec.MsgspecError as error:
            self._is_config_unreadable |= row.key == self._sources.config_key
            self._log_unreadable(row.key, error)
        except Exception as error:
            self._is_config_unreadable |= row.key == self._sources.config_key
            self._errors.on_error(row.key, error)
        else:
            self._errors.on_applied(row.key)
            self._unreadable.forget(row.key)

    def _log_unreadable(self, key: str, error: msgspec.MsgspecError) -> None:
        """Log a row that cannot be decoded, once until what is wrong changes."""
        if not self._unreadable.is_news(key, str(error)):
            return
        is_order = key.startswith(self._sources.rollout_prefix)
        event = Event.ROLLOUT_REFUSED if is_order else Event.CONFIG_REFUSED
        emit(event, row=shown_key(key), error=shown_reason(error))

    def _is_behind(self, version: int, now_s: float) -> bool:
        """Whether other nodes have a newer configuration, which may have revoked credentials.

        Returns False if this node cannot decode the store's configuration: it could not apply the newer one either.
        """
        peers_version = self._state.load.peers_configuration_version
        if version >= peers_version or self._is_config_unreadable:
            self._behind_since_s = None
            return False
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        elif now_s >= self._behind_since_s + CONFIRMATION_HOLD_S and self._logged_peers_version != peers_version:
            # Logged only after this delay, since a peer may merely have read the row earlier.
            self._logged_peers_version = peers_version
            emit(Event.CONFIG_BEHIND, version=version, peers_version=peers_version)
        return True

    def _on_row(self, key: str, value: bytes, previous_confirmed_at_s: float) -> None:
        if key == self._sources.config_key:
            config, previous = self._sources.decode_config(value), self._state.config
            self._is_config_unreadable = False
            if self._state.apply_config(config):
                emit(Event.CONFIG_ADVANCED, version=config.version, routes=len(config.routes))
                if previous is not None:
                    self._report_cache_groups(config, previous)
                for store in config.unusable_kv_stores:
                    emit(
                        Event.CONFIG_WITHOUT_EFFECT,
                        version=config.version,
                        service=store.name,
                        reason=f"KV store not used: {store.kv_store_error}",
                    )
        elif key.startswith(self._sources.version_prefix):
            model, version = self._sources.decode_version(value)
            named_at_s, estimated = self._named_at_s(previous_confirmed_at_s)
            if self._state.weights.add_version(model, version, named_at_s, estimated):
                emit(Event.WEIGHTS_NAMED, model=model, version=version, estimated=estimated)

    def _report_cache_groups(self, config: DeploymentConfig, previous: DeploymentConfig) -> None:
        """Log and count a change of the isolated tenants, after which shared parts are prefilled once more."""
        groups, before = config.cache_groups, previous.cache_groups
        if groups.shared == before.shared:
            return
        self._state.cache_group_changes += 1
        emit(
            Event.CACHE_GROUPS_CHANGED,
            version=config.version,
            isolated=len(groups.isolated),
            added=_shown_names(groups.isolated - before.isolated),
            released=_shown_names(before.isolated - groups.isolated),
            group=groups.shared,
            group_before=before.shared,
        )

    def _on_rollout_order(self, row: FeedRow, value: bytes, followed: FollowedPage) -> None:
        order = self._sources.decode_rollout(row.key, value, row.version)
        order = msgspec.structs.replace(order, era=followed.page.era)
        if not self._state.knows_service(order.service):
            emit(Event.ROLLOUT_REFUSED, row=row.key, error="no such service is configured or listed")
        effective_from_s = float("-inf")
        if followed.is_snapshot:
            effective_from_s = self._state.store_era.observed_since_s + REWRITE_GRACE_S
        if self._state.rollouts.on_order(order, boot_time_s(), effective_from_s):
            emit(
                Event.ROLLOUT_ORDERED,
                service=order.service,
                target=order.target_version,
                duration_s=order.duration_s,
                order=order.store_version,
            )

    def _named_at_s(self, previous_confirmed_at_s: float) -> tuple[float, bool]:
        """Return when (boot clock) a version read now counts as named, and whether that is an estimate."""
        now_s = boot_time_s()
        if previous_confirmed_at_s == float("-inf"):
            return self._state.estimated_naming_s(now_s), True
        # The version may have been named at any time during an outage of the store.
        return (previous_confirmed_at_s if now_s - previous_confirmed_at_s > STORE_OUTAGE_S else now_s), False


def _shown_names(names: Collection[str]) -> str:
    """Return names for the log: the first ones in order, and how many there are besides."""
    shown = ",".join(shown_key(name) for name in sorted(names)[:MAX_SHOWN_NAMES])
    return shown if len(names) <= MAX_SHOWN_NAMES else f"{shown} and {len(names) - MAX_SHOWN_NAMES} more"
