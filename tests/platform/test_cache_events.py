"""Cache events and listings over sockets: the requests sent, and the handling of invalid answers."""

import asyncio

import pytest
from aiohttp import web

from wallwell.address import Address, parse_address
from wallwell.errors import CacheEventsRefusedError, CacheStoreSilentError
from wallwell.platform.cache_events import CacheEventsClient
from wallwell.platform.worker_client import make_worker_pool
from wallwell.routing.selection.kv_store import CacheEntry, CachePosition

EVENTS = {
    "epoch": 7,
    "next_token": 12,
    "lost": False,
    "events": [[11, "+", "s", "a", 800, "m"], [12, "-", "s", "b", 128, "m"]],
}
GENEROUS_TIMEOUT_S = 30.0
"""Timeout long enough that a busy test machine does not cause failures."""
LISTING = {"epoch": 7, "next_token": 12, "held": [["s", "a", 800, "m"]]}


@pytest.fixture
def with_store(run_async, monkeypatch):
    """Return a function that runs a scenario on a store with given answers and returns the received requests."""

    monkeypatch.setattr("wallwell.platform.cache_events.LISTING_TIMEOUT_S", GENEROUS_TIMEOUT_S)

    def run(answers, scenario):
        asked = []

        async def handle(request):
            asked.append((request.path_qs, request.headers.get("Wait-Ms")))
            status, body = answers.get(request.path, (404, {}))
            if status == 0:
                await asyncio.sleep(60)
            return web.json_response(body, status=status)

        async def work():
            runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.01)
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            pool = make_worker_pool()
            try:
                address = Address("127.0.0.1", site._server.sockets[0].getsockname()[1])
                await scenario(CacheEventsClient(pool), address)
            finally:
                pool.close()
                await runner.cleanup()

        run_async(work())
        return asked

    return run


def test_events_after_a_position_are_returned(with_store):
    async def scenario(client, address):
        page = await client.events(address, CachePosition(7, 10), GENEROUS_TIMEOUT_S)
        assert page.position == CachePosition(7, 12)
        assert page.entries == (CacheEntry(11, "s", "a", 800), CacheEntry(12, "s", "b", 128))
        assert not page.whole

    asked = with_store({"/api/kv-events": (200, EVENTS)}, scenario)
    assert asked == [("/api/kv-events?since=10", "30000")]


@pytest.mark.parametrize("change", [{"lost": True}, {"epoch": 8}], ids=["gap", "restart"])
def test_listing_is_read_after_a_gap_or_a_restart(with_store, change):
    async def scenario(client, address):
        page = await client.events(address, CachePosition(7, 10), GENEROUS_TIMEOUT_S)
        assert page.whole
        assert page.entries == (CacheEntry(12, "s", "a", 800),)

    answers = {"/api/kv-events": (200, {**EVENTS, **change}), "/api/kv-list": (200, LISTING)}
    assert [path for path, _ in with_store(answers, scenario)] == ["/api/kv-events?since=10", "/api/kv-list"]


@pytest.mark.parametrize("answer", [(429, {}), (503, {}), (200, {"epoch": "x"})])
def test_answer_without_events_is_a_refusal_and_not_silence(with_store, answer):
    async def scenario(client, address):
        with pytest.raises(CacheEventsRefusedError):
            await client.events(address, CachePosition(7, 10), GENEROUS_TIMEOUT_S)

    with_store({"/api/kv-events": answer}, scenario)


def test_missing_answer_is_reported_as_silence(with_store):
    async def scenario(client, address):
        with pytest.raises(CacheStoreSilentError):
            await client.events(address, CachePosition(7, 10), 0.0)
        with pytest.raises(CacheStoreSilentError):
            await client.listing(parse_address("127.0.0.1:1"))

    with_store({"/api/kv-events": (0, {})}, scenario)
