"""A process exits within its grace period, whatever hangs: callers, workers, peers, the store or its own tasks."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from tests.platform.conftest import HOST, config, route
from tests.platform.fakes import FakeStore, FakeWorker
from tests.platform.router_process import ROOT, SETTINGS, START, free_ports, start_router, until_ready
from wallwell.clock import boot_time_s
from wallwell.events import Event
from wallwell.platform import stop_deadline
from wallwell.platform.stop_deadline import exit_within

GRACE_S = 3.0
HANGING_STOP = f"""
import asyncio, threading, time
from wallwell.node.node import FleetNode
async def ignore_cancellation():
    while True:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            pass
start = FleetNode.start
def start_more(self):
    start(self)
    self._tasks.append(asyncio.ensure_future(ignore_cancellation()))
FleetNode.start = start_more
{START}
"""
HANGING_THREAD = f"""
import threading, time
threading.Thread(target=time.sleep, args=(600,)).start()
{START}
"""
BLOCKED_LOOP = f"""
import time
from wallwell.node.node import FleetNode
async def stop(self):
    time.sleep(600)
FleetNode.stop = stop
{START}
"""
SLOW_EXIT = f"""
import sys, time
class SlowToTakeApart:
    def __del__(self):
        time.sleep(600)
sys.modules["wallwell.kept"] = SlowToTakeApart()
{START}
"""


class LifeWatch(threading.Thread):
    """Measures how long a process lives, and for how long it waits for a CPU meanwhile.

    On a busy machine the exit of a process may be reported seconds late, and a runnable process may get no CPU for
    a second. Neither is a fault of the router.
    """

    def __init__(self, pid):
        super().__init__(daemon=True)
        self._process = Path(f"/proc/{pid}")
        self.begun_s = boot_time_s()
        self._waited_before_s = self._waited_s()
        self.lived_s = 0.0
        """Seconds until the process was last seen alive."""
        self.waited_s = 0.0
        """Seconds of ``lived_s`` for which the thread that waited longest was runnable but had no CPU."""

    def run(self):
        while self._is_alive():
            self.lived_s = boot_time_s() - self.begun_s
            before_s = self._waited_before_s
            waits_s = [waited_s - before_s.get(thread, 0.0) for thread, waited_s in self._waited_s().items()]
            self.waited_s = max(waits_s, default=self.waited_s)
            time.sleep(0.002)

    def _is_alive(self):
        try:
            return (self._process / "stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
        except OSError:
            return False

    def _waited_s(self):
        """Return the seconds that each thread has waited for a CPU since its start."""
        waited_s = {}
        with contextlib.suppress(OSError):  # The process has ended.
            for task in (self._process / "task").iterdir():
                with contextlib.suppress(OSError):  # A thread has ended; its process may live on.
                    waited_s[task.name] = int((task / "schedstat").read_text().split()[1]) / 1e9
        return waited_s


@pytest.mark.parametrize(
    "code",
    [START, HANGING_STOP, HANGING_THREAD, BLOCKED_LOOP, SLOW_EXIT],
    ids=["sockets", "task", "thread", "loop", "interpreter"],
)
def test_process_exits_within_its_grace_period(run_async, tmp_path, code):
    """Callers' connections are idle or wait for a hanging worker, a peer is silent, the store does not answer."""

    async def scenario():
        store, worker = FakeStore(), FakeWorker("i-1")
        await store.start()
        await worker.start()
        worker.respond = worker.hang
        store.put("servers", worker.incarnation, worker.entry())
        store.put("op", "config", config(routes=[route(kind="unsafe", timeout_ms=60_000)]))
        front, ready, peer = free_ports(3)
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS.format(front=front, ready=ready, peer=peer, store=store.address, grace_s=GRACE_S))
        process = await start_router(path, code)
        connections = []
        try:
            await until_ready(ready)
            for port in (front, front, ready, ready, peer, peer):
                connections.append(await asyncio.open_connection("127.0.0.1", port))
            for _, writer in connections[1:4:2]:
                writer.write(
                    f"GET /a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r\r\nX-Credential: k1\r\n\r\n".encode()
                )
            async with asyncio.timeout(10):
                while not worker.requests:
                    await asyncio.sleep(0.01)
            store.silent = True
            watch = LifeWatch(process.pid)
            watch.start()
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(30):
                status = await process.wait()
            watch.join()
            return status, watch
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            for _, writer in connections:
                writer.close()
            await worker.stop()
            await store.stop()

    status, watch = run_async(scenario())
    assert status == 0
    assert 0.0 < watch.lived_s <= GRACE_S + watch.waited_s


def handled_signals(pid):
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    caught, ignored = (
        int(next(line.split()[1] for line in lines if line.startswith(name)), 16) for name in ("SigCgt", "SigIgn")
    )
    return {each for each in (signal.SIGTERM, signal.SIGHUP) if (caught | ignored) & 1 << (each - 1)}


def test_signals_while_a_process_imports_its_modules_do_not_kill_it(run_async, tmp_path):
    """Guards against SIGHUP killing a starting node, and SIGTERM ending it with a status like a crash."""
    (tmp_path / "uvloop.py").write_text("import time; time.sleep(600)")

    async def scenario():
        path = f"{tmp_path}{os.pathsep}{os.environ.get('PYTHONPATH', '')}"
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(ROOT / "deploy" / "router.py"), env={**os.environ, "PYTHONPATH": path}
        )
        try:
            async with asyncio.timeout(20):
                while handled_signals(process.pid) != {signal.SIGTERM, signal.SIGHUP}:
                    await asyncio.sleep(0.005)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
            after_hup = process.returncode
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(5):
                return after_hup, await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    assert run_async(scenario()) == (None, 0)


def test_process_exits_with_success_just_before_the_grace_period_ends():
    ended = []
    timer = exit_within(boot_time_s(), 0.0, list, ended.append)
    timer.join(10.0)
    assert ended == [0]
    later = exit_within(boot_time_s() - 10.0, 70.0, list, ended.append)
    assert 59.0 < later.deadline_s - boot_time_s() < 60.0  # Counted from the signal, however late it was noticed.
    assert later.daemon
    later.cancel()


def test_forced_exit_names_the_requests_that_it_ends(monkeypatch):
    """Guards against an end of the process that leaves no line about the requests that it cuts."""
    logged, ended = [], []
    monkeypatch.setattr(stop_deadline, "emit", lambda event, **fields: logged.append((event, fields)))
    exit_within(boot_time_s(), 0.0, lambda: ["r2", "r1"], ended.append).join(10.0)
    ((event, fields),) = logged
    assert (event, fields["in_flight"], fields["requests"], ended) == (Event.NODE_STOP_FORCED, 2, "r1,r2", [0])


def test_exit_waits_for_a_reader_of_the_log_that_is_slow():
    """Guards against log lines that are lost since their reader had not taken them as the process exits."""
    code = """
import time
from wallwell.events import Event, configure_logging, emit
from wallwell.platform import stop_deadline
stop_deadline.LOG_FLUSH_S = 10.0
configure_logging("INFO", json_lines=True)
for number in range(1500):
    emit(Event.NODE_STOPPED, number=number, filler="x" * 200)
stop_deadline.exit_now()
"""
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
    process = subprocess.Popen([sys.executable, "-c", code], stderr=subprocess.PIPE, env=environment)
    time.sleep(0.5)  # The pipe is full by now, and most lines wait in the process.
    lines = process.stderr.read().splitlines()
    assert (process.wait(), len(lines)) == (0, 1500)
