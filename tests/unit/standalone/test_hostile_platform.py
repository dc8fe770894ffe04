"""Answers of the platform's services with hostile values: one odd entry costs itself, an odd answer is no answer.

Guards against an error that no reader expects, and against one entry for which a whole list is not read.
"""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import pytest
from aiohttp import web

from tests.unit.standalone.hostile_values import DEEP, LONG_DIGITS, ODD_ADDRESSES, hostile_documents
from wallwell.errors import PlatformUnavailableError
from wallwell.standalone.machines import HttpMachineList, Machine, MachineState
from wallwell.standalone.table_client import Commit, HttpTableService
from wallwell.storage.table import Row, Scan, Transaction

SOUND = Machine("10.0.0.1:1", MachineState.LEAVING)
SOUND_ROW = Row("config/file/zone/a", "{}", 3)
TIMEOUT_S = 5.0


class Platform:
    """Answers each request with the bytes that are set."""

    async def __aenter__(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        url = f"http://127.0.0.1:{self._runner.addresses[0][1]}"
        self._session = aiohttp.ClientSession()
        self.table = HttpTableService(url, self._session, TIMEOUT_S)
        self.machines = HttpMachineList(url, self._session, TIMEOUT_S)
        self.body = b""
        return self

    async def __aexit__(self, *_):
        await self._session.close()
        await self._runner.cleanup()

    async def _answer(self, _request):
        return web.Response(body=self.body)


def sound_json(entry):
    return msgspec.json.encode(entry)


def is_nested(document):
    """Whether the whole list is too deep to be split into its entries."""
    return DEEP.encode() in document


def test_an_odd_entry_of_the_machine_list_costs_itself_alone(run_async):
    """The error of the decoder ended the loop that reads the list; no leaving machine was known any more."""

    async def scenario():
        async with Platform() as platform:
            for document in hostile_documents(SOUND):
                platform.body = b"[%s,%s]" % (document, sound_json(SOUND))
                try:
                    machines = await platform.machines.read()
                except PlatformUnavailableError:
                    assert is_nested(document) or not is_json(document)
                else:
                    assert SOUND in machines

    run_async(scenario())


def is_json(document):
    try:
        msgspec.json.decode(document, type=msgspec.Raw)
    except (msgspec.DecodeError, RecursionError):
        return False
    return True


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=ascii)
def test_a_machine_whose_address_is_none_costs_itself_alone(address, run_async):
    async def scenario():
        async with Platform() as platform:
            platform.body = sound_json([Machine(address, MachineState.LEAVING), SOUND])
            assert await platform.machines.read() == [SOUND]

    run_async(scenario())


def test_an_odd_row_of_a_scan_costs_itself_alone(run_async):
    """One row of an odd type made the whole scan undecodable, and a node that starts was never ready."""

    async def scenario():
        async with Platform() as platform:
            for document in hostile_documents(SOUND_ROW):
                platform.body = b'{"commit":9,"rows":[%s,%s]}' % (document, sound_json(SOUND_ROW))
                try:
                    scan = await platform.table.scan("", 0)
                except PlatformUnavailableError:
                    assert is_nested(document) or not is_json(document)
                else:
                    assert SOUND_ROW in scan.rows
                    assert scan.commit == 9

    run_async(scenario())


def test_an_odd_answer_of_the_table_is_no_answer(run_async):
    async def scenario():
        async with Platform() as platform:
            calls = [
                (SOUND_ROW, lambda: platform.table.get("k")),
                (Commit(1), lambda: platform.table.transact(Transaction())),
                (Scan(1, (SOUND_ROW,)), lambda: platform.table.scan("", 0)),
                ([SOUND], platform.machines.read),
            ]
            for sound, call in calls:
                refused = 0
                for document in hostile_documents(sound):
                    platform.body = document
                    try:
                        await call()
                    except PlatformUnavailableError:
                        refused += 1
                assert refused > 0

    run_async(scenario())


@pytest.mark.parametrize("host", ["..", "a" * 64, "127.0.0.1:99999", f"127.0.0.1:{LONG_DIGITS}", ""])
def test_a_service_at_what_is_no_host_is_unavailable(host, run_async):
    """The host name's UnicodeError was no error that anybody expected."""

    async def scenario():
        async with aiohttp.ClientSession() as session, asyncio.timeout(10):
            with pytest.raises(PlatformUnavailableError):
                await HttpTableService(f"http://{host}", session, TIMEOUT_S).get("k")
            with pytest.raises(PlatformUnavailableError):
                await HttpMachineList(f"http://{host}", session, TIMEOUT_S).read()

    run_async(scenario())
