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
from aiohttp import web

from tests.conftest import EXAMPLES
from tests.faulty_table import FaultyTable
from tests.platform.test_readiness_in_a_stop import NOT_READY, checks_until
from wallwell.answer_bounds import MAX_ANSWER_BYTES
from wallwell.emulator.deployment import EmulatedBackend
from wallwell.emulator.platform_server import PlatformServer
from wallwell.emulator.service_server import ServiceServer
from wallwell.standalone.backends.engine_protocol import REQUEST_ID
from wallwell.standalone.config.commit import ApplyRequest, ConfigCommitter
from wallwell.standalone.config.store import ConfigStore
from wallwell.standalone.router_node import CLOSE_S, STOP_NOTICE_S
from wallwell.standalone.settings import NodeSettings, load_settings

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Bytes that the system holds for a caller that does not read."""
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


async def with_router(tmp_path, scenario, service_server=None):
    service = EmulatedBackend(service_server or ServiceServer("o1", work_s=1.5))
    platform = EmulatedBackend(PlatformServer())
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


def test_a_stopping_router_says_that_it_is_not_ready_until_it_closes_its_connections(tmp_path, run_async):
    """Guards against a check of a load balancer that times out, or finds the router ready, during a stop."""
    work_s = STOP_NOTICE_S + 1.0
    service = ServiceServer("o1", work_s)

    async def scenario(router, session, _service):
        url = f"http://127.0.0.1:{router.port}/orders/pickup-notices"
        call = asyncio.create_task(session.post(url, headers={"Authorization": "Bearer test"}))
        while not service.journal:
            await asyncio.sleep(0.01)
        status = asyncio.create_task(router.stop())
        await asyncio.sleep(0.1)
        answered = asyncio.Event()
        checking = asyncio.create_task(checks_until(answered, router.port, "/readyz"))
        code = (await call).status
        answered.set()
        checks = await checking
        checks.pop()  # It may have crossed the end of the connections.
        return code, {line for _, line in checks}, await status

    assert run_async(with_router(tmp_path, scenario, service)) == (200, {NOT_READY}, 0)


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


def test_a_call_with_a_key_that_outlives_the_stop_is_never_run_again(tmp_path, run_async):
    """Guards against a claim that a stop releases while its call may still run."""
    service = ServiceServer("o1", work_s=3.0)

    async def scenario(router, session, _service):
        await router.stop()
        router.path.write_text(router.path.read_text().replace("stop_grace_s: 20", "stop_grace_s: 0.2"))
        await router.start()
        url = f"http://127.0.0.1:{router.port}/orders/pickup-notices"
        headers = {"Authorization": "Bearer test", "Idempotency-Key": "k1"}
        call = asyncio.create_task(session.post(url, headers=headers))
        while not service.journal:
            await asyncio.sleep(0.01)
        assert await router.stop() == 0
        first = await call
        await router.start()
        second = await session.post(url, headers=headers)
        return [(each.status, each.headers["X-Outcome"]) for each in (first, second)], len(service.journal)

    unknown = (504, "unknown")
    assert run_async(with_router(tmp_path, scenario, service)) == ([unknown, unknown], 1)


class LongAnswers(ServiceServer):
    """Answers each call with as many bytes as the router passes on."""

    async def _handle(self, request):
        answer = await super()._handle(request)
        headers = {REQUEST_ID: answer.headers[REQUEST_ID]}
        return web.Response(body=b"x" * MAX_ANSWER_BYTES, headers=headers)


def test_long_answers_are_not_cut_by_a_stop_that_has_time_left(tmp_path, run_async):
    """The stop took a call as ended once its answer was at hand, and cut what had not left it a second on."""
    call = (
        b"POST /orders/pickup-notices HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer test\r\n"
        b"Content-Length: 2\r\n\r\n{}"
    )
    service = LongAnswers("o1", work_s=0.0)

    async def scenario(router, _session, _service):
        reader, writer = await slow_connection(router.port)
        # The system holds much of what is not read: the second answer is for what the first one leaves.
        writer.write(call + call)
        await asyncio.sleep(1.0)
        status = asyncio.create_task(router.stop())
        await asyncio.sleep(STOP_NOTICE_S + CLOSE_S + 1.0)
        answers = [await read_answer(reader), await read_answer(reader)]
        writer.close()
        return answers, await status

    answers, status = run_async(with_router(tmp_path, scenario, service))
    assert answers[0] == (200, MAX_ANSWER_BYTES)
    assert [code for code, _ in answers].count(200) == len(service.journal)
    assert (answers[1][0] in (200, 503), status) == (True, 0)


async def slow_connection(port):
    """Return the streams of a connection whose caller's side holds little that is not read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return await asyncio.open_connection(sock=sock, limit=RECEIVE_BUFFER_BYTES)


async def read_answer(reader):
    """Return the status of an answer and the length of its body; raises EOFError or OSError if it is cut."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.partition("content-length: ")[2].split()[0])
    await reader.readexactly(length)
    return int(head.split()[1]), length
