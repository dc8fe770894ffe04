"""Rollouts on the platform: rows of orders, records and status, and complete rollouts at a real node."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.platform.conftest import config
from tests.platform.fakes import FakeWorker, own_table
from tests.platform.test_peers import two_nodes
from wallwell.address import parse_address
from wallwell.cluster.leases import LeaseKeeper
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.platform.rollouts import PlatformRolloutStore
from wallwell.platform.store import PlatformStore
from wallwell.rollout.model import Phase, RolloutRecord
from wallwell.rollout.store import LEASE_NAME, RECORD_PREFIX

RECORD = RolloutRecord("svc", "v2", 3, 10.0, 20.0, Phase.CANARY, 0.05, barred=("v0",), written_at_s=11.5)
DURATION_S = 4.0
CALL_PAUSE_S = 0.02
"""Seconds between two requests: some 40 requests per second, so that a rollout gets enough answers to decide."""


def status(harness, service="svc"):
    text = harness.store.value("status", f"rollout/{service}")
    return json.loads(text) if text else {}


def state_of(harness):
    return status(harness).get("state")


def order(harness, service="svc", **fields):
    body = {"service": service, "target_version": "v2", "duration_s": DURATION_S, **fields}
    harness.store.put("op", f"rollout/{service}", body)


async def rollouts_and_lease(harness):
    """Return a rollout store on the harness's store, and the version of an acquired rollout lease."""
    store = PlatformStore(parse_address(harness.store.address))
    lease = await LeaseKeeper(LEASE_NAME, "n9", 5.0, own_table(store)).try_acquire(0.0)
    return PlatformRolloutStore(store), lease.version


async def assert_write_conflicts(rollouts, record, seen, lease_version):
    with pytest.raises(TableConflictError):
        await rollouts.write(record, seen, lease_version)


def test_record_and_status_are_written_and_read_back(on_platform):
    async def scenario(harness):
        rollouts, lease_version = await rollouts_and_lease(harness)
        written = await rollouts.write(RECORD, await rollouts.read("svc"), lease_version)
        return await rollouts.read("svc") == written, status(harness)

    assert on_platform(scenario) == (True, {"state": "running", "target_version": "v2", "service": "svc"})


@pytest.mark.parametrize("changed", ["record", "status", "lease"])
def test_nothing_is_written_if_any_row_has_changed(on_platform, changed):
    async def scenario(harness):
        rollouts, lease_version = await rollouts_and_lease(harness)
        seen = await rollouts.write(RECORD, await rollouts.read("svc"), lease_version)
        keys = {
            "record": ("wallwell", RECORD_PREFIX + "svc"),
            "status": ("status", "rollout/svc"),
            "lease": ("wallwell", "lease/software"),
        }
        harness.store.put(*keys[changed], "{}")
        # The node registers itself once, soon after its start.
        await harness.until(lambda: harness.store.value("wallwell", "member/n1") is not None)
        before = dict(harness.store.rows)
        final = RolloutRecord("svc", "v2", 3, 10.0, 20.0, Phase.COMPLETE)
        await assert_write_conflicts(rollouts, final, seen, lease_version)
        return harness.store.rows == before

    assert on_platform(scenario)


def test_unchanged_status_is_not_rewritten(on_platform):
    async def scenario(harness):
        rollouts, lease_version = await rollouts_and_lease(harness)
        seen = await rollouts.write(RECORD, await rollouts.read("svc"), lease_version)
        before = harness.store.rows[("status", "rollout/svc")]
        again = await rollouts.write(RECORD, seen, lease_version)
        await rollouts.write(RECORD, again, lease_version)
        return harness.store.rows[("status", "rollout/svc")] == before

    assert on_platform(scenario)


def test_write_with_a_lost_answer_is_found_by_reading_back(on_platform):
    async def scenario(harness):
        rollouts, lease_version = await rollouts_and_lease(harness)
        seen = await rollouts.read("svc")
        harness.store.lose_writes = 1
        with pytest.raises(PlatformUnavailableError):
            await rollouts.write(RECORD, seen, lease_version)
        return (await rollouts.read("svc")).record

    assert on_platform(scenario) == RECORD


def test_undecodable_record_is_replaced(on_platform):
    async def scenario(harness):
        rollouts, lease_version = await rollouts_and_lease(harness)
        harness.store.put("wallwell", RECORD_PREFIX + "svc", "no record")
        seen = await rollouts.read("svc")
        await rollouts.write(RECORD, seen, lease_version)
        return seen.record, (await rollouts.read("svc")).record

    assert on_platform(scenario) == (None, RECORD)


async def add_workers(harness, count=2, respond=None):
    """Start workers with software version v2 and add their entries to the store."""
    for index in range(count):
        worker = FakeWorker(f"new-{index}", software="v2")
        worker.respond = respond(worker) if respond is not None else worker.answer_ok
        await worker.start()
        harness.workers.append(worker)
        harness.publish(worker)
    await harness.until(lambda: harness.node.state.backends.get("new-0") is not None)


