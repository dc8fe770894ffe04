"""A node with the store: start, configuration changes, outages, weights rolls, and a planned stop."""

from __future__ import annotations

import asyncio

import pytest
from loguru import logger

from tests.platform.conftest import config, route
from tests.platform.fakes import own_table
from tests.unit.serving.fakes import event
from wallwell.address import parse_address
from wallwell.deployment.store_era import StorePosition
from wallwell.errors import HistoryLostError, PlatformUnavailableError, SettingsError, TableConflictError
from wallwell.events import Event
from wallwell.platform.main import reload_settings
from wallwell.platform.settings import OperatorBounds, load_platform_settings
from wallwell.platform.store import PlatformStore, TableRows
from wallwell.storage.table import Condition, Put, Transaction


def test_node_without_a_configuration_is_not_ready(on_platform):
    async def scenario(harness):
        before = (harness.node.is_ready(), (await harness.call())[0])
        harness.store.put("op", "config", config())
        await harness.until(harness.node.is_ready)
        return before, (await harness.call())[0]

    assert on_platform(scenario, configuration=False) == ((False, 503), 200)


def test_configuration_change_applies_at_once_and_never_reverts(on_platform):
    async def scenario(harness):
        harness.store.put("op", "config", config(5, [route(prefix="/new/")]))
        await harness.until(lambda: harness.node.state.config.version == 5)
        harness.store.put("op", "config", config(4))
        harness.store.put("op", "config", {"version": 6, "routes": "no list"})
        harness.store.put("op", "other", {"x": 1})
        await asyncio.sleep(0.1)
        return (await harness.call("/new/x"))[0], (await harness.call("/a"))[0], harness.node.state.config.version

    assert on_platform(scenario) == (200, 404, 5)


def test_revoked_credential_is_refused(on_platform):
    async def scenario(harness):
        changed = config(2)
        changed["tenants"][0]["api_keys"] = ["k2"]
        harness.store.put("op", "config", changed)
        await harness.until(lambda: harness.node.state.config.version == 2)
        return (await harness.call())[0], (await harness.call(X_Credential="k2"))[0]

    assert on_platform(scenario) == (401, 200)


def test_credentials_are_refused_once_the_store_has_been_silent_too_long(on_platform):
    """The effective bound is 0.9 s here, after the margin is subtracted."""

    async def scenario(harness):
        harness.store.silent = True
        accepted = (await harness.call())[0]
        await harness.until(lambda: not harness.node.is_ready())
        status, headers, _ = await harness.call()
        harness.store.silent = False
        await harness.until(harness.node.is_ready)
        return accepted, status, headers.get("Connection"), (await harness.call())[0]

    bounds = OperatorBounds(strict_revoke=True, revoke_ms=2500)
    assert on_platform(scenario, bounds=bounds) == (200, 503, "close", 200)


def test_rows_are_reread_after_the_store_lost_its_history(on_platform):
    async def scenario(harness):
        harness.store.refuse_status = 503
        harness.store.put("op", "config", config(9))
        harness.store.put("servers", "i-1", None)
        harness.store.forget_history()
        await asyncio.sleep(0.05)
        harness.store.refuse_status = 0
        await harness.until(lambda: harness.node.state.config.version == 9)
        await harness.until(lambda: harness.node.state.backends.get("i-1") is None)
        return len(harness.node.state.backends)

    assert on_platform(scenario) == 1


def test_draining_worker_gets_no_new_requests(on_platform):
    async def scenario(harness):
        leaving, staying = harness.workers
        leaving.draining = True
        harness.publish(leaving)
        await harness.until(lambda: harness.node.state.backends.get("i-0").record.draining)
        for _ in range(6):
            await harness.call()
        return len(leaving.requests), len(staying.requests)

    assert on_platform(scenario) == (0, 6)


