"""The driver over a table with faults: one node acts at a time, in virtual time."""

import asyncio
import json
import random
from dataclasses import replace

import pytest

from tests.faulty_table import FaultyTable
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.freshness import StoreClock
from wallwell.deployment.store_era import StorePosition
from wallwell.errors import PlatformUnavailableError
from wallwell.node.state import FleetBounds, NodeState
from wallwell.placement.weights_roll import EngineReport, OrderReply
from wallwell.placement.weights_roll_driver import PROGRESS_PREFIX, WeightsRollDriver
from wallwell.rollout.model import Phase, RolloutRecord
from wallwell.storage.feed import FeedRow

LEASE_S = 3.0


class Engine:
    """Obeys orders with a rising fence, loads for a while, may lose answers or act late."""

    def __init__(self):
        self.version, self.orders, self.fence, self.busy_until_s = 1, 0, 0, 0.0
        self.lose, self.late_s = 0, 0.0
        self.given: list[tuple[float, str, int]] = []


class Control:
    def __init__(self, engines, node):
        self.engines, self.node = engines, node

    async def fetch_report(self, backend):
        engine = self.engines[backend.incarnation]
        await asyncio.sleep(0.002)
        return EngineReport({"m": engine.version}, boot_time_s() < engine.busy_until_s, engine.orders)

    async def send_order(self, backend, order):
        engine = self.engines[backend.incarnation]
        engine.given.append((boot_time_s(), order.holder, order.fence))
        if engine.late_s:
            late_s, engine.late_s = engine.late_s, 0.0
            asyncio.get_running_loop().call_later(late_s, self._take, engine, order)
            return OrderReply.UNKNOWN
        reply = self._take(engine, order)
        if engine.lose:
            engine.lose -= 1
            return OrderReply.UNKNOWN
        return reply

    def _take(self, engine, order):
        if order.fence < engine.fence:
            return OrderReply.FENCED
        if order.expected_orders != engine.orders or boot_time_s() < engine.busy_until_s:
            return OrderReply.BUSY
        engine.fence, engine.orders = order.fence, engine.orders + 1
        engine.busy_until_s = boot_time_s() + 0.6
        asyncio.get_running_loop().call_later(0.6, setattr, engine, "version", order.version)
        return OrderReply.ACCEPTED


class Fleet:
    """Nodes with drivers over one table; a feed tells every node of every row."""

    def __init__(self, nodes=3, engines=6):
        self.table = FaultyTable()
        self.engines = {f"i-{index}": Engine() for index in range(engines)}
        self.states, self.drivers, self.tasks = [], [], []
        for index in range(nodes):
            state = NodeState(f"n{index}", "z", FleetBounds(lease_s=LEASE_S), random.Random(index))
            state.members = {f"n{each}" for each in range(nodes)}
            for incarnation in self.engines:
                state.backends.upsert(
                    BackendRecord(incarnation, "s", f"{incarnation}:80", "z", 8, versions={"m": 1})
                )
            self.states.append(state)
            state.store_era.observe(0, boot_time_s())
            driver = WeightsRollDriver(state, self.table, Control(self.engines, state.node), StoreClock())
            driver.on_era(0, False)
            self.drivers.append(driver)

    def start(self):
        self.tasks = [asyncio.create_task(driver.run()) for driver in self.drivers]
        self.tasks.append(asyncio.create_task(self._feed()))

    async def _feed(self):
        seen = {}
        while True:
            await asyncio.sleep(0.05)
            scan = await self.table.scan("", 0)
            for row in scan.rows:
                if seen.get(row.key) != row.version:
                    seen[row.key] = row.version
                    for driver in self.drivers:
                        driver.on_row(FeedRow(row.key, row.value.encode(), row.version), boot_time_s())

    def name(self, version):
        for state in self.states:
            state.weights.add_version("m", version, boot_time_s())

    def kill(self, index):
        self.tasks[index].cancel()
        self.drivers[index].stop()

    def orders(self):
        return sorted(given for engine in self.engines.values() for given in engine.given)

    def versions(self):
        return {engine.version for engine in self.engines.values()}

    def stop(self):
        for index in range(len(self.drivers)):
            self.kill(index)
        self.tasks[-1].cancel()


