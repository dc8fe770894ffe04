"""The rollout driver: one node writes each decision, also with several services and a store that was down."""

import asyncio

from tests.unit.rollout.fleet import RECORD_PREFIX, SHARE, STATUS_PREFIX, SWITCHED_S, run_scenario, writers
from wallwell.clock import boot_time_s
from wallwell.deployment.backends import BackendRecord
from wallwell.rollout.driver import HEARTBEAT_S, MIN_LEASE_TO_COMPLETE_S
from wallwell.rollout.model import Phase, RolloutBounds, RolloutOrder
from wallwell.rollout.planner import RolloutPlanner
from wallwell.rollout.reporter import REPORT_INTERVAL_S
from wallwell.storage.table import Put, Transaction

PHASES = (Phase.CANARY, Phase.SWITCHING)


def real_planner():
    return RolloutPlanner(RolloutBounds())


def test_a_good_version_is_completed_by_one_node():
    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(Phase.COMPLETE)
        return len(writers(fleet)), fleet.status(), fleet.record().barred

    assert run_scenario(scenario) == (1, "complete v2", ("v1",))


def test_a_bad_version_is_rolled_back_at_every_node():
    async def scenario(fleet):
        fleet.order()
        await fleet.until(lambda: fleet.record() is not None and fleet.record().share == SHARE)
        fleet.bad_versions.add("v2")
        await fleet.until_phase(Phase.ROLLED_BACK)
        await asyncio.sleep(0.1)
        return fleet.status(), {node.registry.effective_record("svc").phase for node in fleet.nodes}

    assert run_scenario(scenario) == ("rolled_back v2", {Phase.ROLLED_BACK})


def test_the_status_says_running_soon_after_the_order():
    async def scenario(fleet):
        fleet.order()
        ordered_s = boot_time_s()
        await fleet.until(lambda: fleet.status() == "running v2")
        return boot_time_s() - ordered_s

    assert run_scenario(scenario) < 1.5


def test_without_a_rollout_nothing_is_written_and_no_lease_is_acquired():
    async def scenario(fleet):
        await asyncio.sleep(5.0)
        return dict(fleet.model.rows)

    assert run_scenario(scenario) == {}


def test_after_the_end_nothing_more_is_written():
    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(Phase.COMPLETE)
        await asyncio.sleep(0.5)
        commit = fleet.model.commit
        await asyncio.sleep(10.0)
        return fleet.model.commit - commit

    assert run_scenario(scenario) == 0


def test_an_unchanged_record_is_written_once_a_second_with_the_requests_so_far():
    async def scenario(fleet):
        fleet.order()
        await fleet.until(lambda: fleet.record() is not None and fleet.record().share == SHARE)
        for node in fleet.nodes:
            for _ in range(10):
                node.registry.tally.by_service["svc"].on_sent(is_target=False)
        before = len(fleet.holder.store.writes)
        await asyncio.sleep(2 * HEARTBEAT_S)
        return len(fleet.holder.store.writes) - before, fleet.record().current_requests

    writes, requests = run_scenario(scenario)
    assert writes in (1, 2)
    assert requests == 30


def test_every_node_has_a_fresh_record_only_while_a_lease_holder_writes_it():
    async def scenario(fleet):
        fleet.order()
        await fleet.until(lambda: fleet.record() is not None and fleet.record().share == SHARE)
        fresh = set()
        for _ in range(15):
            await asyncio.sleep(0.1)
            fresh |= {node.registry.active["svc"].has_fresh_record(boot_time_s()) for node in fleet.nodes}
        fleet.kill(fleet.holder)
        for node in fleet.nodes:
            node.driver.drain()  # No node succeeds the killed holder.
        await asyncio.sleep(2.5)
        return fresh, {node.registry.active["svc"].has_fresh_record(boot_time_s()) for node in fleet.nodes}

    assert run_scenario(scenario) == ({True}, {False})


def test_a_row_changed_by_another_writer_is_read_again():
    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(Phase.CANARY)
        fleet.model.transact(Transaction((), (Put(STATUS_PREFIX + "svc", "changed by another writer"),)))
        await fleet.until_phase(Phase.COMPLETE)
        return fleet.status()

    assert run_scenario(scenario) == "complete v2"


def test_a_second_order_excludes_the_first_target_and_starts_a_new_rollout():
    async def scenario(fleet):
        for node in fleet.nodes:
            node.list_backends("svc", "v3", 4)
        fleet.order("v2")
        await fleet.until_phase(Phase.SWITCHING)
        fleet.order("v3")
        first_gets = {
            each.record.software
            for node in fleet.nodes
            for each in node.registry.active["svc"].eligible_backends(
                node.state.backends.backends_of_service("svc"), boot_time_s()
            )
        }
        await fleet.until(lambda: fleet.record().target_version == "v3")
        status = fleet.status()
        await fleet.until_phase(Phase.COMPLETE)
        return first_gets, status, fleet.status(), set(fleet.record().barred)

    assert run_scenario(scenario) == ({"v1"}, "running v3", "complete v3", {"v1", "v2"})


def test_a_repeated_order_starts_a_new_rollout_without_excluding_its_target():
    async def scenario(fleet):
        fleet.order("v2")
        await fleet.until_phase(Phase.SWITCHING)
        fleet.order("v2")
        await fleet.until(lambda: fleet.record().order == fleet.orders[-1].store_version)
        opened = fleet.record()
        await fleet.until_phase(Phase.COMPLETE)
        return opened.phase, opened.barred, fleet.status()

    assert run_scenario(scenario) == (Phase.CANARY, (), "complete v2")


