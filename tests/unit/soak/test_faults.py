"""Targets of faults on links name what the proxy harms."""

import asyncio
import signal
import time
import types

import pytest

from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.errors import PeerUnavailableError, SoakError
from wallwell.soak.answers import CRASH_STATUS
from wallwell.soak.faults import LINK_HARMS, STORE_SWITCHES, FaultRunner, link_of
from wallwell.soak.fleet import REGION_DELAY_S, sound_link
from wallwell.soak.history import FaultBegan, FaultEnded
from wallwell.soak.schedule import LINK_FAULTS, REGION_FAULTS, STORE_FAULTS, FaultKind, PlannedFault, Shape


@pytest.mark.parametrize(
    ("target", "link", "node"),
    [
        ("node-1>store", "node-1>store", ""),
        ("all>engine-0", "engine-0", ""),
        ("node-1>engine-0", "engine-0", "node-1"),
        ("regions", "regions", ""),
    ],
)
def test_a_target_names_a_link_and_whose_connections(target, link, node):
    assert link_of(target) == (link, node)


def test_every_link_that_a_schedule_may_name_is_one_that_the_proxy_has():
    shape = Shape()
    opened = {f"{node}>store" for node in shape.node_names()} | set(shape.worker_names())
    assert {link_of(target)[0] for target in shape.links()} == opened


def test_every_fault_of_store_and_links_has_its_switches():
    assert set(LINK_HARMS) == set(LINK_FAULTS) | set(REGION_FAULTS)
    assert set(STORE_SWITCHES) | {FaultKind.STORE_FORGETS} == set(STORE_FAULTS)


def test_what_lies_between_regions_stays_slow_without_a_fault():
    assert sound_link("regions").delay_s == REGION_DELAY_S
    assert sound_link("engine-0", "node-1").delay_s == 0


class FleetOfOne:
    """A worker that ends with a status; its successor can be started or not."""

    def __init__(self, status, can_start=True):
        self.schedule = types.SimpleNamespace(shape=Shape(nodes=1, engines=1, instances=0))
        self.started = 0
        self.aimed_at_s = []
        self._status = status
        self._can_start = can_start
        self._worker = self

    def worker(self, name):
        return self._worker

    async def wait(self):
        return self._status

    async def control_proxy(self, message):
        self.aimed_at_s.append(boot_time_s())

    async def start_worker(self, name, keeps_identity=False):
        if not self._can_start:
            raise PeerUnavailableError("scripted")
        self.started += 1
        self._worker = RunningWorker()


class RunningWorker:
    async def wait(self):
        await asyncio.Event().wait()


def keep(fleet):
    async def work():
        async with FaultRunner(fleet).workers_kept():
            await asyncio.sleep(5.0)

    run_virtual(work())
    return fleet.started


@pytest.mark.parametrize(("status", "started"), [(CRASH_STATUS, 1), (0, 0), (-9, 0)])
def test_only_workers_that_a_request_crashed_are_started_again(status, started):
    """Those that a fault ended are started by the fault."""
    assert keep(FleetOfOne(status)) == started


def test_link_of_a_crashed_worker_refuses_at_once_beside_a_fault_on_the_worker():
    """Guards against a link that accepts connections for a process that has ended, so that no node sees a crash."""

    async def work():
        fleet = FleetOfOne(CRASH_STATUS)
        runner = FaultRunner(fleet)
        began_s = boot_time_s()
        async with runner.workers_kept():
            async with runner._locks["engine-0"]:
                await asyncio.sleep(3.0)
            await asyncio.sleep(5.0)
        return [at_s - began_s for at_s in fleet.aimed_at_s[:2]], fleet.started

    assert run_virtual(work()) == ([0.0, 3.0], 1)


def test_a_worker_that_cannot_be_started_again_ends_the_run_with_an_error():
    with pytest.raises(SoakError, match="scripted"):
        keep(FleetOfOne(CRASH_STATUS, can_start=False))


class FleetWithoutProcess:
    """A worker whose process has crashed and is not started again yet."""

    def __init__(self):
        self.schedule = types.SimpleNamespace(shape=Shape(nodes=1, engines=1, instances=0))
        self.sent = []

    def worker(self, name):
        raise KeyError(name)

    def worker_incarnation(self, name):
        return f"{name}.2"

    async def control_store(self, message):
        self.sent.append(message)


def test_the_entry_of_a_worker_without_a_process_can_be_spoilt():
    """Guards against a run that ends with a KeyError, since a request has just crashed the worker."""
    fleet = FleetWithoutProcess()
    runner = FaultRunner(fleet)
    run_virtual(runner._spoil_entry(PlannedFault(0.0, 1.0, FaultKind.SPOIL_ENTRY, "engine-0")))
    assert [(each.worker, each.is_spoilt) for each in fleet.sent] == [("engine-0.2", True), ("engine-0.2", False)]


class Recorder:
    """Keeps what is recorded."""

    def __init__(self):
        self.records = []

    def add(self, record):
        self.records.append(record)


class FleetWithANode:
    """A node's process that is stopping for a second; it has a handler for SIGHUP or not."""

    def __init__(self, has_handler):
        self.schedule = types.SimpleNamespace(shape=Shape(nodes=1, engines=1, instances=0))
        self.history = Recorder()
        self.done = []
        self._has_handler = has_handler

    def node(self, name):
        return self

    def has_handler(self, number):
        return self._has_handler

    def send(self, number):
        self.done.append(number)

    async def stop_node(self, name):
        self.done.append("stop")
        await asyncio.sleep(1.0)

    async def start_node(self, name):
        self.done.append("start")


def reload_while_it_stops(fleet):
    stop = PlannedFault(0.0, 0.0, FaultKind.STOP_NODE, "node-0")
    reload = PlannedFault(0.5, 0.0, FaultKind.RELOAD_NODE, "node-0")

    async def work():
        await FaultRunner(fleet).run((stop, reload), time.monotonic())

    run_virtual(work())
    return fleet.done


def test_a_node_is_told_to_read_its_settings_again_in_the_middle_of_its_stop():
    assert reload_while_it_stops(FleetWithANode(has_handler=True)) == ["stop", signal.SIGHUP, "start"]


def test_a_node_without_a_handler_yet_is_not_ended_by_that_signal():
    assert reload_while_it_stops(FleetWithANode(has_handler=False)) == ["stop", "start"]


class FleetWithAWorker:
    """One worker's process."""

    def __init__(self):
        self.schedule = types.SimpleNamespace(shape=Shape(nodes=1, engines=1, instances=0))
        self.history = Recorder()

    def worker(self, name):
        return self

    def send(self, number):
        pass


def test_a_fault_that_waits_for_another_one_of_its_process_is_recorded_as_it_begins():
    """Guards against a silence that is recorded while its worker is still held by another fault, so that what ends
    meanwhile counts as ended in a silence."""
    fleet = FleetWithAWorker()
    limit = PlannedFault(0.0, 1.0, FaultKind.LIMIT_WORKER, "engine-0")
    silence = PlannedFault(0.5, 1.0, FaultKind.SILENCE_WORKER, "engine-0")

    async def work():
        start_s = time.monotonic()
        await FaultRunner(fleet).run((limit, silence), start_s)
        return start_s

    start_s = run_virtual(work())
    recorded = [(type(each), each.fault, round(each.at_s - start_s, 2)) for each in fleet.history.records]
    assert recorded == [
        (FaultBegan, "limit_worker", 0.0),
        (FaultEnded, "limit_worker", 1.0),
        (FaultBegan, "silence_worker", 1.0),
        (FaultEnded, "silence_worker", 2.0),
    ]
