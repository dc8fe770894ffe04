"""Which package may import which: what the folders of the architecture page promise, and no cycle of modules."""

from __future__ import annotations

import ast
from functools import cache
from pathlib import Path

import pytest

SOURCES = Path(__file__).parents[2] / "src"
ROOT = SOURCES / "wallwell"

COMMON = {
    "backend_connection",
    "background",
    "build_info",
    "callers_server",
    "clock",
    "errors",
    "events",
    "http_connection",
    "task_wait",
    "log_writer",
    "outcomes",
    "plain_http",
    "socket_options",
    "start_signals",
}
"""Modules at the top that any package may use, the pure decisions excepted."""
LEAVES = {"platform", "standalone", "emulator", "soak", "bench", "cli"}
"""Packages that nothing of the product imports: adapters, the second router, stand-ins and tools."""

ALLOWED: dict[str, set[str]] = {
    "routing": {"deployment", "errors", "outcomes"},
    "deployment": set(),
    "storage": COMMON | {"deployment"},
    "cluster": COMMON | {"deployment", "routing", "storage"},
    "node.state": COMMON | {"cluster", "deployment", "placement", "rollout", "routing", "serving"},
    "rollout": COMMON | {"cluster", "deployment", "node.state", "routing", "storage"},
    "placement": COMMON | {"cluster", "deployment", "node.state", "routing", "storage"},
    "serving": COMMON | {"cluster", "deployment", "node.state", "rollout", "routing"},
    "node": COMMON
    | {"cluster", "deployment", "node.state", "placement", "rollout", "routing", "serving", "storage"},
    "platform": COMMON
    | {"cluster", "deployment", "node", "node.state", "placement", "rollout", "routing", "serving", "storage"},
    "standalone": COMMON | {"cluster", "routing", "storage"},
}
"""For each package, the others it may import. ``node.state`` is what a node knows: those who act on it import it,
and not the rest of ``node``."""


def package_of(module: str) -> str:
    """Return the name under which a module stands in ``ALLOWED``."""
    if module == "wallwell.node.state":
        return "node.state"
    return module.split(".")[1] if "." in module else ""


@cache
def imports_of_modules() -> dict[str, set[str]]:
    """Return, for each module of the product, those modules of the product that it imports anywhere."""
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
def test_a_package_imports_only_what_stands_below_it(package):
    own = [module for module in imports_of_modules() if package_of(module) == package]
    assert own, f"no module of {package}"
    wrong = [
        f"{module} -> {imported}"
        for module in own
        for imported in imports_of_modules()[module]
        if package_of(imported) not in ALLOWED[package] | {package}
    ]
    assert not wrong


def test_every_package_of_the_product_is_held():
    packages = {path.name for path in ROOT.iterdir() if (path / "__init__.py").exists()}
    assert packages == {name for name in ALLOWED if "." not in name} | LEAVES


def test_no_module_is_imported_by_what_it_imports():
    imports = imports_of_modules()
    left = {module: set(found) for module, found in imports.items()}
    while ready := [module for module, found in left.items() if not found & left.keys()]:
        for module in ready:
            del left[module]
    assert not left, f"in or above a cycle: {sorted(left)}"
