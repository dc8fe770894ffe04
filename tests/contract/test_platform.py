"""Contracts of the table service and the machine list, client against stand-in, with their faults."""

import aiohttp
import pytest

from wallwell.emulator.deployment import EmulatedBackend
from wallwell.emulator.platform_server import PlatformServer
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.standalone.machines import HttpMachineList, Machine, MachineState
from wallwell.standalone.table_client import HttpTableService
from wallwell.storage.table import Condition, Put, Transaction


async def with_platform(scenario, **options):
    backend = EmulatedBackend(PlatformServer(**options))
    address = await backend.start()
    try:
        async with aiohttp.ClientSession() as session:
            table = HttpTableService(f"http://{address}", session, timeout_s=0.3)
            machines = HttpMachineList(f"http://{address}", session, timeout_s=0.3)
            return await scenario(backend.server, table, machines)
    finally:
        await backend.stop()


def put(key, value, version=None):
    conditions = () if version is None else (Condition(key, version),)
    return Transaction(conditions, (Put(key, value),))


def test_transactions_are_whole_or_nothing_and_versions_rise(run_async):
    async def scenario(_server, table, _machines):
        first = await table.transact(put("a", "1", version=0))
        with pytest.raises(TableConflictError):
            await table.transact(Transaction((Condition("a", 0),), (Put("a", "2"), Put("b", "2"))))
        second = await table.transact(Transaction((Condition("a", first),), (Put("b", "3"),), ("a",)))
        rows = await table.get("a"), (await table.get("b")).value
        return second > first, rows

    assert run_async(with_platform(scenario)) == (True, (None, "3"))


def test_a_scan_gives_what_changed_after_a_version(run_async):
    async def scenario(_server, table, _machines):
        first = await table.transact(put("p/a", "1"))
        await table.transact(put("q/x", "1"))
        await table.transact(put("p/b", "2"))
        scan = await table.scan("p/", first)
        return [row.key for row in scan.rows], scan.commit

    assert run_async(with_platform(scenario)) == (["p/b"], 3)


@pytest.mark.parametrize(
    ("switches", "takes_effect"),
    [({"down": True}, False), ({"slow_s": 1.0}, False), ({"lose_answers": 1}, True)],
    ids=["down", "slow", "answer lost after the effect"],
)
def test_faults_are_unavailable_whatever_became_of_the_write(run_async, switches, takes_effect):
    async def scenario(server, table, _machines):
        server.faults.set(**switches)
        with pytest.raises(PlatformUnavailableError):
            await table.transact(put("a", "1"))
        return "a" in server.table.rows

    assert run_async(with_platform(scenario)) is takes_effect


def test_the_rate_limit_is_unavailable(run_async):
    async def scenario(_server, table, _machines):
        refused = 0
        for _ in range(20):
            try:
                await table.get("a")
            except PlatformUnavailableError:
                refused += 1
        return refused > 0

    assert run_async(with_platform(scenario, calls_per_s=5.0))


def test_the_machine_list_and_its_absence(run_async):
    async def scenario(server, _table, machines):
        server.machines["10.0.0.1:9100"] = MachineState.LEAVING
        listed = await machines.read()
        server.faults.set(down=True)
        with pytest.raises(PlatformUnavailableError):
            await machines.read()
        return listed

    assert run_async(with_platform(scenario)) == [Machine("10.0.0.1:9100", MachineState.LEAVING)]
