"""One command is declared alone, all of them for the overview; the table and the modules agree."""

import subprocess
import sys

import pytest

from wallwell.cli.main import MODULES, build_parser


def commands_of(parser):
    return set(next(action for action in parser._actions if isinstance(action.choices, dict)).choices)


def test_the_table_names_every_command():
    assert commands_of(build_parser()) == set(MODULES)


@pytest.mark.parametrize("command", MODULES)
def test_a_command_is_declared_by_its_module(command):
    assert command in commands_of(build_parser(command))


def test_an_unknown_command_is_told_all_commands():
    assert commands_of(build_parser("nothing")) == set(MODULES)


def test_a_command_does_not_import_what_others_need():
    script = "import sys; from wallwell.cli.main import build_parser; build_parser('explain'); print(*sys.modules)"
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True, timeout=60)
    assert {"aiohttp", "aiomisc", "yaml"}.isdisjoint(result.stdout.split())
