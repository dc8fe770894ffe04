"""The soak's processes: all are ended, by whatever way the run ends, and nothing else is."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from wallwell.errors import SoakError
from wallwell.soak.supervisor import Supervisor

ROOT = Path(__file__).resolve().parents[2]
STARTED = 12
"""Processes of a run with three nodes once its callers are there too: store, proxy, six workers, nodes, callers."""
BOUND_S = 30.0


def children_of(pid):
    try:
        return [int(text) for text in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]
    except FileNotFoundError:
        return []


def is_running(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False


def wait_until(condition):
    end_s = time.monotonic() + BOUND_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.02)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL], ids=lambda number: number.name)
def test_a_run_that_is_interrupted_leaves_no_process(tmp_path, number):
    command = [
        sys.executable,
        "-m",
        "wallwell.cli.main",
        "soak",
        "--keep",
        str(tmp_path / "run"),
        "--checkout",
        str(ROOT),
    ]
    bystander = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(600)"])
    run = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        wait_until(lambda: len(children_of(run.pid)) >= STARTED)
        started = children_of(run.pid)
        run.send_signal(number)
        run.wait(BOUND_S)
        wait_until(lambda: not any(is_running(pid) for pid in started))
        assert bystander.poll() is None
    finally:
        run.kill()
        bystander.kill()
        bystander.wait()


def test_a_run_starts_no_more_processes_than_it_may(run_async, tmp_path, monkeypatch):
    monkeypatch.setattr("wallwell.soak.supervisor.MAX_PROCESSES", 2)

    async def work():
        supervisor = Supervisor(tmp_path)
        try:
            for index in range(3):
                await supervisor.start(f"p{index}", (sys.executable, "-c", "import time; time.sleep(600)"))
        finally:
            await supervisor.close()
            assert len(supervisor) == 0

    with pytest.raises(SoakError, match="more than 2 processes"):
        run_async(work())


def test_a_run_that_holds_too_much_memory_is_given_up(run_async, tmp_path, monkeypatch):
    monkeypatch.setattr("wallwell.soak.supervisor.MAX_MEMORY_BYTES", 1)

    async def work():
        supervisor = Supervisor(tmp_path)
        try:
            await supervisor.start("p", (sys.executable, "-c", "import time; time.sleep(600)"))
            supervisor.check_memory()
        finally:
            await supervisor.close()

    with pytest.raises(SoakError, match="MB in 1 processes"):
        run_async(work())


def test_short_runs_are_refused():
    result = subprocess.run(
        [sys.executable, "-m", "wallwell.cli.main", "soak", "--seconds", "5"],
        capture_output=True,
        text=True,
        timeout=BOUND_S,
        env=dict(os.environ),
    )
    assert result.returncode == 2
    assert "WW7003 SoakError: a run takes 15 s at least" in result.stderr


def play(tmp_path, *options):
    """Play a run that breaks no invariant, and return what it printed."""
    soak = [sys.executable, "-m", "wallwell.cli.main", "soak", *options]
    places = ["--keep", str(tmp_path / "run"), "--checkout", str(ROOT)]
    played = subprocess.run([*soak, *places], capture_output=True, text=True, timeout=120)
    assert played.returncode == 0, played.stdout[-2000:] + played.stderr[-2000:]
    assert "; 0 breaches" in played.stdout
    return played.stdout


def assert_tested(printed, *invariants):
    """Check that a run put invariants to the test."""
    for invariant in invariants:
        assert re.search(rf"\b{invariant} [1-9]", printed), printed[-2000:]


@pytest.mark.parametrize(
    ("seed", "tested"),
    [
        (3, ("crashes_few",)),
        (4, ("crashes_few", "announced_gets_nothing", "stated_limit_kept")),
        (9, ("crashes_few", "stated_limit_kept")),
    ],
)
def test_a_short_run_breaks_no_invariant(tmp_path, seed, tested):
    """Three seeds, each with a caller whose request crashes what runs it, an engine that wants no requests and a
    worker that says how many it takes; in the second a worker leaves while the store is down. In the last two that
    worker serves calls, so that no request crashes it. Longer ones and more seeds are played by hand."""
    assert_tested(play(tmp_path, "--seed", str(seed), "--seconds", "20", "--crashing", "1"), *tested)


def test_a_short_run_with_several_software_versions_breaks_no_invariant(tmp_path):
    """Engines crash and nodes end while three versions serve, and callers take up what broke off."""
    size = "--seconds", "18", "--engines", "6", "--rate", "10"
    assert_tested(play(tmp_path, "--seed", "83", *size, "--versions", "3"), "one_version_per_stream")


def test_a_short_run_with_a_part_that_crashes_workers_breaks_no_invariant(tmp_path):
    """Requests with the part come at any node beside faults; some answers have neither a length nor chunks."""
    size = "--seconds", "20", "--engines", "6", "--rate", "20"
    assert_tested(play(tmp_path, "--seed", "91", *size, "--bad-parts", "1"), "bad_part_reaches_few")


def test_a_short_run_with_answers_that_come_twice_breaks_no_invariant(tmp_path):
    """Guards against a second copy of a rejection that ends the next attempt of its call. Rejected calls are sent
    there again, as there is one instance."""
    size = "--seconds", "15", "--calm", "6", "--engines", "2", "--instances", "1"
    assert_tested(play(tmp_path, "--seed", "34", *size, "--second-answers"), "second_answers_end_nothing")


def test_a_short_run_with_broken_answers_breaks_no_invariant(tmp_path):
    """Guards against an answer that HTTP does not allow and that reaches a caller, beside faults."""
    printed = play(tmp_path, "--seed", "501", "--seconds", "15", "--broken-answers")
    assert_tested(printed, "broken_answers_reach_nobody")


def test_a_short_run_with_odd_entries_breaks_no_invariant(tmp_path):
    """Guards against an entry whose address is none and that costs other entries, a start or a request. Another
    writer leaves odd rows of all kinds, some of them again and again while routers start."""
    printed = play(tmp_path, "--seed", "523", "--seconds", "15", "--odd-entries")
    assert_tested(printed, "starts_beside_odd_rows", "nodes_serve_beside_odd_rows", "no_fault_beside_odd_rows")


def test_a_short_run_that_isolates_and_releases_tenants_breaks_no_invariant(tmp_path):
    """Guards against parts of prompts that pass between tenants of which a configuration isolates one, over kills,
    crashes of engines that then find parts in the KV store alone, and a store that is away or comes back older."""
    size = "--seconds", "15", "--engines", "3", "--rate", "60"
    printed = play(tmp_path, "--seed", "712", *size)
    assert_tested(printed, "isolated_share_nothing")
    assert re.search(r"uses of parts between tenants: [1-9]\d*, with an isolated one: 0\n", printed)


def test_a_short_run_with_groups_of_silent_workers_breaks_no_invariant(tmp_path):
    """Guards against streams cut while their sound engine sends nothing for a second: all engines, with few slots,
    fall silent right after a change of the configuration, and again half a second after they have gone on."""
    size = "--seconds", "15", "--calm", "7"
    assert_tested(play(tmp_path, "--seed", "67", *size, "--group-silences"), "silence_cuts_nothing")


def test_a_short_run_with_kept_connections_and_planned_stops_breaks_no_invariant(tmp_path):
    """Guards against streams that a caller on a kept connection begins late in a planned stop, and that are cut."""
    size = "--seconds", "15", "--rate", "10"
    printed = play(tmp_path, "--seed", "1", *size, "--kept-connections")
    assert_tested(printed, "stop_cuts_only_excused")
    assert_tested(printed, "requests begun after a SIGTERM", "answers ended while connections close")
