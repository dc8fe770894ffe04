"""Tests that the parser declares only the given command, or all commands if the given one is unknown."""

import subprocess
import sys

import pytest

from wallwell.cli.main import COMMAND_MODULES, build_parser


def command_names(parser):
    return set(next(action for action in parser._actions if isinstance(action.choices, dict)).choices)


def test_command_modules_lists_every_command():
    assert command_names(build_parser()) == set(COMMAND_MODULES)


@pytest.mark.parametrize("command", COMMAND_MODULES)
def test_command_is_declared_by_its_module(command):
    assert command in command_names(build_parser(command))


def test_unknown_command_gets_a_parser_with_all_commands():
    assert command_names(build_parser("nothing")) == set(COMMAND_MODULES)


def test_command_does_not_import_the_dependencies_of_others():
    script = "import sys; from wallwell.cli.main import build_parser; build_parser('explain'); print(*sys.modules)"
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True, timeout=60)
    assert {"aiohttp", "aiomisc", "yaml"}.isdisjoint(result.stdout.split())
