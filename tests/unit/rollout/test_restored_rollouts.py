"""Rollouts whose rows were lost when the store was restored from an older copy."""

import asyncio

import pytest

from tests.unit.rollout.fleet import run_scenario
from wallwell.clock import boot_time_s
from wallwell.rollout.model import Phase

WRITTEN_AGAIN_AFTER_S = 0.5


def writes_since(fleet, at_s):
    return sorted(
        (written_s, record) for node in fleet.nodes for written_s, record in node.store.writes if written_s > at_s
    )


@pytest.mark.parametrize("copied", ["before the order", "before the record", "in the canary"])
@pytest.mark.parametrize("lost_in", [Phase.CANARY, Phase.SWITCHING])
def test_a_rollout_continues_although_order_and_record_are_lost(copied, lost_in):
    """The order is written again with another row version, which must not count as a new order."""

    async def scenario(fleet):
        copy = fleet.copy()
        for _ in range(30):
            fleet.model.commit += 1
        fleet.order()
        if copied == "before the record":
            copy = fleet.copy()
        await fleet.until_phase(Phase.CANARY)
        if copied == "in the canary":
            copy = fleet.copy()
        await fleet.until_phase(lost_in)
        before = fleet.record()
        fleet.restore(copy)
        restored_s = boot_time_s()
        if copied == "before the order":
            await asyncio.sleep(WRITTEN_AGAIN_AFTER_S)
            fleet.order()
        await fleet.until_phase(Phase.COMPLETE)
        phases = {record.phase for _, record in writes_since(fleet, restored_s)}
        return before, fleet.record(), phases, fleet.status()

    before, after, phases, status = run_scenario(scenario)
    assert after.ordered_at_s == before.ordered_at_s
    assert Phase.CANARY not in phases or lost_in is Phase.CANARY
    assert status == "complete v2"


@pytest.mark.parametrize("copied", ["before the order", "in the canary"])
@pytest.mark.parametrize("end", [Phase.ROLLED_BACK, Phase.COMPLETE])
def test_a_lost_end_is_written_again_and_the_rollout_is_not_repeated(copied, end):
    async def scenario(fleet):
        copy = fleet.copy()
        fleet.order()
        await fleet.until_phase(Phase.CANARY)
        if copied == "in the canary":
            copy = fleet.copy()
        if end is Phase.ROLLED_BACK:
            fleet.bad_versions.add("v2")
        await fleet.until_phase(end)
        await asyncio.sleep(1.0)
        fleet.restore(copy)
        restored_s = boot_time_s()
        if copied == "before the order":
            await asyncio.sleep(WRITTEN_AGAIN_AFTER_S)
            fleet.order()
        await fleet.until(lambda: fleet.status() == f"{end.value} v2")
        await asyncio.sleep(5.0)
        phases = {record.phase for _, record in writes_since(fleet, restored_s)}
        return phases, {node.registry.effective_record("svc").phase for node in fleet.nodes}

    phases, effective = run_scenario(scenario)
    assert phases == {end}
    assert effective == {end}


def test_a_new_order_after_a_restore_is_executed_although_its_row_version_was_used_before():
    async def scenario(fleet):
        copy = fleet.copy()
        for _ in range(30):
            fleet.model.commit += 1
        fleet.order("v2")
        await fleet.until_phase(Phase.COMPLETE)
        fleet.restore(copy)
        await asyncio.sleep(WRITTEN_AGAIN_AFTER_S)
        fleet.order("v2")
        await asyncio.sleep(3.0)
        fleet.order("v3", duration_s=25.0)
        await fleet.until(lambda: fleet.status() == "complete v3")
        return fleet.record().barred

    assert run_scenario(scenario, versions=("v1", "v2", "v3")) == ("v1", "v2")


def test_an_older_order_in_the_copy_does_not_replace_the_accepted_one():
    async def scenario(fleet):
        fleet.order("v2")
        await fleet.until_phase(Phase.COMPLETE)
        copy = fleet.copy()
        fleet.order("v3", duration_s=25.0)
        await fleet.until_phase(Phase.SWITCHING)
        fleet.restore(copy)
        restored_s = boot_time_s()
        await asyncio.sleep(WRITTEN_AGAIN_AFTER_S)
        fleet.order("v3", duration_s=25.0)
        await fleet.until(lambda: fleet.status() == "complete v3")
        return {record.target_version for _, record in writes_since(fleet, restored_s)}

    assert run_scenario(scenario, versions=("v1", "v2", "v3")) == {"v3"}


def test_an_older_order_in_the_copy_takes_effect_if_no_other_follows():
    async def scenario(fleet):
        fleet.order("v2")
        await fleet.until_phase(Phase.COMPLETE)
        copy = fleet.copy()
        fleet.order("v3", duration_s=25.0)
        await fleet.until_phase(Phase.CANARY)
        fleet.restore(copy)
        await fleet.until(lambda: fleet.nodes[0].registry.orders["svc"].target_version == "v2")
        await fleet.until(lambda: fleet.status() == "complete v2")
        return {node.registry.effective_record("svc").target_version for node in fleet.nodes}

    assert run_scenario(scenario, versions=("v1", "v2", "v3")) == {"v2"}