def play(scenario, **fleet):
    async def work():
        running = Fleet(**fleet)
        running.start()
        try:
            await scenario(running)
        finally:
            running.stop()
        return running

    return run_virtual(work())


def test_every_engine_gets_the_version_in_time_from_one_holder():
    async def scenario(fleet):
        fleet.name(2)
        await asyncio.sleep(8.0)

    fleet = play(scenario)
    assert fleet.versions() == {2}
    assert len({holder for _, holder, _ in fleet.orders()}) == 1
    assert len(fleet.orders()) == len(fleet.engines)


def test_versions_named_shortly_after_each_other_cost_one_load():
    async def scenario(fleet):
        fleet.name(2)
        await asyncio.sleep(0.4)
        fleet.name(3)
        await asyncio.sleep(12.0)

    fleet = play(scenario)
    assert fleet.versions() == {3}
    assert len(fleet.orders()) == len(fleet.engines)


def test_versions_named_at_a_usual_pace_share_loads_when_little_is_served():
    async def scenario(fleet):
        for version in (2, 3, 4, 5):
            fleet.name(version)
            await asyncio.sleep(3.0)
        await asyncio.sleep(12.0)

    fleet = play(scenario)
    assert fleet.versions() == {5}
    assert len(fleet.orders()) <= 3 * len(fleet.engines)


def test_a_dead_holder_is_followed_after_the_guard_by_one_with_a_higher_fence():
    async def scenario(fleet):
        fleet.name(2)
        while not fleet.orders():
            await asyncio.sleep(0.05)
        fleet.kill(int(fleet.orders()[0][1][1:]))
        await asyncio.sleep(14.0)

    fleet = play(scenario)
    assert fleet.versions() == {2}
    by_holder: dict[str, list[tuple[float, int]]] = {}
    for at_s, holder, fence in fleet.orders():
        by_holder.setdefault(holder, []).append((at_s, fence))
    (_, first), (_, second) = sorted(by_holder.items(), key=lambda item: item[1][0])
    assert second[0][0] - first[-1][0] >= LEASE_S
    assert min(fence for _, fence in second) > max(fence for _, fence in first)


@pytest.mark.parametrize("fault", ["lose", "late"])
def test_orders_without_answer_are_taken_once(fault):
    async def scenario(fleet):
        for engine in fleet.engines.values():
            engine.lose, engine.late_s = (1, 0.0) if fault == "lose" else (0, 4.0)
        fleet.name(2)
        await asyncio.sleep(20.0)

    fleet = play(scenario)
    assert fleet.versions() == {2}
    assert all(engine.orders == 1 for engine in fleet.engines.values())


def test_without_the_store_nobody_gives_orders():
    async def scenario(fleet):
        async def refuse(*_):
            raise PlatformUnavailableError("down")

        fleet.table.get = refuse
        fleet.table.transact = refuse
        fleet.name(2)
        await asyncio.sleep(10.0)

    assert play(scenario).orders() == []


def test_a_holder_cut_off_from_the_store_stops_before_another_may_begin():
    async def scenario(fleet):
        fleet.name(2)
        while not fleet.orders():
            await asyncio.sleep(0.02)
        holder = int(fleet.orders()[0][1][1:])

        class Cut:
            async def get(self, *_):
                raise PlatformUnavailableError("cut")

            transact = get

        fleet.drivers[holder]._table = Cut()
        fleet.drivers[holder]._lease._table = Cut()
        await asyncio.sleep(15.0)

    fleet = play(scenario, engines=12)
    assert fleet.versions() == {2}
    orders = fleet.orders()
    turns = [index for index in range(1, len(orders)) if orders[index][1] != orders[index - 1][1]]
    assert len(turns) <= 1
    assert all(orders[index][0] - orders[index - 1][0] >= LEASE_S for index in turns)


