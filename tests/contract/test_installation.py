"""A plain installation: the command line without any of the package's extras."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import EXAMPLES

ROOT = Path(__file__).resolve().parents[2]
MODULES_OF_EXTRAS = ("numpy", "matplotlib", "hypothesis", "pytest", "mypy")
RUN_WITHOUT_EXTRAS = f"""
import sys

class Blocked:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in {MODULES_OF_EXTRAS!r}:
            raise ModuleNotFoundError(f"No module named {{name!r}}", name=name)

sys.meta_path.insert(0, Blocked())
import wallwell
assert wallwell.__file__.startswith(sys.path[1]), wallwell.__file__
from wallwell.cli.main import main
sys.exit(main(sys.argv[1:]))
"""


@pytest.fixture(scope="module")
def installed(tmp_path_factory):
    """The package as ``pip`` installs it, without dependencies; nothing is fetched."""
    source = tmp_path_factory.mktemp("source")
    for name in ("pyproject.toml", "README.md", "LICENSE"):
        shutil.copy(ROOT / name, source)
    shutil.copytree(ROOT / "src", source / "src", ignore=shutil.ignore_patterns("*.egg-info", "__pycache__"))
    target = tmp_path_factory.mktemp("installed")
    options = (
        "--quiet",
        "--no-deps",
        "--no-index",
        "--no-build-isolation",
        "--no-compile",
        "--target",
        str(target),
    )
    subprocess.run([sys.executable, "-m", "pip", "install", *options, str(source)], check=True, timeout=120)
    return target


def run_command(installed, *arguments):
    command = [sys.executable, "-c", RUN_WITHOUT_EXTRAS, *map(str, arguments)]
    environment = {**os.environ, "PYTHONPATH": str(installed)}
    return subprocess.run(
        command, capture_output=True, text=True, timeout=60, check=False, env=environment, cwd=installed
    )


@pytest.mark.parametrize(
    "arguments",
    [
        ("--help",),
        ("--version",),
        ("check", EXAMPLES / "pharmacy"),
        ("router", "--help"),
        ("explain", "--help"),
        ("emulate", "--help"),
        ("demo", "--help"),
        ("bench", "--help"),
        ("catalogue", "errors"),
    ],
    ids=lambda arguments: " ".join(str(each) for each in arguments[:2] if "/" not in str(each)),
)
def test_a_command_works_without_extras(installed, arguments):
    result = run_command(installed, *arguments)
    assert (result.returncode, result.stderr) == (0, "")
    assert result.stdout or arguments[0] == "check"


def test_a_command_that_needs_an_extra_names_it(installed):
    result = run_command(installed, "bench", "run", "--all")
    assert result.returncode == 2
    assert "WW1004 ExtraMissingError" in result.stderr
    assert "wallwell[bench]" in result.stderr
    assert "Traceback" not in result.stderr
