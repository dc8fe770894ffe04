"""The rollout driver when the lease holder is killed, paused or cut off, and when answers to writes are lost."""

import asyncio

import pytest

from tests.faulty_table import REPLY_LOST, REQUEST_DELAYED, REQUEST_LOST
from tests.unit.rollout.fleet import LEASE_KEY, run_scenario, writers
from wallwell.clock import boot_time_s
from wallwell.emulator.platform_server import ConditionFailed
from wallwell.errors import TableConflictError
from wallwell.rollout.model import Phase

PHASES = (Phase.CANARY, Phase.SWITCHING)


@pytest.mark.parametrize("phase", PHASES)
def test_another_node_succeeds_a_dead_holder(phase):
    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(phase)
        dead = fleet.holder
        fleet.kill(dead)
        killed_s = boot_time_s()
        await fleet.until(lambda: fleet.holder is not None)
        took_s = boot_time_s() - killed_s
        await fleet.until_phase(Phase.COMPLETE)
        return took_s, fleet.status(), dead.state.node in writers(fleet)

    took_s, status, dead_acts = run_scenario(scenario)
    assert took_s < 3.5
    assert (status, dead_acts) == ("complete v2", False)


def test_an_order_survives_the_death_of_a_holder_before_its_first_write():
    async def scenario(fleet):
        async def hang(*_):
            await asyncio.Event().wait()

        whole = {node: node.store.write for node in fleet.nodes}
        for node in fleet.nodes:
            node.store.write = hang
        fleet.order()
        await fleet.until(lambda: fleet.holder is not None)
        fleet.kill(fleet.holder)
        before = fleet.record()
        for node in fleet.nodes:
            node.store.write = whole[node]
        await fleet.until_phase(Phase.COMPLETE)
        return before, fleet.status()

    assert run_scenario(scenario) == (None, "complete v2")


@pytest.mark.parametrize("phase", [*PHASES, Phase.COMPLETE])
def test_a_rollout_continues_from_its_record_after_all_nodes_were_killed(phase):
    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(phase)
        before = fleet.record()
        fleet.kill_all()
        await asyncio.sleep(0.5)
        fleet.start_again()
        await fleet.until_phase(Phase.COMPLETE)
        await asyncio.sleep(0.2)
        return before.ordered_at_s - fleet.record().ordered_at_s, {
            node.registry.effective_record("svc").phase for node in fleet.nodes
        }

    assert run_scenario(scenario) == (0.0, {Phase.COMPLETE})


def test_an_order_written_while_no_node_ran_is_executed_after_the_start():
    async def scenario(fleet):
        fleet.kill_all()
        fleet.order()
        await asyncio.sleep(3.0)
        fleet.start_again()
        await fleet.until_phase(Phase.COMPLETE)
        return fleet.status()

    assert run_scenario(scenario) == "complete v2"


def test_a_late_write_of_a_paused_holder_changes_neither_row():
    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(Phase.SWITCHING)
        frozen = fleet.holder
        captured = []

        async def hold_back(transaction):
            captured.append(transaction)
            await asyncio.Event().wait()

        frozen.table.transact = hold_back
        await fleet.until(lambda: captured)
        fleet.kill(frozen)
        fleet.bad_versions.add("v2")
        await fleet.until_phase(Phase.ROLLED_BACK)
        with pytest.raises(ConditionFailed):
            fleet.model.transact(captured[0])
        return fleet.status()

    assert run_scenario(scenario) == "rolled_back v2"


def test_a_resumed_holder_that_lost_its_lease_cannot_write_even_unchanged_rows():
    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(Phase.CANARY)
        thawed = fleet.holder
        lease_version = thawed.driver._lease.held.version
        fleet.kill(thawed)
        await fleet.until(lambda: fleet.model.rows[LEASE_KEY].version != lease_version)
        seen = await thawed.store.read("svc")
        with pytest.raises(TableConflictError):
            await thawed.store.write(seen.record, seen, lease_version)

    run_scenario(scenario)


def test_a_holder_that_cannot_renew_its_lease_stops_writing():
    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(Phase.CANARY)
        node = fleet.holder
        node.lease_table.down = True
        await asyncio.sleep(1.6)
        before = len(node.store.writes)
        await asyncio.sleep(3.0)
        return len(node.store.writes) - before

    assert run_scenario(scenario, nodes=1) == 0


def test_a_completion_whose_answer_was_lost_is_applied_before_the_feed_delivers_it():
    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(Phase.SWITCHING)
        node = fleet.holder
        node.is_feed_cut = True  # It gets no rows from its feed, but answers to its calls.
        whole = node.store.write

        async def write(record, seen, lease_version):
            if record.phase is Phase.COMPLETE:
                node.table.faults.append(REPLY_LOST)
            return await whole(record, seen, lease_version)

        node.store.write = write
        await fleet.until_phase(Phase.COMPLETE)
        await asyncio.sleep(0.5)
        return node.registry.effective_record("svc").phase

    assert run_scenario(scenario, nodes=1) is Phase.COMPLETE


def test_another_node_succeeds_a_holder_that_cannot_reach_the_store():
    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(Phase.CANARY)
        away = fleet.holder
        away.down()
        await fleet.until(lambda: fleet.holder is not None and fleet.holder is not away)
        await fleet.until_phase(Phase.COMPLETE)
        away.down(False)
        await asyncio.sleep(0.5)
        return fleet.status(), away.registry.effective_record("svc").phase

    assert run_scenario(scenario) == ("complete v2", Phase.COMPLETE)


@pytest.mark.parametrize("fault", [REQUEST_LOST, REPLY_LOST, REQUEST_DELAYED])
@pytest.mark.parametrize("phase", [None, Phase.SWITCHING])
def test_a_write_whose_answer_was_lost_is_resolved_by_reading_back(fault, phase):
    async def scenario(fleet):
        if phase is None:
            for node in fleet.nodes:
                node.table.faults.extend(["ok", "ok", fault])  # Two reads, then the first write.
            fleet.order()
        else:
            fleet.order()
            await fleet.until_phase(phase)
            fleet.holder.table.faults.append(fault)
        await fleet.until_phase(Phase.COMPLETE)
        return fleet.status(), fleet.record().target_version

    assert run_scenario(scenario) == ("complete v2", "v2")
