"""The product as processes: settings, exit statuses and signals."""

import asyncio
import signal
import socket
import subprocess
import sys

import aiohttp
import msgspec
import pytest
import yaml

from tests.conftest import EXAMPLES
from tests.faulty_table import FaultyTable
from wallwell.emulator.deployment import EmulatedBackend
from wallwell.emulator.platform_server import PlatformServer
from wallwell.emulator.service_server import ServiceServer
from wallwell.standalone.config.commit import ApplyRequest, ConfigCommitter
from wallwell.standalone.config.store import ConfigStore
from wallwell.standalone.settings import NodeSettings, load_settings

SETTINGS = """
node: {node}
zone: stockholm-a
region: sweden
operator_token: a-token-for-operators
cluster: {{key: a-key-for-the-cluster}}
platform: {{table: "http://{platform}"}}
limits: {{stop_grace_s: 20}}
callers_listener: {{port: {port}}}
"""
FILES = {
    "zone": "kind: zone\nname: stockholm-a\nspec: {region: sweden}\n",
    "service": """kind: service
name: orders
spec:
  timeout_ms: 10000
  instances: [{name: o1, address: "ADDRESS", zone: stockholm-a}]
""",
    "tenant": """kind: tenant
name: t
spec:
  token_sha256: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]
  services: [orders]
""",
}


def run_command(*arguments):
    command = [sys.executable, "-m", "wallwell.cli.main", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


def test_bad_settings_are_all_listed_and_the_exit_status_is_2(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text("node: a\nzone: 5\nregion: r\nunknown: 1\ncluster: {key: short, sync_interval_s: -1}\n")
    result = run_command("router", "--settings", path)
    assert result.returncode == 2
    for expected in (
        "unknown (line 4): unknown_key",
        "`operator_token` is required",
        "zone (line 2)",
        "sync_interval_s",
    ):
        assert expected in result.stderr
    assert "WW1001" in result.stderr


def test_check_finds_nothing_in_the_examples_and_lists_what_is_wrong_elsewhere(tmp_path):
    assert run_command("check", EXAMPLES / "pharmacy").returncode == 0
    assert run_command("check", EXAMPLES / "huts").returncode == 0
    (tmp_path / "a.yaml").write_text("kind: tenant\nname: t\nspec: {token_sha256: [], models: [none], rate: 1}\n")
    (tmp_path / "b.yaml").write_text("kind: zone\nname: z\nspec: {}\n")
    result = run_command("check", tmp_path)
    assert result.returncode == 2
    assert "rate" in result.stderr and "`region` is required" in result.stderr


def test_the_example_settings_name_every_option():
    load_settings(EXAMPLES / "node.yaml")
    document = yaml.safe_load((EXAMPLES / "node.yaml").read_text())

    def check(struct, value, path):
        for field in msgspec.structs.fields(struct):
            assert field.name in value, f"{path}{field.name} is not documented"
            if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
                check(field.type, value[field.name], f"{path}{field.name}.")

    check(NodeSettings, document, "")


class RouterProcess:
    """A router as an operator starts it."""

    def __init__(self, tmp_path, platform, port):
        self.port = port
        self.path = tmp_path / "node.yaml"
        self.path.write_text(SETTINGS.format(node="n1", platform=platform, port=port))

    async def start(self):
        command = [sys.executable, "-m", "wallwell.cli.main", "router", "--settings", str(self.path)]
        self.process = await asyncio.create_subprocess_exec(
            *command, stderr=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.DEVNULL
        )
        async for line in self.process.stderr:
            if b"node is ready" in line:
                break
        # Keep the pipe empty, so that logging never blocks the router.
        self.reader = asyncio.create_task(self.process.stderr.read())

    async def stop(self, signals=1, pause_s=0.3):
        for _ in range(signals):
            self.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(pause_s)
        return await self.process.wait()


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


async def with_router(tmp_path, scenario):
    platform, service = EmulatedBackend(PlatformServer()), EmulatedBackend(ServiceServer("o1", work_s=1.5))
    await platform.start()
    address = await service.start()
    table = platform.server.table
    commit_files(table, address)
    router = RouterProcess(tmp_path, platform.address, free_port())
    await router.start()
    try:
        async with aiohttp.ClientSession() as session:
            return await scenario(router, session, service.server)
    finally:
        if router.process.returncode is None:
            router.process.kill()
        router.reader.cancel()
        await platform.stop()
        await service.stop()


def commit_files(table, address):
    """Write the configuration as a node that accepted it would have."""
    store = ConfigStore()
    committer = ConfigCommitter(FaultyTable(table), store, store.apply)
    for name, body in FILES.items():
        work = committer.apply(ApplyRequest(name, "op", body.replace("ADDRESS", address)))
        with pytest.raises(StopIteration):
            work.send(None)


def test_sigterm_finishes_open_requests_and_exits_0(tmp_path, run_async):
    async def scenario(router, session, service):
        url = f"http://127.0.0.1:{router.port}/orders/pickup-notices"
        headers = {"Authorization": "Bearer test"}
        call = asyncio.create_task(session.post(url, headers=headers))
        while not service.journal:
            await asyncio.sleep(0.01)
        status = asyncio.create_task(router.stop())
        response = await call
        return response.status, response.headers["X-Outcome"], await status

    assert run_async(with_router(tmp_path, scenario)) == (200, "completed", 0)


def test_a_second_signal_ends_the_process_at_once(tmp_path, run_async):
    async def scenario(router, session, service):
        service.faults.set(slow_s=15.0)
        url = f"http://127.0.0.1:{router.port}/orders/pickup-notices"
        call = asyncio.create_task(session.post(url, headers={"Authorization": "Bearer test"}))
        await asyncio.sleep(0.3)
        async with asyncio.timeout(5):
            status = await router.stop(signals=2)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        return status

    assert run_async(with_router(tmp_path, scenario)) != 0
