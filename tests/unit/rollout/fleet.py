"""Nodes with rollout drivers that share one table in virtual time; a feed sends every row to every node."""

from __future__ import annotations

import asyncio
import random

import msgspec

from tests.faulty_table import FaultyTable
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster.leases import LEASE_PREFIX
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.freshness import StoreClock
from wallwell.emulator.platform_server import TableModel
from wallwell.node.operator_rows import REWRITE_GRACE_S
from wallwell.node.state import FleetBounds, NodeState
from wallwell.rollout.driver import RolloutDriver
from wallwell.rollout.model import Phase, RolloutDecision, RolloutOrder, RolloutRecord
from wallwell.rollout.reporter import REPORT_INTERVAL_S
from wallwell.rollout.reports import CountsReport, FleetCounts
from wallwell.rollout.store import LEASE_NAME, RECORD_PREFIX, StoredRollout
from wallwell.storage.feed import FeedRow
from wallwell.storage.table import Condition, Put, Transaction

LEASE_KEY = LEASE_PREFIX + LEASE_NAME
STATUS_PREFIX = "status/"
CANARY_S = 3.0
SWITCHED_S = 5.0
SHARE = 0.05


class TableRollouts:
    """Stores the two rows of a rollout in a table and records the writes."""

    def __init__(self, table):
        self.table = table
        self.writes: list[tuple[float, RolloutRecord]] = []

    async def read(self, service):
        own = await self.table.get(RECORD_PREFIX + service)
        status = await self.table.get(STATUS_PREFIX + service)
        return StoredRollout(
            msgspec.json.decode(own.value, type=RolloutRecord) if own else None,
            own.version if own else 0,
            status.value if status else "",
            status.version if status else 0,
        )

    async def write(self, record, seen, lease_version):
        state = record.phase.value if record.phase.is_final else "running"
        status = f"{state} {record.target_version}"
        own_key, status_key = RECORD_PREFIX + record.service, STATUS_PREFIX + record.service
        puts = [Put(own_key, msgspec.json.encode(record).decode())]
        if status != seen.status:
            puts.append(Put(status_key, status))
        conditions = (
            Condition(LEASE_KEY, lease_version),
            Condition(own_key, seen.record_version),
            Condition(status_key, seen.status_version),
        )
        version = await self.table.transact(Transaction(conditions, tuple(puts)))
        self.writes.append((boot_time_s(), record))
        return StoredRollout(record, version, status, version if len(puts) > 1 else seen.status_version)


class TimedPlanner:
    """Ends each phase after a fixed time; rolls back the versions in ``bad``."""

    def __init__(self, bad):
        self.bad_versions = bad
        self.asked: list[tuple[float, int]] = []

    def decide(self, record, counts, capacity, now_s):
        self.asked.append((now_s, counts.current_requests))
        since_s = now_s - record.ordered_at_s
        if record.target_version in self.bad_versions:
            return RolloutDecision(Phase.ROLLED_BACK, 0.0, "bad")
        if since_s < CANARY_S:
            return RolloutDecision(Phase.CANARY, SHARE, "good so far")
        if since_s < SWITCHED_S:
            return RolloutDecision(Phase.SWITCHING, 1.0, "good")
        return RolloutDecision(Phase.COMPLETE, 1.0, "good")


class TableOfNode(FaultyTable):
    """A node's access to the table: each answer contains the store's era."""

    def __init__(self, fleet, state):
        super().__init__(fleet.model)
        self._fleet, self._state = fleet, state

    def _observe_era(self):
        self._state.store_era.observe(self._fleet.era, boot_time_s())

    async def get(self, key):
        row = await super().get(key)
        self._observe_era()
        return row

    async def transact(self, transaction):
        version = await super().transact(transaction)
        self._observe_era()
        return version


class Node:
    """One node of the fleet."""

    def __init__(self, fleet, name, seed):
        self.state = NodeState(name, "z", FleetBounds(lease_s=3.0), random.Random(seed))
        self.state.members = set(fleet.names)
        self.lease_table = TableOfNode(fleet, self.state)
        self.table = TableOfNode(fleet, self.state)
        self.store = TableRollouts(self.table)
        self.planner = fleet.make_planner()
        self.counts = FleetCounts()
        self.life = round(boot_time_s() * 1e9)
        self.seen: dict[str, int] = {}
        self.is_feed_cut = False
        self.era: int | None = None
        self.driver = RolloutDriver(
            self.state, self.lease_table, self.store, self.planner, self.counts, StoreClock()
        )
        self.task = asyncio.create_task(self.driver.run())

    @property
    def registry(self):
        return self.state.rollouts

    def list_backends(self, service, software, count, at_start=True):
        for index in range(count):
            name = f"{service}-{software}-{index}"
            self.registry.on_backend_listed(service, software, boot_time_s(), at_start)
            self.state.backends.upsert(BackendRecord(name, service, f"{name}:80", "z", 8, software=software))
            self.state.backends.on_peer_loads({})

    def apply_rows(self, rows, era=0):
        if self.is_feed_cut:
            return
        if era != self.era:
            self.era = era
            self.seen.clear()
            self.state.store_era.observe(era, boot_time_s())
            self.driver.on_era(era, bool(era))
        for key, row in rows.items():
            if self.seen.get(key) != row.version:
                self.seen[key] = row.version
                self.driver.on_row(FeedRow(key, row.value.encode(), row.version), boot_time_s())

    def report(self):
        return CountsReport(self.state.node, self.life, self.registry.tally.snapshot())

    def down(self, is_down=True):
        """Cut the node off from the store, including its feed, or end the cut."""
        self.lease_table.down = self.table.down = self.is_feed_cut = is_down


