"""A node whose configuration names KV stores at addresses that are none serves, and no task of it fails."""

import asyncio

import pytest

from tests.platform.conftest import config, route
from tests.unit.node.test_odd_kv_stores import ODD_ADDRESSES
from tests.unit.serving.fakes import event
from wallwell.events import Event
from wallwell.node import operator_rows

ROUTES = [route(kind="stream", attempts=1, sticky=True)]
ODD_STORES = [
    {"name": f"kv{index}", "kv_store_addr": address, "zone": "z1", "kv_capacity": 9}
    for index, address in enumerate(ODD_ADDRESSES.values())
]
OTHER_KEYS = [{"name": "t1", "api_keys": ["k9"]}]
GENERATION = {"X_Model": "m", "X_Prefix_Hash": "aa:2000,bb:50", "X_Token_Usage": "2050,9"}


@pytest.fixture
def told(monkeypatch):
    """Names and versions of the services of which operators are told that they are without effect."""
    lines, emit = [], operator_rows.emit

    def record(event, **fields):
        if event is Event.CONFIG_WITHOUT_EFFECT:
            lines.append((fields["version"], fields["service"]))
        emit(event, **fields)

    monkeypatch.setattr(operator_rows, "emit", record)
    return lines


def test_odd_kv_stores_cost_no_requests_and_no_tasks(on_platform, told):
    """Each node's followers of such stores failed several times a second, with tracebacks; a key that the same
    configuration revokes must be refused."""
    unhandled = []

    async def scenario(harness):
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: unhandled.append(context))
        for worker in harness.workers:
            worker.respond = worker.stream(event(1))
        statuses = [(await harness.call(**GENERATION))[0] for _ in range(6)]
        await asyncio.sleep(1.0)
        harness.store.put("op", "config", config(2, ROUTES, services=ODD_STORES, tenants=OTHER_KEYS))
        await harness.until(lambda: harness.node.state.config.version == 2)
        statuses.append((await harness.call(**GENERATION))[0])
        headers = [request.headers for worker in harness.workers for request in worker.requests]
        return statuses, headers, dict(harness.node.state.kv_store_contents)

    configuration = config(1, ROUTES, services=ODD_STORES)
    statuses, headers, followed = on_platform(scenario, configuration)
    assert statuses == [200] * 6 + [401]
    assert not any(name in each for each in headers for name in ("X-Kv-Fetch", "X-Kv-Save"))
    assert not followed
    assert unhandled == []
    assert told == [(version, each["name"]) for version in (1, 2) for each in ODD_STORES]