async def call_until(harness, condition, bound_s=20.0):
    """Send requests one after another until a condition holds; return their statuses."""
    statuses = []
    async with asyncio.timeout(bound_s):
        while not condition():
            statuses.append((await harness.call())[0])
            await asyncio.sleep(CALL_PAUSE_S)
    return statuses


def requests_of(harness, software):
    return sum(len(worker.requests) for worker in harness.workers if worker.software == software)


def test_good_version_gets_canary_requests_then_all_requests(on_platform):
    async def scenario(harness):
        order(harness)
        await harness.until(lambda: state_of(harness) == "running")
        await add_workers(harness)
        statuses = await call_until(harness, lambda: state_of(harness) == "complete")
        await harness.until(lambda: harness.node.state.rollouts.effective_record("svc").phase is Phase.COMPLETE)
        canary = requests_of(harness, "")
        for _ in range(5):
            statuses.append((await harness.call())[0])
        return set(statuses), requests_of(harness, "") == canary, status(harness)["target_version"]

    assert on_platform(scenario) == ({200}, True, "v2")


def test_faulty_version_is_rolled_back_and_gets_no_requests(on_platform):
    async def scenario(harness):
        order(harness, duration_s=60)
        await add_workers(harness, respond=lambda worker: worker.answer(status=500))
        await call_until(harness, lambda: state_of(harness) == "rolled_back")
        spent = requests_of(harness, "v2")
        statuses = [(await harness.call())[0] for _ in range(20)]
        return spent < 100, requests_of(harness, "v2") == spent, set(statuses)

    assert on_platform(scenario) == (True, True, {200})


def test_both_nodes_add_to_one_record_and_follow_it(on_platform):
    async def scenario(harness):
        first, second = await two_nodes(harness)
        order(harness, duration_s=60)
        await harness.until(lambda: state_of(harness) == "running")
        nodes = (first, second)
        for node in nodes:
            await harness.until(lambda node=node: "svc" in node.state.rollouts.tally.by_service)
            node.state.rollouts.tally.by_service["svc"].current_requests = 500

        def written():
            return json.loads(harness.store.value("wallwell", RECORD_PREFIX + "svc"))["current_requests"]

        await harness.until(lambda: written() == 1000)
        for node in nodes:
            await harness.until(lambda node=node: node.state.rollouts.record("svc") is not None)
        await second.stop() if second is not harness.node else await first.stop()
        return written()

    assert on_platform(scenario) == 1000


@pytest.mark.parametrize(
    "body",
    [
        "no json",
        {"service": "svc"},
        {"service": "other", "target_version": "v2", "duration_s": 5},
        {"service": "svc", "target_version": 7, "duration_s": 5},
    ],
)
def test_invalid_order_has_no_effect(on_platform, body):
    async def scenario(harness):
        harness.store.put("op", "rollout/svc", body)
        harness.store.put("op", "config", config(2))
        await harness.until(lambda: harness.node.state.config.version == 2)
        return (await harness.call())[0], harness.node.state.rollouts.active, state_of(harness)

    assert on_platform(scenario) == (200, {}, None)


def test_order_for_an_unknown_service_has_no_effect(on_platform):
    async def scenario(harness):
        order(harness, "nowhere")
        harness.store.put("op", "config", config(2))
        await harness.until(lambda: harness.node.state.config.version == 2)
        await asyncio.sleep(0.5)
        return (await harness.call())[0], harness.store.value("status", "rollout/nowhere")

    assert on_platform(scenario) == (200, None)


def test_settings_bound_the_requests_of_a_faulty_version(on_platform):
    async def scenario(harness):
        return harness.node.state.bounds.rollout

    bounds = on_platform(scenario)
    assert (bounds.exposure_share, bounds.exposure_requests, bounds.rollback_s) == (0.1, 50, 5.0)


def test_metrics_show_phase_and_requests_by_side(on_platform):
    async def scenario(harness):
        order(harness, duration_s=60)
        await harness.until(lambda: "svc" in harness.node.state.rollouts.tally.by_service)
        await harness.call()
        return harness.node.metrics_text().decode()

    text = on_platform(scenario)
    assert 'wallwell_rollout_phase{phase="canary",service="svc"} 1.0' in text
    assert 'wallwell_rollout_requests_total{service="svc",side="current"} 1.0' in text
    assert 'wallwell_rollout_failures_total{service="svc",side="target"} 0.0' in text


def test_node_is_not_ready_before_it_knows_the_excluded_versions(on_platform):
    async def scenario(harness):
        harness.node._member_rows._own_version = None
        return harness.node.is_ready()

    assert not on_platform(scenario)
