"""No request, lease or bound depends on the time of day, which may jump."""

from __future__ import annotations

import ast
import itertools
import json
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.platform.conftest import config
from tests.unit.serving.fakes import event
from wallwell.platform.settings import OperatorBounds

SOURCES = Path(__file__).parents[2] / "src"
IMPORTED_LATER = ("wallwell.node.metrics",)
"""Modules that a node imports only on first use."""
TIME_OF_DAY = {"time", "time_ns", "ctime", "localtime", "gmtime", "strftime", "asctime", "clock_gettime"}
PERMITTED_TIME_OF_DAY_USES = {("wallwell.node.node", "time_ns"): 1, ("wallwell.clock", "clock_gettime"): 1}
"""Permitted uses: the seed of a node's random generator, and the boot clock."""
MONOTONIC_FUNCTIONS = {"monotonic", "monotonic_ns", "perf_counter", "timeout", "timeout_at", "wait_for"}
"""The monotonic clock, and timeouts that use it; it stops while the machine is suspended."""
PERMITTED_MONOTONIC_USES = {
    ("wallwell.clock", "monotonic"): 1,
    ("wallwell.clock", "timeout"): 1,
    ("wallwell.serving.liveness", "timeout"): 1,
    ("wallwell.callers_server", "timeout"): 1,
    ("wallwell.log_writer", "monotonic"): 1,
}
"""Permitted uses: the clock module itself, timeouts without a time that are ended by hand, and the rate limit of
routine log lines."""
STANDALONE = (
    "standalone.backends.engine_client",
    "standalone.backends.engine_watch",
    "standalone.backends.service_client",
    "standalone.cluster.node",
    "standalone.cluster.region_directory",
    "standalone.cluster.transport",
    "standalone.callers.claimed_call",
    "standalone.callers.engine_attempt",
    "standalone.callers.engine_selection",
    "standalone.callers.generation",
    "standalone.callers.generation_answer",
    "standalone.callers.generation_retry",
    "standalone.callers.generation_run",
    "standalone.platform_reads",
    "standalone.router_node",
    "standalone.callers.service_call",
    "standalone.callers.service_calls",
    "standalone.placement.controller",
)
"""Modules of the standalone router alone that use clocks."""
LIST_MODULES = f"""
import importlib, json, sys, wallwell.platform.main
for name in {IMPORTED_LATER!r}:
    importlib.import_module(name)
print(json.dumps(sorted(name for name in sys.modules if name.startswith("wallwell"))))
"""


def time_of_day_uses(module):
    """Return the functions of the time of day that a module's source uses, however they are imported."""
    path = SOURCES / (module.replace(".", "/") + ".py")
    tree = ast.parse((path if path.exists() else SOURCES / module.replace(".", "/") / "__init__.py").read_text())
    used = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "time":
            used += [node.attr] if node.attr in TIME_OF_DAY else []
        elif isinstance(node, ast.ImportFrom) and node.module in ("time", "datetime"):
            used += [each.name for each in node.names if each.name in TIME_OF_DAY or node.module == "datetime"]
        elif isinstance(node, ast.Import):
            used += [
                each.name for each in node.names if each.name == "datetime" or (each.name == "time" and each.asname)
            ]
    return used


def modules_of_a_node():
    command = [sys.executable, "-c", LIST_MODULES]
    listed = subprocess.run(command, capture_output=True, check=True, env={"PYTHONPATH": str(SOURCES)})
    return json.loads(listed.stdout)


def test_no_module_of_a_node_uses_the_time_of_day():
    modules = modules_of_a_node()
    assert {
        "wallwell.serving.pipeline",
        "wallwell.cluster.leases",
        "wallwell.routing.admission.fleet_limits",
    } <= set(modules)
    found = [(module, name) for module in modules for name in time_of_day_uses(module)]
    assert {each: found.count(each) for each in found} == PERMITTED_TIME_OF_DAY_USES


def monotonic_clock_uses(module):
    """Yield the functions of the monotonic clock, and timeouts that use it, in a module's source."""
    tree = ast.parse((SOURCES / (module.replace(".", "/") + ".py")).read_text())
    owners = ("time", "asyncio", "loop")
    for node in ast.walk(tree):
        if not isinstance(node, ast.Attribute) or not isinstance(node.value, ast.Name):
            continue
        if node.value.id in owners and node.attr in MONOTONIC_FUNCTIONS:
            yield node.attr


def test_no_module_uses_a_clock_that_stops_while_the_machine_is_suspended():
    """Checks the modules of the router on the platform and of the standalone router."""
    own = [f"wallwell.{each}" for each in STANDALONE]
    modules = [each for each in modules_of_a_node() if (SOURCES / (each.replace(".", "/") + ".py")).exists()]
    found = [(module, name) for module in {*modules, *own} for name in monotonic_clock_uses(module)]
    assert {each: found.count(each) for each in found} == PERMITTED_MONOTONIC_USES


@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
def test_requests_and_leases_continue_while_the_time_of_day_jumps(on_platform, monkeypatch, step_s):
    """Each reading of the clock is an hour later, or an hour earlier, than the previous one."""
    base_s, jumps = time.time(), itertools.count()

    async def scenario(harness):
        for worker in harness.workers:
            worker.respond = worker.stream(event(1))
        monkeypatch.setattr(time, "time", lambda: base_s + step_s * next(jumps))
        monkeypatch.setattr(time, "time_ns", lambda: int((base_s + step_s * next(jumps)) * 1e9))
        harness.store.put("op", "version/m", {"model": "m", "version": 2})
        await harness.until(lambda: all(worker.version == 2 for worker in harness.workers))
        changed = config(7)
        changed["tenants"][0]["api_keys"] = ["k2"]
        harness.store.put("op", "config", changed)
        await harness.until(lambda: harness.node.state.config.version == 7)
        answers = [(await harness.call(X_Credential=key))[0] for key in ("k2", "k1", "k2")]
        return answers, harness.node.is_ready(), next(jumps)

    answers, ready, looked = on_platform(scenario, bounds=OperatorBounds(strict_revoke=True, version_ms=300))
    assert (answers, ready) == ([200, 401, 200], True)
    assert looked > 1
