"""A router process beside odd rows, machines, messages and requests: ready, serving, and ended only by its signal.

Guards against a node that is never ready beside a row written again and again, a process that ends by itself, and
errors that reach the log as text instead of events.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys

import aiohttp
import pytest

from tests.contract.test_process import commit_files, free_port, run_command
from tests.unit.standalone.hostile_values import HOSTILE_JSON, ODD_ADDRESSES, PACKED, hostile_documents, sample
from wallwell.emulator.deployment import EmulatedBackend
from wallwell.emulator.platform_server import PlatformServer
from wallwell.emulator.service_server import ServiceServer
from wallwell.events import Event
from wallwell.standalone.cluster import messages as msg
from wallwell.standalone.cluster.codec import LineCodec
from wallwell.standalone.machines import MachineState
from wallwell.storage.table import Put, Transaction

KEY = "a-key-for-the-cluster"
READY_S = 6.0
"""Seconds in which a router is ready on a busy machine; alone it takes about one."""
SETTINGS = """
node: n1
zone: stockholm-a
region: sweden
operator_token: a-token-for-operators
cluster: {{key: {key}, seeds: ["127.0.0.1:9"], sync_interval_s: 0.05, budget_bytes_per_s: 10000000}}
platform: {{table: "{url}", machines: "{url}"}}
callers_listener: {{port: {port}}}
cluster_listener: {{port: {cluster_port}}}
"""
SIGNAL_LINE = "Interrupt signal received, shutting down..."
"""What aiomisc prints as the process is told to stop: the one line that is no event."""
ODD_ROWS = ("config/file/zone/odd", "config/file/tenant/odd", "config/other", "config/")


async def write_odd_rows(table):
    """Write odd rows again and again until cancelled, as another writer does with each of its heartbeats."""
    while True:
        for key in ODD_ROWS:
            for value in HOSTILE_JSON[:8]:
                table.transact(Transaction(puts=(Put(key, value),)))
        await asyncio.sleep(0.2)


async def until_ready(session, port):
    async with asyncio.timeout(READY_S):
        while True:
            try:
                async with session.get(f"http://127.0.0.1:{port}/readyz") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


def odd_messages():
    """Yield each kind of message with hostile values, and members and regions at odd addresses, signed."""
    codec = LineCodec(KEY)
    strings = {"stored": PACKED, "removed": PACKED, "hashes": PACKED}
    for number, address in enumerate(ODD_ADDRESSES):
        record = msg.MemberRecord(f"odd-{number}", address, "z", 1, 1)
        yield codec.encode(msg.SyncReply(0, "odd", 0, records=(record,)))
        summary = msg.RegionSummary(f"odd-{number}", 1, 0, (address,))
        yield codec.encode(msg.RegionExchange((summary,), wants_answer=True))
    for kind in (msg.SyncReply, msg.RegionExchange, msg.IndirectProbe, msg.BlockReport, msg.Lookup):
        for payload in list(hostile_documents(sample(kind, strings)))[::7]:
            yield codec._mac(payload) + b" " + payload
    yield b"\xff" * 2000


async def send_odd_messages(port):
    """Send them with pauses, so that none is lost in the node's full receive buffer."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for message in odd_messages():
            sender.sendto(message, ("127.0.0.1", port))
            await asyncio.sleep(0.002)


async def until_synced_with(port):
    """Join as a member and return once the node, which must still gossip for that, syncs with it by itself."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.1", 0))
        peer.setblocking(False)
        address = f"127.0.0.1:{peer.getsockname()[1]}"
        record = msg.MemberRecord("sound", address, "z", 1, 1)
        peer.sendto(LineCodec(KEY).encode(msg.SyncReply(0, "sound", 0, records=(record,))), ("127.0.0.1", port))
        async with asyncio.timeout(READY_S):
            while True:
                line = await asyncio.get_running_loop().sock_recv(peer, 65536)
                if isinstance(LineCodec(KEY).decode(line), msg.Sync):
                    return


async def call(session, port):
    url, headers = f"http://127.0.0.1:{port}/orders/pickup-notices", {"Authorization": "Bearer test"}
    async with session.post(url, headers=headers) as response:
        return response.status


def test_a_router_starts_serves_and_stops_beside_odd_inputs(tmp_path, run_async):
    async def scenario():
        service, platform = EmulatedBackend(ServiceServer("o1", work_s=0.0)), EmulatedBackend(PlatformServer())
        await platform.start()
        commit_files(platform.server.table, await service.start())
        platform.server.machines = dict.fromkeys(ODD_ADDRESSES, MachineState.LEAVING) | {"127.0.0.1:9": 5}
        writer = asyncio.create_task(write_odd_rows(platform.server.table))
        await asyncio.sleep(0)
        port, cluster_port = free_port(), free_port()
        path = tmp_path / "node.yaml"
        url = f"http://{platform.address}"
        path.write_text(SETTINGS.format(key=KEY, url=url, port=port, cluster_port=cluster_port))
        command = [sys.executable, "-m", "wallwell.cli.main", "router", "--settings", str(path)]
        process = await asyncio.create_subprocess_exec(
            *command, stderr=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.DEVNULL
        )
        log = asyncio.create_task(process.stderr.read())
        try:
            async with aiohttp.ClientSession() as session:
                await until_ready(session, port)
                await send_odd_messages(cluster_port)
                statuses = [await call(session, port) for _ in range(5)]
                await until_synced_with(cluster_port)
                statuses.append(await call(session, port))
            process.terminate()
            code = await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
            writer.cancel()
            await platform.stop()
            await service.stop()
        return statuses, code, (await log).decode()

    statuses, code, log = run_async(scenario())
    assert statuses == [200] * 6
    assert code == 0
    lines = log.splitlines()
    assert [line for line in lines if not line.startswith("{")] == [SIGNAL_LINE]  # No raw traceback.
    events = [json.loads(line) for line in lines if line != SIGNAL_LINE]
    numbers = [each["event"] for each in events]
    assert not {Event.INTERNAL_ERROR.number, Event.TASK_FAILED.number} & set(numbers)
    found = [each for each in events if each["event"] == Event.ENTRY_UNREADABLE.number]
    unreadable = [(each["source"], each["key"]) for each in found]
    sources = {source for source, _ in unreadable}
    assert sources >= {"table of the configuration", "machine list", "members in gossip"}
    machines = [key for source, key in unreadable if source == "machine list"]
    assert len(machines) == len(set(machines))  # Told once, not with each read of the list.


@pytest.mark.parametrize("content", [b"node: 2001-99-99\n", b"\xff\xfe"], ids=repr)
def test_a_hostile_settings_file_ends_the_start_with_status_2_and_no_traceback(tmp_path, content):
    path = tmp_path / "node.yaml"
    path.write_bytes(content)
    result = run_command("router", "--settings", path, "--node", "n", "--callers-port", "0")
    assert result.returncode == 2
    assert "WW1001" in result.stderr
    assert "Traceback" not in result.stderr