def test_a_version_that_was_rolled_back_may_be_ordered_again():
    async def scenario(fleet):
        fleet.bad_versions.add("v2")
        fleet.order("v2")
        await fleet.until_phase(Phase.ROLLED_BACK)
        fleet.bad_versions.clear()
        fleet.order("v2")
        await fleet.until_phase(Phase.COMPLETE)
        return fleet.status()

    assert run_scenario(scenario) == "complete v2"


def test_a_rollout_of_the_running_version_is_completed():
    async def scenario(fleet):
        fleet.order("v1", duration_s=10.0)
        await fleet.until_phase(Phase.COMPLETE)
        return fleet.status(), len(
            fleet.nodes[0].registry.active["svc"].eligible_backends(backends(fleet), boot_time_s())
        )

    assert run_scenario(scenario, versions=("v1",), make_planner=real_planner) == ("complete v1", 4)


def backends(fleet):
    return fleet.nodes[0].state.backends.backends_of_service("svc")


def test_a_version_without_any_back_end_is_rolled_back_and_the_current_one_serves():
    async def scenario(fleet):
        fleet.order("v2", duration_s=10.0)
        await fleet.until_phase(Phase.ROLLED_BACK)
        return fleet.status(), len(
            fleet.nodes[0].registry.active["svc"].eligible_backends(backends(fleet), boot_time_s())
        )

    assert run_scenario(scenario, versions=("v1",), make_planner=real_planner) == ("rolled_back v2", 4)


def test_two_services_are_rolled_out_at_once():
    async def scenario(fleet):
        fleet.order("v2", "svc")
        await asyncio.sleep(0.5)
        fleet.order("v2", "other")
        await fleet.until_phase(Phase.COMPLETE, "svc")
        await fleet.until_phase(Phase.COMPLETE, "other")
        return fleet.status("svc"), fleet.status("other"), len(writers(fleet))

    assert run_scenario(scenario, services=("svc", "other")) == ("complete v2", "complete v2", 1)


def test_a_rollout_is_completed_once_a_store_that_was_down_at_the_deadline_is_back():
    async def scenario(fleet):
        fleet.order("v2")
        await fleet.until_phase(Phase.SWITCHING)
        await asyncio.sleep(0.1)
        for node in fleet.nodes:
            node.down()
        await asyncio.sleep(SWITCHED_S + 5.0)
        during = fleet.record().phase, {node.registry.effective_record("svc").phase for node in fleet.nodes}
        for node in fleet.nodes:
            node.down(False)
        back_s = boot_time_s()
        await fleet.until_phase(Phase.COMPLETE)
        return during, boot_time_s() - back_s < 5.0, fleet.status()

    assert run_scenario(scenario) == ((Phase.SWITCHING, {Phase.SWITCHING}), True, "complete v2")


def test_an_order_for_an_unknown_service_waits_until_the_service_is_known():
    async def scenario(fleet):
        fleet.order("v2", "later")
        await asyncio.sleep(3.0)
        before = dict(fleet.model.rows)
        for node in fleet.nodes:
            node.state.backends.upsert(BackendRecord("l-0", "later", "l-0:80", "z", 8, software="v1"))
        await fleet.until(lambda: fleet.status("later") == "running v2")
        return before

    assert run_scenario(scenario) == {}


def test_a_new_holder_makes_no_decision_before_all_nodes_have_reported():
    async def scenario(fleet):
        fleet.order()
        await fleet.until(lambda: fleet.record() is not None and fleet.record().share == SHARE)
        for node in fleet.nodes:
            for _ in range(10):
                node.registry.tally.by_service["svc"].on_sent(is_target=False)
        fleet.kill(fleet.holder)
        await fleet.until(lambda: fleet.holder is not None)
        taken_s = boot_time_s()
        planner = fleet.holder.planner
        await fleet.until(lambda: planner.asked)
        return boot_time_s() - taken_s, planner.asked[0][1]

    waited_s, requests = run_scenario(scenario)
    assert waited_s >= 2 * REPORT_INTERVAL_S
    assert requests >= 20


def test_a_new_holder_completes_no_rollout_before_it_has_held_the_lease_for_a_while():
    """The planner would complete the rollout at once: its time is over when the new holder acquires the lease."""

    async def scenario(fleet):
        fleet.order()
        await fleet.until_phase(Phase.SWITCHING)
        for node in fleet.nodes:
            node.down()
        await asyncio.sleep(SWITCHED_S)
        for node in fleet.nodes:
            node.down(False)
        await fleet.until(lambda: fleet.holder is not None)
        taken_s = boot_time_s()
        await fleet.until_phase(Phase.COMPLETE)
        return boot_time_s() - taken_s

    assert run_scenario(scenario) >= MIN_LEASE_TO_COMPLETE_S - 0.1


def test_a_draining_node_acquires_no_lease():
    async def scenario(fleet):
        for node in fleet.nodes[:2]:
            node.driver.drain()
        fleet.order()
        await fleet.until_phase(Phase.COMPLETE)
        return writers(fleet)

    assert run_scenario(scenario) == {"n2"}


def test_an_undecodable_record_does_not_affect_other_rollouts():
    async def scenario(fleet):
        fleet.model.transact(Transaction((), (Put(RECORD_PREFIX + "broken", "no record"),)))
        fleet.order()
        await fleet.until_phase(Phase.COMPLETE)
        return fleet.status()

    assert run_scenario(scenario) == "complete v2"


def test_an_older_order_that_arrives_later_is_ignored():
    async def scenario(fleet):
        fleet.order("v2")
        older = RolloutOrder("svc", "v0", 20.0, 0)
        assert not any(node.registry.on_order(older, boot_time_s()) for node in fleet.nodes)
        await fleet.until_phase(Phase.COMPLETE)
        return fleet.status()

    assert run_scenario(scenario) == "complete v2"
