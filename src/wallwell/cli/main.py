"""The ``wallwell`` command."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from wallwell import __version__
from wallwell.cli import bench, catalogue, config_commands, demo, emulate, explain, router, soak
from wallwell.errors import WallwellError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with every command."""
    parser = argparse.ArgumentParser(prog="wallwell", description="Router for language-model traffic.")
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for module in (router, config_commands, emulate, demo, bench, catalogue, explain, soak):
        module.register(commands)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command; returns the exit status."""
    options = build_parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except WallwellError as error:
        print(str(error), file=sys.stderr)
        return EXIT_USAGE
    except KeyboardInterrupt:
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
