"""One command is declared alone, all of them for the overview; the table and the modules agree."""

import subprocess
import sys

import pytest

from wallwell.cli.main import COMMAND_MODULES, build_parser


def command_names(parser):
    return set(next(action for action in parser._actions if isinstance(action.choices, dict)).choices)


def test_the_table_names_every_command():
    assert command_names(build_parser()) == set(COMMAND_MODULES)


@pytest.mark.parametrize("command", COMMAND_MODULES)
def test_a_command_is_declared_by_its_module(command):
    assert command in command_names(build_parser(command))


def test_an_unknown_command_is_told_all_commands():
    assert command_names(build_parser("nothing")) == set(COMMAND_MODULES)


def test_a_command_does_not_import_what_others_need():
    script = "import sys; from wallwell.cli.main import build_parser; build_parser('explain'); print(*sys.modules)"
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True, timeout=60)
    assert {"aiohttp", "aiomisc", "yaml"}.isdisjoint(result.stdout.split())
