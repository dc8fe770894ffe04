"""KV stores whose configured address is none: the configuration is applied whole, these stores are not used."""

import asyncio

import msgspec
import pytest

from tests.unit.serving.fakes import make_state
from tests.virtual_time import run_virtual
from wallwell.address import Address
from wallwell.clock import boot_time_s
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.events import Event
from wallwell.node import operator_rows
from wallwell.node.kv_store_watch import KvStoreWatch
from wallwell.node.operator_rows import OperatorRows
from wallwell.platform.rows import decode_config
from wallwell.routing.selection.kv_store import CachePage, CachePosition
from wallwell.routing.selection.kv_store_choice import home_store_address
from wallwell.storage.feed import FeedPage, FeedRow, FollowedPage

SOUND = "10.9.0.1:80"
ODD_ADDRESSES = {
    "long port": "10.9.0.2:" + "9" * 5000,
    "port 4,400 digits": "10.9.0.2:" + "1" * 4400,
    "no port": "10.9.0.2",
    "empty port": "10.9.0.2:",
    "word for a port": "10.9.0.2:http",
    "digits of another script": "10.9.0.2:²",
    "signed port": "10.9.0.2:+80",
    "port out of range": "10.9.0.2:99999",
    "host name": "kv.invalid:80",
    "empty label": "kv..invalid:80",
    "label of 64 characters": "a" * 64 + ".invalid:80",
    "blank": " ",
    "no host": ":80",
    "line break": "10.9.0.2:80\r\nX-Other: 1",
    "IPv6": "[::1]:80",
    "NUL": "10.9.0.2\0:80",
    "not of the locale": "[fe80::1%réseau]:80",
}


class Sources:
    """Decodes rows as the platform does."""

    config_key = "config"
    version_prefix = "version/"
    rollout_prefix = "rollout/"
    decode_config = staticmethod(decode_config)


class SoundStore:
    """Sends the same index to each call, and records the addresses that are called."""

    def __init__(self):
        self.called = []

    async def events(self, address, position, wait_s):
        self.called.append(address)
        await asyncio.sleep(0.05)
        return CachePage(CachePosition(1, 0), whole=True)

    async def listing(self, address):
        return await self.events(address, CachePosition(), 0.0)


def config_row(version, *addresses, key="old"):
    """Return a configuration with a KV store at each address, of which the first one is sound."""
    return msgspec.json.encode(
        {
            "version": version,
            "routes": [{"host": "h", "path_prefix": "/", "kind": "safe", "timeout_ms": 1000, "service": "svc"}],
            "services": [{"name": f"kv{i}", "kv_store_addr": each} for i, each in enumerate(addresses)],
            "tenants": [{"name": "t", "api_keys": [key]}],
        }
    )


def apply(state, value):
    """Apply one page with a configuration as its only row."""
    now_s = boot_time_s()
    row = FeedRow(Sources.config_key, value, 1)
    OperatorRows(state, Sources()).apply(FollowedPage(FeedPage((row,), 1, 0.0), False, now_s, now_s))


@pytest.fixture
def logged(monkeypatch):
    """The log events of the operators' rows, with their fields."""
    events = []
    monkeypatch.setattr(operator_rows, "emit", lambda event, **fields: events.append((event, fields)))
    return events


@pytest.mark.parametrize("address", ODD_ADDRESSES.values(), ids=ODD_ADDRESSES)
def test_a_configuration_with_an_odd_kv_store_is_applied_and_the_store_not_used(address, logged):
    """Followers of such stores ended with tracebacks, five times a second; prompts were fetched from and saved to
    them."""

    async def work():
        state = make_state()
        apply(state, config_row(3, SOUND, address))
        assert state.config.find_route("h", "/x") is not None
        assert state.config.find_tenant("old") is not None
        assert [each.name for each in state.kv_stores.listed] == ["kv0"]
        assert state.knows_service("kv1")
        homes = {home_store_address(state.kv_stores, key, "") for key in range(20)}
        assert homes == {Address("10.9.0.1", 80)}
        apply(state, config_row(4, SOUND, address, key="new"))
        assert state.config.find_tenant("old") is None
        apply(state, config_row(4, SOUND, address, key="new"))  # The page is read again; nothing changes.

    run_virtual(work())
    told = [fields for event, fields in logged if event is Event.CONFIG_WITHOUT_EFFECT]
    assert [(each["version"], each["service"]) for each in told] == [(3, "kv1"), (4, "kv1")]
    assert all(len(each["reason"]) < 200 and each["reason"].isascii() for each in told)


def test_only_stores_at_sound_addresses_are_called(logged):
    """A store with an odd address kept the event loop busy with tasks that failed at once."""

    async def work():
        state = make_state()
        apply(state, config_row(3, *ODD_ADDRESSES.values(), SOUND))
        source = SoundStore()
        watch = KvStoreWatch(state, source, UpstreamOrder("n", "z"))
        running = asyncio.create_task(watch.run())
        await asyncio.sleep(2.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert set(source.called) == {Address("10.9.0.1", 80)}
        assert state.kv_store_contents[Address("10.9.0.1", 80)].has_been_read

    run_virtual(work())
