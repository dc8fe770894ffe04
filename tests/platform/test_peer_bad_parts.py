"""Parts of prompts that crash back ends, when a peer makes the attempts of a node without links.

Guards against a peer that sends what it knows to crash back ends since the asking node does not know it yet, and
against crashes that neither node counts.
"""

from __future__ import annotations

import aiohttp
import pytest

from tests.platform.conftest import route
from tests.platform.test_peer_attempts import on_cut_node, requests_at
from tests.unit.serving.fakes import event
from wallwell.clock import boot_time_s
from wallwell.routing.admission.part_quarantine import CRASHES_TO_QUARANTINE, part_digest

ROUTES = [route("r-stream", "/stream/", "stream", attempts=1)]
PROMPT = {"X_Model": "m", "X_Token_Usage": "120,3", "X_Prefix_Hash": "aa:100,bad0:10,own:10"}
BAD = part_digest("bad0")


def quarantine_bad_part(node):
    for number in range(CRASHES_TO_QUARANTINE):
        happened_s = boot_time_s() - number
        node.state.part_quarantine.on_crash(BAD, f"gone-{number}", boot_time_s(), happened_s)


@pytest.mark.parametrize("knows", ["asking node", "peer"])
def test_nothing_is_sent_if_either_node_knows_the_part(on_platform, knows):
    async def scenario(harness, fleet):
        quarantine_bad_part(fleet.cut if knows == "asking node" else fleet.peer)
        status, _, _ = await harness.call("/stream/a", **PROMPT)
        return status, len(requests_at(harness))

    status, sent = on_cut_node(on_platform, scenario, ROUTES)
    assert status == 503 and sent == 0


def test_a_run_that_breaks_at_a_peer_makes_suspects_of_its_parts(on_platform):
    async def scenario(harness, fleet):
        for worker in harness.workers:

            async def crash_as_it_begins(request, worker=worker):
                response = await worker.begin_stream(request)
                await response.write(event(1))
                worker.crash()
                return response

            worker.respond = crash_as_it_begins
        async with harness.request("/stream/a", **PROMPT) as response:
            assert response.status == 200
            with pytest.raises(aiohttp.ClientError):
                await response.read()
        suspects = fleet.peer.state.part_quarantine
        await harness.until(lambda: suspects.suspect_count == 2)
        return {part for part, _ in suspects.crashes()}

    assert on_cut_node(on_platform, scenario, ROUTES) == {BAD, part_digest("aa")}
