"""What a node logs and counts when a configuration isolates or releases tenants.

Guards against a fall of the cache hit rate that no log line and no metric explains.
"""

import dataclasses

import msgspec
import pytest

from tests.unit.serving.fakes import make_state
from wallwell.deployment.cache_groups import CacheGroups
from wallwell.deployment.tenants import TenantAccess
from wallwell.events import Event
from wallwell.node import operator_rows
from wallwell.node.metrics import metrics_text
from wallwell.node.operator_rows import MAX_SHOWN_NAMES, OperatorRows
from wallwell.serving.counters import RequestCounters
from wallwell.storage.feed import FeedPage, FeedRow, FollowedPage


def tenants(*isolated, names=("a", "b")):
    return tuple(TenantAccess(name, (f"key-{name}",), isolated=name in isolated) for name in names)


class Sources:
    """Returns the given configurations in turn."""

    config_key = "config"
    version_prefix = "version/"
    rollout_prefix = "rollout/"

    def __init__(self, configs):
        self._configs = iter(configs)

    def decode_config(self, _value):
        return next(self._configs)


def read_in_turn(monkeypatch, *tenants_of_versions):
    """Return the log lines about cache groups, and the node's state, after these versions were read."""
    events = []
    monkeypatch.setattr(operator_rows, "emit", lambda event, **fields: events.append((event, fields)))
    state = make_state()
    base, state.config = state.config, None
    configs = [dataclasses.replace(base, version=n, tenants=each) for n, each in enumerate(tenants_of_versions, 1)]
    rows = OperatorRows(state, Sources(configs))
    for number in range(len(configs)):
        rows.apply(FollowedPage(FeedPage((FeedRow("config", b"", number + 1),), number + 1, 0.0), False, 0.0, 0.0))
    return [fields for event, fields in events if event is Event.CACHE_GROUPS_CHANGED], state


def test_change_of_the_isolated_tenants_is_logged_and_counted(monkeypatch):
    logged, state = read_in_turn(monkeypatch, tenants(), tenants("a"), tenants("b"), tenants("b"))
    shared = [CacheGroups(tenants(name)).shared for name in ("a", "b")]
    assert logged == [
        {"version": 2, "isolated": 1, "added": "a", "released": "", "group": shared[0], "group_before": ""},
        {"version": 3, "isolated": 1, "added": "b", "released": "a", "group": shared[1], "group_before": shared[0]},
    ]
    text = metrics_text(RequestCounters(), {}, state, True).decode()
    assert "wallwell_cache_group_changes_total 2.0" in text
    assert "wallwell_isolated_tenants 1.0" in text


@pytest.mark.parametrize("before", [(), ("a",)], ids=["nobody isolated", "one isolated"])
def test_any_other_change_and_the_first_configuration_are_not(monkeypatch, before):
    logged, state = read_in_turn(monkeypatch, tenants(*before), tenants(*before, names=("a", "b", "c")))
    assert (logged, state.cache_group_changes) == ([], 0)


def test_line_names_a_bounded_number_of_tenants(monkeypatch):
    many = [f"t{number:04}" for number in range(2100)]
    logged, _ = read_in_turn(monkeypatch, tenants(names=many), tenants(*many, names=many))
    assert logged[0]["added"] == ",".join(many[:MAX_SHOWN_NAMES]) + f" and {2100 - MAX_SHOWN_NAMES} more"
    assert len(msgspec.json.encode(logged[0])) < 300