def test_a_node_that_starts_later_learns_how_old_each_version_is():
    """Found by a hunt: a restarted node saw only the newest name, and sent to an engine two versions behind."""

    async def scenario(fleet):
        started_s = boot_time_s()
        fleet.name(2)
        await asyncio.sleep(3.0)
        fleet.name(3)
        await asyncio.sleep(4.0)
        late = NodeState("late", "z", FleetBounds(lease_s=LEASE_S), random.Random(9))
        late.weights.add_version("m", 4, boot_time_s(), estimated=True)
        driver = WeightsRollDriver(late, fleet.table, Control(fleet.engines, "late"), StoreClock())
        for row in (await fleet.table.scan("", 0)).rows:
            driver.on_row(FeedRow(row.key, row.value.encode(), row.version), boot_time_s())
        ages = [
            (each.version, round(each.named_at_s - started_s, 1))
            for each in late.weights.versions_of_known_age("m")
        ]
        assert ages == [(2, 0.0), (3, 3.0)]
        assert late.weights.min_allowed_version("m", started_s + 7.0, 6.4, newest_loaded_version=3) == 2

    play(scenario)


def test_progress_that_a_restored_store_has_lost_is_written_again():
    """Without it a node that starts later does not know since when a version has been named."""

    async def scenario(fleet):
        fleet.name(2)
        await asyncio.sleep(6.0)
        rows = fleet.table.model.rows
        before = json.loads(rows[f"{PROGRESS_PREFIX}m"].value)
        rows.clear()
        for state, driver in zip(fleet.states, fleet.drivers, strict=True):
            state.store_era.observe(1, boot_time_s())
            driver.on_era(1, True)
        await asyncio.sleep(2 * LEASE_S)
        assert json.loads(rows[f"{PROGRESS_PREFIX}m"].value)["finished"] == before["finished"] != []

    play(scenario)


def test_nodes_know_which_version_each_engine_is_loading():
    """Found on a calm day: an engine that had finished one version counted as loading the next one's."""

    async def scenario(fleet):
        fleet.name(2)
        while not fleet.orders():
            await asyncio.sleep(0.05)
        fleet.name(3)
        await asyncio.sleep(1.5)
        for state in fleet.states:
            for incarnation, engine in fleet.engines.items():
                backend = state.backends.get(incarnation)
                assert backend.believed_version("m") <= engine.version
                if engine.version >= 2 and boot_time_s() > engine.busy_until_s + 0.5:
                    assert backend.believed_version("m") == engine.version
                    assert not backend.is_loading(boot_time_s())

    play(scenario)


def test_engines_that_leave_after_a_rollout_of_their_software_get_no_orders():
    async def scenario(fleet):
        left = sorted(fleet.engines)[:2]
        record = RolloutRecord("s", "v2", 1, 0.0, 20.0, Phase.COMPLETE, barred=("v1",))
        for state in fleet.states:
            for incarnation in fleet.engines:
                known = state.backends.get(incarnation).record
                software = "v1" if incarnation in left else "v2"
                state.backends.upsert(replace(known, software=software))
            state.rollouts.on_record(record, StorePosition(0, 1), boot_time_s())
        fleet.name(2)
        await asyncio.sleep(8.0)
        return left

    fleet = play(scenario)
    assert sorted(len(engine.given) for engine in fleet.engines.values()) == [0, 0, 1, 1, 1, 1]


@pytest.mark.parametrize("phase", [Phase.CANARY, Phase.SWITCHING])
def test_engines_beside_the_current_ones_in_a_rollout_do_not_stand_in_for_those_that_load(phase):
    async def scenario(fleet):
        target = sorted(fleet.engines)[10:]
        record = RolloutRecord("s", "v2", 1, 0.0, 20.0, phase)
        for incarnation in target:
            fleet.engines[incarnation].version = 2
        for state in fleet.states:
            for incarnation in fleet.engines:
                known = state.backends.get(incarnation).record
                fields = {"software": "v2", "versions": {"m": 2}} if incarnation in target else {"software": "v1"}
                state.backends.upsert(replace(known, **fields))
            state.rollouts.on_record(record, StorePosition(0, 1), boot_time_s())
        fleet.name(2)
        await asyncio.sleep(8.0)

    fleet = play(scenario, engines=20)
    given_s = [at_s for at_s, _, _ in fleet.orders()]
    assert len(given_s) == 10
    # An engine loads for 0.6 s after its order; half of the current ones have to go on serving.
    assert max(sum(at_s <= other_s < at_s + 0.6 for other_s in given_s) for at_s in given_s) <= 5
