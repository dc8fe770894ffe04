"""Entry point of ``wallwell``: imports the module of the command, runs it and maps errors to exit statuses."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Sequence

from wallwell import __version__
from wallwell.errors import WallwellError
from wallwell.start_signals import handle_signals_while_starting

EXIT_FAILED = 1
"""Exit status of a command that ran and found a failure, or was interrupted."""
EXIT_ERROR = 2
"""Exit status of a command that stopped with an error, which is printed to standard error."""
COMMAND_MODULES = {
    "router": "router",
    "check": "config_commands",
    "apply": "config_commands",
    "remove": "config_commands",
    "get": "config_commands",
    "status": "config_commands",
    "emulate": "emulate",
    "demo": "demo",
    "bench": "bench",
    "catalogue": "catalogue",
    "explain": "explain",
    "soak": "soak",
}
"""The module of ``wallwell.cli`` that declares each command. Only the module of the given command is imported."""


def build_parser(command: str = "") -> argparse.ArgumentParser:
    """Return a parser with ``command`` only, or with all commands if ``command`` is unknown."""
    parser = argparse.ArgumentParser(prog="wallwell", description="Router for language-model traffic.")
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for module in (
        [COMMAND_MODULES[command]] if command in COMMAND_MODULES else dict.fromkeys(COMMAND_MODULES.values())
    ):
        importlib.import_module(f"wallwell.cli.{module}").register(commands)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return the exit status. ``arguments`` defaults to those of the process."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    if argv[:1] == ["router"]:
        handle_signals_while_starting()
    options = build_parser(argv[0] if argv else "").parse_args(argv)
    try:
        return int(options.run(options))
    except WallwellError as error:
        print(str(error), file=sys.stderr)
        return EXIT_ERROR
    except KeyboardInterrupt:
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
