"""How a node learns that a listed start of a back end has crashed: by its own probes, rows, and reports of peers.

Guards against streams that go on at the next start of a back end while the entry of the start before is listed.
"""

import asyncio

import pytest

from tests.unit.node.watched_node import PROBED_S, REFUSED, FakeCheck, WatchedNode
from tests.virtual_time import run_virtual


def probe(node):
    node.watch.on_broken_run("c", node.backend())


def read_row(node):
    node.read_row("c", "i-0")


def hear_of_it(node):
    node.watch.on_peer_report(("c", "i-0"))


@pytest.mark.parametrize("learn", [probe, read_row, hear_of_it], ids=lambda each: each.__name__)
def test_node_knows_the_crash_of_a_listed_start(learn):
    async def work():
        node = WatchedNode()
        learn(node)
        await asyncio.sleep(PROBED_S)
        return [node.backend(number).crashed_at_s is not None for number in (0, 1)]

    assert run_virtual(work()) == [True, False]


@pytest.mark.parametrize(
    "check",
    [FakeCheck(not REFUSED), FakeCheck(REFUSED, reaches_others=False)],
    ids=["the back end answers", "the node has lost its links"],
)
def test_broken_attempt_alone_is_no_crash(check):
    """Guards against streams that may go on nowhere since many connections were reset."""

    async def work():
        node = WatchedNode(check)
        probe(node)
        await asyncio.sleep(PROBED_S)
        return node.backend().crashed_at_s

    assert run_virtual(work()) is None


def test_deleted_row_says_nothing():
    async def work():
        node = WatchedNode()
        node.read_row("c", "i-0", value=None)
        return node.backend().crashed_at_s

    assert run_virtual(work()) is None
