"""Checks which package may import which, as the architecture page states, and that no imports form a cycle."""

from __future__ import annotations

import ast
from functools import cache
from pathlib import Path

import pytest

SOURCES = Path(__file__).parents[2] / "src"
ROOT = SOURCES / "wallwell"

COMMON = {
    "error_frames",
    "address",
    "answer_bounds",
    "answer_head",
    "backend_connection",
    "background",
    "build_info",
    "callers_server",
    "checked_connector",
    "clock",
    "errors",
    "events",
    "http_connection",
    "loop_errors",
    "task_wait",
    "log_writer",
    "number_ranges",
    "outcomes",
    "plain_http",
    "read_gaps",
    "socket_options",
    "start_signals",
}
"""Top-level modules that any package may import, except the pure decisions (``routing`` and ``deployment``)."""
LEAVES = {"platform", "standalone", "emulator", "soak", "bench", "cli"}
"""Packages that no package in ``ALLOWED`` may import: adapters, the second router, emulators and tools."""

ALLOWED: dict[str, set[str]] = {
    "routing": {"address", "deployment", "errors", "number_ranges", "outcomes"},
    "deployment": {"address"},
    "storage": COMMON | {"deployment"},
    "cluster": COMMON | {"deployment", "routing", "storage"},
    "node.state": COMMON | {"cluster", "deployment", "placement", "rollout", "routing", "serving"},
    "rollout": COMMON | {"cluster", "deployment", "node.state", "routing", "storage"},
    "placement": COMMON | {"cluster", "deployment", "node.state", "routing", "storage"},
    "serving": COMMON | {"cluster", "deployment", "node.state", "rollout", "routing"},
    "peer_attempts": COMMON | {"cluster", "deployment", "node.state", "routing", "serving"},
    "node": COMMON
    | {
        "cluster",
        "deployment",
        "node.state",
        "peer_attempts",
        "placement",
        "rollout",
        "routing",
        "serving",
        "storage",
    },
    "platform": COMMON
    | {"cluster", "deployment", "node", "node.state", "placement", "rollout", "routing", "serving", "storage"},
    "standalone": COMMON | {"cluster", "routing", "storage"},
}
"""For each package, the other packages it may import. ``node.state`` is a node's state: packages that use the state
import ``node.state`` and not the rest of ``node``."""


def package_of(module: str) -> str:
    """Return the key of a module's package in ``ALLOWED``."""
    if module == "wallwell.node.state":
        return "node.state"
    return module.split(".")[1] if "." in module else ""


@cache
def imports_of_modules() -> dict[str, set[str]]:
    """Return, for each wallwell module, the wallwell modules it imports, including imports within functions."""
    paths = {_module_name(path): path for path in ROOT.rglob("*.py")}
    return {module: _imports(path, set(paths)) for module, path in paths.items()}


def _module_name(path: Path) -> str:
    return ".".join(path.relative_to(SOURCES).with_suffix("").parts).removesuffix(".__init__")


def _imports(path: Path, modules: set[str]) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= (names & modules) or {node.module}
    return found & modules


@pytest.mark.parametrize("package", sorted(ALLOWED))
def test_package_imports_only_allowed_packages(package):
    own = [module for module in imports_of_modules() if package_of(module) == package]
    assert own, f"no module of {package}"
    forbidden = [
        f"{module} -> {imported}"
        for module in own
        for imported in imports_of_modules()[module]
        if package_of(imported) not in ALLOWED[package] | {package}
    ]
    assert not forbidden


def test_every_package_is_listed():
    packages = {path.name for path in ROOT.iterdir() if (path / "__init__.py").exists()}
    assert packages == {name for name in ALLOWED if "." not in name} | LEAVES


def test_imports_have_no_cycle():
    imports = imports_of_modules()
    remaining = {module: set(found) for module, found in imports.items()}
    while ready := [module for module, found in remaining.items() if not found & remaining.keys()]:
        for module in ready:
            del remaining[module]
    assert not remaining, f"in a cycle, or importing a module in a cycle: {sorted(remaining)}"