class Fleet:
    """Nodes that share one table. The planners roll back the versions in ``bad_versions``."""

    def __init__(self, nodes=3, make_planner=None, model=None, versions=("v1", "v2"), services=("svc",)):
        self.model = model or TableModel()
        self.bad_versions: set[str] = set()
        self.make_planner = make_planner or (lambda: TimedPlanner(self.bad_versions))
        self.names = [f"n{index}" for index in range(nodes)]
        self.nodes: list[Node] = []
        self.services, self.versions = services, versions
        self.orders: list[RolloutOrder] = []
        self.era = 0
        for index, name in enumerate(self.names):
            self._add(name, index)
        self.tasks = [asyncio.create_task(self._feed()), asyncio.create_task(self._reports())]

    def _add(self, name, seed):
        node = Node(self, name, seed)
        self.nodes.append(node)
        for service in self.services:
            for software in self.versions:
                node.list_backends(service, software, 4)
        for order in self.orders:
            node.registry.on_order(order, boot_time_s())

    async def _feed(self):
        while True:
            await asyncio.sleep(0.05)
            for node in self.nodes:
                node.apply_rows(dict(self.model.rows), self.era)

    async def _reports(self):
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            for node in self.nodes:
                node.counts.add_report(node.report())
                holder = next((each for each in self.nodes if each.state.node == node.driver.holder), None)
                if holder is not None and not node.is_feed_cut:
                    holder.counts.add_report(node.report())

    def order(self, target="v2", service="svc", duration_s=20.0):
        self.model.commit += 1
        order = RolloutOrder(service, target, duration_s, self.model.commit, self.era)
        self.orders.append(order)
        for node in self.nodes:
            node.registry.on_order(order, boot_time_s())

    def copy(self):
        return self.model.commit, dict(self.model.rows), list(self.orders)

    def restore(self, copy):
        """Restore the store from a copy with older rows, whose orders are read again in the next era."""
        self.model.commit, self.model.rows = copy[0], dict(copy[1])
        self.era += 1
        self.orders = [msgspec.structs.replace(order, era=self.era) for order in copy[2]]
        for node in self.nodes:
            for order in self.orders:
                node.registry.on_order(order, boot_time_s(), boot_time_s() + REWRITE_GRACE_S)

    def kill(self, node):
        node.task.cancel()
        self.nodes.remove(node)

    def kill_all(self):
        for node in list(self.nodes):
            self.kill(node)

    def start_again(self):
        """Start every node again, with the present rows and orders."""
        for index, name in enumerate(self.names):
            self._add(name, 100 + index)

    @property
    def holder(self):
        """The node that holds the lease; None if there is none."""
        holders = [node for node in self.nodes if node.driver._turn.is_held()]
        assert len(holders) <= 1
        return holders[0] if holders else None

    def record(self, service="svc"):
        row = self.model.rows.get(RECORD_PREFIX + service)
        return msgspec.json.decode(row.value, type=RolloutRecord) if row else None

    def status(self, service="svc"):
        row = self.model.rows.get(STATUS_PREFIX + service)
        return row.value if row else ""

    async def until(self, condition, bound_s=60.0):
        give_up_s = boot_time_s() + bound_s
        while not condition():
            assert boot_time_s() < give_up_s, "the condition did not become true in time"
            await asyncio.sleep(0.05)

    async def until_phase(self, phase, service="svc"):
        await self.until(lambda: self.record(service) is not None and self.record(service).phase is phase)

    def stop(self):
        self.kill_all()
        for task in self.tasks:
            task.cancel()


def run_scenario(scenario, **options):
    """Run a scenario on a fleet and return its result."""

    async def work():
        fleet = Fleet(**options)
        try:
            return await scenario(fleet)
        finally:
            fleet.stop()

    return run_virtual(work())


def writers(fleet):
    """Return the names of the nodes that have written a record."""
    return {node.state.node for node in fleet.nodes if node.store.writes}
