"""Whether a back end refuses the connections of other nodes too, by what they answer, over real links."""

import asyncio

import pytest

from tests.unit.serving.fakes import make_state
from wallwell.address import parse_address
from wallwell.cluster.peer_link import PeerServer
from wallwell.deployment.backends import BackendRecord
from wallwell.node.crash_probe import ConnectionResult
from wallwell.node.peer_checks import ConnectionCheckRequest, PeerChecks
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.peer_choice import MAX_WITNESSES, PeerNode

ACCEPTED, REFUSED, UNKNOWN = ConnectionResult
SILENT = None
"""A peer whose address nobody listens at."""
RECORD = BackendRecord("i-0", "svc", parse_address("10.0.0.0:80"), "z1", 8)


class Check:
    """Connections of one node that all have the same result."""

    def __init__(self, result):
        self._result = result

    async def connect(self, backend):
        return self._result


async def start_peer(name, result):
    """Start a peer whose connections to back ends have a result; return it and its server."""
    checks = PeerChecks(make_state(), Check(result), lambda: ())
    server = PeerServer({ConnectionCheckRequest: checks.answer_peer})
    await server.start("127.0.0.1", 0)
    peer = PeerNode(name, "z2", parse_address(server.address))
    if result is SILENT:
        server.close()
    return peer, server


@pytest.mark.parametrize(
    ("results", "refuses"),
    [
        ([], None),
        ([REFUSED], True),
        ([ACCEPTED], False),
        ([UNKNOWN], None),
        ([SILENT], None),
        ([REFUSED, REFUSED, REFUSED], True),
        ([REFUSED, UNKNOWN, SILENT], True),
        ([REFUSED, ACCEPTED, REFUSED], False),
    ],
)
def test_a_back_end_refuses_peers_if_one_is_refused_and_none_accepted(run_async, results, refuses):
    async def work():
        started = [await start_peer(f"n{number}", result) for number, result in enumerate(results, 2)]
        checks = PeerChecks(make_state(), Check(REFUSED), lambda: [peer for peer, _ in started])
        answer = await checks.refuses_peers(Backend(RECORD))
        for _, server in started:
            server.close()
        return answer

    assert run_async(work()) is refuses


@pytest.mark.parametrize(
    ("incarnation", "started_unix_ms", "expected"),
    [("i-0", None, ACCEPTED), ("i-0", 7, UNKNOWN), ("gone", None, UNKNOWN)],
    ids=["listed", "another start", "not listed"],
)
def test_a_peer_answers_for_the_start_that_it_lists(run_async, incarnation, started_unix_ms, expected):
    async def work():
        checks = PeerChecks(make_state(), Check(ACCEPTED), lambda: ())
        return (await checks.answer_peer(ConnectionCheckRequest(incarnation, started_unix_ms))).result

    assert run_async(work()) is expected


def test_peers_are_asked_together(run_async):
    """Peers whose machines are gone may not delay the answer beyond one time-out."""

    async def work():
        asked, peers, servers = [], [], []
        answering = PeerChecks(make_state(), Check(REFUSED), lambda: ())

        async def answer(request):
            asked.append(request)
            while len(asked) < MAX_WITNESSES:
                await asyncio.sleep(0.001)
            return await answering.answer_peer(request)

        for number in range(MAX_WITNESSES):
            servers.append(PeerServer({ConnectionCheckRequest: answer}))
            await servers[-1].start("127.0.0.1", 0)
            peers.append(PeerNode(f"n{number}", "z2", parse_address(servers[-1].address)))
        refuses = await PeerChecks(make_state(), Check(REFUSED), lambda: peers).refuses_peers(Backend(RECORD))
        for server in servers:
            server.close()
        return refuses

    assert run_async(work())
