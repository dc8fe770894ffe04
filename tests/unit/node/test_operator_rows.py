"""When a page of operators' rows confirms the configuration, if the store may be restored from an older copy."""

import asyncio
import dataclasses

import msgspec
import pytest

from tests.unit.serving.fakes import make_state
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_messages import OthersLoad
from wallwell.cluster.load_reports import Load, sum_loads
from wallwell.events import Event
from wallwell.node import operator_rows
from wallwell.node.operator_rows import CONFIRMATION_HOLD_S, OperatorRows
from wallwell.storage.feed import FeedPage, FeedRow, FollowedPage

CONFIG_KEY = "config"


class Sources:
    """Decodes a row's value as the version of a configuration."""

    config_key = CONFIG_KEY
    version_prefix = "version/"
    rollout_prefix = "rollout/"

    def __init__(self, config):
        self._config = config

    def decode_config(self, value):
        if not value.isdigit():
            raise msgspec.DecodeError("no configuration")
        return dataclasses.replace(self._config, version=int(value))


class FollowedRows:
    """Operators' rows of one node, long after the first answer of the store."""

    def __init__(self, era=1):
        self.state = make_state()
        self.state.freshness.confirmed_at_s = float("-inf")
        self.state.store_era.observe(era, boot_time_s() - CONFIRMATION_HOLD_S)
        self.rows = OperatorRows(self.state, Sources(self.state.config))

    def apply_page(self, value=None):
        """Apply a page with a configuration or without changes; return whether it confirms the configuration."""
        now_s = boot_time_s()
        rows = () if value is None else (FeedRow(CONFIG_KEY, value, 1),)
        self.rows.apply(FollowedPage(FeedPage(rows, 1, 0.0), False, now_s, now_s))
        return self.state.freshness.confirmed_at_s == now_s


@pytest.mark.parametrize(
    ("era", "peers_version", "value", "is_confirmed"),
    [
        (1, 0, b"5", True),  # No peer reports its version.
        (1, 5, b"5", True),
        (1, 4, b"5", True),
        (1, 6, b"5", False),
        (1, 6, b"unreadable", True),  # This build cannot decode it, nor would it decode a newer one.
        (0, 6, b"5", True),  # The store counts no eras, so it is never restored from an older copy.
    ],
)
def test_a_configuration_older_than_that_of_peers_is_not_confirmed(era, peers_version, value, is_confirmed):
    """A revoked key must not be accepted because the restored store lacks its revocation."""

    async def work():
        followed = FollowedRows(era)
        followed.state.load.update_from_peers(Load(configuration=peers_version or msgspec.UNSET), 2, boot_time_s())
        return followed.apply_page(value)

    assert run_virtual(work()) is is_confirmed


def test_older_configuration_is_logged_once_and_confirmed_after_operators_rewrite_it(monkeypatch):
    events = []
    monkeypatch.setattr(operator_rows, "emit", lambda event, **fields: events.append((event, fields)))

    async def work():
        followed = FollowedRows()
        followed.apply_page(b"5")
        followed.state.load.update_from_peers(Load(configuration=7), 2, boot_time_s())
        confirmed = []
        for _ in range(3):
            await asyncio.sleep(CONFIRMATION_HOLD_S)
            confirmed.append(followed.apply_page())
        confirmed.append(followed.apply_page(b"7"))
        return confirmed

    assert run_virtual(work()) == [False, False, False, True]
    behind = [fields for event, fields in events if event is Event.CONFIG_BEHIND]
    assert behind == [{"version": 5, "peers_version": 7}]


def test_load_reports_carry_the_newest_version_only_if_the_store_counts_eras():
    behind, ahead = FleetLoad(), FleetLoad()
    behind.own_configuration_version, ahead.own_configuration_version = 5, 7
    total = sum_loads([behind.own_load(1.0), ahead.own_load(1.0), FleetLoad().own_load(1.0)])
    assert total.configuration == 7
    assert b"configuration" not in msgspec.json.encode(OthersLoad(sum_loads([FleetLoad().own_load(1.0)])))
