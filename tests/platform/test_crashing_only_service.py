"""A request that crashes all back ends of the only service, so that a node reaches none that it could compare.

Guards against such a request being sent on without end: the nodes took the refused connections for a failure of
their own links, and each start was ended again before it was listed.
"""

from __future__ import annotations

import asyncio

from tests.platform.conftest import config, route
from tests.platform.crashing_fleet import CrashingFleet, run_on_fleet
from tests.platform.test_crashing_request import (
    CONTACT_S,
    CRASHING,
    HARMLESS,
    MIN_CRASHES,
    RequestCrashingWorker,
    most_crashes,
)
from tests.platform.test_partitioned_nodes import WorkerLinks

WORKERS = 2
STAYS_DOWN_S = 20.0
"""Seconds until a worker is back: longer than a test takes, as if it were ended again before it is listed."""
CALLS = config(routes=[route(kind="safe", attempts=WORKERS)])


BACK_AFTER_S = 1.0
"""Seconds after which a worker is back at its address, in tests in which it is."""
RETRIES = 10


class FleetOfOneService(CrashingFleet):
    """Three nodes and two workers, which stay away once they have crashed."""

    def __init__(self):
        super().__init__(RequestCrashingWorker, workers=WORKERS, replaced_after_s=STAYS_DOWN_S)

    def _replace(self, worker):
        """Leave the crashed worker's entry listed."""
        return asyncio.sleep(STAYS_DOWN_S)

    async def until_members_are_known(self):
        await self.until(lambda: all(len(node.state.members) == len(self.nodes) for node in self.nodes))


def test_crashes_of_all_back_ends_of_the_only_service_are_counted(run_async):
    async def scenario(fleet):
        await fleet.until_members_are_known()
        await fleet.send(fleet.ports[0], CRASHING, "crash")
        assert fleet.crashes == WORKERS
        await fleet.until(lambda: all(most_crashes(node) == WORKERS for node in fleet.nodes), CONTACT_S)

    run_on_fleet(run_async, FleetOfOneService(), CALLS, scenario)


class UnlistedStarts(FleetOfOneService):
    """The workers are back soon, at their addresses and under their identities; the entries never say so."""

    async def _replace(self, worker):
        await asyncio.sleep(BACK_AFTER_S)
        host, _, port = worker.address.rpartition(":")
        successor = RequestCrashingWorker(self, worker.incarnation)
        await successor.start(host, int(port))
        self.workers.append(successor)


def test_request_that_crashes_starts_before_they_are_listed_reaches_few(run_async):
    async def scenario(fleet):
        await fleet.until_members_are_known()
        statuses = []
        for number in range(RETRIES):
            statuses.append(await fleet.send(fleet.ports[number % len(fleet.ports)], CRASHING, f"crash-{number}"))
            await asyncio.sleep(BACK_AFTER_S / 2)
        return statuses[-1], fleet.crashes

    status, crashes = run_on_fleet(run_async, UnlistedStarts(), CALLS, scenario)
    assert status == 503
    assert MIN_CRASHES <= crashes <= MIN_CRASHES + 1, "the third crash and the same request's next attempt"


def test_crash_of_an_unlisted_start_counts_if_a_peer_made_the_attempt(run_async):
    async def scenario(fleet):
        await fleet.until_members_are_known()
        await fleet.send(fleet.ports[1], CRASHING, "crash-1")
        await fleet.until(lambda: all(most_crashes(node) == WORKERS for node in fleet.nodes), CONTACT_S)
        WorkerLinks(fleet.node).cut("refuses")
        async with asyncio.timeout(CONTACT_S):
            while await fleet.send(fleet.ports[0], HARMLESS, "calm") != 200:
                await asyncio.sleep(0.05)
        await fleet.send(fleet.ports[0], CRASHING, "crash-2")
        assert fleet.crashes > WORKERS
        await fleet.until(lambda: all(most_crashes(node) >= MIN_CRASHES for node in fleet.nodes), CONTACT_S)

    run_on_fleet(run_async, UnlistedStarts(), CALLS, scenario)


def test_node_whose_own_links_are_refused_counts_no_crash(run_async):
    """The peers that it asks reach the back ends, so that their refusals show no crash."""

    async def scenario(fleet):
        await fleet.until_members_are_known()
        links = WorkerLinks(fleet.node)
        runs = [asyncio.create_task(fleet.send(fleet.ports[0], b"slow", f"first slow-{n}")) for n in range(4)]
        await fleet.until(lambda: fleet.node.in_flight == len(runs))
        await asyncio.sleep(0.1)
        links.cut("resets")
        await asyncio.gather(*runs)
        await asyncio.sleep(1.0)
        served = await fleet.send(fleet.ports[0], HARMLESS, "calm")
        return served, [each.crashed_at_s for node in fleet.nodes for each in node.state.backends.all_backends()]

    served, crashed = run_on_fleet(run_async, FleetOfOneService(), CALLS, scenario)
    assert (served, set(crashed)) == (200, {None})