def test_announced_weights_are_rolled_out_by_fenced_orders(on_platform):
    async def scenario(harness):
        for worker in harness.workers:
            worker.respond = worker.stream(event(1))
        harness.store.put("op", "version/m", {"model": "m", "version": 2})
        await harness.until(lambda: all(worker.version == 2 for worker in harness.workers))
        return [order for worker in harness.workers for order in worker.orders]

    orders = on_platform(scenario, bounds=OperatorBounds(strict_revoke=True, version_ms=300))
    assert len(orders) == 2
    for order in orders:
        assert (order["op"], order["model"], order["version"], order["holder"]) == ("version", "m", 2, "n1")
        assert (order["expect_rev"], order["mode"]) == (0, "retain")
        assert order["fence"] > 0


def test_planned_stop_answers_open_requests_and_closes_idle_connections(on_platform):
    async def scenario(harness):
        release = harness.hold_answers()
        idle_reader, idle_writer = await asyncio.open_connection("127.0.0.1", harness.port)
        open_call = asyncio.create_task(harness.call())
        await harness.until(lambda: any(worker.requests for worker in harness.workers))

        async def close_listener():
            await harness.listener.close_idle(harness.server)

        stopping = asyncio.create_task(harness.node.drain(1.0, close_listener))
        await harness.until(lambda: not harness.node.is_ready())
        async with asyncio.timeout(5):
            idle_closed = await idle_reader.read()
        idle_writer.close()
        release.set()
        status, headers, _ = await open_call
        await stopping
        return idle_closed, status, headers["Connection"]

    assert on_platform(scenario) == (b"", 200, "close")


def test_body_still_arriving_when_the_listener_closes_is_read_completely(on_platform):
    """By itself, aiohttp drops bytes that arrive on a connection after it was told to close."""

    async def scenario(harness):
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        head = "\r\n".join(f"{name}: {value}" for name, value in harness.headers().items())
        writer.write(f"POST /a HTTP/1.1\r\n{head}\r\nContent-Length: 10\r\n\r\nfirst".encode())
        await harness.until(harness.has_open_requests)
        await harness.listener.close_idle(harness.server)
        writer.write(b"-last")
        async with asyncio.timeout(5):
            answer = await reader.read()
        writer.close()
        return answer.split(b"\r\n")[0], [body for worker in harness.workers for body in worker.bodies]

    assert on_platform(scenario) == (b"HTTP/1.1 200 OK", [b"first-last"])


# --- the store's client --------------------------------------------------------------------------------


def with_store(run_async, scenario):
    from tests.platform.fakes import FakeStore

    async def work():
        fake_store = FakeStore()
        await fake_store.start()
        store = PlatformStore(parse_address(fake_store.address))
        try:
            return await scenario(fake_store, store)
        finally:
            store.close()
            await fake_store.stop()

    return run_async(work())


def test_transaction_conditions_and_reads_of_whole_tables(run_async):
    async def scenario(fake_store, store):
        for index in range(8):
            await own_table(store).transact(
                Transaction((Condition(f"k{index}", 0),), (Put(f"k{index}", f"v{index}"),))
            )
        with pytest.raises(TableConflictError):
            await own_table(store).transact(Transaction((Condition("k1", 0),), (Put("k1", "x"),)))
        row = await own_table(store).get("k3")
        scan = await own_table(store).scan("k", row.version)
        page = await TableRows(store, "wallwell").read_all()
        return row.value, await own_table(store).get("k33"), [each.key for each in scan.rows], len(page.rows)

    assert with_store(run_async, scenario) == ("v3", None, ["k4", "k5", "k6", "k7"], 8)


@pytest.mark.parametrize("status", [429, 500, 503])
def test_store_refusal_is_raised_as_unavailable(run_async, status):
    async def scenario(fake_store, store):
        fake_store.refuse_status = status
        with pytest.raises(PlatformUnavailableError):
            await own_table(store).get("k")
        with pytest.raises(PlatformUnavailableError):
            await TableRows(store, "op").changes(StorePosition(fake_store.era, 0), 0.1)

    with_store(run_async, scenario)


def test_write_with_a_lost_answer_may_have_taken_effect(run_async):
    async def scenario(fake_store, store):
        fake_store.lose_writes = 1
        with pytest.raises(PlatformUnavailableError):
            await own_table(store).transact(Transaction((), (Put("k", "v"),)))
        return (await own_table(store).get("k")).value

    assert with_store(run_async, scenario) == "v"


