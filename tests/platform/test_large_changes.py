"""More changed rows than one answer may hold: all rows are then read in pages, and the follower goes on.

The store limits the pages of a whole reading, but answers all changes since a version at once. Entries of another
writer that change together made that answer too large for a node, which asked for the same changes for ever: no
back end that came or left afterwards was noticed.
"""

import asyncio
import random

from tests.unit.storage.memory_rows import Mirror
from wallwell.address import parse_address
from wallwell.deployment.freshness import StoreClock
from wallwell.emulator.platform_store import PlatformStoreEmulator
from wallwell.http_connection import MAX_FETCHED_BYTES
from wallwell.platform.store import PlatformStore, TableRows
from wallwell.storage.feed import RowFollower

ROW_BYTES = 60_000
"""Bytes of a value; the platform's stores take 64 KiB."""
ROWS = MAX_FETCHED_BYTES // ROW_BYTES + 1
PAGE_ROWS = 12
"""Rows of that size which the store answers in a page of 1 MB."""


async def follow_large_changes():
    store = PlatformStoreEmulator(page_rows=PAGE_ROWS)
    await store.start()
    client, mirror = PlatformStore(parse_address(store.address)), Mirror()
    store.put("servers", "leaving", "{}")
    follower = RowFollower(
        "backends", TableRows(client, "servers"), mirror.apply, 0.2, StoreClock(), random.Random(1)
    )
    await follower.read_once()
    for number in range(ROWS):
        store.put("servers", f"odd-{number}", "x" * ROW_BYTES)
    store.put("servers", "leaving", None)
    store.put("servers", "coming", "{}")
    following = asyncio.create_task(follower.run())
    try:
        async with asyncio.timeout(10):
            while "coming" not in mirror.rows:
                await asyncio.sleep(0.05)
        return mirror.rows
    finally:
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)
        client.close()
        await store.stop()


def test_rows_behind_changes_that_are_too_large_for_one_answer_are_read():
    rows = asyncio.run(follow_large_changes())
    assert rows["coming"] == b"{}" and "leaving" not in rows
    assert len(rows) == ROWS + 1
