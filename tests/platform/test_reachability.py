"""Probes of whether a back end's machine answers a new connection, and the later use of that connection."""

import asyncio

import pytest

from wallwell.address import parse_address
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.topology import Topology
from wallwell.http_connection import ConnectFailedError
from wallwell.platform.worker_client import make_worker_pool
from wallwell.platform.worker_probes import OTHER_REGION_TIMEOUT_S, SAME_REGION_TIMEOUT_S, WorkerProbes


@pytest.fixture
def patient(monkeypatch):
    """Set a probe timeout long enough that a busy test machine does not cause failures."""
    monkeypatch.setattr("wallwell.platform.worker_probes.SAME_REGION_TIMEOUT_S", 30.0)


def record(address):
    return BackendRecord("i-1", "svc", address, "z", 8)


def test_machine_that_answers_is_reachable_and_its_connection_is_reused(run_async, patient):
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()

    async def work():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = parse_address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        pool = make_worker_pool()
        assert await WorkerProbes(pool).is_reachable(record(address))
        answer = await pool.fetch(address, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 5.0)
        pool.close()
        for writer in connections:
            writer.close()
        server.close()
        return answer

    assert run_async(work()) == (200, b"ok")
    assert len(connections) == 1


def test_machine_that_refuses_a_connection_is_reachable(run_async, patient):
    async def work():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        address = parse_address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        server.close()
        await server.wait_closed()
        return await WorkerProbes(make_worker_pool()).is_reachable(record(address))

    assert run_async(work())


@pytest.mark.parametrize(("timed_out", "reachable"), [(True, False), (False, True)])
def test_only_a_connect_timeout_means_unreachable(run_async, monkeypatch, timed_out, reachable):
    pool = make_worker_pool()
    asked = []

    async def fail(address, timeout_s):
        asked.append((address, timeout_s))
        raise ConnectFailedError(timed_out, "scripted")

    monkeypatch.setattr(pool, "open_idle", fail)
    assert run_async(WorkerProbes(pool).is_reachable(record("10.0.0.1:80"))) is reachable
    assert asked == [("10.0.0.1:80", SAME_REGION_TIMEOUT_S)]


@pytest.mark.parametrize(
    ("zone", "timeout_s"),
    [("z", SAME_REGION_TIMEOUT_S), ("far", OTHER_REGION_TIMEOUT_S), ("new", SAME_REGION_TIMEOUT_S)],
)
def test_probe_timeout_depends_on_the_region(run_async, monkeypatch, zone, timeout_s):
    pool = make_worker_pool()
    probes = WorkerProbes(pool, Topology("z", {"z": "east", "far": "west"}))
    waited = []

    async def open_idle(address, limit_s):
        waited.append(limit_s)

    monkeypatch.setattr(pool, "open_idle", open_idle)
    assert run_async(probes.is_reachable(BackendRecord("i-1", "svc", parse_address("10.0.0.1:1"), zone, 8)))
    assert waited == [timeout_s]


def test_only_a_refused_connection_means_that_the_process_has_ended(run_async, patient):
    """A process that accepts and resets has not ended; one whose port refuses connections has."""

    async def work():
        server = await asyncio.start_server(lambda reader, writer: writer.transport.abort(), "127.0.0.1", 0)
        address = parse_address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        pool = make_worker_pool()
        accepts = await WorkerProbes(pool).refuses_connections(record(address))
        server.close()
        await server.wait_closed()
        while pool.has_idle(address):  # Until the reset has been read.
            await asyncio.sleep(0.005)
        ended = await WorkerProbes(pool).refuses_connections(record(address))
        pool.close()
        return accepts, ended

    assert run_async(work()) == (False, True)


def test_idle_connection_makes_a_new_connection_unnecessary(run_async, patient):
    accepted = []

    async def work():
        server = await asyncio.start_server(lambda reader, writer: accepted.append(writer), "127.0.0.1", 0)
        address = parse_address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        pool = make_worker_pool()
        refused = [await WorkerProbes(pool).refuses_connections(record(address)) for _ in range(3)]
        pool.close()
        for writer in accepted:
            writer.close()
        server.close()
        return refused

    assert run_async(work()) == [False] * 3
    assert len(accepted) == 1


@pytest.mark.parametrize("timed_out", [True, False])
def test_timeouts_and_other_failures_are_not_refusals(run_async, monkeypatch, timed_out):
    pool = make_worker_pool()

    async def fail(address, timeout_s):
        raise ConnectFailedError(timed_out, "scripted")

    monkeypatch.setattr(pool, "open_idle", fail)
    assert not run_async(WorkerProbes(pool).refuses_connections(record("10.0.0.1:80")))