def test_lost_history_is_raised_as_its_own_error(run_async):
    async def scenario(fake_store, store):
        fake_store.put("op", "a", {"x": 1})
        fake_store.forget_history()
        with pytest.raises(HistoryLostError):
            await TableRows(store, "op").changes(StorePosition(fake_store.era, 0), 0.1)

    with_store(run_async, scenario)


# --- settings ------------------------------------------------------------------------------------------

SETTINGS = """
node = "n"
zone = "z"
unknown = { more = 1 }
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[provider]
addr = "127.0.0.1:3"
[bounds]
revoke_ms = 4000
strict_revoke = true
"""


def test_settings_are_read_and_unknown_fields_are_ignored(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    bounds = load_platform_settings(str(path)).fleet_bounds()
    assert (bounds.revocation_s, bounds.strict_revocation) == (4.0, True)


@pytest.mark.parametrize("text", ["", "node = 1", "not toml [", SETTINGS.replace("zone", "zoned")])
def test_invalid_settings_raise_a_settings_error_and_a_reload_ignores_them(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_platform_settings(str(path))
    reload_settings(str(path))


def test_missing_settings_file_raises_a_settings_error(tmp_path):
    with pytest.raises(SettingsError):
        load_platform_settings(str(tmp_path / "none.toml"))


# --- metrics and logs ----------------------------------------------------------------------------------


def test_metrics_show_the_same_readiness_as_the_readiness_check(on_platform):
    async def scenario(harness):
        before = harness.node.metrics_text()
        harness.node.readiness.draining = True
        return before, harness.node.metrics_text()

    before, draining = on_platform(scenario)
    assert b"wallwell_ready 1.0" in before
    assert b"wallwell_ready 0.0" in draining


def test_metrics_count_answered_and_refused_requests(on_platform):
    async def scenario(harness):
        await harness.call()
        await harness.call(X_Credential="wrong")
        return harness.node.metrics_text().decode()

    text = on_platform(scenario)
    assert 'wallwell_requests_total{kind="safe",outcome="answered"} 1.0' in text
    assert 'wallwell_refusals_total{code="WW3002"} 1.0' in text
    assert "wallwell_ready 1.0" in text
    assert 'wallwell_answer_seconds_count{kind="safe"} 1.0' in text
    assert "k1" not in text


def test_metrics_show_tenants_limits_and_refusals(on_platform):
    async def scenario(harness):
        await harness.call(X_Token_Usage="1000,500")
        await harness.call(X_Token_Usage="1000,500")
        return harness.node.metrics_text().decode()

    tenant = {"name": "t1", "api_keys": ["k1"], "rate_per_s": 1, "burst": 1, "unit": "tokens"}
    text = on_platform(scenario, configuration=config(tenants=[tenant]))
    refused = next(line for line in text.splitlines() if line.startswith("wallwell_limit_refusals_total{"))
    assert refused.startswith('wallwell_limit_refusals_total{tenant="t1"}') and float(refused.split()[-1]) >= 1
    assert 'wallwell_limit_left{tenant="t1"}' in text
    assert 'wallwell_limit_asked_per_second{tenant="t1"}' in text


def test_every_request_has_a_final_log_line_and_no_line_contains_a_credential(on_platform):
    lines = []

    async def scenario(harness):
        sink = logger.add(lambda message: lines.append(message.record["extra"]), level="INFO", format="{message}")
        try:
            for number, credential in enumerate(("k1", "secret-wrong-key", "k2")):
                await harness.call(X_Request_Id=f"req-{number}", X_Credential=credential)
            harness.workers[0].respond = harness.workers[1].respond = harness.workers[0].answer(500, b"")
            await harness.call(X_Request_Id="req-3")
        finally:
            logger.remove(sink)

    on_platform(scenario)
    last = {Event.REQUEST_ENDED.number, Event.REQUEST_REFUSED.number}
    assert {line["request_id"] for line in lines if line["event"] in last} == {f"req-{n}" for n in range(4)}
    text = repr(lines)
    assert "secret-wrong-key" not in text
    assert "'k1'" not in text
